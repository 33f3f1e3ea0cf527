package hosted

import (
	"strconv"
	"time"

	"laburnumgw/lib/routing"
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
		state.table.SetSendUntil(w.ID, v.sendUntil(w, w.currentWeights(now).Version, now))
	}
}

// sendUntil returns until when requests may be sent to a worker that begin on a version before its
// bound, or the zero time without a bound. The caller holds the lock.
func (v *view) sendUntil(w *worker, version int, now time.Time) time.Time {
	state := v.services[w.Service]
	if state == nil || state.config.Engine == nil {
		return time.Time{}
	}
	bound, bounded := v.startBound(state.config.Engine.Model, version)
	if !bounded {
		return time.Time{}
	}
	until := w.waits.SendUntil(bound, versionMargin-startMargin, now)
	if w.waits.Known(now) {
		return until
	}
	if others := state.waits.SendUntil(bound, versionMargin-startMargin, now); others.Before(until) {
		return others
	}
	return until
}

// startLimits returns until when a request may begin on the weights of a decision and until when it may be
// sent for that, the zero time without a bound, and how long requests are expected to wait at the worker.
func (c *call) startLimits(decision routing.Decision) (bound, sendUntil time.Time, expected time.Duration) {
	v := c.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.engine == nil {
		return time.Time{}, time.Time{}, 0
	}
	// The digest of a decision is always a decimal version number.
	version, _ := strconv.Atoi(decision.VersionDigest)
	now := time.Now()
	bound, bounded := v.startBound(c.engine.Model, version)
	w := v.workers[decision.VM]
	switch {
	case w != nil:
		return bound, v.sendUntil(w, version, now), w.waits.Expected(now)
	case bounded:
		return bound, bound.Add(startMargin - versionMargin), 0
	}
	return time.Time{}, time.Time{}, 0
}
