package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const responseFields = idHeader + ": r1\r\n" + sealHeader + ": seal\r\n" + versionHeader + ": 1\r\n"

// plainResponse is a whole response of a plain service.
type plainResponse struct {
	method, text string
	// head is the length of the part that must not be taken as whole, zero for all but the last byte.
	head int
}

// plainResponses holds whole responses of plain services, by name.
var plainResponses = map[string]plainResponse{
	"length":                 {http.MethodPost, "HTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 13\r\n\r\nhalf and half", 0},
	"chunks and a trailer":   {http.MethodPost, "HTTP/1.1 200 OK\r\n" + responseFields + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nhalf\r\n0\r\nSum: 12\r\n\r\n", 0},
	"informational before":   {http.MethodPost, "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 4\r\n\r\nhalf", 0},
	"bare newlines":          {http.MethodPost, strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+responseFields+"Content-Length: 4\r\n\r\nhalf", "\r", ""), 0},
	"without a length":       unmarkedResponse(http.MethodPost, "HTTP/1.1 200 OK\r\n"+responseFields+"\r\n"),
	"HTTP/1.0":               unmarkedResponse(http.MethodPost, "HTTP/1.0 200 OK\r\n"+responseFields+"\r\n"),
	"HEAD":                   {http.MethodHead, "HTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 1200\r\n\r\n", 0},
	"204":                    {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + responseFields + "\r\n", 0},
	"304":                    {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + responseFields + "\r\n", 0},
	"404":                    {http.MethodPost, "HTTP/1.1 404 Not Found\r\n" + responseFields + "Content-Length: 2\r\n\r\nno", 0},
	"refusal, within a head": unmarkedResponse(http.MethodPost, "HTTP/1.1 503 Busy\r\n"+idHeader+": r1\r\n"+notRunHeader+": 1\r\n\r\n"),
}

// unmarkedResponse is a response of which any part after the head may be whole.
func unmarkedResponse(method, head string) plainResponse {
	return plainResponse{method, head + "half", len(head)}
}

// truncations returns the parts of a response that must not be taken as whole.
func (r plainResponse) truncations() []string {
	end := r.head
	if end == 0 {
		end = len(r.text)
	}
	var all []string
	for n := range end {
		all = append(all, r.text[:n])
	}
	return all
}

// writeAndClose returns a worker that writes a text and closes the connection.
func writeAndClose(text string) workerScript {
	return func(e *workerExchange) {
		if text != "" {
			fmt.Fprint(e, text)
		}
		e.Close()
	}
}

// Guards against a success, or a promise that the request has not run, for a response that ends within its head, a
// trailer, a chunk header or its body: callers got 200 with an empty or short body. Requests that may be repeated
// go to another worker.
func TestResponseThatEndsAtAnyByteReachesNoCaller(t *testing.T) {
	for name, response := range plainResponses {
		for _, c := range []struct {
			target   string
			second   workerScript
			status   int
			arrivals int
		}{
			{"/book/x", done, http.StatusBadGateway, 1},
			{"/view/x", done, http.StatusOK, 2},
			{"/view/x", nil, http.StatusBadGateway, 2},
		} {
			t.Run(fmt.Sprintf("%s, %s, %d", name, c.target, c.status), func(t *testing.T) {
				for _, text := range response.truncations() {
					inVirtualTime(t, func(t *testing.T, d *deployment) {
						truncated, second := writeAndClose(text), c.second
						if second == nil {
							second = truncated
						}
						first := ""
						for _, worker := range []string{"d1", "d2"} {
							d.worker("desk", worker, 0, func(e *workerExchange) {
								if first == "" || first == worker {
									first = worker
									truncated(e)
									return
								}
								second(e)
							})
						}
						got := d.ask(t.Context(), response.method, c.target, "", deadlineHeader, "1000")
						if got.status != c.status || got.cut || len(d.arrived()) != c.arrivals {
							t.Errorf("ended after %q: %+v, %d arrivals", text, got, len(d.arrived()))
						}
					})
				}
			})
		}
	}
}

