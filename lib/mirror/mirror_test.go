package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func object(name string, revision int64) Object {
	return Object{Name: name, Revision: revision, Value: json.RawMessage(`{}`)}
}

// fakeStore is a store whose watches can be stalled and that can be unreachable.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	// removed holds the revision of each removal, so that a watch that starts later reports
	// it as well.
	removed map[string]map[string]int64
	stalled bool
	// stalledKind is a kind whose watches deliver nothing.
	stalledKind string
	down        bool
	// hang is how long calls take to fail while the store is down.
	hang  time.Duration
	calls int
	// lists counts the lists of each kind.
	lists   map[string]int
	changed chan struct{}
}

var errDown = errors.New("store is down")

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1, objects: make(map[string]map[string]Object), removed: make(map[string]map[string]int64), changed: make(chan struct{}),
	}
}

func (f *fakeStore) put(kind, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	if f.objects[kind] == nil {
		f.objects[kind] = make(map[string]Object)
	}
	f.objects[kind][name] = object(name, f.revision)
	delete(f.removed[kind], name)
	f.notify()
}

func (f *fakeStore) remove(kind, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.objects[kind], name)
	if f.removed[kind] == nil {
		f.removed[kind] = make(map[string]int64)
	}
	f.removed[kind][name] = f.revision
	f.notify()
}

func (f *fakeStore) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.notify()
}

// awaitFailure returns once a call of a store that is down would fail.
func (f *fakeStore) awaitFailure(ctx context.Context) {
	f.mu.Lock()
	down, hang := f.down, f.hang
	f.mu.Unlock()
	if down && hang > 0 {
		sleep(ctx, hang)
	}
}

func (f *fakeStore) List(ctx context.Context, kind string) ([]Object, int64, error) {
	f.awaitFailure(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.lists == nil {
		f.lists = make(map[string]int)
	}
	f.lists[kind]++
	if f.down {
		return nil, 0, errDown
	}
	var list []Object
	for _, o := range f.objects[kind] {
		list = append(list, o)
	}
	return list, f.revision, nil
}

func (f *fakeStore) Revision(ctx context.Context) (int64, error) {
	f.awaitFailure(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return 0, errDown
	}
	return f.revision, nil
}

func (f *fakeStore) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		down, stalled, changed := f.down, f.stalled || f.stalledKind == kind, f.changed
		var events []Event
		for _, o := range f.objects[kind] {
			if NumberOf(o.Revision) > NumberOf(after) {
				events = append(events, Event{Object: o})
			}
		}
		for name, revision := range f.removed[kind] {
			if NumberOf(revision) > NumberOf(after) {
				events = append(events, Event{Object: object(name, revision), Deleted: true})
			}
		}
		revision := f.revision
		f.mu.Unlock()
		if down {
			return nil, 0, errDown
		}
		if len(events) > 0 && !stalled {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// recorder records the changes that a driver reports, with their times.
type recorder struct {
	mu      sync.Mutex
	changes []Change
	at      []time.Duration
	started time.Time
}

func recordDriver(ctx context.Context, store *fakeStore, kinds map[string]bool) *recorder {
	f := &recorder{started: time.Now()}
	driver := NewDriver(Config{Kinds: kinds, Store: store, Log: zap.NewNop(), OnChange: func(_ string, changes []Change) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, change := range changes {
			f.changes = append(f.changes, change)
			f.at = append(f.at, time.Since(f.started))
		}
	}})
	go driver.Run(ctx)
	return f
}

// seenAt returns the time at which a change of an object was seen, or -1.
func (f *recorder) seenAt(name string, deleted bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, change := range f.changes {
		if change.Object.Name == name && change.Deleted == deleted {
			return f.at[i]
		}
	}
	return -1
}

// propagationBound is the time in which the removal of a leaving worker must be known.
const propagationBound = 2 * time.Second

// Guards against watches that deliver nothing while changes are made: entries kept an old
// configuration for 4 s.
func TestStalledWatchIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		seen := recordDriver(t.Context(), store, map[string]bool{"workers": true, "config": false})
		<-time.After(3 * time.Second)
		store.set(func() { store.stalled = true })
		store.put("workers", "b")
		<-time.After(propagationBound)
		if at := seen.seenAt("b", false); at < 0 || at > 3*time.Second+propagationBound {
			t.Fatalf("change seen at %v, made at 3s", at)
		}
	})
}

