package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/lib/drain"
)

// pipes is a listener whose connections are pipes in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipes", Net: "pipe"} }

const (
	request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	body    = "body"
)

// withDrain runs a test against a server that lets callers take 30 s for a header. Its handler reads the body and
// works for a time.
func withDrain(t *testing.T, work time.Duration, run func(t *testing.T, conn net.Conn, l *drain.Listener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		listener := &pipes{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- far
		l := drain.New(&http.Server{ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 10 * time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				t.Errorf("read body: %v", err)
			}
			select {
			case <-time.After(work):
			case <-r.Context().Done():
				t.Error("request cancelled")
			}
		})}, listener)
		go func() { _ = l.Serve() }()
		synctest.Wait()
		run(t, near, l)
		near.Close()
	})
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Errorf("send: %v", err)
	}
	synctest.Wait()
}

func receive(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("receive: %v", err)
		return
	}
	response.Body.Close()
}

// Guards against a drain that waits as long as the server lets callers take for a header, 30 s, for a connection that
// carries no request or stalls within a header.
func TestDrainDoesNotWaitForAStalledHeader(t *testing.T) {
	nothing := func(*testing.T, net.Conn) {}
	for name, c := range map[string]struct {
		before, during func(t *testing.T, conn net.Conn)
	}{
		"unused":       {nothing, nothing},
		"begun before": {func(t *testing.T, conn net.Conn) { send(t, conn, request[:20]) }, nothing},
		"begun on an idle one": {func(t *testing.T, conn net.Conn) {
			send(t, conn, request+body)
			receive(t, conn)
			send(t, conn, request[:20])
		}, nothing},
		"begun with one byte": {func(t *testing.T, conn net.Conn) {
			send(t, conn, request+body)
			receive(t, conn)
			send(t, conn, request[:1])
		}, nothing},
		"begun during it": {nothing, func(t *testing.T, conn net.Conn) { send(t, conn, request[:20]) }},
	} {
		t.Run(name, func(t *testing.T) {
			withDrain(t, 0, func(t *testing.T, conn net.Conn, l *drain.Listener) {
				c.before(t, conn)
				// A write to a pipe blocks until it is read.
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				started := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() { c.during(t, conn) })
				if err := l.Drain(ctx); err != nil || time.Since(started) > 6*time.Second {
					t.Errorf("drained after %v: %v", time.Since(started), err)
				}
			})
		})
	}
}

// Guards against a bound on headers that outlasts them: a request whose header has been read, before or during a drain,
// has all of its time for its body and its answer.
func TestDrainBoundsNothingButHeaders(t *testing.T) {
	for name, at := range map[string]int{"before the header": 0, "amid the header": 20, "after the header": len(request), "amid the body": len(request) + 2, "after the body": len(request + body)} {
		t.Run(name, func(t *testing.T) {
			withDrain(t, 8*time.Second, func(t *testing.T, conn net.Conn, l *drain.Listener) {
				text := request + body
				if at > 0 {
					send(t, conn, text[:at])
				}
				drained := make(chan error, 1)
				go func() { drained <- l.Drain(t.Context()) }()
				synctest.Wait()
				<-time.After(2 * time.Second)
				if at < len(request) {
					send(t, conn, text[at:len(request)])
					at = len(request)
				}
				<-time.After(8 * time.Second)
				if at < len(text) {
					send(t, conn, text[at:])
				}
				receive(t, conn)
				conn.Close()
				if err := <-drained; err != nil {
					t.Errorf("drain: %v", err)
				}
			})
		})
	}
}
