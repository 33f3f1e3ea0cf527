package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Waits is how requests wait at a model worker before they begin. The zero value makes them begin at once.
type Waits struct {
	// Lasts is how long each request waits.
	Lasts time.Duration
	// RunsClosed has the worker run also a request whose connection was closed while it waited.
	RunsClosed bool
	// IgnoresDeadline has the worker work on after the time that a request states.
	IgnoresDeadline bool
}

// Start is the beginning of a request on a version of the weights.
type Start struct {
	ID      string
	Version int
	// Arrived is when the request arrived, and At when it began.
	Arrived, At time.Time
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

func (w *Worker) currentWaits() Waits {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waits
}

// awaitStart waits until a request begins on a version. It fails if the worker drops it, because its caller
// has left, its deadline has passed or the worker has started again. A load of other weights waits for the
// requests that wait.
func (w *Worker) awaitStart(ctx, unclosed context.Context, s Start) error {
	w.mu.Lock()
	waits, restarts := w.waits, w.restarts
	w.mu.Unlock()
	if waits.RunsClosed {
		ctx = unclosed
	}
	if err := w.work(ctx, waits.Lasts); err != nil {
		return fmt.Errorf("request that waited: %w", err)
	}
	if err := w.awaitSilence(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restarts != restarts {
		return errRestarted
	}
	s.At = time.Now()
	w.starts = append(w.starts, s)
	return nil
}

// refuseQueued refuses a request whose deadline has passed before it began, and that does not count as run.
func (w *Worker) refuseQueued(out http.ResponseWriter, id string) {
	w.mu.Lock()
	w.runs[id]--
	w.mu.Unlock()
	out.Header().Del("X-Laburnumgw-Server-Seal")
	refuse(out)
}