// Guards against taking the wait of a watch for an outage: a worker that left 3 s after the
// store was back was kept for the grace time of expired objects.
func TestEndOfAnOutageIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		seen := recordDriver(t.Context(), store, map[string]bool{"workers": true})
		<-time.After(time.Second)
		store.set(func() { store.down = true })
		<-time.After(5 * time.Second)
		store.set(func() { store.down = false })
		<-time.After(4 * time.Second)
		store.remove("workers", "a")
		<-time.After(propagationBound)
		if at := seen.seenAt("a", true); at < 0 || at > 10*time.Second+propagationBound {
			t.Fatalf("removal seen at %v, made at 10s", at)
		}
	})
}

// Guards against calls that grow while nothing changes: a quiet minute of one entry may
// cost its probes and little more.
func TestQuietCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		recordDriver(t.Context(), store, map[string]bool{"workers": true, "config": false})
		<-time.After(10 * time.Second)
		store.mu.Lock()
		before := store.calls
		store.mu.Unlock()
		<-time.After(time.Minute)
		store.mu.Lock()
		defer store.mu.Unlock()
		if calls := store.calls - before; calls > 70 {
			t.Fatalf("%d calls in a quiet minute", calls)
		}
	})
}

// Guards against dropping every worker after an outage in which their objects expired, and
// against keeping one that does not come back.
func TestLapsedEntriesAreKeptForTheGraceTime(t *testing.T) {
	Convey("Given a list before an outage", t, func() {
		kind := NewKind(true)
		kind.ApplyList([]Object{object("a", 1), object("b", 2)}, 2, start)
		kind.MarkFailed(start.Add(time.Second))
		back := start.Add(10 * time.Second)

		Convey("objects that are missing afterwards stay until the grace time is over", func() {
			So(kind.ApplyList(nil, 9, back), ShouldBeEmpty)
			So(kind.Objects(), ShouldHaveLength, 2)
			changes := kind.ApplyEvents([]Event{{Object: object("a", 10)}}, 10, back.Add(time.Second))
			So(changes, ShouldBeEmpty)
			So(kind.Tick(back.Add(2*time.Second)), ShouldBeEmpty)
			changes = kind.Tick(back.Add(expiryGrace))
			So(changes, ShouldHaveLength, 1)
			So(changes[0].Object.Name, ShouldEqual, "b")
			So(changes[0].Deleted, ShouldBeTrue)
		})
		Convey("a short outage cannot expire objects, so a missing one is removed", func() {
			kind := NewKind(true)
			kind.ApplyList([]Object{object("a", 1)}, 1, start)
			kind.MarkFailed(start)
			So(kind.ApplyList(nil, 2, start.Add(expiryOutage/2)), ShouldHaveLength, 1)
		})
		Convey("kinds that do not expire have no grace time", func() {
			kind := NewKind(false)
			kind.ApplyList([]Object{object("a", 1)}, 1, start)
			kind.MarkFailed(start)
			So(kind.ApplyList(nil, 2, start.Add(time.Minute)), ShouldHaveLength, 1)
		})
	})
}

// Guards against going back to an older state that a neighbour still holds.
func TestStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := NewKind(rapid.Bool().Draw(t, "lapses"))
		newest := make(map[string]int64)
		known := int64(0)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			revision := int64(rapid.IntRange(1, 60).Draw(t, "revision"))
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			var changes []Change
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				changes = kind.ApplyList([]Object{object(name, revision)}, revision, now)
			case 1:
				changes = kind.ApplyEvents([]Event{{Object: object(name, revision), Deleted: rapid.Bool().Draw(t, "deleted")}}, revision, now)
			case 2:
				kind.MarkFailed(now)
			default:
				changes = kind.Tick(now)
			}
			if kind.Revision() < known {
				t.Fatalf("revision went from %d to %d", known, kind.Revision())
			}
			known = kind.Revision()
			for _, change := range changes {
				if change.Deleted {
					continue
				}
				if change.Object.Revision < newest[change.Object.Name] {
					t.Fatalf("%s went from revision %d to %d", change.Object.Name, newest[change.Object.Name], change.Object.Revision)
				}
				newest[change.Object.Name] = change.Object.Revision
			}
		}
	})
}

