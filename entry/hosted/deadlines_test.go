package hosted

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a read deadline that stays on the caller's connection after the body was read: the
// server takes a read that fails for a caller who has left, and closes the connection.
func TestNoReadDeadlineStaysWhileARequestRuns(t *testing.T) {
	long := strings.Repeat("b", 300<<10)
	for name, c := range map[string]struct {
		// first is sent before on the same connection; empty for none.
		first string
		// status is expected in response to first.
		status  int
		request string
	}{
		"body":      {request: requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")},
		"long body": {request: requestText(http.MethodPost, "/chat/x", long, deadlineHeader, "6000")},
		"after a body with a short deadline": {
			requestText(http.MethodPost, "/book/x", "b", deadlineHeader, "300"), http.StatusOK,
			requestText(http.MethodPost, "/chat/x", "", deadlineHeader, "6000", "Content-Length", "0"),
		},
		"after a refusal before the body was read": {
			requestText(http.MethodPost, "/none/x", long[:1000], deadlineHeader, "300"), http.StatusNotFound,
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"),
		},
		"after a timeout": {
			requestText(http.MethodPost, "/book/slow", "b", deadlineHeader, "300"), http.StatusGatewayTimeout,
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"),
		},
		"after a refusal for want of workers": {
			requestText(http.MethodGet, "/view/x", "", deadlineHeader, "300", "X-Busy", "1"), http.StatusServiceUnavailable,
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.worker("desk", "d1", 0, func(e *workerExchange) {
					switch {
					case e.request.URL.Path == "/book/slow":
						<-time.After(time.Minute)
					case e.request.Header.Get("X-Busy") != "":
						e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
					default:
						done(e)
					}
				})
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					e.stream(1)
					for id := 1; id <= 4; id++ {
						<-time.After(1300 * time.Millisecond)
						e.events(id, id)
					}
					e.end()
				})
				conn := s.connect()
				if c.first != "" {
					if got := conn.ask(c.first); got.status != c.status || got.cut {
						t.Fatalf("first response %+v", got)
					}
				}
				// Limits change while the request runs.
				time.AfterFunc(time.Second, func() {
					s.put("config", "main", newerConfig("9", `"idle_timeout_ms":15000`, `"idle_timeout_ms":500`, `"header_timeout_ms":3000`, `"header_timeout_ms":200`,
						`"body_bytes":4194304`, `"body_bytes":10`))
				})
				if got := conn.ask(c.request); got.status != http.StatusOK || got.body != events(1, 4) || got.cut {
					t.Errorf("response %+v", got)
				}
			})
		})
	}
}

// Guards against a write deadline of an earlier request on a kept connection, which would cut the
// answer to a later one.
func TestNoWriteDeadlineStaysOnAKeptConnection(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "d1", 0, func(e *workerExchange) {
			if e.request.URL.Path == "/book/slow" {
				<-time.After(time.Minute)
			}
			done(e)
		})
		conn := s.connect()
		for _, target := range []string{"/book/slow", "/view/x", "/none/x", "/view/x", "/book/slow", "/none/x"} {
			if got := conn.ask(requestText(http.MethodPost, target, "b", deadlineHeader, "300")); got.cut {
				t.Fatalf("%s: %+v", target, got)
			}
			// Longer than the deadline of the request and the time to write its answer.
			<-time.After(700 * time.Millisecond)
		}
	})
}

// Guards against a kept connection that is closed or refused by a change of the limits while a
// caller rests on it within the limit in force when it came.
func TestChangedLimitsCloseNoRestingConnection(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "d1", 0, done)
		conn := s.connect()
		conn.ask(requestText(http.MethodGet, "/view/x", ""))
		for number, limits := range []string{`"idle_timeout_ms":1000`, `"idle_timeout_ms":15000`, `"idle_timeout_ms":2000`} {
			s.put("config", "main", newerConfig(strconv.Itoa(8+number), `"idle_timeout_ms":15000`, limits))
			<-time.After(10 * time.Second)
			if got := conn.ask(requestText(http.MethodGet, "/view/x", "")); got.status != http.StatusOK || got.cut {
				t.Fatalf("after %s: %+v", limits, got)
			}
		}
	})
}
