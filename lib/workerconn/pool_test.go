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

// peer answers the requests of a pool on pipes in memory.
type peer struct {
	mu     sync.Mutex
	dialed int
	// answer writes the answer to a request, the first one of a connection being number 1.
	answer func(conn net.Conn, number int, request *http.Request)
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
			p.answer(far, number, request)
		}
	}()
	return near, nil
}

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// own accepts answers that echo the id of the request.
func own(id string) ResponseMatcher {
	return func(answer *http.Response, _ bool) bool { return answer.Header.Get("Id") == id }
}

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, pool *Pool, id string, fresh bool) (string, bool, error) {
	t.Helper()
	request := &Request{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b"), NewConnection: fresh}
	response, sent, err := pool.Send(t.Context(), "worker", request, own(id))
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

func withPeer(t *testing.T, answer func(conn net.Conn, number int, request *http.Request), run func(t *testing.T, pool *Pool, p *peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &peer{answer: answer}
		pool := NewPoolWith(p.dial)
		run(t, pool, p)
		pool.Forget("worker")
	})
}

// Guards against a connection for each request, and against sharing one that must not be.
func TestConnectionsAreKept(t *testing.T) {
	withPeer(t, func(conn net.Conn, _ int, r *http.Request) { reply(conn, r.Header.Get("Id"), "ok") }, func(t *testing.T, pool *Pool, p *peer) {
		for i, fresh := range []bool{false, false, true, false} {
			if body, _, err := exchange(t, pool, fmt.Sprint(i), fresh); err != nil || body != "ok" {
				t.Fatalf("request %d: %q, %v", i, body, err)
			}
		}
		if p.dialed != 2 || pool.Opened() != 2 {
			t.Errorf("%d connections, want 2: one kept, one for the request that needs its own", p.dialed)
		}
	})
}

// Guards against the answer of another request, which a worker may send late on a kept
// connection.
func TestForeignAnswerIsDropped(t *testing.T) {
	answer := func(conn net.Conn, number int, r *http.Request) {
		if number == 2 {
			reply(conn, "late", "not yours")
		}
		reply(conn, r.Header.Get("Id"), "yours")
	}
	withPeer(t, answer, func(t *testing.T, pool *Pool, p *peer) {
		for i := range 3 {
			if body, _, err := exchange(t, pool, fmt.Sprint(i), false); err != nil || body != "yours" {
				t.Fatalf("request %d: %q, %v", i, body, err)
			}
		}
		if p.dialed != 2 {
			t.Errorf("%d connections: the one with a foreign answer must not be kept", p.dialed)
		}
	})
}

// Guards against answers that are whole only by accident.
func TestCutAnswersAreErrors(t *testing.T) {
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

// Guards against "not sent" for a request of which something has left, and the other way
// round.
func TestSentTellsWhatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		pool := NewPoolWith(func(context.Context, string, string) (net.Conn, error) { return nil, refused })
		if _, sent, err := exchange(t, pool, "a", false); sent || !errors.Is(err, refused) {
			t.Errorf("sent %v, error %v", sent, err)
		}
	})
}

// Guards against waiting for a silent worker longer than the patience, and against giving
// one up that the patience still grants time.
func TestPatience(t *testing.T) {
	answer := func(conn net.Conn, _ int, r *http.Request) {
		<-time.After(3 * time.Second)
		reply(conn, r.Header.Get("Id"), "late")
	}
	wait := func(t *testing.T, pool *Pool, patience TimeoutFunc) (time.Duration, error) {
		t.Helper()
		started := time.Now()
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ResponseTimeout: patience}
		response, _, err := pool.Send(t.Context(), "worker", request, own("a"))
		if err == nil {
			response.Abort()
		}
		return time.Since(started), err
	}
	withPeer(t, answer, func(t *testing.T, pool *Pool, _ *peer) {
		took, err := wait(t, pool, func(waited time.Duration) time.Duration { return time.Second - waited })
		if !errors.Is(err, ErrUnresponsive) || took != time.Second {
			t.Errorf("gave up after %v with %v", took, err)
		}
		took, err = wait(t, pool, func(time.Duration) time.Duration { return 200 * time.Millisecond })
		if err != nil || took != 3*time.Second {
			t.Errorf("answered after %v with %v", took, err)
		}
		<-time.After(time.Minute)
	})
}

// Guards against a worker that goes on for a caller that has left.
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
		if _, sent, err := pool.Send(ctx, "worker", request, own("a")); !sent || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("sent %v, error %v", sent, err)
		}
		<-closed
	})
}
