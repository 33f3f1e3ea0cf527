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

// newOwnedSimulation returns a simulation without faults whose first process owns the shard.
func newOwnedSimulation(processes int) *simulation {
	sim := newSimulation(1, processes, 1, false)
	sim.processes[0].shard.Claim(sim.now)
	sim.advance(firstTakeover)
	return sim
}

// beginAndAdvance begins a key, advances the simulation by one step and returns the attempt.
func (sim *simulation) beginAndAdvance(p *process, name string) *attempt {
	a := sim.begin(p, &keyModel{name: name}, "a")
	sim.advance(advanceStep)
	return a
}

// endGranted ends all granted attempts and removes the attempts that have ended.
func (sim *simulation) endGranted(end func(*attempt)) {
	for _, a := range sim.attempts {
		if a.state == attemptGranted {
			end(a)
			a.state = attemptOver
		}
	}
	sim.attempts = slices.DeleteFunc(sim.attempts, func(a *attempt) bool { return a.state == attemptOver })
}

func (sim *simulation) writes() int64 {
	calls := sim.store.Calls()
	return calls["create"] + calls["update"] + calls["delete"]
}

// Guards against a number of platform writes that grows with the number of requests.
func TestWritePace(t *testing.T) {
	for _, perStep := range []int{1, 10, 100} {
		Convey(fmt.Sprintf("%d requests each 10 ms for 10 s", perStep), t, func() {
			sim := newOwnedSimulation(1)
			p := sim.processes[0]
			before := sim.writes()
			start := sim.now
			for i := range 1000 {
				sim.now = sim.now.Add(10 * time.Millisecond)
				for j := range perStep {
					sim.begin(p, &keyModel{name: fmt.Sprintf("%d-%d", i, j)}, "a")
				}
				for range 6 {
					sim.step(p)
				}
				sim.endGranted(func(a *attempt) {
					p.shard.Complete(sim.key(a.key), a.number, Response{Status: 200}, sim.now)
				})
			}
			writes := sim.writes() - before
			allowed := int64(sim.now.Sub(start)/commitInterval) + 1
			fmt.Printf("\n%d requests: %d writes of one shard in %s, allowed %d\n", 1000*perStep, writes, sim.now.Sub(start), allowed)
			So(sim.failure, ShouldEqual, "")
			So(writes, ShouldBeLessThanOrEqualTo, allowed)
			So(writes, ShouldBeGreaterThan, allowed/2)
		})
	}
}

// Guards against two processes that take a shard from each other with each request.
func TestTakeoverWait(t *testing.T) {
	Convey("Two live processes that get requests for one shard for 60 s", t, func() {
		sim := newOwnedSimulation(2)
		before := sim.processes[0].shard.sync.head.Epoch
		for i := range 60 {
			sim.beginAndAdvance(sim.processes[i%2], fmt.Sprint(i))
			sim.advance(time.Second - advanceStep)
		}
		object, _ := sim.readHead()
		h, err := decodeHead(object)
		So(err, ShouldBeNil)
		fmt.Printf("\ntakeovers in 60 s: %d\n", h.Epoch-before)
		So(h.Epoch-before, ShouldBeGreaterThan, 0)
		So(h.Epoch-before, ShouldBeLessThanOrEqualTo, 60/5)
	})
}

// Guards against a log and records in memory that grow with requests that were not run.
func TestLogOfVoidsIsBounded(t *testing.T) {
	Convey("One key that is granted and not started 400,000 times", t, func() {
		sim := newOwnedSimulation(1)
		p := sim.processes[0]
		for i := range 400_000 / 100 {
			for j := range 100 {
				sim.begin(p, &keyModel{name: fmt.Sprint(i%7, j)}, "a")
			}
			sim.advance(advanceStep)
			sim.endGranted(func(a *attempt) { p.shard.NotStarted(sim.key(a.key), a.number, sim.now) })
			sim.trace = nil
			sim.advance(advanceStep)
		}
		objects, _, err := sim.store.List(context.Background(), "journal/")
		So(err, ShouldBeNil)
		bytes := 0
		for _, object := range objects {
			bytes += len(object.Value)
		}
		fmt.Printf("\n%d objects of %d bytes, %d records queued\n", len(objects), bytes, len(p.shard.records.byIntentTime))
		So(len(objects), ShouldBeLessThan, 600)
		// The queue may hold as many forgotten records as the 700 keys, and a slack of 64.
		So(len(p.shard.records.byIntentTime), ShouldBeLessThanOrEqualTo, 2*700+64)
		So(sim.failure, ShouldEqual, "")
	})
}

