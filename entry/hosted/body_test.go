package hosted

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that waits for the body of its request, for ever if the body stops
// arriving: net/http reads the rest of a body before it writes a response.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	type refused struct {
		target, key string
		limit       string
		status      int
	}
	for name, c := range map[string]refused{
		"no route":   {"/none/x", "key", "", http.StatusNotFound},
		"no key":     {"/book/x", "stolen", "", http.StatusUnauthorized},
		"too large":  {"/book/x", "key", `"body_bytes":50`, http.StatusRequestEntityTooLarge},
		"no service": {"/view/x", "key", "", http.StatusServiceUnavailable},
	} {
		for body, framing := range map[string]string{"length": "Content-Length: 100", "chunks": "Transfer-Encoding: chunked"} {
			if name == "too large" && body == "chunks" {
				continue // is known only when the body has arrived
			}
			t.Run(name+", "+body, func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					if c.limit != "" {
						s.put("config", "main", newerConfig("8", `"body_bytes":4194304`, c.limit))
					}
					if c.status == http.StatusServiceUnavailable {
						s.front.view.mu.Lock()
						delete(s.front.view.services, "desk")
						s.front.view.mu.Unlock()
					}
					conn := s.connect()
					started := time.Now()
					text := strings.Replace(requestText(http.MethodPost, c.target, "", "Authorization", "Token "+c.key), "Authorization: Token key\r\n", "", 1)
					conn.send(strings.TrimSuffix(text, "\r\n") + framing + "\r\n\r\na")
					got := conn.receive()
					if got.cut || got.status != c.status || time.Since(started) > 200*time.Millisecond {
						t.Errorf("response after %v: %+v", time.Since(started), got)
					}
					if !got.last {
						t.Error("the caller is not told that the connection ends")
					}
					// What comes after is no request, and the connection does not rest for ever.
					closed := make(chan struct{})
					go func() {
						defer close(closed)
						_, _ = conn.Read(make([]byte, 1))
					}()
					select {
					case <-closed:
					case <-time.After(2 * time.Second):
						t.Error("the connection stays open")
					}
				})
			})
		}
	}
}

// Guards against a connection that is closed by a refusal although its body has arrived.
func TestRefusalKeepsTheConnectionOfACompleteBody(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "d1", 0, done)
		conn := s.connect()
		for range 3 {
			if got := conn.ask(requestText(http.MethodPost, "/none/x", strings.Repeat("b", 20<<10))); got.cut || got.status != http.StatusNotFound || got.last {
				t.Fatalf("refusal %+v", got)
			}
			if got := conn.ask(requestText(http.MethodPost, "/view/x", "b")); got.cut || got.body != "done" {
				t.Fatalf("response %+v", got)
			}
		}
	})
}

// Guards against a body that stops arriving and is called a bad request, after which callers do not
// come back: it has not been run, and the answer says so when its time is over.
func TestBodyThatStopsArrivingIsNotRun(t *testing.T) {
	for body, text := range map[string]string{"length": "Content-Length: 100\r\n\r\nbbb", "chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nbbb\r\n"} {
		t.Run(body, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.worker("desk", "d1", 0, done)
				conn := s.connect()
				started := time.Now()
				conn.send(strings.TrimSuffix(requestText(http.MethodPost, "/book/x", "", deadlineHeader, "700"), "\r\n") + text)
				got := conn.receive()
				if got.cut || got.status != http.StatusServiceUnavailable || time.Since(started) != 700*time.Millisecond || len(s.arrived()) != 0 {
					t.Errorf("response after %v: %+v", time.Since(started), got)
				}
			})
		})
	}
}

// Guards against a slow body that is cut although its request has time left.
func TestSlowBodyIsServed(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("llm", "w1", 1, streamsWhole)
		conn := s.connect()
		const parts = 8
		conn.send(strings.TrimSuffix(requestText(http.MethodPost, "/chat/x", "", deadlineHeader, "6000"), "\r\n") + "Content-Length: " + strconv.Itoa(parts) + "\r\n\r\n")
		for range parts {
			<-time.After(600 * time.Millisecond)
			conn.send("b")
		}
		if got := conn.receive(); got.cut || got.body != events(1, 3) {
			t.Errorf("response %+v", got)
		}
	})
}
