package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	duration  = 10 * time.Second
	histories = 10_000
)

// candidate is one process in a random history. Its clock starts at a random value, and it
// may be paused between its check of the lease and its command.
type candidate struct {
	holder    *Holder
	adapter   Adapter
	announcer *Announcer
	offset    time.Duration
	paused    time.Duration
	// command is the fencing number of a command that passed the check and was not sent
	// yet, or 0.
	command uint64
}

// history runs three candidates against three endpoints. It returns how many commands of
// an earlier holder took effect after a command of a later one, and how many commands
// took effect in total.
func history(seed uint64) (violations, commands int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	store := platform.NewMemory()
	store.Inject = func(string, string) platform.Fault {
		if rng.IntN(5) > 0 {
			return platform.NoFault
		}
		return platform.Fault(1 + rng.IntN(3))
	}
	now := time.Duration(0)
	fences := []*Fence{NewFence(), NewFence(), NewFence()}
	var all []*candidate
	for i := range 3 {
		c := &candidate{announcer: NewAnnouncer(), offset: time.Duration(rng.Int64N(int64(time.Hour)))}
		c.adapter = Adapter{Store: store, Clock: func() time.Duration { return now + c.offset }}
		identity := Identity{VM: fmt.Sprint("vm-", i), Counter: 1, ID: rng.Uint64()}
		c.holder = NewHolder("placement", identity, duration, now+c.offset, rng)
		all = append(all, c)
	}
	highest := uint64(0)
	for ; now < 3*time.Minute; now += time.Duration(rng.Int64N(int64(500 * time.Millisecond))) {
		c := all[rng.IntN(len(all))]
		if now < c.paused {
			continue
		}
		effective := c.step(now, rng, fences)
		if effective == 0 {
			continue
		}
		commands++
		if effective < highest {
			violations++
		}
		highest = max(highest, effective)
	}
	return violations, commands
}

// step sends the candidate's pending command, if any; otherwise it advances the lease. It
// returns the fencing number of a command that took effect, or 0.
func (c *candidate) step(now time.Duration, rng *rand.Rand, fences []*Fence) uint64 {
	if c.command > 0 {
		fencing := c.command
		c.command = 0
		if err := fences[rng.IntN(len(fences))].Check("placement", fencing); err != nil {
			c.holder.ObserveFencing(now+c.offset, fencing)
			return 0
		}
		return fencing
	}
	_ = c.adapter.Step(context.Background(), c.holder)
	if rng.IntN(60) == 0 {
		c.paused = now + time.Duration(rng.Int64N(int64(3*duration)))
	}
	fencing, ok := c.holder.Valid(now + c.offset)
	if !ok {
		return 0
	}
	pending := c.announcer.Pending(fencing, []string{"0", "1", "2"})
	for _, vm := range pending {
		// One announcement in eight is lost, and one response in eight.
		if lost := rng.IntN(8); lost == 0 || fences[vm[0]-'0'].Check("placement", fencing) != nil || lost == 1 {
			continue
		}
		c.announcer.MarkAcknowledged(vm, fencing)
	}
	if len(pending) == 0 {
		c.command = fencing
	}
	return 0
}

// Guards against a command of an earlier holder that takes effect after one of a later
// holder. Holders are paused between check and command, requests and responses are lost,
// and candidates race for the lease.
func TestTwoHolders(t *testing.T) {
	Convey("No command of an earlier holder takes effect after one of a later holder", t, func() {
		total := 0
		var failed []uint64
		for seed := range uint64(histories) {
			violations, commands := history(seed)
			total += commands
			if violations > 0 {
				failed = append(failed, seed)
			}
		}
		t.Logf("seeds 0 to %d: %d commands took effect, %d histories failed", histories-1, total, len(failed))
		So(failed, ShouldBeEmpty)
		So(total, ShouldBeGreaterThan, histories)
	})
}

// Guards against a fence that accepts a number lower than one already seen.
func TestFence(t *testing.T) {
	Convey("The fence refuses lower numbers and keeps the numbers of each duty separately", t, func() {
		fence := NewFence()
		So(fence.Check("a", 3), ShouldBeNil)
		So(fence.Check("a", 3), ShouldBeNil)
		So(errkind.Is(fence.Check("a", 2), errkind.Stale), ShouldBeTrue)
		So(fence.Check("b", 1), ShouldBeNil)
		So(fence.Highest("a"), ShouldEqual, 3)
	})
}

// Guards against a lease that is valid after 2/3 of its duration, a takeover before the
// lease was unchanged for its full duration, and a release after which the successor still
// waits for the lease to expire.
func TestValidityAndTakeoverTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A lease is valid for 2/3 of its duration, taken over after it, and sooner when released", t, func() {
			start := time.Now()
			clock := func() time.Duration { return time.Since(start) }
			store := platform.NewMemory()
			rng := rand.New(rand.NewPCG(1, 1))
			first := NewHolder("d", Identity{VM: "a", Counter: 1}, duration, 0, rng)
			second := NewHolder("d", Identity{VM: "b", Counter: 1}, duration, 0, rng)
			a := Adapter{Store: store, Clock: clock}
			drive := func(h *Holder, until time.Duration, stop func() bool) {
				for clock() < until && !stop() {
					So(a.Step(context.Background(), h), ShouldBeNil)
					if stop() {
						return
					}
					<-time.After(max(time.Millisecond, h.Next()-clock()))
				}
			}
			held := func(h *Holder) func() bool {
				return func() bool { _, ok := h.Valid(clock()); return ok }
			}
			drive(first, time.Minute, held(first))
			acquired := clock()
			_, ok := first.Valid(acquired + duration*2/3 - time.Millisecond)
			So(ok, ShouldBeTrue)
			_, ok = first.Valid(acquired + duration*2/3)
			So(ok, ShouldBeFalse)
			drive(second, time.Minute, held(second))
			So(clock()-acquired, ShouldBeGreaterThanOrEqualTo, duration)
			So(clock()-acquired, ShouldBeLessThan, duration+time.Second)
			fencing, _ := second.Valid(clock())
			So(fencing, ShouldEqual, 2)
			So(a.Release(context.Background(), second), ShouldBeNil)
			_, ok = second.Valid(clock())
			So(ok, ShouldBeFalse)
			released := clock()
			drive(first, time.Minute, held(first))
			So(clock()-released, ShouldBeLessThan, duration)
			fencing, _ = first.Valid(clock())
			So(fencing, ShouldEqual, 3)
		})
	})
}
