package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// responses is how a worker sends its responses.
type responses struct {
	// silentUntil is the end of the time in which it sends nothing.
	silentUntil time.Time
	// sent counts the responses that may have neither a length nor chunks.
	sent int
}

// Silence makes the worker send nothing for a time, neither responses nor reports. It is sound all
// the while: it receives requests, and then goes on where it stopped.
func (w *Worker) Silence(lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responses.silentUntil = time.Now().Add(lasts)
}

// awaitSilence waits until the worker may send again. It fails if the caller leaves before.
func (w *Worker) awaitSilence(ctx context.Context) error {
	for {
		w.mu.Lock()
		left := time.Until(w.responses.silentUntil)
		w.mu.Unlock()
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return fmt.Errorf("caller left a silent worker: %w", ctx.Err())
		}
	}
}

// leaveUnmarked omits length and chunks from every UnmarkedEvery-th response, which then ends with
// its connection. It reports whether it did.
func (w *Worker) leaveUnmarked(header http.Header) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.UnmarkedEvery == 0 {
		return false
	}
	w.responses.sent++
	if w.responses.sent%w.UnmarkedEvery != 0 {
		return false
	}
	// The server of net/http omits the chunks and closes the connection at the end.
	header.Set("Transfer-Encoding", "identity")
	return true
}

// respondPlain sends the response of a plain service in two parts.
func (w *Worker) respondPlain(out http.ResponseWriter, r *http.Request, body []byte) {
	text := fmt.Appendf(nil, "%s %s %s", r.Method, r.RequestURI, body)
	if !w.leaveUnmarked(out.Header()) {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	half := len(text) / 2
	for _, part := range [][]byte{text[:half], text[half:]} {
		if w.awaitSilence(r.Context()) != nil {
			return
		}
		// The write fails only when the caller has disconnected.
		_, _ = out.Write(part)
		if err := http.NewResponseController(out).Flush(); err != nil {
			return
		}
		time.Sleep(w.EventGap)
	}
}