// neighbour is a Neighbours that pulls from another driver and can be made to fail.
type neighbour struct {
	driver       *Driver
	mu           sync.Mutex
	unresponsive bool
	// stale makes the neighbour one that has lost the store and receives no changes, but
	// whose own neighbours confirm its state.
	stale bool
	// objectsSent counts the objects that the neighbour has sent.
	objectsSent int
	// starting makes the neighbour one whose process does not listen yet.
	starting bool
}

func (n *neighbour) Pull(ctx context.Context, since Cursor, wait time.Duration) (PullResult, error) {
	n.mu.Lock()
	unresponsive, stale, driver, starting := n.unresponsive, n.stale, n.driver, n.starting
	n.mu.Unlock()
	if starting {
		return PullResult{}, errDown
	}
	if stale {
		<-time.After(wait)
		return PullResult{StoreResponseAge: 100 * time.Millisecond}, nil
	}
	if unresponsive {
		select {
		case <-time.After(wait + 300*time.Millisecond):
		case <-ctx.Done():
		}
		return PullResult{}, errDown
	}
	complete, started := driver.CompletenessAges(), time.Now()
	states := driver.WaitForChanges(ctx, since, wait)
	for kind := range complete {
		complete[kind] += time.Since(started)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range states {
		n.objectsSent += len(state.Objects)
	}
	return PullResult{Instance: driver.Instance(), States: states, StoreResponseAge: driver.StoreResponseAge(), StoreReachable: driver.ReceivesStoreState(), StoreAvailableFor: driver.StoreAvailableFor(), CompletenessAges: complete}, nil
}

func (n *neighbour) MarkLastUnreliable() {}

func (n *neighbour) PullFrom(ctx context.Context, _ string, since Cursor, wait time.Duration) (PullResult, error) {
	return n.Pull(ctx, since, wait)
}

// followLeader runs a leader that reads the store and a follower that mirrors from it.
func followLeader(ctx context.Context, leaderStore, followerStore *fakeStore) (*recorder, *neighbour) {
	kinds := map[string]bool{"workers": true, "config": false}
	leader := NewDriver(Config{Kinds: kinds, Store: leaderStore, Log: zap.NewNop(), OnChange: func(string, []Change) {}})
	go leader.Run(ctx)
	n := &neighbour{driver: leader}
	f := &recorder{started: time.Now()}
	follower := NewDriver(Config{
		Kinds: kinds, Store: followerStore, Log: zap.NewNop(), Neighbours: n, PullWait: 300 * time.Millisecond, StaleAfter: func() time.Duration { return 1250 * time.Millisecond },
		PreferredSource: func() Source { return NeighboursFirst }, OnChange: func(_ string, changes []Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, change := range changes {
				f.changes = append(f.changes, change)
				f.at = append(f.at, time.Since(f.started))
			}
		},
	})
	go follower.Run(ctx)
	return f, n
}

// Guards against calls of the store that grow with the number of entries, and against a
// follower that learns of a leaving worker too late when the entry that it mirrors from
// does not respond, or is cut off from the store and receives no changes.
func TestFollowerLearnsInTime(t *testing.T) {
	t.Run("from its leader, without calls of its own", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store, own := newFakeStore(), newFakeStore()
			store.put("workers", "a")
			own.put("workers", "a")
			seen, _ := followLeader(t.Context(), store, own)
			<-time.After(10 * time.Second)
			own.mu.Lock()
			before := own.calls
			own.mu.Unlock()
			<-time.After(50 * time.Second)
			store.put("workers", "b")
			<-time.After(time.Second)
			if at := seen.seenAt("b", false); at < 0 || at > 61*time.Second {
				t.Errorf("change seen at %v", at)
			}
			own.mu.Lock()
			defer own.mu.Unlock()
			if own.calls != before {
				t.Errorf("%d calls of the store by the follower", own.calls-before)
			}
		})
	})
	t.Run("when the leader does not respond", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.put("workers", "a")
			seen, n := followLeader(t.Context(), store, store)
			<-time.After(10 * time.Second)
			n.mu.Lock()
			n.unresponsive = true
			n.mu.Unlock()
			store.remove("workers", "a")
			<-time.After(propagationBound)
			if at := seen.seenAt("a", true); at < 0 {
				t.Error("removal not seen within the bound")
			}
		})
	})
	t.Run("when the leader cannot reach the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store, own := newFakeStore(), newFakeStore()
			store.put("workers", "a")
			own.put("workers", "a")
			seen, _ := followLeader(t.Context(), store, own)
			<-time.After(10 * time.Second)
			// The store refuses the leader and serves the follower, to which the bound applies
			// from the start.
			store.set(func() { store.down = true })
			own.set(func() { own.revision = 100 })
			own.put("workers", "b")
			<-time.After(propagationBound)
			if at := seen.seenAt("b", false); at < 0 {
				t.Error("change not seen within the bound")
			}
		})
	})
}

