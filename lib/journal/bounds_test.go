package journal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// newOwnedSimulation returns a world without faults whose first process owns the shard.
func newOwnedSimulation(processes int) *simulation {
	w := newSimulation(1, processes, 1, false)
	w.processes[0].shard.Claim(w.now)
	w.advance(firstTakeover)
	return w
}

// beginAndAdvance begins a key, lets the process work and returns the attempt.
func (w *simulation) beginAndAdvance(p *process, name string) *attempt {
	a := w.begin(p, &keyModel{name: name}, "a")
	w.advance(advanceStep)
	return a
}

// endGranted ends all granted attempts and forgets those that are over.
func (w *simulation) endGranted(end func(*attempt)) {
	for _, a := range w.attempts {
		if a.state == attemptGranted {
			end(a)
			a.state = attemptOver
		}
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool { return a.state == attemptOver })
}

func (w *simulation) writes() int64 {
	calls := w.store.Calls()
	return calls["create"] + calls["update"] + calls["delete"]
}

// Guards against a number of platform writes that grows with the number of requests.
func TestWritePace(t *testing.T) {
	for _, perStep := range []int{1, 10, 100} {
		Convey(fmt.Sprintf("%d requests each 10 ms for 10 s", perStep), t, func() {
			w := newOwnedSimulation(1)
			p := w.processes[0]
			before := w.writes()
			start := w.now
			for i := range 1000 {
				w.now = w.now.Add(10 * time.Millisecond)
				for j := range perStep {
					w.begin(p, &keyModel{name: fmt.Sprintf("%d-%d", i, j)}, "a")
				}
				for range 6 {
					w.step(p)
				}
				w.endGranted(func(a *attempt) {
					p.shard.Complete(w.key(a.key), a.number, Response{Status: 200}, w.now)
				})
			}
			writes := w.writes() - before
			allowed := int64(w.now.Sub(start)/commitInterval) + 1
			fmt.Printf("\n%d requests: %d writes of one shard in %s, allowed %d\n", 1000*perStep, writes, w.now.Sub(start), allowed)
			So(w.failure, ShouldEqual, "")
			So(writes, ShouldBeLessThanOrEqualTo, allowed)
			So(writes, ShouldBeGreaterThan, allowed/2)
		})
	}
}

// Guards against two processes that take a shard from each other with each request.
func TestTakeoverWait(t *testing.T) {
	Convey("Two live processes that get requests for one shard for 60 s", t, func() {
		w := newOwnedSimulation(2)
		before := w.processes[0].shard.sync.head.Epoch
		for i := range 60 {
			w.beginAndAdvance(w.processes[i%2], fmt.Sprint(i))
			w.advance(time.Second - advanceStep)
		}
		object, _ := w.readHead()
		h, err := decodeHead(object)
		So(err, ShouldBeNil)
		fmt.Printf("\ntakeovers in 60 s: %d\n", h.Epoch-before)
		So(h.Epoch-before, ShouldBeGreaterThan, 0)
		So(h.Epoch-before, ShouldBeLessThanOrEqualTo, 60/5)
	})
}

// Guards against a log and a memory that grow with requests that were not run.
func TestLogOfVoidsIsBounded(t *testing.T) {
	Convey("One key that is granted and not started 400,000 times", t, func() {
		w := newOwnedSimulation(1)
		p := w.processes[0]
		for i := range 400_000 / 100 {
			for j := range 100 {
				w.begin(p, &keyModel{name: fmt.Sprint(i%7, j)}, "a")
			}
			w.advance(advanceStep)
			w.endGranted(func(a *attempt) { p.shard.NotStarted(w.key(a.key), a.number, w.now) })
			w.trace = nil
			w.advance(advanceStep)
		}
		objects, _, err := w.store.List(context.Background(), "journal/")
		So(err, ShouldBeNil)
		bytes := 0
		for _, object := range objects {
			bytes += len(object.Value)
		}
		fmt.Printf("\n%d objects of %d bytes, %d records queued\n", len(objects), bytes, len(p.shard.records.byIntentTime))
		So(len(objects), ShouldBeLessThan, 600)
		// The queue may hold as many forgotten records as the 700 keys, and a slack of 64.
		So(len(p.shard.records.byIntentTime), ShouldBeLessThanOrEqualTo, 2*700+64)
		So(w.failure, ShouldEqual, "")
	})
}

// Guards against a void that is already part of a batch and lets another owner run a
// key that runs here, and against a void that needs a write before the key runs again.
func TestNotStartedThenRepeated(t *testing.T) {
	Convey("A key that was not started", t, func() {
		w := newOwnedSimulation(2)
		p := w.processes[0]
		k := &keyModel{name: "k"}
		first := w.begin(p, k, "a")
		w.advance(advanceStep)
		p.shard.NotStarted(w.key(k), first.number, w.now)
		first.state = attemptOver
		Convey("is granted at once while its void is in no batch", func() {
			writes := w.writes()
			again := w.begin(p, k, "a")
			So(again.state, ShouldEqual, attemptGranted)
			So(w.writes(), ShouldEqual, writes)
		})
		Convey("needs a new intent when its void is in a batch", func() {
			w.now = w.now.Add(commitInterval)
			w.step(p)
			So(p.op.Kind, ShouldEqual, OpUpdate)
			So(w.begin(p, k, "a").state, ShouldEqual, attemptWaiting)
		})
		Convey("runs on another owner after the void is written", func() {
			w.advance(advanceStep)
			w.kill(p)
			for range 40 {
				if w.beginAndAdvance(w.processes[1], "other").state == attemptGranted {
					break
				}
			}
			again := w.begin(w.processes[1], k, "a")
			w.advance(advanceStep)
			So(again.state, ShouldEqual, attemptGranted)
		})
	})
}