// Guards against a void that is already part of a batch and lets another owner run a
// key that runs here, and against a void that needs a write before the key runs again.
func TestNotStartedThenRepeated(t *testing.T) {
	Convey("A key that was not started", t, func() {
		sim := newOwnedSimulation(2)
		p := sim.processes[0]
		k := &keyModel{name: "k"}
		first := sim.begin(p, k, "a")
		sim.advance(advanceStep)
		p.shard.NotStarted(sim.key(k), first.number, sim.now)
		first.state = attemptOver
		Convey("is granted at once while its void is in no batch", func() {
			writes := sim.writes()
			again := sim.begin(p, k, "a")
			So(again.state, ShouldEqual, attemptGranted)
			So(sim.writes(), ShouldEqual, writes)
		})
		Convey("needs a new intent when its void is in a batch", func() {
			sim.now = sim.now.Add(commitInterval)
			sim.step(p)
			So(p.op.Kind, ShouldEqual, OpUpdate)
			So(sim.begin(p, k, "a").state, ShouldEqual, attemptWaiting)
		})
		Convey("runs on another owner after the void is written", func() {
			sim.advance(advanceStep)
			sim.kill(p)
			for range 40 {
				if sim.beginAndAdvance(sim.processes[1], "other").state == attemptGranted {
					break
				}
			}
			again := sim.begin(sim.processes[1], k, "a")
			sim.advance(advanceStep)
			So(again.state, ShouldEqual, attemptGranted)
		})
	})
}

// Guards against a batch that took effect although its response was lost, and that is
// then replaced by a different batch with the same number.
func TestLostResponse(t *testing.T) {
	Convey("The response to an intent's write is lost, and another call arrives", t, func() {
		sim := newOwnedSimulation(1)
		p := sim.processes[0]
		first := sim.begin(p, sim.keys[0], "a")
		sim.store.Inject = func(string, string) platform.Fault { return platform.FaultLostResponse }
		sim.step(p)
		sim.step(p)
		sim.store.Inject = sim.inject
		second := sim.begin(p, &keyModel{name: "second"}, "a")
		sim.advance(firstTakeover)
		So(first.state, ShouldEqual, attemptGranted)
		So(second.state, ShouldEqual, attemptGranted)
		object, _ := sim.readHead()
		h, err := decodeHead(object)
		So(err, ShouldBeNil)
		So(h.Open, ShouldHaveLength, 2)
	})
}

// Guards against a response that is lost because its owner lost the shard before the
// response was written, although the owner is alive and takes the shard over again.
func TestAnswerSurvivesLostShard(t *testing.T) {
	Convey("A request ends after its owner lost the shard, and the owner takes the shard over again", t, func() {
		sim := newOwnedSimulation(2)
		k := &keyModel{name: "k", body: "a"}
		a := sim.begin(sim.processes[0], k, "a")
		sim.advance(advanceStep)
		sim.takeOver(sim.processes[1])
		sim.advance(verifyInterval + time.Second)
		So(sim.processes[0].shard.Owned(), ShouldBeFalse)
		a.state = attemptRunning
		k.response = "done"
		sim.processes[0].shard.Complete(sim.key(k), a.number, Response{Status: 200, Body: []byte(k.response)}, sim.now)
		sim.begin(sim.processes[0], k, "a")
		sim.takeOver(sim.processes[0])
		sim.advance(verifyInterval + time.Second)
		sim.kill(sim.processes[0])
		sim.takeOver(sim.processes[1])
		sim.begin(sim.processes[1], k, "a")
		So(sim.counts["reply replayed"], ShouldEqual, 2)
		So(sim.failure, ShouldEqual, "")
	})
}

