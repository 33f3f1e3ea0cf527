package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of the backoff.
const (
	DefaultBaseDelay = 10 * time.Millisecond
	DefaultMaxDelay  = time.Second
)

// Backoff computes delays with full jitter: uniform between zero and a bound that
// doubles with each retry.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before the given retry, counted from 1.
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	bound := b.Base
	for i := 1; i < retry && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}
