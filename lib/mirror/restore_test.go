package mirror

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// valued returns an object whose value counts the writes of its writer.
func valued(name string, revision int64, count int) Object {
	return Object{Name: name, Revision: revision, Value: json.RawMessage(fmt.Sprint(count))}
}

// olderCount is Config.Older for valued objects.
func olderCount(_ string, first, second json.RawMessage) bool {
	var a, b int
	return json.Unmarshal(first, &a) == nil && json.Unmarshal(second, &b) == nil && a < b
}

// restorable returns a kind that knows objects up to revision 30 of era 1.
func restorable(expires, own bool, objects ...Object) *Kind {
	k := NewKind(expires)
	k.restore.keepsMissing = own
	k.restore.older = func(first, second json.RawMessage) bool { return olderCount("", first, second) }
	k.ApplyList(objects, NewRevision(1, 30), start)
	return k
}

func countOf(k *Kind, name string) string {
	object, ok := k.Get(name)
	if !ok {
		return "none"
	}
	return string(object.Value)
}

// Guards against comparisons of revisions by their numbers alone.
func TestErasComeFirst(t *testing.T) {
	Convey("A later era is later whatever the numbers", t, func() {
		So(NewRevision(2, 1), ShouldBeGreaterThan, NewRevision(1, MaxNumber))
		So(NewRevision(0, 7), ShouldEqual, 7)
	})
	Convey("Era and number are read back, out of range as the nearest bound", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			era, number := rapid.Int64().Draw(t, "era"), rapid.Int64().Draw(t, "number")
			revision := NewRevision(era, number)
			if EraOf(revision) != min(max(era, 0), MaxEra) || NumberOf(revision) != min(max(number, 0), MaxNumber) || revision < 0 {
				t.Fatalf("%d/%d is %s", era, number, FormatRevision(revision))
			}
		})
	})
	Convey("Logs show the number, after an era", t, func() {
		So(FormatRevision(30), ShouldEqual, "30")
		So(FormatRevision(NewRevision(2, 29)), ShouldEqual, "2/29")
	})
}

// Guards against a store that came back from an older copy: what was in force must stay so until
// it is written again, and what is written afterwards must be in force at once.
func TestRestoredStore(t *testing.T) {
	Convey("Given a copy at revision 30 and a store that came back at a lower one", t, func() {
		k := restorable(false, false, valued("same", NewRevision(1, 5), 5), valued("older", NewRevision(1, 29), 9), valued("missing", NewRevision(1, 30), 1))
		back := start.Add(time.Minute)
		changes := k.ApplyList([]Object{valued("same", NewRevision(2, 5), 5), valued("older", NewRevision(2, 6), 6)}, NewRevision(2, 20), back)
		Convey("nothing that was in force changes", func() {
			So(changes, ShouldBeEmpty)
			So([]string{countOf(k, "same"), countOf(k, "older"), countOf(k, "missing")}, ShouldResemble, []string{"5", "9", "1"})
			So(k.Objects(), ShouldHaveLength, 3)
		})
		Convey("a new write is in force, also at a number that was given out before", func() {
			written := k.ApplyEvents([]Event{{Object: valued("older", NewRevision(2, 29), 10)}}, NewRevision(2, 29), back)
			So(written, ShouldHaveLength, 1)
			So(countOf(k, "older"), ShouldEqual, "10")
		})
		Convey("the writes between the copy and the state in force are passed over", func() {
			So(k.ApplyEvents([]Event{{Object: valued("older", NewRevision(2, 21), 8)}}, NewRevision(2, 21), back), ShouldBeEmpty)
			So(countOf(k, "older"), ShouldEqual, "9")
		})
		Convey("what is not written again goes after the grace time", func() {
			So(k.Tick(back.Add(restoreGrace-time.Second)), ShouldBeEmpty)
			gone := k.Tick(back.Add(restoreGrace))
			So(gone, ShouldHaveLength, 1)
			So(gone[0].Deleted, ShouldBeTrue)
			So(countOf(k, "missing"), ShouldEqual, "none")
		})
		Convey("what is written again stays", func() {
			k.ApplyEvents([]Event{{Object: valued("missing", NewRevision(2, 22), 1)}}, NewRevision(2, 22), back)
			So(k.Tick(back.Add(restoreGrace)), ShouldBeEmpty)
			So(countOf(k, "missing"), ShouldEqual, "1")
		})
		Convey("a late list of the era before changes nothing", func() {
			So(k.ApplyList([]Object{valued("same", NewRevision(1, 31), 99)}, NewRevision(1, 31), back), ShouldBeEmpty)
			So(countOf(k, "same"), ShouldEqual, "5")
		})
		Convey("it may come back once more", func() {
			k.ApplyEvents([]Event{{Object: valued("older", NewRevision(2, 29), 10)}}, NewRevision(2, 29), back)
			So(k.ApplyList([]Object{valued("older", NewRevision(4, 3), 2)}, NewRevision(4, 10), back.Add(time.Second)), ShouldBeEmpty)
			So(countOf(k, "older"), ShouldEqual, "10")
			So(countOf(k, "same"), ShouldEqual, "5")
			So(k.Tick(back.Add(restoreGrace)), ShouldBeEmpty)
			So(k.Tick(back.Add(restoreGrace+time.Second)), ShouldHaveLength, 2)
		})
	})
	Convey("Objects that this system writes stay until they are written again", t, func() {
		k := restorable(false, true, valued("own", NewRevision(1, 30), 1))
		k.ApplyList(nil, NewRevision(2, 20), start)
		So(k.Tick(start.Add(time.Hour)), ShouldBeEmpty)
		So(countOf(k, "own"), ShouldEqual, "1")
		So(k.ApplyEvents([]Event{{Object: valued("own", NewRevision(2, 21), 1), Deleted: true}}, NewRevision(2, 21), start), ShouldHaveLength, 1)
	})
	Convey("A worker that was retained after an outage stays when it is listed again", t, func() {
		k := restorable(true, false, valued("w", NewRevision(1, 5), 5))
		k.MarkFailed(start)
		k.ApplyList(nil, NewRevision(1, 31), start.Add(expiryOutage+time.Second))
		So(countOf(k, "w"), ShouldEqual, "5")
		k.ApplyList([]Object{valued("w", NewRevision(1, 5), 5)}, NewRevision(1, 32), start.Add(expiryOutage+2*time.Second))
		So(k.Tick(start.Add(time.Minute)), ShouldBeEmpty)
		So(countOf(k, "w"), ShouldEqual, "5")
	})
	Convey("A worker that had gone is not believed to be back because the copy lists it", t, func() {
		k := restorable(true, false, valued("gone", NewRevision(1, 5), 5), valued("other", NewRevision(1, 6), 1))
		k.ApplyEvents([]Event{{Object: object("gone", NewRevision(1, 31)), Deleted: true}}, NewRevision(1, 31), start)
		listed := []Object{valued("gone", NewRevision(2, 5), 5), valued("other", NewRevision(2, 6), 1)}
		So(k.ApplyList(listed, NewRevision(2, 20), start), ShouldBeEmpty)
		So(k.ApplyList(listed, NewRevision(2, 20), start.Add(time.Second)), ShouldBeEmpty)
		So(countOf(k, "gone"), ShouldEqual, "none")
		Convey("unless it writes itself", func() {
			So(k.ApplyEvents([]Event{{Object: valued("gone", NewRevision(2, 21), 6)}}, NewRevision(2, 21), start), ShouldHaveLength, 1)
		})
		Convey("or is still listed after the grace time", func() {
			So(k.Tick(start.Add(restoreGrace)), ShouldHaveLength, 1)
		})
		Convey("and is forgotten when the store drops it", func() {
			k.ApplyList(listed[1:], NewRevision(2, 22), start)
			So(k.Tick(start.Add(restoreGrace)), ShouldBeEmpty)
		})
	})
}

