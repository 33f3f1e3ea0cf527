package hosted

import (
	"maps"
	"net/http"
	"time"
)

// Pause is how long a worker sent nothing of a stream.
type Pause struct {
	// Observed lasts until the next event, or until the connection was closed, and includes what was left of a silence
	// when the worker closed it without a mark of the end: it tells nobody that the stream is whole before. Meant
	// includes what was left of a silence or a standstill in any case.
	Observed, Meant time.Duration
}

// Pauses returns the longest pause of each stream by the id of its request.
func (w *Worker) Pauses() map[string]Pause {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.pauses)
}

// recordPause records a pause that ends now.
func (w *Worker) recordPause(id string, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordPauseUntil(time.Now(), id, since)
}

// recordUnmarkedEnd records the pause after the last event of a stream without length and chunks that is whole.
func (w *Worker) recordUnmarkedEnd(id string, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordPauseUntil(latest(time.Now(), w.responses.silentUntil), id, since)
}

// recordPauseUntil records a pause. The caller holds the lock.
func (w *Worker) recordPauseUntil(end time.Time, id string, since time.Time) {
	observed, meant := end.Sub(since), latest(w.responses.silentUntil, w.standstill.until).Sub(since)
	if w.pauses == nil {
		w.pauses = make(map[string]Pause)
	}
	longest := w.pauses[id]
	w.pauses[id] = Pause{max(longest.Observed, observed), max(longest.Meant, observed, meant)}
}

func (w *Worker) runEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.beginLoad()
}

// refuse refuses a request that has not run.
func refuse(out http.ResponseWriter) {
	out.Header().Set("X-Laburnumgw-Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}
