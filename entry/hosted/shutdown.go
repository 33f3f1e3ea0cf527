package hosted

import (
	"cmp"
	"time"

	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
)

// stoppingRetryAfter is the time that a caller is told to wait which another entry can serve at once.
const stoppingRetryAfter = 50 * time.Millisecond

// expected estimates how long the request runs at a worker.
func (c *call) expected() time.Duration {
	if c.engine != nil {
		return c.engine.Duration(c.in.PromptTokens, c.in.ExpectedOutputTokens)
	}
	return cmp.Or(c.route.Objective, c.limits.Left(time.Now()))
}

// admit refuses a new request that might outlast the entry, before its body is read.
func (c *call) admit() error {
	if c.limits.Admits(time.Now(), c.expected()) {
		return nil
	}
	c.metrics.refusedAtStop.Inc()
	return refusedAtStop()
}

// fits reports whether the request can be expected to end before the entry stops, if it is sent now. A
// stream that has begun is cut unless it is resumed, so that any part of the rest is a gain.
func (c *call) fits() bool {
	if c.relayedBytes > 0 {
		return c.limits.Fits(time.Now(), 0)
	}
	return c.limits.Fits(time.Now(), c.expected())
}

// ensureFits refuses a request that cannot be expected to end before the entry stops.
func (c *call) ensureFits() error {
	if c.fits() {
		return nil
	}
	if c.attempts == 0 {
		c.metrics.refusedAtStop.Inc()
	}
	return refusedAtStop()
}

func refusedAtStop() error {
	return errkind.Wrap(drain.ErrStopping, errkind.NotRun, "repeat the request on another entry", "the request might outlast this entry").
		WithRetryAfter(stoppingRetryAfter)
}
