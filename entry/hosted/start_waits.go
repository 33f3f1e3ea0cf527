package hosted

import (
	"strconv"
	"time"

	"laburnumgw/lib/routing"
	"laburnumgw/lib/startwait"
)

// startWait is a request that waits at a worker, as the estimate of its waits knows it.
type startWait struct {
	worker      *worker
	startedAtMs int64
	number      uint64
}

// startWaitBegins records that a request is sent to a worker with an engine. The caller holds the lock.
func (v *view) startWaitBegins(w *worker, now time.Time) startWait {
	number := w.waits.Sent(now)
	v.updateSendUntil(w, now)
	return startWait{w, w.StartedAtMs, number}
}

// startWaitEnd is how the wait of a request at a worker has ended.
type startWaitEnd uint8

const (
	// waitUnknown is a request that the worker has not received, or has refused.
	waitUnknown startWaitEnd = iota
	waitGivenUp
	waitBegun
)

// startWaitEnded records how the wait of a request has ended. It has no effect on a request that does not wait
// any more.
func (v *view) startWaitEnded(s startWait, end startWaitEnd) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := s.worker
	if w == nil || v.workers[w.ID] != w || w.StartedAtMs != s.startedAtMs {
		return
	}
	now := time.Now()
	if end == waitUnknown {
		w.waits.Forget(s.number)
	} else if wait := w.waits.Ended(s.number, end == waitBegun, now); wait > 0 {
		v.observeServiceWait(w.Service, wait, now)
	}
	v.updateSendUntil(w, now)
}

// observeServiceWait records a wait at a worker of a service. The workers at which none is known to have begun get
// requests by the longest one. The caller holds the lock.
func (v *view) observeServiceWait(service string, wait time.Duration, now time.Time) {
	state := v.services[service]
	if state == nil {
		return
	}
	isLongest := wait > state.waits.Longest(now)
	state.waits.Observe(wait, now)
	if !isLongest {
		return
	}
	for _, w := range v.workers {
		if w.Service == service && !w.waits.Known(now) {
			v.updateSendUntil(w, now)
		}
	}
}

// updateSendUntil passes on to the routing until when requests to a worker begin before the bound of
// its weights. The caller holds the lock.
func (v *view) updateSendUntil(w *worker, now time.Time) {
	if state := v.services[w.Service]; state != nil && state.config.Engine != nil {
		state.table.SetSendUntil(w.ID, v.startWindow(w, w.currentWeights(now).Version, now).SendUntil)
	}
}

// startWindow returns until when requests may be sent to a worker that begin on a version before its
// bound. The caller holds the lock.
func (v *view) startWindow(w *worker, version int, now time.Time) startwait.Window {
	state := v.services[w.Service]
	if state == nil || state.config.Engine == nil {
		return startwait.Window{}
	}
	bound, bounded := v.startBound(state.config.Engine.Model, version)
	if !bounded {
		return startwait.Window{}
	}
	window := w.waits.Window(bound, startwait.OutgoingAllowance(), now)
	if w.waits.Known(now) {
		return window
	}
	return window.Narrowest(state.waits.Window(bound, startwait.OutgoingAllowance(), now))
}

// startLimits returns until when a request may begin and be sent on the weights of a decision, and how long requests are
// expected to wait at the worker.
func (c *call) startLimits(decision routing.Decision) (window startwait.Window, expected time.Duration) {
	v := c.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.engine == nil {
		return startwait.Window{}, 0
	}
	// The digest of a decision is always a decimal version number.
	version, _ := strconv.Atoi(decision.VersionDigest)
	now := time.Now()
	if w := v.workers[decision.VM]; w != nil {
		return v.startWindow(w, version, now), w.waits.Expected(now)
	}
	if bound, bounded := v.startBound(c.engine.Model, version); bounded {
		unknown := new(startwait.Estimator)
		return unknown.Window(bound, startwait.OutgoingAllowance(), now), 0
	}
	return startwait.Window{}, 0
}
