package hosted

import (
	"context"
	"errors"
	"time"

	"laburnumgw/lib/timelimit"
)

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