// restoreTo replaces the state of the store by an older copy in a higher era. Watches that wait
// are not woken.
func (f *fakeStore) restoreTo(era, number int64, objects map[string]map[string]Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.objects, f.removed = NewRevision(era, number), objects, make(map[string]map[string]int64)
}

// Guards against watches that wait on after a restore, against neighbours that keep the older state
// from one another, and against a fleet that lists again and again.
func TestFleetFollowsARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 9)
		for n := range 20 {
			f.store.put("config", fmt.Sprint("lost-", n%3))
			<-time.After(200 * time.Millisecond)
		}
		f.store.restoreTo(1, 3, map[string]map[string]Object{"config": {"a": object("a", NewRevision(1, 2))}})
		restoredAt := time.Now()
		calls, lists := f.store.count()
		<-time.After(1900 * time.Millisecond) // the bound of a change, without any other event
		f.store.put("config", "added")
		<-time.After(time.Second)
		for i, driver := range f.followers {
			driver.mu.Lock()
			_, ok := driver.kinds["config"].Get("added")
			_, kept := driver.kinds["config"].Get("lost-1")
			era := EraOf(driver.kinds["config"].Revision())
			driver.mu.Unlock()
			if !ok || !kept || era != 1 {
				t.Errorf("follower %d: added known %t, lost kept %t, era %d", i, ok, kept, era)
			}
		}
		<-time.After(restoreGrace)
		callsAfter, listsAfter := f.store.count()
		perSecond := float64(callsAfter-calls) / time.Since(restoredAt).Seconds()
		if perSecond > 6 || listsAfter-lists > 60 {
			t.Errorf("%.1f calls a second and %d lists after the restore", perSecond, listsAfter-lists)
		}
		for i, driver := range f.followers {
			driver.mu.Lock()
			if _, kept := driver.kinds["config"].Get("lost-1"); kept {
				t.Errorf("follower %d keeps what was not written again", i)
			}
			driver.mu.Unlock()
		}
	})
}

// Guards against a process that starts just after a restore, reads the older state from the store
// and acts on it although its neighbours know better.
func TestStartAfterARestoreAdoptsWhatNeighboursKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.restoreTo(2, 9, map[string]map[string]Object{"config": {"main": valued("main", NewRevision(2, 4), 5)}})
		state := State{Kind: "config", Revision: NewRevision(2, 9), Sequence: 3, Full: true, Objects: []Object{valued("main", NewRevision(2, 4), 12)}}
		var values []string
		driver := NewDriver(Config{
			Kinds: map[string]bool{"config": false}, Store: store, Log: zap.NewNop(), Older: olderCount,
			Neighbours: &scriptedNeighbour{results: []PullResult{{Instance: 1, StoreReachable: true, States: []State{state}}}},
			OnChange: func(_ string, changes []Change) {
				for _, change := range changes {
					values = append(values, string(change.Object.Value))
				}
			},
		})
		go driver.Run(t.Context())
		<-time.After(time.Second)
		if len(values) == 0 || values[len(values)-1] != "12" {
			t.Errorf("values in force: %v", values)
		}
	})
}
