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
func (w *simulation) performRandomAction() {
	p := w.processes[w.random.IntN(len(w.processes))]
	if p.shard.Released() {
		w.start(p)
	}
	switch n := w.random.IntN(1000); {
	case n < 500:
		w.step(p)
	case n < 620:
		w.beginRandomCall()
	case n < 720:
		w.now = w.now.Add(time.Duration(w.random.IntN(100)) * time.Millisecond)
	case n < 737:
		w.advance(time.Duration(w.random.IntN(7000)) * time.Millisecond)
	case n < 740:
		w.now = w.now.Add(time.Duration(w.random.IntN(10_000)) * time.Millisecond)
	case n < 820:
		w.withRandomAttempt(attemptGranted, w.run)
	case n < 880:
		w.withRandomAttempt(attemptRunning, w.finish)
	case n < 895:
		w.withRandomAttempt(attemptWaiting, w.cancelWait)
	case n < 910:
		w.kill(p)
	case n < 925:
		p.pausedUntil = w.now.Add(time.Duration(1+w.random.IntN(10)) * time.Second)
		w.log("%s: paused", p.name)
	case n < 940:
		w.outage = w.random.IntN(4) == 0
		w.faultPercent = []int{0, 0, 10, 40}[w.random.IntN(4)]
	case n < 943:
		w.release(p)
	case n < 955:
		w.copies = append(w.copies, w.store.Copy())
	case n < 985:
		if len(w.copies) > 0 {
			w.restore()
		}
	default:
		if len(w.lateCalls) > 0 {
			w.counts["late call"]++
			perform(context.Background(), w.store, *w.lateCalls[0])
			w.lateCalls = w.lateCalls[1:]
		}
	}
}

func (w *simulation) release(p *process) {
	if w.paused(p) {
		return
	}
	w.log("%s: leaves", p.name)
	w.counts["release"]++
	for _, r := range p.shard.Release() {
		w.reply(p, r)
	}
}

// advance lets the processes perform their calls in time for a while.
func (w *simulation) advance(duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); {
		w.now = w.now.Add(advanceStep)
		for _, p := range w.processes {
			w.step(p)
			w.step(p)
			w.step(p)
		}
	}
}

// settle ends all faults and requires that every call is decided and that a new key
// can run, so that safety is not reached by refusing everything.
func (w *simulation) settle() {
	w.faultPercent = 0
	w.outage = false
	w.lateCalls = nil
	for _, p := range w.processes {
		p.pausedUntil = time.Time{}
	}
	fresh := &keyModel{name: "fresh"}
	for i := range settleSteps {
		w.now = w.now.Add(settleStepWidth)
		p := w.processes[i%len(w.processes)]
		for range 3 {
			w.step(p)
		}
		if p.shard.Released() {
			w.kill(p)
		}
		w.withRandomAttempt(attemptGranted, w.run)
		w.withRandomAttempt(attemptRunning, w.finish)
		if fresh.runs > 0 && !w.withRandomAttempt(attemptWaiting, func(*attempt) {}) {
			return
		}
		if fresh.runs == 0 && i%40 == 0 {
			w.begin(w.processes[0], fresh, "a")
		}
	}
	w.fail("calls are still waiting or a new key does not run after all faults ended")
}

func history(seed uint64) *simulation {
	w := newSimulation(seed, historyVMs, historyKeys, seed%2 == 0)
	w.beginRandomCall()
	w.advance(firstTakeover)
	for range historyActions {
		w.performRandomAction()
		if w.failure != "" {
			return w
		}
	}
	w.settle()
	return w
}

// Guards against a key that runs twice, a replay that differs from the first answer,
// answers crossed between keys, and replies to callers that do not wait, under lost
// responses, outages, kills, pauses, takeovers, releases and restores.
func TestRandomHistories(t *testing.T) {
	Convey("Random fault histories agree with the model", t, func() {
		counts := map[string]int{}
		failures := 0
		for seed := range uint64(histories) {
			w := history(seed)
			for name, n := range w.counts {
				counts[name] += n
			}
			if w.failure == "" {
				continue
			}
			failures++
			if failures <= 3 {
				fmt.Printf("\nseed %d: %s\n%s\n", seed, w.failure, strings.Join(w.trace, "\n"))
			}
		}
		fmt.Printf("\n%d of %d histories violate the model\n", failures, histories)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Printf("%-50s %d\n", name, counts[name])
		}
		So(failures, ShouldEqual, 0)
	})
}
