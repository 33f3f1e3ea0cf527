package drain

import (
	"context"
	"errors"
	"sync"
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
	// ended ends when the process has to end.
	ended context.Context
	exit  context.CancelFunc

	mu     sync.Mutex
	timers []*time.Timer
	onMove func(timelimit.Schedule)
}

// NewShutdown returns the stop of a process that serves.
func NewShutdown() *Shutdown {
	s := new(Shutdown)
	s.ending, s.end = context.WithCancel(context.Background())
	s.ended, s.exit = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop.
func (s *Shutdown) Begin(schedule timelimit.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(schedule)
}

// follow replaces the schedule. The caller holds the lock.
func (s *Shutdown) follow(schedule timelimit.Schedule) {
	s.Shutdown.Begin(schedule)
	for _, timer := range s.timers {
		timer.Stop()
	}
	s.timers = []*time.Timer{time.AfterFunc(time.Until(schedule.RequestsEnd), s.end), time.AfterFunc(time.Until(schedule.ProcessEnd), s.exit)}
}

// OnMove has a function called with each later schedule.
func (s *Shutdown) OnMove(moved func(timelimit.Schedule)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onMove = moved
}

// Suspended moves the times of a stop that has begun forward by the length of a suspension of the machine, which
// the monotonic clock does not count.
func (s *Shutdown) Suspended(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	schedule, stopping := s.Schedule()
	if !stopping {
		return
	}
	schedule = schedule.Earlier(length)
	s.follow(schedule)
	if s.onMove != nil {
		s.onMove(schedule)
	}
}

// Ended returns a context that ends when the process has to end.
func (s *Shutdown) Ended() context.Context { return s.ended }

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