// streamText is a whole stream that goes on at an event.
func streamText(from int, marked bool) (text string, head int) {
	text = "HTTP/1.1 200 OK\r\n" + responseFields + "Content-Type: text/event-stream\r\n"
	if !marked {
		text += "\r\n"
		return text + events(from, streamLength), len(text)
	}
	text += "Transfer-Encoding: chunked\r\n\r\n"
	head = len(text)
	body := events(from, streamLength)
	return text + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), head
}

// Guards against a stream whose worker, or whose second worker, closes its connection within the head of the
// response, and that ends as if it were complete, or sends its caller a head without a worker's.
func TestStreamThatEndsAtAnyByteOfAHeadIsNotComplete(t *testing.T) {
	for _, marked := range []bool{true, false} {
		for _, c := range []struct {
			name string
			// begun is the number of events before the truncated attempt, and attempts are those allowed.
			begun, attempts int
			whole           bool
		}{
			{"at first, then whole", 0, 2, true},
			{"each time", 0, 2, false},
			{"resumed, then whole", 2, 3, true},
			{"resumed, each time", 2, 3, false},
		} {
			t.Run(fmt.Sprintf("%s, marked %v", c.name, marked), func(t *testing.T) {
				text, head := streamText(c.begun+1, marked)
				for n := range head {
					inVirtualTime(t, func(t *testing.T, d *deployment) {
						d.put("config", "main", strings.Replace(strings.Replace(testConfig, `"version":7`, `"version":8`, 1),
							`"attempts":2,"resumable"`, fmt.Sprintf(`"attempts":%d,"resumable"`, c.attempts), 1))
						truncated := 0
						respond := func(e *workerExchange) {
							from := 1
							if e.request.Header.Get("Last-Event-Id") != "" {
								from = c.begun + 1
							}
							switch {
							case from <= c.begun:
								e.stream(1)
								e.events(1, c.begun)
								e.Close()
							case truncated == 0 || !c.whole:
								truncated++
								writeAndClose(text[:n])(e)
							default:
								wholeStream.respond(e, from)
							}
						}
						for _, worker := range []string{"w1", "w2", "w3", "w4"} {
							d.worker("llm", worker, 1, respond)
						}
						got := d.askWith(t, "cc:1")
						switch {
						case c.whole && (got.cut || got.status != http.StatusOK || got.body != events(1, streamLength)):
							t.Errorf("ended after %q: %+v, want the whole stream", text[:n], got)
						case !c.whole && c.begun == 0 && (got.cut || got.status != http.StatusBadGateway):
							t.Errorf("ended after %q: %+v, want 502", text[:n], got)
						case !c.whole && c.begun > 0 && (!got.cut || got.body != events(1, c.begun)):
							t.Errorf("ended after %q: %+v, want a stream that is cut", text[:n], got)
						}
						if len(d.arrived()) != c.attempts {
							t.Errorf("ended after %q: %d arrivals", text[:n], len(d.arrived()))
						}
					})
				}
			})
		}
	}
}

// Guards against a crash that goes unnoticed because the worker had written a part of its response, which ended within
// the status line, the name of a field or a trailer.
func TestCrashAtAnyByteOfAResponseIsNoticed(t *testing.T) {
	for name, response := range plainResponses {
		for _, target := range []string{"/book/x", "/view/x"} {
			t.Run(name+", "+target, func(t *testing.T) {
				for _, text := range response.truncations() {
					inVirtualTime(t, func(t *testing.T, d *deployment) {
						crash := func(e *workerExchange) {
							worker := e.request.Header.Get(instanceHeader)
							d.mu.Lock()
							d.refused[worker] = true
							d.mu.Unlock()
							writeAndClose(text)(e)
						}
						d.worker("desk", "d1", 0, crash)
						d.worker("desk", "d2", 0, crash)
						got := d.ask(t.Context(), response.method, target, "", deadlineHeader, "1000")
						<-time.After(50 * time.Millisecond)
						if got.status != http.StatusBadGateway {
							t.Errorf("ended after %q: %+v", text, got)
						}
						for _, a := range d.arrived() {
							if !d.knowsCrash(a.worker) {
								t.Errorf("ended after %q: crash of %s is not known", text, a.worker)
							}
						}
					})
				}
			})
		}
	}
}
