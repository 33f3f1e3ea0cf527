package workerlimit

import (
	"math"
	"time"
)

// Bucket is a token bucket: one sender's part of a limit. Times are durations since any fixed
// origin.
type Bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	filledAt  time.Duration
	// promisedUntil is the time up to which the tokens are promised to callers that were refused.
	promisedUntil time.Duration
}

// NewBucket returns a bucket without a rate that holds tokens until it is configured. Less than
// one token adds no burst to those of the other senders.
func NewBucket(tokens float64, now time.Duration) Bucket {
	return Bucket{tokens: tokens, burst: tokens, filledAt: now}
}

// roundingSlack keeps a floating-point error from delaying a token that is due.
const roundingSlack = 1e-9

// Configure replaces the rate and the number of tokens that the bucket can hold. The tokens that
// it holds stay, up to that number.
func (b *Bucket) Configure(perSecond, burst float64, now time.Duration) {
	b.fill(now)
	if b.perSecond != perSecond {
		b.promisedUntil = 0
	}
	b.perSecond, b.burst = perSecond, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) fill(now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.tokens = min(b.tokens+b.perSecond*(now-b.filledAt).Seconds(), b.burst)
	b.filledAt = now
}

// Available reports whether the bucket holds a token.
func (b *Bucket) Available(now time.Duration) bool {
	b.fill(now)
	return b.tokens >= 1-roundingSlack
}

// Take takes a token for a request that is sent, also from an empty bucket.
func (b *Bucket) Take(now time.Duration) {
	b.fill(now)
	b.tokens--
}

// Return gives back a token that was taken for a request that was Never sent.
func (b *Bucket) Return(now time.Duration) {
	b.fill(now)
	b.tokens = min(b.tokens+1, b.burst)
}

// Never is the time of a token that a bucket without a rate will hold.
const Never = time.Duration(math.MaxInt64 / 4)

// NextAt returns when the bucket will hold a token that was not promised to anyone.
func (b *Bucket) NextAt(now time.Duration) time.Duration {
	b.fill(now)
	if b.perSecond <= 0 || b.burst < 1 {
		return Never
	}
	next := now
	if missing := 1 - b.tokens; missing > roundingSlack {
		next += b.after(missing)
	}
	if b.promisedUntil > now {
		next = max(next, b.promisedUntil+b.after(1))
	}
	return next
}

// maxPromise bounds how far ahead tokens are promised. Most callers that were refused for so long
// do not return, and the promises must not outlast the overload.
const maxPromise = 10 * time.Second

// Promise returns NextAt and promises that token, so that callers that are refused at the same
// time are told different times.
func (b *Bucket) Promise(now time.Duration) time.Duration {
	next := b.NextAt(now)
	if next == Never {
		return Never
	}
	if b.promisedUntil > now {
		next = min(next, max(b.promisedUntil, now+maxPromise))
	}
	b.promisedUntil = next
	return next
}

// after returns the time in which a number of tokens is added.
func (b *Bucket) after(tokens float64) time.Duration {
	seconds := tokens / b.perSecond
	if seconds >= Never.Seconds() {
		return Never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
