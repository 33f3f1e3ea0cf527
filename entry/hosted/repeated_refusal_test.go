package hosted

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// refuse writes a refusal of a request with an id; empty for a refusal without one.
func (e *workerExchange) refuse(id string) {
	text := fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: 1\r\nContent-Length: 0\r\n", notRunHeader)
	if id != "" {
		text += fmt.Sprintf("%s: %s\r\n", idHeader, id)
	}
	fmt.Fprint(e, text+"\r\n")
}

// Guards against a refusal that a worker writes once more, on a kept connection, and that is taken
// for the answer to a request which it runs: the caller was told that it had not run.
func TestRepeatedRefusalIsNotTheAnswerOfALaterRequest(t *testing.T) {
	for name, id := range map[string]string{"of the same id": "r1", "of another id": "other", "without an id": ""} {
		for _, target := range []string{"/view/x", "/book/x"} {
			t.Run(name+" "+target, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, d *deployment) {
					var refusals, ran atomic.Int32
					last := make(map[any]bool)
					d.worker("desk", "w1", 0, func(e *workerExchange) {
						if refusals.Add(1) == 1 {
							last[e.Conn] = true
							e.refuse(e.request.Header.Get(idHeader))
							return
						}
						if last[e.Conn] {
							e.refuse(id)
						}
						ran.Add(1)
						e.complete(http.StatusOK, "done")
					})
					// The worker is asked once, refuses, and is asked again by the caller's repeat.
					if got := d.ask(t.Context(), http.MethodGet, target, "", deadlineHeader, "2500"); got.status != http.StatusServiceUnavailable {
						t.Fatalf("response %+v", got)
					}
					got := d.ask(t.Context(), http.MethodGet, target, "", deadlineHeader, "2500")
					if ran.Load() != 1 || got.status != http.StatusOK {
						t.Errorf("ran %d times, response %+v", ran.Load(), got)
					}
				})
			})
		}
	}
}

// Guards against a refusal without an id that follows a response to another request: it may be as old.
func TestRefusalWithoutIDAfterAnotherResponseIsNotBelieved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		for _, worker := range []string{"w1", "w2"} {
			d.worker("desk", worker, 0, func(e *workerExchange) {
				e.refuse("other")
				e.refuse("")
				e.Close()
			})
		}
		got := d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "2500")
		if got.status != http.StatusBadGateway || len(d.arrived()) != 1 {
			t.Errorf("response %+v after %d attempts", got, len(d.arrived()))
		}
	})
}