// takeOver begins keys at a process until it owns the shard.
func (sim *simulation) takeOver(p *process) {
	for i := 0; i < 40 && !p.shard.Owned(); i++ {
		sim.beginAndAdvance(p, fmt.Sprint("take ", len(sim.attempts)))
	}
}

// Guards against responses and keys that are kept too long or not long enough, and
// against segments that are never deleted.
func TestRetention(t *testing.T) {
	Convey("The retention of a response, a key and their segments", t, func() {
		sim := newOwnedSimulation(1)
		p := sim.processes[0]
		k := &keyModel{name: "k"}
		a := sim.begin(p, k, "a")
		sim.advance(advanceStep)
		sim.run(a)
		k.response = "done"
		a.state = attemptOver
		body := make([]byte, maxInlineBytes)
		p.shard.Complete(sim.key(k), a.number, Response{200, "text/plain", body}, sim.now)
		repeat := func() Reply {
			return p.shard.Begin(Call{sim.waiters + 1000, sim.key(k), DigestOf([]byte("a"))}, sim.now)
		}
		for i := range 20 {
			extra := sim.begin(p, &keyModel{name: fmt.Sprint(i)}, "a")
			sim.advance(4 * advanceStep)
			So(extra.state, ShouldEqual, attemptGranted)
			p.shard.Complete(sim.key(extra.key), extra.number, Response{200, "", body}, sim.now)
			sim.advance(advanceStep)
		}
		start := sim.now
		So(len(p.shard.sync.segments), ShouldBeGreaterThan, 2)
		sim.now = start.Add(responseRetention - time.Minute)
		So(repeat().Kind, ShouldEqual, Replayed)
		sim.now = start.Add(responseRetention)
		So(repeat().Err.Kind, ShouldEqual, errkind.OutcomeUnknown)
		sim.now = start.Add(keyRetention)
		So(repeat().Err.Kind, ShouldEqual, errkind.OutcomeUnknown)
		sim.now = start.Add(keyRetention + clockSlack + time.Minute)
		sim.beginAndAdvance(p, "new")
		sim.advance(firstTakeover)
		So(len(p.shard.records.byKey), ShouldEqual, 1)
		objects, _, err := sim.store.List(context.Background(), "journal/booking/0/segment/")
		So(err, ShouldBeNil)
		So(len(objects), ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("Segments whose first deletion fails, or loses its response, are deleted all the same", t, func() {
		for _, fault := range []platform.Fault{platform.FaultUnavailable, platform.FaultLostRequest, platform.FaultLostResponse} {
			sim := newOwnedSimulation(1)
			p := sim.processes[0]
			failed := 0
			sim.store.Inject = func(verb, key string) platform.Fault {
				if verb != "delete" || failed == 3 {
					return platform.NoFault
				}
				failed++
				return fault
			}
			body := make([]byte, maxInlineBytes)
			for i := range 20 {
				extra := sim.begin(p, &keyModel{name: fmt.Sprint(i)}, "a")
				sim.advance(4 * advanceStep)
				p.shard.Complete(sim.key(extra.key), extra.number, Response{200, "", body}, sim.now)
				sim.advance(advanceStep)
			}
			So(len(p.shard.sync.segments), ShouldBeGreaterThan, 2)
			sim.now = sim.now.Add(keyRetention + clockSlack + time.Minute)
			sim.beginAndAdvance(p, "new")
			sim.advance(time.Minute)
			So(failed, ShouldEqual, 3)
			objects, _, err := sim.store.List(context.Background(), "journal/booking/0/segment/")
			So(err, ShouldBeNil)
			So(len(objects), ShouldBeLessThanOrEqualTo, 1)
		}
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
