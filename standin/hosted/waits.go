package hosted

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Waits is how requests wait at a model worker before they begin. The zero value makes them begin at once.
type Waits struct {
	// Lasts is how long each request waits.
	Lasts time.Duration
	// RunsClosed has the worker run also a request whose connection was closed while it waited.
	RunsClosed bool
}

// Start is the beginning of a request on a version of the weights.
type Start struct {
	ID      string
	Version int
	At      time.Time
}

var errRestarted = errors.New("the worker has started again")

// SetWaits changes how requests wait.
func (w *Worker) SetWaits(waits Waits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waits = waits
}

// Starts returns the beginnings of all requests to a model worker.
func (w *Worker) Starts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// awaitStart waits until a request begins on a version. It fails if the worker drops it, because its caller
// has left or the worker has started again. A load of other weights waits for the requests that wait.
func (w *Worker) awaitStart(ctx context.Context, id string, version int) error {
	w.mu.Lock()
	waits, restarts := w.waits, w.restarts
	w.mu.Unlock()
	if waits.RunsClosed {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(waits.Lasts):
	case <-ctx.Done():
		return fmt.Errorf("caller left while the request waited: %w", ctx.Err())
	}
	if err := w.awaitSilence(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restarts != restarts {
		return errRestarted
	}
	w.starts = append(w.starts, Start{id, version, time.Now()})
	return nil
}