// Guards against a stalled watch of one kind that changes of another kind hide: the entries
// of a zone would keep a configuration while the worker list advances.
func TestStalledWatchOfOneKindIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		store.put("config", "main")
		seen := recordDriver(t.Context(), store, map[string]bool{"workers": true, "config": false})
		<-time.After(3 * time.Second)
		store.set(func() { store.stalledKind = "config" })
		store.put("config", "next")
		for i := range 30 {
			<-time.After(100 * time.Millisecond)
			store.put("workers", string(rune('b'+i%20)))
		}
		if at := seen.seenAt("next", false); at < 0 {
			t.Fatal("change not seen in 3 s")
		}
	})
}

// Guards against two processes that have lost the store and confirm each other's state.
func TestNeighbourWithoutTheStoreIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		store.put("config", "main")
		seen, n := followLeader(t.Context(), store, store)
		<-time.After(5 * time.Second)
		n.mu.Lock()
		n.stale = true
		n.mu.Unlock()
		store.remove("workers", "a")
		<-time.After(propagationBound)
		if at := seen.seenAt("a", true); at < 0 {
			t.Fatal("removal not seen within the bound")
		}
	})
}

// sameObjects fails unless a copy holds the same revisions of the same objects.
func sameObjects(t *rapid.T, copied, original *Kind) {
	got, want := copied.Objects(), original.Objects()
	if len(got) != len(want) {
		t.Fatalf("copy has %d objects, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i].Name != want[i].Name || got[i].Revision != want[i].Revision {
			t.Fatalf("copy has %+v, want %+v", got[i], want[i])
		}
	}
}

// Guards against neighbours that get all objects at each change (15 MB a second at 300
// entries), and against one that misses a change or a removal because it gets only the
// changes.
func TestChangesAloneKeepACopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server, client := NewKind(true), NewKind(false)
		revision, received := int64(1), int64(-1)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			revision++
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				server.ApplyList([]Object{object(name, revision)}, revision, now)
			case 1, 2:
				server.ApplyEvents([]Event{{Object: object(name, revision)}}, revision, now)
			case 3:
				server.ApplyEvents([]Event{{Object: object(name, revision), Deleted: true}}, revision, now)
			case 4:
				server.MarkFailed(now)
			default:
				server.Tick(now)
			}
			if rapid.Bool().Draw(t, "pull") || !server.HasSynced() {
				continue
			}
			objects, removed, full := server.ChangesSince(received)
			if full {
				client.ApplyList(objects, server.Revision(), now)
			} else {
				client.ApplyEvents(eventsOf(State{Objects: objects, Removed: removed}), server.Revision(), now)
			}
			received = server.Sequence()
			sameObjects(t, client, server)
		}
	})
}

