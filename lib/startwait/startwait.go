// Package startwait estimates how long a request waits at a worker before it begins, from the
// requests that an entry has sent there and from what the worker reports.
package startwait

import (
	"slices"
	"time"
)

const (
	// halfWindow is half of the time for which a wait counts. An entry among many sends to a
	// worker once in a few seconds.
	halfWindow = 3 * time.Second
	// headroom is the multiple of the longest known wait that a request is expected to wait at
	// most: the queue grows while a request waits in it.
	headroom = 1.5
)

// Estimator holds the waits at one worker, or at all workers of a service. The zero value knows
// none. It is not safe for concurrent use.
type Estimator struct {
	// halves are the observations of the current and the previous half of the window, and halfFrom is
	// the start of the current one.
	halves   [2]observations
	halfFrom time.Time
	// waiting holds the requests that were sent and have not begun, in order; sent counts all.
	waiting []request
	sent    uint64
}

// observations are the waits of some time.
type observations struct {
	// longest is the longest wait, and begun is set if a request has begun.
	longest time.Duration
	begun   bool
}

// request is a request that waits.
type request struct {
	number uint64
	sentAt time.Time
}

// Sent records that a request was sent, and returns its number.
func (e *Estimator) Sent(now time.Time) uint64 {
	e.sent++
	e.waiting = append(e.waiting, request{e.sent, now})
	return e.sent
}

// Ended records that a request has begun, or was given up before, and returns how long it has waited. It
// returns zero for a request that does not wait.
func (e *Estimator) Ended(number uint64, begun bool, now time.Time) time.Duration {
	sentAt, ok := e.remove(number)
	if !ok {
		return 0
	}
	wait := now.Sub(sentAt)
	if begun {
		e.Observe(wait, now)
	} else {
		e.ObserveAtLeast(wait, now)
	}
	return wait
}

// Forget removes a request that tells nothing about the wait, because it was refused or never
// reached the worker.
func (e *Estimator) Forget(number uint64) { e.remove(number) }

func (e *Estimator) remove(number uint64) (sentAt time.Time, ok bool) {
	i := slices.IndexFunc(e.waiting, func(r request) bool { return r.number == number })
	if i < 0 {
		return time.Time{}, false
	}
	sentAt = e.waiting[i].sentAt
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return sentAt, true
}

// Observe records a wait.
func (e *Estimator) Observe(wait time.Duration, now time.Time) {
	e.ObserveAtLeast(wait, now)
	e.halves[0].begun = true
}

// ObserveAtLeast records a wait after which a request had not begun.
func (e *Estimator) ObserveAtLeast(wait time.Duration, now time.Time) {
	e.advance(now)
	e.halves[0].longest = max(e.halves[0].longest, wait)
}

func (e *Estimator) advance(now time.Time) {
	switch age := now.Sub(e.halfFrom); {
	case age >= 2*halfWindow:
		e.halves = [2]observations{}
		e.halfFrom = now
	case age >= halfWindow:
		e.halves = [2]observations{{}, e.halves[0]}
		e.halfFrom = e.halfFrom.Add(halfWindow)
	}
}

// Suspended records that the machine was suspended, which the monotonic clock does not count: what
// waits has waited longer, and what is known is older.
func (e *Estimator) Suspended(length time.Duration) {
	for i := range e.waiting {
		e.waiting[i].sentAt = e.waiting[i].sentAt.Add(-length)
	}
	e.halfFrom = e.halfFrom.Add(-length)
}

// Longest returns the longest wait that was observed within the window, zero for none.
func (e *Estimator) Longest(now time.Time) time.Duration {
	e.advance(now)
	return max(e.halves[0].longest, e.halves[1].longest)
}

// Known reports whether a request has begun within the window. Otherwise a request may wait longer
// than all that were given up.
func (e *Estimator) Known(now time.Time) bool {
	e.advance(now)
	return e.halves[0].begun || e.halves[1].begun
}

// Expected returns how long a request that is sent now is expected to wait at most.
func (e *Estimator) Expected(now time.Time) time.Duration {
	wait := e.Longest(now)
	if len(e.waiting) > 0 {
		wait = max(wait, now.Sub(e.waiting[0].sentAt))
	}
	return time.Duration(headroom * float64(wait))
}

// Allowance is what may delay the beginning of a request besides its wait.
type Allowance struct {
	// Standstill is how long the worker may make no progress meanwhile.
	Standstill time.Duration
	// Reading is the least wait that is expected: the worker reads the prompt.
	Reading time.Duration
}

// SendUntil returns until when a request may be sent that is to begin before a bound, if nothing
// more is heard of the worker. All that may delay it is added up.
func (e *Estimator) SendUntil(bound time.Time, allowed Allowance, now time.Time) time.Time {
	last := bound.Add(-allowed.Standstill)
	until := last.Add(-max(allowed.Reading, time.Duration(headroom*float64(e.Longest(now)))))
	if len(e.waiting) == 0 {
		return until
	}
	// A request waits on while the bound comes closer.
	oldest := e.waiting[0].sentAt
	if waits := oldest.Add(time.Duration(float64(last.Sub(oldest)) / (1 + headroom))); waits.Before(until) {
		return waits
	}
	return until
}
