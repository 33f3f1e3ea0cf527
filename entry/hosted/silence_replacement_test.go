package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against an answer that is ended for the silence of its worker before another worker has begun
// one: the connection to the silent worker was closed first, and when the worker that was asked instead
// refused, closed its connection or had other weights, the caller got a cut stream or an error, although the
// first worker went on a moment later.
func TestSilentWorkerIsGivenUpOnlyOnceAnotherHasBegun(t *testing.T) {
	// Longer than the patience for silent workers, and shorter than callers wait.
	const midStreamSilence, firstSilence = 2300 * time.Millisecond, 1700 * time.Millisecond
	replacements := map[string]workerScript{
		"refuses": func(e *workerExchange) {
			e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
		},
		"closes":                       func(e *workerExchange) { e.Close() },
		"is misdirected":               func(e *workerExchange) { e.head(http.StatusMisdirectedRequest, "Content-Length", "0") },
		"fails":                        func(e *workerExchange) { e.complete(http.StatusInternalServerError, "failed") },
		"sends no seal":                func(e *workerExchange) { e.head(http.StatusOK, versionHeader, "1", "Content-Length", "0") },
		"is silent":                    func(*workerExchange) { <-time.After(10 * time.Second) },
		"sends a head and is silent":   func(e *workerExchange) { e.stream(1); <-time.After(10 * time.Second) },
		"closes before an event":       func(e *workerExchange) { e.stream(1); e.chunk("id: "); e.Close() },
		"answers with other weights":   func(e *workerExchange) { e.stream(2); e.events(3, 4); e.end() },
		"begins the stream once again": func(e *workerExchange) { e.stream(1); e.events(1, 4); e.end() },
	}
	wholeAgain := map[string]bool{"answers with other weights": true, "begins the stream once again": true}
	for name, replacement := range replacements {
		for _, route := range []string{"begun stream", "stream", "plain"} {
			if route != "begun stream" && wholeAgain[name] {
				continue // a proper answer there
			}
			t.Run(fmt.Sprintf("%s, the other worker %s", route, name), func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
					service, method, target, body := "llm", http.MethodPost, "/chat/x", events(1, 4)
					if route == "plain" {
						service, method, target, body = "desk", http.MethodGet, "/view/x", "done"
					}
					first := true
					respond := func(e *workerExchange) {
						if !first {
							replacement(e)
							return
						}
						first = false
						for _, id := range []string{"w2", "w3"} {
							s.worker(service, id, 1, replacement)
						}
						switch route {
						case "begun stream":
							e.stream(1)
							e.events(1, 2)
							<-time.After(midStreamSilence)
							e.events(3, 4)
							e.end()
						case "stream":
							<-time.After(firstSilence)
							e.stream(1)
							e.events(1, 4)
							e.end()
						case "plain":
							<-time.After(midStreamSilence)
							done(e)
						}
					}
					s.worker(service, "w1", 1, respond)
					got := s.connect().ask(requestText(method, target, "", deadlineHeader, "6000"))
					if got.cut || got.status != http.StatusOK || got.body != body {
						t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
					}
				})
			})
		}
	}
}