// Guards against removals that are forgotten before a neighbour has received them.
func TestTooOldSequenceGetsEverything(t *testing.T) {
	Convey("After more removals than are remembered, all objects are sent", t, func() {
		kind := NewKind(false)
		kind.ApplyList([]Object{object("kept", 1)}, 1, start)
		received := kind.Sequence()
		for i := range int64(maxRemovals + 1) {
			kind.ApplyEvents([]Event{{Object: object("x", 2*i+2)}}, 2*i+2, start)
			kind.ApplyEvents([]Event{{Object: object("x", 2*i+3), Deleted: true}}, 2*i+3, start)
		}
		objects, _, full := kind.ChangesSince(received)
		So(full, ShouldBeTrue)
		So(objects, ShouldHaveLength, 1)
		_, removed, full := kind.ChangesSince(kind.Sequence() - 1)
		So(full, ShouldBeFalse)
		So(removed, ShouldResemble, []string{"x"})
	})
}

// Guards against a change of the neighbour that costs a full list. With 3,000 workers that
// is 1 MB for each process, over a link that they share.
func TestAnotherNeighbourTellsChangesAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second, client := NewKind(false), NewKind(false), NewKind(false)
		names := []string{"a", "b", "c", "d"}
		revision := int64(1)
		change := func(kinds ...*Kind) {
			revision++
			event := Event{Object: object(rapid.SampledFrom(names).Draw(t, "name"), revision), Deleted: rapid.Bool().Draw(t, "deleted")}
			for _, kind := range kinds {
				kind.ApplyEvents([]Event{event}, revision, start)
			}
		}
		list := []Object{object("a", 1), object("b", 1)}
		first.ApplyList(list, revision, start)
		second.ApplyList(list, revision, start)
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			change(first, second)
		}
		client.ApplyList(first.Objects(), first.Revision(), start)
		for range rapid.IntRange(0, 20).Draw(t, "after") {
			change(second)
		}
		objects, removed, full := second.ChangesAfterRevision(client.Revision())
		if full {
			t.Fatal("all objects were sent")
		}
		client.ApplyEvents(eventsOf(State{Objects: objects, Removed: removed}), second.Revision(), start)
		sameObjects(t, client, second)
	})
}

// Guards against sending only changes from a neighbour that has not seen every removal
// since the requested revision.
func TestRevisionsBeforeTheFirstListGetEverything(t *testing.T) {
	Convey("Given a kind that was listed at revision 10", t, func() {
		kind := NewKind(false)
		kind.ApplyList([]Object{object("a", 3)}, 10, start)
		Convey("an older revision gets all objects", func() {
			_, _, full := kind.ChangesAfterRevision(9)
			So(full, ShouldBeTrue)
		})
		Convey("the revision of the list gets the changes since", func() {
			kind.ApplyEvents([]Event{{Object: object("b", 11)}}, 11, start)
			objects, removed, full := kind.ChangesAfterRevision(10)
			So(full, ShouldBeFalse)
			So(removed, ShouldBeEmpty)
			So(objects, ShouldHaveLength, 1)
		})
		Convey("a revision before removals that are forgotten gets all objects", func() {
			for i := range int64(maxRemovals + 1) {
				kind.ApplyEvents([]Event{{Object: object("x", 2*i+11)}}, 2*i+11, start)
				kind.ApplyEvents([]Event{{Object: object("x", 2*i+12), Deleted: true}}, 2*i+12, start)
			}
			_, _, full := kind.ChangesAfterRevision(10)
			So(full, ShouldBeTrue)
		})
	})
}

// Guards against full lists after a change of the neighbour, at the pull: a driver sent the
// neighbour only its sequence numbers, which another neighbour cannot use.
func TestPullFromAnotherNeighbourIsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 500 {
			store.put("workers", fmt.Sprint("w", i))
		}
		seen, n := followLeader(t.Context(), store, store)
		<-time.After(3 * time.Second)
		other := NewDriver(Config{Kinds: map[string]bool{"workers": true, "config": false}, Store: store, Log: zap.NewNop(), OnChange: func(string, []Change) {}})
		go other.Run(t.Context())
		<-time.After(3 * time.Second)
		n.mu.Lock()
		n.driver = other
		n.objectsSent = 0
		n.mu.Unlock()
		store.put("workers", "new")
		<-time.After(3 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		if seen.seenAt("new", false) < 0 {
			t.Error("change not seen")
		}
		if n.objectsSent > 5 {
			t.Errorf("%d objects sent for 1 change", n.objectsSent)
		}
	})
}

