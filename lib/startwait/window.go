package startwait

import "time"

// answerTime is the time in which the answer of a worker arrives that has refused a request at its time limit.
const answerTime = 100 * time.Millisecond

// Window tells until when requests are sent to a worker on whose weights none may begin after a bound. The zero value
// has no bound.
type Window struct {
	// Bound is when the last request must have begun, and what still waits is given up.
	Bound time.Time
	// TimeLimit is when a worker that was told so ends a request: answerTime before the bound.
	TimeLimit time.Time
	// SendUntil is the time from which on no request is sent.
	SendUntil time.Time
	// OpenUntil is the time from which on a request is sent only with TimeLimit, which the worker keeps. Before, all that may delay the beginning of a request ends before the bound when it is added up.
	OpenUntil time.Time
	// Wait is how long a request is expected to wait at the worker.
	Wait time.Duration
}

// EndBy returns the time by which a request would have to end if it did not wait, so that the worker does not break it off.
func (w Window) EndBy() time.Time { return w.TimeLimit.Add(-w.Wait) }

// SendsUntil returns the time from which on a request that runs for a time is not sent, zero for none.
func (w Window) SendsUntil(runs time.Duration) time.Time {
	if w.Bound.IsZero() {
		return time.Time{}
	}
	until := w.EndBy().Add(-runs)
	if until.Before(w.OpenUntil) {
		until = w.OpenUntil
	}
	if w.SendUntil.Before(until) {
		return w.SendUntil
	}
	return until
}

// Limits reports whether a request that is sent now, and runs for a time, gets TimeLimit: if it is expected to end by
// then. One that runs longer would be broken off.
func (w Window) Limits(runs time.Duration, now time.Time) bool {
	return !w.Bound.IsZero() && (!now.Add(runs).After(w.EndBy()) || !now.Before(w.OpenUntil))
}

// Earliest returns the window that allows no more than either of two on the same bound.
func (w Window) Earliest(other Window) Window {
	if other.SendUntil.Before(w.SendUntil) {
		w.SendUntil = other.SendUntil
	}
	if other.OpenUntil.Before(w.OpenUntil) {
		w.OpenUntil = other.OpenUntil
	}
	w.Wait = max(w.Wait, other.Wait)
	return w
}

// Window returns until when requests may be sent that are to begin before a bound, if nothing more is heard of the
// worker: not later than floor before the bound. A standstill of the worker adds to the wait in its queue.
func (e *Estimator) Window(bound time.Time, floor, standstill time.Duration, now time.Time) Window {
	wait := e.Longest(now)
	if len(e.waiting) > 0 {
		wait = max(wait, now.Sub(e.waiting[0].sentAt))
	}
	return Window{
		Bound: bound, TimeLimit: bound.Add(-answerTime), SendUntil: e.SendUntil(bound, floor, now), OpenUntil: e.SendUntil(bound.Add(-standstill), 0, now), Wait: wait,
	}
}
