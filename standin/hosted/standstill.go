package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// errDeadline is the cause of the end of a request whose time has passed.
var errDeadline = errors.New("the deadline of the request has passed")

// standstill is the time in which a worker makes no progress.
type standstill struct {
	from, until time.Time
	// before is the length of all earlier ones.
	before time.Duration
}

// stood returns how long the worker stood still until a time.
func (s standstill) stood(now time.Time) time.Duration {
	if now.After(s.until) {
		now = s.until
	}
	return s.before + max(0, now.Sub(s.from))
}

// StandStill stops all progress of the worker for a time: it accepts connections, and reads, runs, loads and writes
// nothing. Then it goes on where it stopped. A later call extends the time.
func (w *Worker) StandStill(lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, still := time.Now(), &w.standstill
	until := now.Add(lasts)
	if now.Before(still.until) {
		now, until = still.until, latest(still.until, until)
		still.until = until
	} else {
		*still = standstill{now, until, still.stood(now)}
	}
	if load := w.weights.pending; load != nil && load.readyAt.After(now) {
		load.readyAt = load.readyAt.Add(until.Sub(now))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stoodStill returns how long the worker has stood still so far, and what is left of a standstill.
func (w *Worker) stoodStill() (total, left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return w.standstill.stood(now), max(0, w.standstill.until.Sub(now))
}

// awaitProgress waits until the worker does not stand still.
func (w *Worker) awaitProgress() {
	_ = w.work(context.Background(), 0) // it fails only with the context
}

// work waits until the worker has worked for a time, in which a standstill does not count. It fails if the context ends,
// which the worker does not notice while it stands still. With no time to wait only a deadline ends it.
func (w *Worker) work(ctx context.Context, lasts time.Duration) error {
	begun := time.Now()
	before, _ := w.stoodStill()
	for waited := false; ; waited = true {
		stood, still := w.stoodStill()
		if still > 0 {
			time.Sleep(still)
			continue
		}
		if cause := context.Cause(ctx); cause != nil && (waited || errors.Is(cause, errDeadline)) {
			return fmt.Errorf("work on a request: %w", cause)
		}
		left := lasts - (time.Since(begun) - (stood - before))
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
		}
	}
}

// withDeadline returns a context that ends when the time which a request states has passed since its arrival, unless the
// worker ignores that.
func (w *Worker) withDeadline(ctx context.Context, r *http.Request, arrived time.Time) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("X-Laburnumgw-Deadline-Ms"))
	if err != nil || w.currentWaits().IgnoresDeadline {
		return ctx, func() {}
	}
	return context.WithDeadlineCause(ctx, arrived.Add(time.Duration(ms)*time.Millisecond), errDeadline)
}

// endUnwritten ends a request of which nothing has been written, because its caller has left or its deadline has passed.
func endUnwritten(out http.ResponseWriter, cause error) {
	if errors.Is(cause, errDeadline) {
		out.WriteHeader(http.StatusGatewayTimeout)
	}
}
