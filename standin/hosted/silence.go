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

// awaitSilence waits until the worker may send again. It fails if the caller leaves before, or the deadline passes.
func (w *Worker) awaitSilence(ctx context.Context) error {
	for {
		if err := w.work(ctx, 0); err != nil {
			return err
		}
		w.mu.Lock()
		left := time.Until(w.responses.silentUntil)
		w.mu.Unlock()
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return fmt.Errorf("a silent worker sends nothing: %w", context.Cause(ctx))
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
func (w *Worker) respondPlain(ctx context.Context, out http.ResponseWriter, r *http.Request, body []byte) {
	text := fmt.Appendf(nil, "%s %s %s", r.Method, r.RequestURI, body)
	if !w.leaveUnmarked(out.Header()) {
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	half := len(text) / 2
	for i, part := range [][]byte{text[:half], text[half:]} {
		if err := w.awaitSilence(ctx); err != nil && i > 0 {
			panic(http.ErrAbortHandler)
		} else if err != nil {
			out.Header().Del("Content-Length")
			endUnwritten(out, err)
			return
		}
		// The write fails only when the caller has disconnected.
		_, _ = out.Write(part)
		if err := http.NewResponseController(out).Flush(); err != nil {
			return
		}
		if err := w.work(ctx, w.EventGap); err != nil && i == 0 {
			panic(http.ErrAbortHandler)
		}
	}
}
