package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"laburnumgw/soak"
	"laburnumgw/standin/hosted"
)

// wholeWeightsNetwork is the second byte of the loopback addresses.
const wholeWeightsNetwork = 45

// startWholeWeights starts a fleet whose workers take some time for pieces and loads, and waits until all
// serve version 1.
func startWholeWeights(t *testing.T, network int) (*soak.Fleet, *system) {
	t.Helper()
	options := soakOptions(t, buildPrograms(t), network)
	options.StoreTime, options.LoadTime = 15*time.Millisecond, 300*time.Millisecond
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("all workers serve version 1", func() bool { return allServe(f, 1) })
	return f, w
}

func allServe(f *soak.Fleet, version int) bool {
	for _, m := range f.ModelWorkers {
		if !m.Serves(version) {
			return false
		}
	}
	return true
}

// nameVersion names a version while callers send requests, until all workers serve it or a request ran on
// layers that were not whole. It reports the latter, and what callers saw.
func nameVersion(t *testing.T, w *system, f *soak.Fleet, version int) {
	t.Helper()
	callers := f.StartCallers(uint64(version))
	f.Origin.SetNewest(version)
	f.PublishVersion(version)
	w.until("the version is in force or a rule is broken", func() bool { return allServe(f, version) || anyBadRun(f) })
	settled := time.Now()
	w.until("callers have asked all workers", func() bool { return time.Since(settled) > time.Second })
	for _, o := range callers.Stop() {
		if o.Violation != nil {
			t.Errorf("%s at %s: %v", o.ID, o.Entry, o.Violation)
		}
	}
	for _, m := range f.ModelWorkers {
		runs, tokens := m.BadRuns(), 0
		for _, r := range runs {
			tokens += r.Tokens
		}
		if len(runs) > 0 {
			t.Errorf("%s made %d tokens of %d requests on layers that were not whole, the first: %v", m.ID, tokens, len(runs), runs[0].Fault)
		}
	}
}

func anyBadRun(f *soak.Fleet) bool {
	for _, m := range f.ModelWorkers {
		if len(m.BadRuns()) > 0 {
			return true
		}
	}
	return false
}

// freeze stops a process for some time.
func freeze(p *soak.Process, lasts time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(lasts, func() { p.Signal(syscall.SIGCONT) })
}

// Guards against tokens that are made with weights that had been spoilt for longer than 3 s when the worker took them:
// the process beside it was frozen amid staging, and a piece that it had staged before turned bad at that
// moment. A call that is under way in a freeze of 3.8 s may time out at its end, so that all is staged anew. Several
// freezes, each shorter than the time that a call has, let all calls succeed.
func TestWeightsAreWholeAfterAFreezeAmidStaging(t *testing.T) {
	const (
		spoilt      = 1
		longFreeze  = 3800 * time.Millisecond
		shortFreeze = 760 * time.Millisecond
	)
	for name, c := range map[string]struct {
		network int
		// after are the pieces after whose stagings the process is frozen, for the time lasts.
		after []int
		lasts time.Duration
		// times is how often the process is frozen so.
		times int
	}{
		"once for 3.8 s":        {wholeWeightsNetwork, []int{10}, longFreeze, 3},
		"five times for 0.76 s": {wholeWeightsNetwork + 1, []int{3, 5, 7, 9, 11}, shortFreeze, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, w := startWholeWeights(t, c.network)
			var mu sync.Mutex
			frozen := make(map[string]int)
			for i, m := range f.ModelWorkers {
				p, due := f.Endpoints[i], 0
				m.OnCall(func(call hosted.Call) (fault hosted.CallFault) {
					mu.Lock()
					defer mu.Unlock()
					if call.Kind != hosted.CallStage || due == c.times*len(c.after) || call.Piece != c.after[due%len(c.after)] {
						return fault
					}
					first := due%len(c.after) == 0
					due++
					fault.Answered = func() {
						freeze(p, c.lasts)
						if first {
							m.Spoil(spoilt)
						}
						mu.Lock()
						defer mu.Unlock()
						frozen[m.ID]++
					}
					return fault
				})
			}
			nameVersion(t, w, f, 2)
			mu.Lock()
			defer mu.Unlock()
			if len(frozen) == 0 {
				t.Error("no process was frozen amid staging")
			}
			t.Logf("freezes: %v", frozen)
		})
	}
}
