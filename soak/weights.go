package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// storeTime and loadTime are the times of model workers for a staged piece and a load.
	storeTime = 5 * time.Millisecond
	loadTime  = 300 * time.Millisecond
	// maxFreeze bounds how long a process beside a worker is frozen.
	maxFreeze = 4 * time.Second
	// frozenStagings and frozenOrders are the shares of the calls amid which the process beside a worker is frozen.
	frozenStagings = 0.01
	frozenOrders   = 0.15
	// endlessRequests is the share of the requests to a faulty worker whose responses have no end.
	endlessRequests = 0.1
	// minNamingPause and maxNamingPause bound the time between two versions.
	minNamingPause = time.Second
	maxNamingPause = 9 * time.Second
	// outstandingTime is how long a staging that was not answered keeps a load from being proven.
	outstandingTime = 30 * time.Second
	// weightsBound is the time after the end of the faults within which all workers must serve the newest version. A
	// freeze may last until then.
	weightsBound = maxFreeze + settleWindow + versionBound + outstandingTime
)

var stagingFaults = hosted.StagingFaults{
	Spoilt: 0.02, Late: 0.01, Lost: 0.01, Repeated: 0.02, Endless: 0.003, Silent: 0.005, MaxLate: maxFreeze, MaxSilence: maxSilence, OrderFactor: 10,
}

// weightsRun has staging, ordering and loading go wrong.
type weightsRun struct {
	*run
	stopPublishing context.CancelFunc
	published      sync.WaitGroup
	lastNamedAt    time.Time
	namingPause    time.Duration

	// callMu guards what follows: callRNG draws the faults that calls begin, and off is set when they have ended.
	callMu  sync.Mutex
	callRNG *rand.Rand
	off     bool
	// faulty is the worker whose responses to requests may have no end, or nil.
	faulty *ProxiedWorker
}

// startWeights begins the faults of calls. They excuse all rules that faults excuse until they have ended.
func (r *run) startWeights(seed uint64, lasts time.Duration) *weightsRun {
	r.recordFault(lasts+weightsBound, "calls to model workers go wrong for %s: %+v", lasts, stagingFaults)
	w := &weightsRun{run: r, callRNG: rand.New(rand.NewPCG(seed, 13))}
	ctx, cancel := context.WithCancel(context.Background())
	w.stopPublishing = cancel
	w.published.Go(func() { r.fleet.PublishChanges(ctx) })
	for i, m := range r.fleet.ModelWorkers {
		drawn, p := stagingFaults.Seeded(seed<<8+uint64(i)), r.fleet.Endpoints[i]
		m.OnCall(func(c hosted.Call) hosted.CallFault { return w.faultOf(m, p, c, drawn(c)) })
	}
	return w
}

// awaitServing waits until all model workers serve version 1, and all entries know of one.
func (f *Fleet) awaitServing(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(publishInterval) {
		serving := 0
		for _, m := range f.ModelWorkers {
			if m.Serves(1) {
				serving++
			}
		}
		for _, p := range f.Entries {
			if f.Ask(p, kindChat) == http.StatusOK {
				serving++
			}
		}
		if serving == len(f.ModelWorkers)+len(f.Entries) {
			return nil
		}
	}
	return fmt.Errorf("not every worker serves version 1 after %s", limit)
}

// faultOf adds the faults to a call that concern more than the call.
func (w *weightsRun) faultOf(m *ProxiedWorker, p *Process, c hosted.Call, fault hosted.CallFault) hosted.CallFault {
	w.callMu.Lock()
	defer w.callMu.Unlock()
	if w.off {
		return hosted.CallFault{}
	}
	draw, lasts, spoilt := w.callRNG.Float64(), time.Duration(w.callRNG.Int64N(int64(maxFreeze))), w.callRNG.IntN(m.Model.Chunks)
	if !fault.Empty() {
		w.note("%s: %+v: %+v", m.ID, c, fault)
	}
	freeze := func() {
		w.note("%s: %+v: piece %d turns bad, and %s is paused for %s", m.ID, c, spoilt, p.Name, lasts)
		m.Spoil(spoilt)
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(lasts, func() { p.Signal(syscall.SIGCONT) })
	}
	switch {
	case c.Kind == hosted.CallRequest && m == w.faulty && draw < endlessRequests:
		fault.Endless = hosted.EndlessInHead + hosted.Endless(w.callRNG.IntN(2))
	case c.Kind == hosted.CallStage && draw < frozenStagings, c.Kind == hosted.CallOrder && draw < frozenOrders/2:
		fault.Answered = freeze
	case c.Kind == hosted.CallOrder && draw < frozenOrders:
		freeze()
		fault.Late = max(0, lasts-200*time.Millisecond)
	}
	return fault
}

// inject starts one random fault, or names a version.
func (w *weightsRun) inject() {
	if time.Since(w.lastNamedAt) >= w.namingPause {
		w.name()
		return
	}
	f, i := w.fleet, w.rng.IntN(len(w.fleet.ModelWorkers))
	m, p, lasts := f.ModelWorkers[i], f.Endpoints[i], time.Duration(w.rng.Int64N(int64(3*time.Second)))
	switch w.rng.IntN(5) {
	case 0, 1:
		w.note("kill %s for %s", p.Name, lasts)
		p.Kill()
		time.AfterFunc(lasts, func() { w.start(p) })
	case 2:
		w.note("%s crashes", m.ID)
		m.Crash()
		f.crash(m)
	case 3:
		piece := w.rng.IntN(m.Model.Chunks)
		w.note("piece %d at %s turns bad", piece, m.ID)
		m.Spoil(piece)
	case 4:
		w.note("responses of %s may have no end for %s", m.ID, lasts)
		w.setFaulty(m)
		time.AfterFunc(lasts, func() { w.setFaulty(nil) })
	}
}

// name names the next version, whether or not the last one is in force.
func (w *weightsRun) name() {
	w.lastNamedAt = time.Now()
	w.namingPause = minNamingPause + time.Duration(w.rng.Int64N(int64(maxNamingPause-minNamingPause)))
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	w.note("version %d is named", version)
	w.fleet.Origin.SetNewest(version)
	w.fleet.PublishVersion(version)
}

func (w *weightsRun) setFaulty(m *ProxiedWorker) {
	w.callMu.Lock()
	defer w.callMu.Unlock()
	w.faulty = m
}

// end ends the faults, and reports the workers that do not serve the newest version to callers within the bound.
func (w *weightsRun) end() {
	w.callMu.Lock()
	w.off = true
	w.callMu.Unlock()
	w.note("faults of calls have ended")
	ended := time.Now()
	for !w.allServe() && time.Since(ended) < weightsBound {
		time.Sleep(publishInterval)
	}
	w.note("waited %s for version %d", time.Since(ended), w.version)
	for _, m := range w.fleet.ModelWorkers {
		if !m.RunsOn(w.version) {
			w.result.Violations = append(w.result.Violations, fmt.Errorf("%s does not serve version %d to callers %s after the end of the faults, but holds %d; loads %+v", m.ID, w.version, weightsBound, m.Version(), m.Loads()))
		}
	}
	w.stopPublishing()
	w.published.Wait()
}

func (w *weightsRun) allServe() bool {
	for _, m := range w.fleet.ModelWorkers {
		if !m.RunsOn(w.version) {
			return false
		}
	}
	return true
}