// Guards against a batch that took effect although its response was lost, and that is
// then replaced by a different batch with the same number.
func TestLostResponse(t *testing.T) {
	Convey("The response to an intent's write is lost, and another call arrives", t, func() {
		w := newOwnedSimulation(1)
		p := w.processes[0]
		first := w.begin(p, w.keys[0], "a")
		w.store.Inject = func(string, string) platform.Fault { return platform.FaultLostResponse }
		w.step(p)
		w.step(p)
		w.store.Inject = w.inject
		second := w.begin(p, &keyModel{name: "second"}, "a")
		w.advance(firstTakeover)
		So(first.state, ShouldEqual, attemptGranted)
		So(second.state, ShouldEqual, attemptGranted)
		object, _ := w.readHead()
		h, err := decodeHead(object)
		So(err, ShouldBeNil)
		So(h.Open, ShouldHaveLength, 2)
	})
}

// Guards against an answer that is lost because its owner lost the shard before the
// answer was written, although the owner lives and gets the shard back.
func TestAnswerSurvivesLostShard(t *testing.T) {
	Convey("A request ends after its owner lost the shard, and the owner takes it back", t, func() {
		w := newOwnedSimulation(2)
		k := &keyModel{name: "k", body: "a"}
		a := w.begin(w.processes[0], k, "a")
		w.advance(advanceStep)
		w.takeOver(w.processes[1])
		w.advance(verifyInterval + time.Second)
		So(w.processes[0].shard.Owned(), ShouldBeFalse)
		a.state = attemptRunning
		k.answer = "done"
		w.processes[0].shard.Complete(w.key(k), a.number, Response{Status: 200, Body: []byte(k.answer)}, w.now)
		w.begin(w.processes[0], k, "a")
		w.takeOver(w.processes[0])
		w.advance(verifyInterval + time.Second)
		w.kill(w.processes[0])
		w.takeOver(w.processes[1])
		w.begin(w.processes[1], k, "a")
		So(w.counts["reply replayed"], ShouldEqual, 2)
		So(w.failure, ShouldEqual, "")
	})
}

// takeOver lets a process get requests until it owns the shard.
func (w *simulation) takeOver(p *process) {
	for i := 0; i < 40 && !p.shard.Owned(); i++ {
		w.beginAndAdvance(p, fmt.Sprint("take ", len(w.attempts)))
	}
}

// Guards against answers and keys that are kept too long or not long enough, and
// against segments that are never deleted.
func TestRetention(t *testing.T) {
	Convey("An answer, a key and their segments", t, func() {
		w := newOwnedSimulation(1)
		p := w.processes[0]
		k := &keyModel{name: "k"}
		a := w.begin(p, k, "a")
		w.advance(advanceStep)
		w.run(a)
		k.answer = "done"
		a.state = attemptOver
		body := make([]byte, maxInlineBytes)
		p.shard.Complete(w.key(k), a.number, Response{200, "text/plain", body}, w.now)
		repeat := func() Reply {
			return p.shard.Begin(Call{w.waiters + 1000, w.key(k), DigestOf([]byte("a"))}, w.now)
		}
		for i := range 20 {
			extra := w.begin(p, &keyModel{name: fmt.Sprint(i)}, "a")
			w.advance(4 * advanceStep)
			So(extra.state, ShouldEqual, attemptGranted)
			p.shard.Complete(w.key(extra.key), extra.number, Response{200, "", body}, w.now)
			w.advance(advanceStep)
		}
		start := w.now
		So(len(p.shard.sync.segments), ShouldBeGreaterThan, 2)
		w.now = start.Add(responseRetention - time.Minute)
		So(repeat().Kind, ShouldEqual, Replayed)
		w.now = start.Add(responseRetention)
		So(repeat().Err.Kind, ShouldEqual, errkind.OutcomeUnknown)
		w.now = start.Add(keyRetention)
		So(repeat().Err.Kind, ShouldEqual, errkind.OutcomeUnknown)
		w.now = start.Add(keyRetention + clockSlack + time.Minute)
		w.beginAndAdvance(p, "new")
		w.advance(firstTakeover)
		So(len(p.shard.records.byKey), ShouldEqual, 1)
		objects, _, err := w.store.List(context.Background(), "journal/booking/0/segment/")
		So(err, ShouldBeNil)
		So(len(objects), ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("UUIDv7 keys older than the retention or from the future are refused", t, func() {
		s := NewShard(Identity{}, "booking", 0)
		begin := func(created time.Time) Reply {
			millis := created.UnixMilli()
			id := fmt.Sprintf("%08x-%04x-7abc-8abc-0123456789ab", millis>>16, millis&0xffff)
			return s.Begin(Call{1, Key{"w", "booking", id}, Digest{}}, epoch)
		}
		So(begin(epoch).Kind, ShouldEqual, Waiting)
		So(begin(epoch.Add(-keyRetention+time.Minute)).Kind, ShouldEqual, Waiting)
		So(begin(epoch.Add(-keyRetention-time.Minute)).Err.Kind, ShouldEqual, errkind.KeyExpired)
		So(begin(epoch.Add(clockSlack+time.Minute)).Err.Kind, ShouldEqual, errkind.KeyExpired)
	})
}
