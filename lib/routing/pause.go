package routing

import "time"

// SetPaused records that an endpoint asked this entry to send no requests until a time.
// After that time one request is sent as a trial; the others follow once it is accepted.
// A further call can extend a pause but not shorten it; a restart of the endpoint ends it.
func (t *Table) SetPaused(vm string, until time.Time) {
	if e := t.endpoints[vm]; e != nil {
		e.pausedUntil = max(e.pausedUntil, t.elapsed(until), 1)
	}
}

// AttemptAccepted records that the endpoint has started to respond to an attempt that has not
// ended yet.
func (t *Table) AttemptAccepted(a *Attempt) {
	if a.endpoint != nil {
		a.endpoint.waitingPromptTokens -= a.promptTokens
		a.promptTokens = 0
	}
	if a.trial && a.endpoint != nil && a.incarnation == a.endpoint.incarnation {
		a.endpoint.endTrial(true, t.elapsed(a.sentAt))
		a.trial = false
	}
}

// BoundsLeft returns the time until the first endpoint of a model or service may get a request of
// this entry if pauses or limits allow none to any unimpaired endpoint, and zero otherwise.
func (t *Table) BoundsLeft(model, service string, now time.Time) time.Duration {
	p := t.pools[poolKey{model: model, service: service}]
	if p == nil {
		return 0
	}
	q := &t.query
	q.elapsed = t.elapsed(now)
	left, _ := q.boundsLeft(p.members)
	return left
}

// startTrial marks the endpoint as being tried if its pause has passed but not ended, and
// reports whether the attempt is the trial.
func (e *endpoint) startTrial(now time.Duration) bool {
	if e.pausedUntil == 0 || now < e.pausedUntil {
		return false
	}
	e.trialRunning = true
	return true
}

// endTrial ends a trial that was sent at a table time. Only an accepted trial ends the pause, unless the endpoint has asked for
// another one since.
func (e *endpoint) endTrial(accepted bool, sentAt time.Duration) {
	e.trialRunning = false
	if accepted && e.pausedUntil <= sentAt {
		e.pausedUntil = 0
	}
}

// paused reports whether the endpoint must get no request at a table time.
func (e *endpoint) paused(now time.Duration) bool {
	return e.pausedUntil != 0 && (now < e.pausedUntil || e.trialRunning)
}
