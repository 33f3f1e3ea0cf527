package routing

import (
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

const (
	// consecutiveFailures is the number of failures in a row that ejects an endpoint.
	consecutiveFailures = 3
	// failureRate is the share of failed attempts that ejects an endpoint once at least
	// failureSamples attempts are counted.
	failureRate    = 0.5
	failureSamples = 20
	// failureWindow is the time after which the counts of attempts and failures are halved.
	failureWindow = 5 * time.Second
	// Probes of an ejected endpoint start at probeInterval and double up to
	// maxProbeInterval.
	probeInterval    = time.Second
	maxProbeInterval = 30 * time.Second
	// nonIdempotentProbeDelay is the time for which a due probe waits for an idempotent
	// request; after it any request may be the probe.
	nonIdempotentProbeDelay = 10 * time.Second
)

// evidence is what the outcome of an attempt says about the endpoint.
type evidence uint8

const (
	neutral evidence = iota
	success
	failure
)

// classify returns the evidence of an outcome. A refusal is the normal response of a full
// endpoint and a cancelled attempt says nothing about it, so both are neutral; an attempt
// that could not be sent is a failure.
func classify(r Result) evidence {
	switch r.Outcome {
	case laburnumgwv1.Outcome_OUTCOME_COMPLETE, laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS:
		return success
	case laburnumgwv1.Outcome_OUTCOME_FAILED, laburnumgwv1.Outcome_OUTCOME_UNKNOWN:
		return failure
	case laburnumgwv1.Outcome_OUTCOME_NOT_RUN:
		if !r.Sent {
			return failure
		}
	}
	return neutral
}

// health counts the outcomes of an endpoint's attempts and holds its ejection.
type health struct {
	consecutive int
	attempts    float64
	failures    float64
	windowFrom  time.Time
	lastFailure time.Time

	ejected   bool
	ejectedAt time.Time
	interval  time.Duration
	nextProbe time.Time
}

func (h *health) attemptFinished(e evidence, a Attempt, now time.Time) {
	if e == neutral {
		return
	}
	h.decay(now)
	h.attempts++
	if e == success {
		h.consecutive = 0
		h.succeeded(a)
		return
	}
	h.consecutive++
	h.failures++
	h.lastFailure = now
}

// succeeded ends the ejection if the attempt was sent at or after the time of the ejection.
// An older attempt may have run before the endpoint failed.
func (h *health) succeeded(a Attempt) {
	if h.ejected && !a.sentAt.Before(h.ejectedAt) {
		*h = health{}
	}
}

func (h *health) decay(now time.Time) {
	if h.windowFrom.IsZero() {
		h.windowFrom = now
	}
	for now.Sub(h.windowFrom) >= failureWindow && h.attempts > 0 {
		h.attempts /= 2
		h.failures /= 2
		if h.attempts < 1 {
			h.attempts = 0
			h.failures = 0
		}
		h.windowFrom = h.windowFrom.Add(failureWindow)
	}
	if h.attempts == 0 {
		h.windowFrom = now
	}
}

func (h *health) shouldEject(now time.Time) bool {
	if h.ejected || !h.lastFailure.Equal(now) {
		return false
	}
	if h.consecutive >= consecutiveFailures {
		return true
	}
	return h.attempts >= failureSamples && h.failures >= failureRate*h.attempts
}

// reinstate ends an ejection without a successful probe. The failures stay counted, so that
// one more reaches consecutiveFailures again.
func (h *health) reinstate() {
	h.ejected = false
	h.consecutive = consecutiveFailures - 1
}

func (h *health) probeSent(now time.Time) {
	h.interval = min(2*h.interval, maxProbeInterval)
	h.nextProbe = now.Add(h.interval)
}

// probeDue reports whether a request may probe the endpoint. A request that is not
// idempotent may do so only later, because a failed probe can leave its outcome unknown.
func (h *health) probeDue(idempotent bool, now time.Time) bool {
	due := h.nextProbe
	if !idempotent {
		due = due.Add(nonIdempotentProbeDelay)
	}
	return h.ejected && !now.Before(due)
}

func (e *endpoint) eject(now time.Time) {
	e.health.ejected = true
	e.health.ejectedAt = now
	e.health.interval = probeInterval
	e.health.nextProbe = now.Add(probeInterval)
}

// mayEject reports whether at most half of the available endpoints of each of its pools
// are ejected when this endpoint is ejected too.
func (e *endpoint) mayEject() bool {
	for _, p := range e.pools {
		available, ejected := p.countEjected()
		if e.available() {
			ejected++
		}
		if 2*ejected > available {
			return false
		}
	}
	return true
}

func (p *pool) countEjected() (available, ejected int) {
	for i := range p.members {
		e := p.members[i].endpoint
		if !e.available() {
			continue
		}
		available++
		if e.health.ejected {
			ejected++
		}
	}
	return available, ejected
}

// limitEjections reinstates the endpoints that were ejected longest ago until at most
// half of the available endpoints are ejected.
func (p *pool) limitEjections() {
	available, ejected := p.countEjected()
	for 2*ejected > available {
		p.oldestEjected().health.reinstate()
		ejected--
	}
}

func (p *pool) oldestEjected() *endpoint {
	var oldest *endpoint
	for i := range p.members {
		e := p.members[i].endpoint
		if !e.available() || !e.health.ejected {
			continue
		}
		if oldest == nil || e.health.ejectedAt.Before(oldest.health.ejectedAt) {
			oldest = e
		}
	}
	return oldest
}
