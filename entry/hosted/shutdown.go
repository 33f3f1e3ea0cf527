package hosted

import (
	"cmp"
	"context"
	"errors"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/timelimit"
)

// stoppingRetryAfter is the time that a caller is told to wait which another entry can serve at once.
const stoppingRetryAfter = 50 * time.Millisecond

// errStopping ends an exchange that still runs when the entry stops.
var errStopping = errors.New("the entry is stopping")

// shutdown is the planned stop of an entry.
type shutdown struct {
	timelimit.Shutdown
	// ending ends when the requests that still run have to end.
	ending context.Context
	end    context.CancelFunc
}

func newShutdown() *shutdown {
	s := new(shutdown)
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// begin begins the stop.
func (s *shutdown) begin(schedule timelimit.Schedule) {
	s.Begin(schedule)
	time.AfterFunc(time.Until(schedule.RequestsEnd), s.end)
}

// bound returns a context that ends with a request, or with errStopping when the entry stops.
func (s *shutdown) bound(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, giveUp := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.ending, func() { giveUp(errStopping) })
	return ctx, func(cause error) {
		release()
		giveUp(cause)
	}
}

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

// fits reports whether the request can be expected to end before the entry stops, if it is sent now.
func (c *call) fits() bool { return c.limits.Fits(time.Now(), c.expected()) }

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
	return errkind.Wrap(errStopping, errkind.NotRun, "repeat the request on another entry", "the request might outlast this entry").
		WithRetryAfter(stoppingRetryAfter)
}