// Guards against processes that list thousands of workers each time the store fails for a
// moment, all at once over one link.
func TestKindsAreNotListedAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 201 {
			store.put("workers", fmt.Sprint("w", i))
		}
		store.put("config", "main")
		seen := recordDriver(t.Context(), store, map[string]bool{"workers": true, "config": false})
		<-time.After(2 * time.Second)
		store.set(func() { store.down = true })
		<-time.After(time.Second)
		store.set(func() { store.lists = nil; store.down = false })
		store.put("workers", "new")
		store.put("config", "next")
		<-time.After(propagationBound)
		for _, name := range []string{"new", "next"} {
			if seen.seenAt(name, false) < 0 {
				t.Errorf("change %s not seen within the bound", name)
			}
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		if len(store.lists) > 0 {
			t.Errorf("lists after the outage: %v", store.lists)
		}
	})
}

// Guards against a start of a whole zone in which each process lists all workers because
// the one that reads the store for them needs longer than a short wait.
func TestStartWaitsForTheNeighboursState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("entries", "leader")
		kinds := map[string]bool{"entries": false, "workers": true}
		leader := NewDriver(Config{Kinds: kinds, Store: store, Log: zap.NewNop(), OnChange: func(string, []Change) {}})
		n := &neighbour{driver: leader}
		own := newFakeStore()
		own.put("entries", "leader")
		follower := NewDriver(Config{
			Kinds: kinds, Store: own, Log: zap.NewNop(), Neighbours: n, SeedKind: "entries", PullWait: 300 * time.Millisecond,
			StaleAfter: func() time.Duration { return 1250 * time.Millisecond }, StartupWait: func() time.Duration { return 3 * time.Second },
			PreferredSource: func() Source { return NeighboursFirst }, OnChange: func(string, []Change) {},
		})
		go follower.Run(t.Context())
		<-time.After(2 * time.Second)
		store.put("workers", "a")
		go leader.Run(t.Context())
		<-time.After(2 * time.Second)
		if !follower.HasSynced() {
			t.Error("follower does not know the workers")
		}
		own.mu.Lock()
		defer own.mu.Unlock()
		if own.lists["workers"] > 0 {
			t.Errorf("%d lists of workers by the follower", own.lists["workers"])
		}
	})
}

// Guards against a start that waits half a second because its neighbours, which start at
// the same time, do not listen yet at the first attempt.
func TestStartHearsOfNeighboursThatStartAsWell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("workers", "a")
		store.put("config", "main")
		own := newFakeStore()
		own.down = true
		seen, n := followLeader(t.Context(), store, own)
		n.mu.Lock()
		n.starting = true
		n.mu.Unlock()
		<-time.After(120 * time.Millisecond)
		n.mu.Lock()
		n.starting = false
		n.mu.Unlock()
		<-time.After(time.Second)
		if at := seen.seenAt("a", false); at < 0 || at > 250*time.Millisecond {
			t.Fatalf("workers known at %v, the neighbour listened at 120ms", at)
		}
	})
}

// Guards against a process that the store serves all the time and that takes over the grace
// time of the neighbour above it, which has just recovered from an outage and still retains
// removed workers.
func TestRemovalIsKnownInTimeDespiteARecoveredNeighbour(t *testing.T) {
	// The phases of the pauses between pulls and calls differ with the length of the outage.
	for outage := 8 * time.Second; outage < 9*time.Second; outage += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store, own := newFakeStore(), newFakeStore()
			store.put("workers", "a")
			own.put("workers", "a")
			seen, _ := followLeader(t.Context(), store, own)
			<-time.After(5 * time.Second)
			store.set(func() { store.down = true })
			<-time.After(outage)
			store.set(func() { store.down = false })
			// Other workers change all the time, so that no watch waits for long.
			for i := range 20 {
				name := fmt.Sprint("w", i)
				store.put("workers", name)
				own.put("workers", name)
				<-time.After(20 * time.Millisecond)
				if i == 10 {
					store.remove("workers", "a")
					own.remove("workers", "a")
				}
			}
			<-time.After(propagationBound - 180*time.Millisecond)
			if seen.seenAt("a", true) < 0 {
				t.Errorf("a removal just after an outage of %v is not known %v later", outage, propagationBound)
			}
		})
	}
}
