package hosted

import (
	"fmt"
	"net/http"
)

// Breaks is how a worker breaks off the streams that begin at it, and what it responds to those that
// are resumed there. The zero value breaks off none.
type Breaks struct {
	// After is the event after which the connection of a new stream is closed; zero for none.
	After int
	// Inside has the connection closed within the next event instead of between two.
	Inside bool
	// Failure is the status of the sealed response to a resumed stream; zero to go on with it.
	Failure int
}

// FailureText is the body of a response with the status Breaks.Failure.
const FailureText = "the engine has failed\n\n"

// SetBreaks changes how the worker breaks off streams.
func (w *Worker) SetBreaks(b Breaks) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = b
}

func (w *Worker) currentBreaks() Breaks {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaks
}

// failResumed responds with a failure to a stream that is resumed after an event, if the worker is to. It reports
// whether it did.
func (b Breaks) failResumed(out http.ResponseWriter, after int) bool {
	if b.Failure == 0 || after == 0 {
		return false
	}
	out.Header().Set("Content-Type", "text/plain")
	out.WriteHeader(b.Failure)
	fmt.Fprint(out, FailureText)
	return true
}

// breakOff closes the connection of a stream that began at the worker, before an event that is not
// due any more.
func (b Breaks) breakOff(out http.ResponseWriter, first, event int) {
	if b.After == 0 || first > 1 || event <= b.After {
		return
	}
	if b.Inside {
		fmt.Fprintf(out, "id: %d\nda", event)
		// It fails only when the caller has disconnected.
		_ = http.NewResponseController(out).Flush()
	}
	panic(http.ErrAbortHandler)
}

// breakOffStream closes the connection of a stream before an event, within it if its end is not marked: it must not look
// whole.
func breakOffStream(out http.ResponseWriter, event int, unmarked bool) {
	if unmarked {
		fmt.Fprintf(out, "id: %d\nda", event)
		// It fails only when the caller has disconnected.
		_ = http.NewResponseController(out).Flush()
	}
	panic(http.ErrAbortHandler)
}
