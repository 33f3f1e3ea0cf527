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

// Guards against a plain answer without length and chunks that its worker's crash has cut short, and
// that is passed on as complete.
func TestPlainResponseThatEndsInACrashIsBrokenOff(t *testing.T) {
	for name, c := range map[string]struct {
		crash     bool
		target    string
		status    int
		body      string
		arrivals  int
		isListed  bool
		isLeaving bool
	}{
		"whole, safe":                 {target: "/view/x", status: http.StatusOK, body: "half", arrivals: 1, isListed: true},
		"whole, unsafe":               {target: "/book/x", status: http.StatusOK, body: "half", arrivals: 1, isListed: true},
		"crash, safe":                 {crash: true, target: "/view/x", status: http.StatusOK, body: "done", arrivals: 2, isListed: true},
		"crash, unsafe":               {crash: true, target: "/book/x", status: http.StatusBadGateway, arrivals: 1, isListed: true},
		"end of one that leaves":      {crash: true, target: "/book/x", status: http.StatusOK, body: "half", arrivals: 1, isListed: true, isLeaving: true},
		"end of one not listed":       {crash: true, target: "/book/x", status: http.StatusOK, body: "half", arrivals: 1},
		"end of one not listed, safe": {crash: true, target: "/view/x", status: http.StatusOK, body: "half", arrivals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.worker("desk", "d1", 0, func(e *workerExchange) {
					s.worker("desk", "d2", 0, done)
					switch {
					case c.isLeaving:
						s.put("servers", "d1", workerEntry("desk", "d1", "draining", 0))
					case !c.isListed:
						s.remove("servers", "d1")
					}
					e.head(http.StatusOK, sealHeader, "seal")
					fmt.Fprint(e, "half")
					if c.crash {
						s.mu.Lock()
						s.refused["d1"] = true
						s.mu.Unlock()
					}
					e.Close()
				})
				got := s.connect().ask(requestText(http.MethodPost, c.target, "b", deadlineHeader, "2500"))
				if got.cut || got.status != c.status || (c.body != "" && got.body != c.body) || len(s.arrived()) != c.arrivals {
					t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
				}
			})
		})
	}
}
