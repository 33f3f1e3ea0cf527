package hosted

import (
	"errors"
	"os"
	"time"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/startwait"
	"laburnumgw/lib/workerconn"
)

const (
	// maxSilencePatience bounds the patience for a silent worker on routes whose callers wait longer, so
	// that a request at a worker that has gone dark is repeated in time.
	maxSilencePatience = 2 * time.Second
	// minSilencePatience outlasts the silence of a sound worker. It is less than the time for which the
	// entry waits for an event on any route.
	minSilencePatience = startwait.MaxStandstill
	// reportPollInterval is the pause between two checks whether an unresponsive worker still
	// reports, or another one can be asked beside it.
	reportPollInterval = 200 * time.Millisecond
	// hedgePollInterval is the pause between two checks whether another worker that was asked has begun.
	hedgePollInterval = 20 * time.Millisecond
)

// endedForSilence reports whether an attempt was given up because its worker sent nothing, while the
// connection was open.
func endedForSilence(err error) bool {
	return errors.Is(err, workerconn.ErrUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
}

// silencePatience returns how long a worker that neither sends anything nor reports is waited for
// before a repeatable request is sent to another one as well. Sound workers fall silent for a second or so, so
// that it is as long as callers of a stream wait, less the objective, within which the other one has to
// begin. That is 1.5 s at least, and maxSilencePatience at most.
func silencePatience(route *catalog.Route) time.Duration {
	return min(maxSilencePatience, route.CallerEventTimeout()-route.Objective)
}

// firstEventPatience is silencePatience before the first event of a stream, for which the entry waits
// firstEventReserve less than callers. It leaves the repeat the objective, or firstEventReserve, unless
// minSilencePatience is longer.
func firstEventPatience(route *catalog.Route) time.Duration {
	left := route.CallerEventTimeout() - firstEventReserve - max(route.Objective, firstEventReserve)
	return min(maxSilencePatience, max(minSilencePatience, left))
}

// silenceEnd returns how long a worker that sends nothing is waited for in any case, from the time at which the request was
// sent to it on: until the request is over, or until the caller of a stream has left for certain.
func (a *attempt) silenceEnd() time.Duration {
	if a.route.Kind == catalog.Stream && a.route.Repeatable() {
		return a.route.CallerEventTimeout() + firstEventReserve
	}
	return a.limits.Left(a.sentAt)
}

// eventTimeout returns how long to wait for the next event of a stream that is relayed, or nil for no limit
// when it must not be repeated.
func (a *attempt) eventTimeout() workerconn.TimeoutFunc {
	return a.hedgedTimeout(silencePatience(a.route))
}

// hedgedTimeout returns how long to wait for the worker of the attempt that the caller waits for. After the
// patience the request is sent to another worker as well, and the wait ends once that one has begun to
// respond. A model worker that reports is alive and only busy, so it gets most of the time that callers wait.
func (a *attempt) hedgedTimeout(patience time.Duration) workerconn.TimeoutFunc {
	if !a.route.Repeatable() {
		return nil
	}
	busy, end := time.Duration(0), a.silenceEnd()
	if a.route.Kind == catalog.Stream {
		busy = a.route.CallerEventTimeout() - firstEventReserve
	}
	return func(waited time.Duration) time.Duration {
		switch {
		case a.hedge == nil && waited < patience:
			return patience - waited
		case a.hedge == nil && waited < busy && a.view.reporting(a.decision.VM):
			return min(busy-waited, reportPollInterval)
		case waited >= end || a.hedgeHasBegun(a):
			return 0
		case a.hedge != nil:
			return min(end-waited, hedgePollInterval)
		}
		return min(end-waited, reportPollInterval)
	}
}

// firstEventTimeout is hedgedTimeout for the head and the first event of a response.
func (a *attempt) firstEventTimeout() workerconn.TimeoutFunc {
	return a.untilBound(a.hedgedTimeout(a.firstPatience()))
}

// firstPatience returns how long the head and the first event of a response are waited for before another worker is
// asked.
func (a *attempt) firstPatience() time.Duration {
	if a.route.Kind == catalog.Stream && !a.continues {
		return firstEventPatience(a.route)
	}
	return silencePatience(a.route)
}

// lastTimeout returns how long to wait for the worker of an attempt beside a silent one. Whether the request is
// sent to yet another one is not decided here.
func (a *attempt) lastTimeout() workerconn.TimeoutFunc {
	end := a.silenceEnd()
	return a.untilBound(func(waited time.Duration) time.Duration { return min(end-waited, reportPollInterval) })
}

// remainderTimeout returns how long to wait for more of a response that has begun to arrive. A worker may fall
// silent amid a head, a body or an event as well.
func (a *attempt) remainderTimeout() workerconn.TimeoutFunc {
	end := a.silenceEnd()
	alone := func(waited time.Duration) time.Duration { return end - waited }
	timeout := a.eventTimeout()
	if timeout == nil || a.beside {
		return alone
	}
	return func(waited time.Duration) time.Duration {
		if a.readsAhead.Load() {
			return min(alone(waited), reportPollInterval)
		}
		return timeout(waited)
	}
}

// untilBound ends a wait for a response to begin at the bound of the weights, after which a request must
// not start on them, also when the bound has come closer since.
func (a *attempt) untilBound(timeout workerconn.TimeoutFunc) workerconn.TimeoutFunc {
	if a.engine == nil {
		return timeout
	}
	window, expected := a.startLimits(a.decision)
	a.expectedWait = expected
	if window.Bound.IsZero() && timeout == nil {
		return nil
	}
	now := time.Now()
	return func(time.Duration) time.Duration {
		more := reportPollInterval
		if window, _ := a.startLimits(a.decision); !window.Bound.IsZero() {
			a.weightsLeft = window.Bound.Sub(now)
			more = min(more, time.Until(a.limits.StartBy(window.Bound)))
		}
		if timeout != nil {
			more = min(more, timeout(time.Since(now)))
		}
		return more
	}
}

// sendUntil returns the time from which on the request is not sent any more, nil without an engine.
func (a *attempt) sendUntil() func() time.Time {
	if a.engine == nil {
		return nil
	}
	return func() time.Time {
		window, _ := a.startLimits(a.decision)
		return window.SendUntil
	}
}
