package drain

import (
	"context"
	"errors"
	"time"

	"laburnumgw/lib/timelimit"
)

// ErrStopping ends the context of a request that still runs when its process stops.
var ErrStopping = errors.New("the process is stopping")

// Shutdown is the planned stop of a process that serves requests.
type Shutdown struct {
	timelimit.Shutdown
	// ending ends when the requests that still run have to end.
	ending context.Context
	end    context.CancelFunc
}

// NewShutdown returns the stop of a process that serves.
func NewShutdown() *Shutdown {
	s := new(Shutdown)
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop.
func (s *Shutdown) Begin(schedule timelimit.Schedule) {
	s.Shutdown.Begin(schedule)
	time.AfterFunc(time.Until(schedule.RequestsEnd), s.end)
}

// Bound returns a context that ends with a request, or with ErrStopping when the process stops.
func (s *Shutdown) Bound(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, giveUp := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.ending, func() { giveUp(ErrStopping) })
	return ctx, func(cause error) {
		release()
		giveUp(cause)
	}
}

// Limits returns the time limits of a request.
func (s *Shutdown) Limits(deadline time.Time) timelimit.Limits {
	return timelimit.Limits{Deadline: deadline, Shutdown: &s.Shutdown}
}
