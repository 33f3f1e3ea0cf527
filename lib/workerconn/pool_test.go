package workerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// peer responds to the requests of a pool on in-memory pipes.
type peer struct {
	mu     sync.Mutex
	dialed int
	// respond writes the response to a request; the first request of a connection is number 1.
	respond func(conn net.Conn, number int, request *http.Request)
}

func (p *peer) dial(context.Context, string, string) (net.Conn, error) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		reader := bufio.NewReader(far)
		for number := 1; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			p.respond(far, number, request)
		}
	}()
	return near, nil
}

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// matchesID accepts responses that echo the id of the request.
func matchesID(id string) ResponseMatcher {
	return func(response *http.Response, _ bool) bool { return response.Header.Get("Id") == id }
}

// exchange sends a request and returns the body of its response and whether it was sent.
func exchange(t *testing.T, pool *Pool, id string, newConnection bool) (string, bool, error) {
	t.Helper()
	request := &Request{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"), NewConnection: newConnection}
	response, sent, err := pool.Send(t.Context(), "worker", request, matchesID(id))
	if err != nil {
		return "", sent, err
	}
	defer response.Abort()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		response.Finish(time.Minute)
	}
	return string(body), sent, err
}

func withPeer(t *testing.T, respond func(conn net.Conn, number int, request *http.Request), run func(t *testing.T, pool *Pool, p *peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &peer{respond: respond}
		pool := NewPoolWith(p.dial)
		run(t, pool, p)
		pool.Forget("worker")
	})
}

// Guards against a new connection for each request, and against reusing one for a request
// that needs a new connection.
func TestConnectionsAreKept(t *testing.T) {
	withPeer(t, func(conn net.Conn, _ int, r *http.Request) { reply(conn, r.Header.Get("Id"), "ok") }, func(t *testing.T, pool *Pool, p *peer) {
		for i, newConnection := range []bool{false, false, true, false} {
			if body, _, err := exchange(t, pool, fmt.Sprint(i), newConnection); err != nil || body != "ok" {
				t.Fatalf("request %d: %q, %v", i, body, err)
			}
		}
		if p.dialed != 2 || pool.Opened() != 2 {
			t.Errorf("%d connections, want 2: one kept, one for the request that needs its own", p.dialed)
		}
	})
}

// Guards against taking the response to another request, which a worker may send late on a
// reused connection, for the response to this one.
func TestUnrelatedResponseIsDiscarded(t *testing.T) {
	respond := func(conn net.Conn, number int, r *http.Request) {
		if number == 2 {
			reply(conn, "late", "not yours")
		}
		reply(conn, r.Header.Get("Id"), "yours")
	}
	withPeer(t, respond, func(t *testing.T, pool *Pool, p *peer) {
		for i := range 3 {
			if body, _, err := exchange(t, pool, fmt.Sprint(i), false); err != nil || body != "yours" {
				t.Fatalf("request %d: %q, %v", i, body, err)
			}
		}
		if p.dialed != 2 {
			t.Errorf("%d connections: the one with an unrelated response must not be kept", p.dialed)
		}
	})
}

// Guards against taking a truncated response for a complete one.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc",
		"chunks":  "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: a\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
				if text != "" {
					fmt.Fprint(conn, text)
				}
				conn.Close()
			}, func(t *testing.T, pool *Pool, _ *peer) {
				_, sent, err := exchange(t, pool, "a", false)
				if err == nil || !sent {
					t.Errorf("sent %v, error %v", sent, err)
				}
			})
		})
	}
}

// Guards against reporting a request as sent when no connection could be opened.
func TestSentReportsWhetherBytesWereSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		pool := NewPoolWith(func(context.Context, string, string) (net.Conn, error) { return nil, refused })
		if _, sent, err := exchange(t, pool, "a", false); sent || !errors.Is(err, refused) {
			t.Errorf("sent %v, error %v", sent, err)
		}
	})
}

// Guards against waiting for an unresponsive worker longer than its timeout function
// allows, and against giving up while the function still grants time.
func TestResponseTimeout(t *testing.T) {
	respond := func(conn net.Conn, _ int, r *http.Request) {
		<-time.After(3 * time.Second)
		reply(conn, r.Header.Get("Id"), "late")
	}
	wait := func(t *testing.T, pool *Pool, timeout TimeoutFunc) (time.Duration, error) {
		t.Helper()
		started := time.Now()
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ResponseTimeout: timeout}
		response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
		if err == nil {
			response.Abort()
		}
		return time.Since(started), err
	}
	withPeer(t, respond, func(t *testing.T, pool *Pool, _ *peer) {
		took, err := wait(t, pool, func(waited time.Duration) time.Duration { return time.Second - waited })
		if !errors.Is(err, ErrUnresponsive) || took != time.Second {
			t.Errorf("gave up after %v with %v", took, err)
		}
		took, err = wait(t, pool, func(time.Duration) time.Duration { return 200 * time.Millisecond })
		if err != nil || took != 3*time.Second {
			t.Errorf("responded after %v with %v", took, err)
		}
		<-time.After(time.Minute)
	})
}

// Guards against a request that is sent after its end of sending, because opening the connection took so
// long.
func TestRequestIsNotSentAfterItsEndOfSending(t *testing.T) {
	withPeer(t, func(conn net.Conn, _ int, r *http.Request) { reply(conn, r.Header.Get("Id"), "ok") }, func(t *testing.T, pool *Pool, p *peer) {
		send := func(until time.Time) (bool, error) {
			request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, SendUntil: func() time.Time { return until }, NewConnection: true}
			response, sent, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
			if err == nil {
				response.Abort()
			}
			return sent, err
		}
		if sent, err := send(time.Now().Add(time.Second)); !sent || err != nil {
			t.Errorf("sent %v before the end, with %v", sent, err)
		}
		connect := pool.dial
		pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			<-time.After(time.Second)
			return connect(ctx, network, address)
		}
		if sent, err := send(time.Now().Add(time.Second)); sent || !errors.Is(err, ErrNotSentInTime) {
			t.Errorf("sent %v after the end, with %v", sent, err)
		}
	})
}

// Guards against a worker that continues for a caller that has disconnected.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			close(closed)
		}
	}, func(t *testing.T, pool *Pool, _ *peer) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		if _, sent, err := pool.Send(ctx, "worker", request, matchesID("a")); !sent || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("sent %v, error %v", sent, err)
		}
		<-closed
	})
}

// Guards against connections that are not kept any more after refusals, and against a request that
// is sent where a request with its id was refused: the worker may write that refusal once more.
func TestConnectionIsKeptForOtherRequestsAfterARefusal(t *testing.T) {
	respond := func(conn net.Conn, _ int, r *http.Request) { reply(conn, r.Header.Get("Id"), "") }
	refused := func(t *testing.T, pool *Pool, id string) {
		t.Helper()
		response, _, err := pool.Send(t.Context(), "worker", &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id}, matchesID(id))
		if err != nil {
			t.Fatal(err)
		}
		response.Discard(time.Minute)
	}
	withPeer(t, respond, func(t *testing.T, pool *Pool, p *peer) {
		for i := range maxRefusals {
			refused(t, pool, fmt.Sprint(i))
		}
		if p.dialed != 1 {
			t.Errorf("%d connections for %d refusals, want 1", p.dialed, maxRefusals)
		}
		refused(t, pool, "0")
		if p.dialed != 2 {
			t.Errorf("%d connections, want a second one for the id that was refused on the first", p.dialed)
		}
	})
}
