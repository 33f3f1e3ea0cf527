// Package timelimit decides until when a request may run: until its time budget ends, or until the
// process that serves it stops. The current time is an argument.
package timelimit

import "time"

// Cause is what ends a request.
type Cause string

// Causes.
const (
	// Budget is the deadline of the caller or of the route.
	Budget Cause = "budget"
	// Stop is the end of a planned stop of the process.
	Stop Cause = "stop"
)

// Limits are the time limits of one request.
type Limits struct {
	// Deadline is the end of the time budget.
	Deadline time.Time
	// Shutdown is the planned stop of the process; nil without one.
	Shutdown *Shutdown
}

// End returns when the request has to be over, and why.
func (l Limits) End() (time.Time, Cause) {
	if end, stopping := l.Shutdown.RequestsEnd(); stopping && (l.Deadline.IsZero() || end.Before(l.Deadline)) {
		return end, Stop
	}
	return l.Deadline, Budget
}

// Left returns how long the request may still run.
func (l Limits) Left(now time.Time) time.Duration {
	end, _ := l.End()
	return end.Sub(now)
}

// StartBy returns when the request has to begin, which is its end or a bound on the beginning,
// whichever is earlier. A zero bound is none.
func (l Limits) StartBy(bound time.Time) time.Time {
	end, _ := l.End()
	if !bound.IsZero() && bound.Before(end) {
		return bound
	}
	return end
}

// Fits reports whether a request that is expected to take some time from now on is over before the
// process stops.
func (l Limits) Fits(now time.Time, expected time.Duration) bool {
	end, stopping := l.Shutdown.RequestsEnd()
	return !stopping || !l.latest(now, expected).After(end)
}

// Admits reports whether a new request is accepted. While callers are still sent to this process, the
// expected time has to fit. Callers were told to leave before the process drains, so that a request
// is accepted then only if it cannot outlast the process.
func (l Limits) Admits(now time.Time, expected time.Duration) bool {
	end, stopping := l.Shutdown.RequestsEnd()
	if !stopping || l.Shutdown.Phase() != Draining {
		return l.Fits(now, expected)
	}
	return !l.Deadline.After(end)
}

// latest returns when a request is over that is expected to take some time.
func (l Limits) latest(now time.Time, expected time.Duration) time.Time {
	at := now.Add(expected)
	if !l.Deadline.IsZero() && l.Deadline.Before(at) {
		return l.Deadline
	}
	return at
}
