package routing

import (
	"math"
	"slices"
	"time"

	"laburnumgw/lib/senders"
	"laburnumgw/lib/workerlimit"
)

const (
	// limitReturnTime is the time after the end of a limit in which the requests of this entry
	// to the endpoint are still bounded, and limitDoubling the time in which that bound doubles.
	// Without it all entries would send to the endpoint at once, which has little load.
	limitReturnTime = 4 * time.Second
	limitDoubling   = 500 * time.Millisecond
	// limitReturnBurst is the number of requests that this entry may send at once meanwhile.
	limitReturnBurst = 1
)

// statedLimit is this entry's part of the limit that an endpoint has stated.
type statedLimit struct {
	bucket workerlimit.Bucket
	// borrowed holds the table times until which requests may be sent that a sender of the
	// endpoint has handed on to this entry.
	borrowed []time.Duration
	// endedAt is when the limit ended, zero while it is in force, and returnRate the rate from
	// which the requests return.
	endedAt    time.Duration
	returnRate float64
}

// SetLimit sets this entry's part of the limit that an endpoint has stated.
func (t *Table) SetLimit(vm string, share senders.LimitShare, now time.Time) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	if e.stated == nil {
		e.stated = new(statedLimit)
		e.stated.bucket = workerlimit.NewBucket(share.Initial, t.elapsed(now))
	}
	e.stated.endedAt = 0
	e.stated.bucket.Configure(share.PerSecond, share.Burst, t.elapsed(now))
}

// EndLimit ends the limit of an endpoint. The requests return gradually, from perSecond on.
func (t *Table) EndLimit(vm string, perSecond float64, now time.Time) {
	e := t.endpoints[vm]
	if e == nil || e.stated == nil || e.stated.endedAt != 0 {
		return
	}
	e.stated.endedAt = max(t.elapsed(now), 1)
	e.stated.returnRate = perSecond
	e.stated.borrowed = nil
}

// HasLimit reports whether this entry's requests to an endpoint are bounded by a limit that is
// in force.
func (t *Table) HasLimit(vm string) bool {
	e := t.endpoints[vm]
	return e != nil && e.stated != nil && e.stated.endedAt == 0
}

// Lend takes one request from this entry's part of the limit of an endpoint, so that another
// entry can send it. Without one it returns the time after which to ask again.
func (t *Table) Lend(vm string, now time.Time) (lent bool, retryAfter time.Duration) {
	e := t.endpoints[vm]
	if e == nil || e.stated == nil || e.stated.endedAt != 0 {
		return false, 0
	}
	if !e.stated.bucket.Available(t.elapsed(now)) {
		return false, e.stated.promise(t.elapsed(now))
	}
	e.stated.bucket.Take(t.elapsed(now))
	return true, 0
}

// Borrowed records that a sender of an endpoint has handed on one request, to be sent until a
// time.
func (t *Table) Borrowed(vm string, until, now time.Time) {
	if e := t.endpoints[vm]; e != nil && e.stated != nil && e.stated.endedAt == 0 {
		e.stated.dropExpired(t.elapsed(now))
		e.stated.borrowed = append(e.stated.borrowed, t.elapsed(until))
	}
}

func (l *statedLimit) dropExpired(now time.Duration) {
	l.borrowed = slices.DeleteFunc(l.borrowed, func(until time.Duration) bool { return until < now })
}

// promise returns the time until the next request that was not promised to anyone, and promises
// it; zero if that time is not known.
func (l *statedLimit) promise(now time.Duration) time.Duration {
	if at := l.bucket.Promise(now); at != workerlimit.Never {
		return at - now
	}
	return 0
}

// nextAt returns the table time from which on the limit allows a request. An entry without a
// part of its own may borrow one at any time.
func (l *statedLimit) nextAt(now time.Duration) time.Duration {
	l.dropExpired(now)
	if len(l.borrowed) > 0 {
		return now
	}
	l.raise(now)
	if l.bucket.Available(now) {
		return now
	}
	if next := l.bucket.NextAt(now); next != workerlimit.Never {
		return next
	}
	return now + 1
}

// raise sets the rate at which the requests return after the end of the limit.
func (l *statedLimit) raise(now time.Duration) {
	if l.endedAt != 0 {
		doublings := float64(now-l.endedAt) / float64(limitDoubling)
		l.bucket.Configure(l.returnRate*math.Exp2(doublings), limitReturnBurst, now)
	}
}

// returned reports whether the bound on the requests after the end of the limit has ended.
func (l *statedLimit) returned(now time.Duration) bool {
	return l.endedAt != 0 && now-l.endedAt >= limitReturnTime
}

// take counts one request that is sent.
func (l *statedLimit) take(now time.Duration) {
	l.dropExpired(now)
	if len(l.borrowed) > 0 {
		l.borrowed = l.borrowed[1:]
		return
	}
	l.bucket.Take(now)
}

// giveBack gives back a request that was never sent.
func (l *statedLimit) giveBack(now time.Duration) { l.bucket.Return(now) }
