package routing

import "time"

// SetPaused states until when an endpoint wants no requests from this entry. After that
// time one request tries it; the others follow when it has been accepted. A pause only
// grows until the endpoint restarts.
func (t *Table) SetPaused(vm string, until time.Time) {
	if e := t.endpoints[vm]; e != nil {
		e.pausedUntil = max(e.pausedUntil, t.elapsed(until), 1)
	}
}

// AttemptAccepted records that the endpoint has begun to answer an attempt, before its end.
func (t *Table) AttemptAccepted(a *Attempt) {
	if a.endpoint != nil {
		a.endpoint.waitingPromptTokens -= a.promptTokens
		a.promptTokens = 0
	}
	if a.trial && a.endpoint != nil && a.incarnation == a.endpoint.incarnation {
		a.endpoint.endTrial(true)
	}
}

// PauseLeft returns how long every endpoint of a model or service that may get requests
// wants none from this entry, or zero while one does not pause.
func (t *Table) PauseLeft(model, service string, now time.Time) time.Duration {
	p := t.pools[poolKey{model: model, service: service}]
	if p == nil {
		return 0
	}
	return pauseLeft(p.members, t.elapsed(now))
}

// startTrial notes an attempt that tries an endpoint after its pause.
func (e *endpoint) startTrial(now time.Duration) bool {
	if e.pausedUntil == 0 || now < e.pausedUntil {
		return false
	}
	e.trialRunning = true
	return true
}

// endTrial ends a trial. Only an accepted one ends the pause.
func (e *endpoint) endTrial(accepted bool) {
	e.trialRunning = false
	if accepted {
		e.pausedUntil = 0
	}
}

// paused reports whether the endpoint must get no request at a time of the table.
func (e *endpoint) paused(now time.Duration) bool {
	return e.pausedUntil != 0 && (now < e.pausedUntil || e.trialRunning)
}

func notPaused(q *query, e *endpoint, _ *candidate) bool { return !e.paused(q.elapsed) }

func pauseLeft(members []member, now time.Duration) time.Duration {
	var left time.Duration
	for i := range members {
		e := members[i].endpoint
		if e.impaired() {
			continue
		}
		if !e.paused(now) {
			return 0
		}
		if wait := max(e.pausedUntil-now, 1); left == 0 || wait < left {
			left = wait
		}
	}
	return left
}
