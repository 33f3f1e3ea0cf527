package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against an answer that is ended because its worker falls silent inside it, before another worker has begun
// one: after the head of a plain response, or inside an event, the connection was closed after two seconds, and the
// caller got an error or a cut stream if the request could not be sent to another worker.
func TestSilenceInsideAResponseEndsNothing(t *testing.T) {
	// Longer than the patience for silent workers, and shorter than callers wait.
	const silence = 2300 * time.Millisecond
	plain := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r1\r\n%s: seal\r\nContent-Length: 4\r\n\r\ndone", idHeader, sealHeader)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r1\r\n%s: seal\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", idHeader, sealHeader)
	event := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events(2, 2)), events(2, 2))
	for name, c := range map[string]struct {
		text string
		// left is the length of what follows the silence.
		left int
	}{
		"in the head":             {plain, 20},
		"after the head":          {plain, 4},
		"in the body":             {plain, 2},
		"in the length of chunks": {chunked, 14},
		"in a chunk":              {chunked, 9},
		"before the end":          {chunked, 5},
		"in an event":             {event, 10},
		"after an event's length": {event, len(event) - 4},
		"before a stream's end":   {event, 5},
	} {
		for _, other := range []string{"no other worker", "the other worker refuses", "the other worker is silent"} {
			t.Run(name+", "+other, func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
					service, method, target, body := "desk", http.MethodGet, "/view/x", "done"
					if c.text == event {
						service, method, target, body = "llm", http.MethodPost, "/chat/x", events(1, 2)
					}
					s.worker(service, "w1", 1, func(e *workerExchange) {
						switch other {
						case "the other worker refuses":
							s.worker(service, "w2", 1, func(e *workerExchange) {
								e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
							})
						case "the other worker is silent":
							s.worker(service, "w2", 1, func(e *workerExchange) { <-time.After(10 * time.Second) })
						}
						if service == "llm" {
							e.stream(1)
							e.events(1, 1)
						}
						at := len(c.text) - c.left
						fmt.Fprint(e, c.text[:at])
						<-time.After(silence)
						fmt.Fprint(e, c.text[at:])
					})
					got := s.connect().ask(requestText(method, target, "", deadlineHeader, "6000"))
					if got.cut || got.status != http.StatusOK || got.body != body {
						t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
					}
				})
			})
		}
	}
}
