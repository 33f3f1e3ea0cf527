package hosted

import (
	"fmt"
	"net/http"
	"testing"
)

// unmarked writes the head of a stream without length and chunks, which ends with its connection.
func (e *workerExchange) unmarked() {
	e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/event-stream")
}

// Guards against a stream without length and chunks that breaks off inside an event, or before the
// first one, and is passed on as complete.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const event = "id: %d\ndata: x\n\n"
	for name, c := range map[string]struct {
		respond  workerScript
		status   int
		cut      bool
		body     string
		arrivals int
	}{
		"whole": {func(e *workerExchange) {
			e.unmarked()
			fmt.Fprintf(e, event+event, 1, 2)
			e.Close()
		}, http.StatusOK, false, events(1, 2), 1},
		"after an event, in a crash": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "1" {
				fmt.Fprintf(e, event, 2)
				e.Close()
				return
			}
			fmt.Fprintf(e, event, 1)
			e.crash()
		}, http.StatusOK, false, events(1, 2), 2},
		"inside an event, resumed": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "1" {
				fmt.Fprintf(e, event, 2)
			} else {
				fmt.Fprintf(e, event+"id: 2\nda", 1)
			}
			e.Close()
		}, http.StatusOK, false, events(1, 2), 2},
		"inside an event, each time": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "" {
				fmt.Fprintf(e, event, 1)
			}
			fmt.Fprint(e, "id: 2\ndata")
			e.Close()
		}, http.StatusOK, true, events(1, 1), 2},
		"before the first event": {func(e *workerExchange) {
			e.unmarked()
			e.Close()
		}, http.StatusBadGateway, false, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				for _, worker := range []string{"w1", "w2"} {
					d.worker("llm", worker, 1, func(e *workerExchange) {
						e.crash = func() {
							d.mu.Lock()
							defer d.mu.Unlock()
							d.refused[worker] = true
							e.Close()
						}
						c.respond(e)
					})
				}
				got := d.askWith(t, "cc:1")
				if got.status != c.status || got.cut != c.cut || (c.body != "" && got.body != c.body) || len(d.arrived()) != c.arrivals {
					t.Errorf("response %+v, %d arrivals", got, len(d.arrived()))
				}
			})
		})
	}
}
