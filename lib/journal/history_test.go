package journal

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	histories       = 10_000
	historyActions  = 300
	historyKeys     = 4
	historyVMs      = 3
	settleSteps     = 4000
	settleStepWidth = 25 * time.Millisecond
	advanceStep     = 200 * time.Millisecond
	// firstTakeover is long enough for the first process to take the shard.
	firstTakeover = 4 * time.Second
)

// performRandomAction performs one random action of a history.
func (sim *simulation) performRandomAction() {
	p := sim.processes[sim.random.IntN(len(sim.processes))]
	if p.shard.Released() {
		sim.start(p)
	}
	switch n := sim.random.IntN(1000); {
	case n < 500:
		sim.step(p)
	case n < 620:
		sim.beginRandomCall()
	case n < 720:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(100)) * time.Millisecond)
	case n < 737:
		sim.advance(time.Duration(sim.random.IntN(7000)) * time.Millisecond)
	case n < 740:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(10_000)) * time.Millisecond)
	case n < 820:
		sim.withRandomAttempt(attemptGranted, sim.run)
	case n < 880:
		sim.withRandomAttempt(attemptRunning, sim.finish)
	case n < 895:
		sim.withRandomAttempt(attemptWaiting, sim.cancelWait)
	case n < 910:
		sim.kill(p)
	case n < 925:
		p.pausedUntil = sim.now.Add(time.Duration(1+sim.random.IntN(10)) * time.Second)
		sim.log("%s: paused", p.name)
	case n < 940:
		sim.outage = sim.random.IntN(4) == 0
		sim.faultPercent = []int{0, 0, 10, 40}[sim.random.IntN(4)]
	case n < 943:
		sim.release(p)
	case n < 955:
		sim.copies = append(sim.copies, sim.store.Copy())
	case n < 985:
		if len(sim.copies) > 0 {
			sim.restore()
		}
	default:
		if len(sim.lateCalls) > 0 {
			sim.counts["late call"]++
			perform(context.Background(), sim.store, *sim.lateCalls[0])
			sim.lateCalls = sim.lateCalls[1:]
		}
	}
}

func (sim *simulation) release(p *process) {
	if sim.paused(p) {
		return
	}
	sim.log("%s: leaves", p.name)
	sim.counts["release"]++
	for _, r := range p.shard.Release() {
		sim.reply(p, r)
	}
}

// advance moves the time forward in steps; in each, all processes perform their calls.
func (sim *simulation) advance(duration time.Duration) {
	for end := sim.now.Add(duration); sim.now.Before(end); {
		sim.now = sim.now.Add(advanceStep)
		for _, p := range sim.processes {
			sim.step(p)
			sim.step(p)
			sim.step(p)
		}
	}
}

// settle ends all faults and requires that every call is decided and that a new key
// can run. A journal that refuses everything would otherwise pass as safe.
func (sim *simulation) settle() {
	sim.faultPercent = 0
	sim.outage = false
	sim.lateCalls = nil
	for _, p := range sim.processes {
		p.pausedUntil = time.Time{}
	}
	fresh := &keyModel{name: "fresh"}
	for i := range settleSteps {
		sim.now = sim.now.Add(settleStepWidth)
		p := sim.processes[i%len(sim.processes)]
		for range 3 {
			sim.step(p)
		}
		if p.shard.Released() {
			sim.kill(p)
		}
		sim.withRandomAttempt(attemptGranted, sim.run)
		sim.withRandomAttempt(attemptRunning, sim.finish)
		if fresh.runs > 0 && !sim.withRandomAttempt(attemptWaiting, func(*attempt) {}) {
			return
		}
		if fresh.runs == 0 && i%40 == 0 {
			sim.begin(sim.processes[0], fresh, "a")
		}
	}
	sim.fail("calls are still waiting or a new key does not run after all faults ended")
}

func history(seed uint64) *simulation {
	sim := newSimulation(seed, historyVMs, historyKeys, seed%2 == 0)
	sim.beginRandomCall()
	sim.advance(firstTakeover)
	for range historyActions {
		sim.performRandomAction()
		if sim.failure != "" {
			return sim
		}
	}
	sim.settle()
	return sim
}

// Guards against a key that runs twice, a replay that differs from the first response,
// responses mixed up between keys, and replies to callers that do not wait, under lost
// responses, outages, kills, pauses, takeovers, releases and restores.
func TestRandomHistories(t *testing.T) {
	Convey("Random fault histories agree with the model", t, func() {
		counts := map[string]int{}
		failures := 0
		for seed := range uint64(histories) {
			sim := history(seed)
			for name, n := range sim.counts {
				counts[name] += n
			}
			if sim.failure == "" {
				continue
			}
			failures++
			if failures <= 3 {
				fmt.Printf("\nseed %d: %s\n%s\n", seed, sim.failure, strings.Join(sim.trace, "\n"))
			}
		}
		fmt.Printf("\n%d of %d histories violate the model\n", failures, histories)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Printf("%-50s %d\n", name, counts[name])
		}
		So(failures, ShouldEqual, 0)
	})
}
