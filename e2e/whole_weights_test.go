package e2e

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"laburnumgw/fleet"
	"laburnumgw/soak"
	"laburnumgw/standin/hosted"
)

// Second bytes of the loopback addresses.
const (
	wholeWeightsNetwork = 45
	offeredNetwork      = 50
)

// wholeWeightsOptions returns the options of a fleet whose workers take some time for pieces and loads.
func wholeWeightsOptions(t *testing.T, network int) soak.Options {
	t.Helper()
	options := soakOptions(t, buildPrograms(t), network)
	options.StoreTime, options.LoadTime = 15*time.Millisecond, 300*time.Millisecond
	options.Entries = 3 // one in each zone, so that all workers get requests
	return options
}

// startWholeWeights starts a fleet and waits until all workers serve version 1.
func startWholeWeights(t *testing.T, options soak.Options) (*soak.Fleet, *system) {
	t.Helper()
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

// startCallers starts callers, and has the workers write their entries to the store. The returned function ends both,
// and reports the requests that ran on layers which were not whole, by the names of the cases of the workers, and what
// callers saw.
func startCallers(t *testing.T, f *soak.Fleet, cases []string) (end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	published := make(chan struct{})
	go func() {
		f.PublishChanges(ctx)
		close(published)
	}()
	callers := f.StartCallers(1)
	return func() {
		t.Helper()
		outcomes := callers.Stop()
		cancel()
		<-published
		for _, o := range outcomes {
			if o.Violation != nil {
				t.Errorf("%s at %s: %v", o.ID, o.Entry, o.Violation)
			}
		}
		for i, m := range f.ModelWorkers {
			if err := m.RunErr(); err != nil {
				t.Errorf("%s: %v", cases[i%len(cases)], err)
			}
		}
	}
}

// nameVersion names a version.
func nameVersion(f *soak.Fleet, version int) {
	f.Origin.SetNewest(version)
	f.PublishVersion(version)
}

// settled reports whether a worker serves a version to callers, or has broken the rule.
func settled(m *soak.ProxiedWorker, version int) bool {
	return m.RunsOn(version) || len(m.BadRuns()) > 0
}

// awaitSettled waits until all workers serve a version to callers, or have broken the rule, and reports those that do not.
func awaitSettled(t *testing.T, w *system, workers []*soak.ProxiedWorker, version int) {
	t.Helper()
	err := fleet.Until(w.context(), "workers serve the version", func() bool {
		return !slices.ContainsFunc(workers, func(m *soak.ProxiedWorker) bool { return !settled(m, version) })
	})
	for _, m := range workers {
		if err != nil && !settled(m, version) {
			t.Errorf("%s is not offered with version %d, but holds %d and has accepted %d orders", m.ID, version, m.Version(), len(m.Loads()))
		}
	}
}

// awaitRequests waits until callers have asked all workers again.
func awaitRequests(w *system) {
	from := time.Now()
	w.until("callers have asked all workers", func() bool { return time.Since(from) > time.Second })
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
			f, w := startWholeWeights(t, wholeWeightsOptions(t, c.network))
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
			end := startCallers(t, f, []string{name})
			nameVersion(f, 2)
			awaitSettled(t, w, f.ModelWorkers, 2)
			awaitRequests(w)
			end()
			mu.Lock()
			defer mu.Unlock()
			if len(frozen) == 0 {
				t.Error("no process was frozen amid staging")
			}
			t.Logf("freezes: %v", frozen)
		})
	}
}

// staging is a worker whose staging, or that of the process beside it, goes wrong in a case.
type staging struct {
	m *soak.ProxiedWorker
	p *soak.Process

	mu sync.Mutex
	// seen are the calls that came already, and struck is set once all of the case has happened.
	seen   map[hosted.Call]int
	struck bool
	// held are the calls that are executed when it is closed.
	held chan struct{}
}

// count counts a call, and returns how often it came before.
func (s *staging) count(c hosted.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[c]++
	return s.seen[c] - 1
}

func (s *staging) times(c hosted.Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[c]
}

func (s *staging) strike() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.struck = true
}

// release executes the calls that are held.
func (s *staging) release() {
	close(s.held)
	s.strike()
}

func (s *staging) hasStruck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.struck
}

const (
	// beforeLast is the last piece but one, and midway one that is staged earlier.
	beforeLast = 14
	midway     = 5
	// frozenTime is how long processes are frozen.
	frozenTime = 3800 * time.Millisecond
)

func isStage(c hosted.Call, version, piece int) bool {
	return c == hosted.Call{Kind: hosted.CallStage, Version: version, Piece: piece}
}

func isOrder(c hosted.Call, version int) bool {
	return c == hosted.Call{Kind: hosted.CallOrder, Version: version}
}

// takenForTheLast has the response to the last piece but one written once more, as that to the last, so that the order
// comes before the last is stored.
func (s *staging) takenForTheLast(c hosted.Call) hosted.CallFault {
	if isStage(c, 2, beforeLast) && s.count(c) == 0 {
		return hosted.CallFault{Repeat: hosted.RepeatAtNextCall}
	}
	return hosted.CallFault{}
}

// answeredOnce is takenForTheLast, and calls a function when the first order is answered.
func (s *staging) answeredOnce(c hosted.Call, answered func()) hosted.CallFault {
	if isOrder(c, 2) && s.count(c) == 0 {
		return hosted.CallFault{Answered: func() {
			answered()
			s.strike()
		}}
	}
	return s.takenForTheLast(c)
}

// heldStaging and heldOrders are the indexes of the cases in which a staging and all orders for version 2 are
// executed only when version 3 is staged.
const (
	heldStaging = 2
	heldOrders  = 3
)

// stagingCases are the ways in which staging and ordering go wrong, one for each worker. Version 2 is named, and then
// version 3.
var stagingCases = []struct {
	name  string
	fault func(s *staging, c hosted.Call) hosted.CallFault
}{
	{"worker and process stand still while the order is unread", func(s *staging, c hosted.Call) hosted.CallFault {
		if !isOrder(c, 2) || s.count(c) > 0 {
			return hosted.CallFault{}
		}
		s.m.Spoil(1)
		freeze(s.p, frozenTime)
		s.strike()
		return hosted.CallFault{Late: frozenTime - 200*time.Millisecond}
	}},
	{"second response to a staging", func(s *staging, c hosted.Call) hosted.CallFault {
		s.strike()
		return s.takenForTheLast(c)
	}},
	{"staging is executed after the same piece of the next version", func(s *staging, c hosted.Call) hosted.CallFault {
		switch {
		case isStage(c, 2, midway) && s.count(c) == 0:
			return hosted.CallFault{Until: s.held}
		case isStage(c, 3, midway) && s.count(c) == 0:
			return hosted.CallFault{Answered: s.release}
		}
		return hosted.CallFault{}
	}},
	{"orders are executed while the next version is staged", func(s *staging, c hosted.Call) hosted.CallFault {
		switch {
		case isOrder(c, 2):
			s.count(c)
			return hosted.CallFault{Until: s.held}
		case isStage(c, 3, midway) && s.count(c) == 0:
			return hosted.CallFault{Answered: s.release}
		}
		return hosted.CallFault{}
	}},
	// Its worker holds version 1 from the start, so that the order names the sequence of a worker that has restarted.
	{"order is executed again by a restarted worker", func(s *staging, c hosted.Call) hosted.CallFault {
		if !isOrder(c, 2) {
			return hosted.CallFault{}
		}
		switch s.count(c) {
		case 0:
			return hosted.CallFault{Until: s.held}
		case 1:
			return hosted.CallFault{Answered: func() {
				s.m.Spoil(1)
				time.AfterFunc(frozenTime, func() {
					s.m.Crash()
					s.release()
					s.m.Proxy.Reset()
				})
			}}
		}
		return hosted.CallFault{}
	}},
	{"process is killed when its order is accepted", func(s *staging, c hosted.Call) hosted.CallFault {
		return s.answeredOnce(c, func() {
			s.p.Kill()
			time.AfterFunc(time.Second, func() { _ = s.p.Start() }) // the test waits for what it does
		})
	}},
	{"process is frozen when its order is accepted", func(s *staging, c hosted.Call) hosted.CallFault {
		return s.answeredOnce(c, func() { freeze(s.p, frozenTime) })
	}},
	{"last staging is executed late, after its time", func(s *staging, c hosted.Call) hosted.CallFault {
		if !isStage(c, 2, beforeLast+1) || s.count(c) > 0 {
			return hosted.CallFault{}
		}
		s.strike()
		return hosted.CallFault{Late: 1300 * time.Millisecond}
	}},
}

// Guards against tokens that are made with weights that were not whole when the worker took them, because what the
// process beside it had written was not there any more, or not yet, or because it was not the process that wrote
// it that finds the worker loaded.
func TestWeightsAreWholeHoweverCallsGoWrong(t *testing.T) {
	options := wholeWeightsOptions(t, wholeWeightsNetwork+2)
	options.Models = len(stagingCases)
	f, w := startWholeWeights(t, options)
	var stagings []*staging
	var names []string
	for i, c := range stagingCases {
		s := &staging{m: f.ModelWorkers[i], p: f.Endpoints[i], seen: make(map[hosted.Call]int), held: make(chan struct{})}
		s.m.OnCall(func(call hosted.Call) hosted.CallFault { return c.fault(s, call) })
		stagings, names = append(stagings, s), append(names, c.name)
	}
	end := startCallers(t, f, names)
	nameVersion(f, 2)
	w.until("an order is held", func() bool { return stagings[heldOrders].times(hosted.Call{Kind: hosted.CallOrder, Version: 2}) > 0 })
	w.until("version 2 is in force where a staging is held", func() bool { return f.ModelWorkers[heldStaging].Serves(2) })
	awaitSettled(t, w, slices.Concat(f.ModelWorkers[:heldStaging], f.ModelWorkers[heldOrders+1:]), 2)
	awaitRequests(w)
	nameVersion(f, 3)
	awaitSettled(t, w, f.ModelWorkers, 3)
	awaitRequests(w)
	end()
	for i, s := range stagings {
		t.Logf("%s: %s accepted %+v", names[i], s.m.ID, s.m.Loads())
		if !s.hasStruck() {
			t.Errorf("%s: it did not happen", names[i])
		}
	}
}

// Guards against a worker that is offered to nobody, and ordered to load several times a second, because one staging
// got no whole response: its write could never be ruled out, so that no load was proven.
func TestWorkersAreOfferedAlthoughAStagingNeverEnds(t *testing.T) {
	faults := []hosted.CallFault{{Endless: hosted.EndlessInHead}, {Endless: hosted.EndlessInBody}, {Until: make(chan struct{})}}
	names := []string{"head without end", "body without end", "never executed"}
	options := wholeWeightsOptions(t, offeredNetwork)
	options.Models = len(faults)
	f, w := startWholeWeights(t, options)
	for i, m := range f.ModelWorkers {
		s := &staging{m: m, seen: make(map[hosted.Call]int)}
		m.OnCall(func(c hosted.Call) hosted.CallFault {
			if isStage(c, 2, midway) && s.count(c) == 0 {
				return faults[i]
			}
			return hosted.CallFault{}
		})
	}
	end := startCallers(t, f, names)
	named := time.Now()
	nameVersion(f, 2)
	awaitSettled(t, w, f.ModelWorkers, 2)
	took := time.Since(named)
	end()
	for i, m := range f.ModelWorkers {
		loads := len(m.Loads())
		t.Logf("%s: %s has accepted %d orders; all were offered after %s", names[i], m.ID, loads, took)
		if float64(loads) > took.Seconds() {
			t.Errorf("%s: %s has accepted more than one order a second", names[i], m.ID)
		}
	}
}
