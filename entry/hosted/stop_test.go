package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"laburnumgw/lib/rpc"
)

// observedListener is a listener that reports what the server does with its connections.
type observedListener struct {
	net.Listener
	accepted chan struct{}
	// read delivers the number of bytes of each read.
	read   chan int
	closed chan struct{}
	once   sync.Once
}

func (w *observedListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.accepted <- struct{}{}
	return &observedConn{Conn: conn, read: w.read}, nil
}

func (w *observedListener) Close() error {
	err := w.Listener.Close()
	w.once.Do(func() { close(w.closed) })
	return err
}

type observedConn struct {
	net.Conn
	read chan int
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read <- n
	}
	return n, err
}

// stoppingEntry is an entry on a real socket whose stop is started by the test.
type stoppingEntry struct {
	*deployment
	process  *Process
	listener *observedListener
	// left ends the wait for callers to leave, and stopped delivers the result of the stop.
	left      chan time.Time
	stopped   chan error
	beginStop func()
}

func newStoppingEntry(t *testing.T) *stoppingEntry {
	t.Helper()
	d := newDeployment(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const events = 1 << 16
	s := &stoppingEntry{
		deployment: d, listener: &observedListener{Listener: plain, accepted: make(chan struct{}, events), read: make(chan int, events), closed: make(chan struct{})},
		left: make(chan time.Time), stopped: make(chan error, 1),
	}
	d.front.view.settings.Bounds.Grace = 8 * time.Second
	s.process = &Process{
		settings: d.front.view.settings, view: d.front.view, frontend: d.front, grpc: grpc.NewServer(), conns: rpc.NewPlainPool(), log: zap.NewNop(),
	}
	callers := s.process.serveCallers(s.listener, make(chan error, 1))
	s.beginStop = func() { go func() { s.stopped <- s.process.stop(callers, s.left) }() }
	return s
}

// endLeaveWait ends the wait for callers to leave, and returns when the listener is closed.
func (s *stoppingEntry) endLeaveWait() {
	close(s.left)
	<-s.listener.closed
}

// connect opens a connection and waits until the server has accepted it.
func (s *stoppingEntry) connect() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	<-s.listener.accepted
	return conn
}

func (s *stoppingEntry) send(conn net.Conn, text string) {
	s.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
}

// awaitServerRead waits until the server has read a number of further bytes.
func (s *stoppingEntry) awaitServerRead(count int) {
	for count > 0 {
		count -= <-s.listener.read
	}
}

func requestOf(id, path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nAuthorization: Token key\r\n\r\n", path, idHeader, id)
}

// readResponse reads one complete response.
func readResponse(conn io.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (s *stoppingEntry) expect(conn net.Conn, what string, last bool) {
	s.t.Helper()
	response, body, err := readResponse(conn)
	switch {
	case err != nil:
		s.t.Fatalf("%s is not answered: %v", what, err)
	case response.StatusCode != http.StatusOK || body != "done":
		s.t.Fatalf("%s is answered with %d %q", what, response.StatusCode, body)
	case response.Close != last:
		s.t.Errorf("%s: the response is the last one: %v", what, response.Close)
	}
}

func (s *stoppingEntry) expectEnd() {
	s.t.Helper()
	if err := <-s.stopped; err != nil {
		s.t.Errorf("stop: %v", err)
	}
}

func done(w *workerExchange) { w.complete(http.StatusOK, "done") }

// A planned stop must cut no request of which at least one byte was read, whatever the state of
// its connection.
func TestPlannedStopAnswersWhatItReads(t *testing.T) {
	t.Run("request that is being read on a kept connection", func(t *testing.T) {
		s := newStoppingEntry(t)
		s.worker("desk", "w1", 0, done)
		conn := s.connect()
		first, second := requestOf("r1", "/view/1"), requestOf("r2", "/view/2")
		s.send(conn, first)
		s.expect(conn, "request before the stop", false)
		s.awaitServerRead(len(first))
		s.send(conn, second[:len(second)/2])
		s.awaitServerRead(len(second) / 2)
		s.beginStop()
		s.endLeaveWait()
		s.send(conn, second[len(second)/2:])
		s.expect(conn, "request that was being read", true)
		s.expectEnd()
	})
	t.Run("connection that was accepted and not read", func(t *testing.T) {
		s := newStoppingEntry(t)
		s.worker("desk", "w1", 0, done)
		conn := s.connect()
		s.beginStop()
		s.endLeaveWait()
		s.send(conn, requestOf("r1", "/view/1"))
		s.expect(conn, "request on a new connection", true)
		s.expectEnd()
	})
	t.Run("kept connection while callers leave", func(t *testing.T) {
		s := newStoppingEntry(t)
		s.worker("desk", "w1", 0, done)
		conn := s.connect()
		s.send(conn, requestOf("r1", "/view/1"))
		s.expect(conn, "request before the stop", false)
		s.beginStop()
		for !s.front.shutdown.IsStopping() {
			// The stop sets leaving first.
			continue
		}
		s.send(conn, requestOf("r2", "/view/2"))
		s.expect(conn, "request during the stop", true)
		s.endLeaveWait()
		s.expectEnd()
	})
	t.Run("body that is being read and request at its worker", func(t *testing.T) {
		s := newStoppingEntry(t)
		release := make(chan struct{})
		arrived := make(chan struct{}, 2)
		s.worker("desk", "w1", 0, func(w *workerExchange) {
			arrived <- struct{}{}
			<-release
			done(w)
		})
		running, reading := s.connect(), s.connect()
		s.send(running, requestOf("r1", "/view/1"))
		<-arrived
		head := strings.Replace(requestOf("r2", "/book/2"), "GET", "POST", 1)
		head = strings.Replace(head, "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n", 1)
		s.send(reading, head+"bo")
		s.awaitServerRead(len(requestOf("r1", "/view/1")) + len(head) + 2)
		s.beginStop()
		s.endLeaveWait()
		s.send(reading, "dy")
		<-arrived
		close(release)
		s.expect(running, "request at its worker", true)
		s.expect(reading, "request whose body was being read", true)
		s.expectEnd()
	})
	t.Run("idle connections", func(t *testing.T) {
		s := newStoppingEntry(t)
		s.worker("desk", "w1", 0, done)
		conn := s.connect()
		s.send(conn, requestOf("r1", "/view/1"))
		s.expect(conn, "request before the stop", false)
		s.beginStop()
		s.endLeaveWait()
		// Idle connections do not delay the stop.
		s.expectEnd()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle connection ends with %v", err)
		}
	})
}

// A planned stop must cut no request, also with callers that send one request after the other
// while the entry stops: none that has reached a worker stays without a response, at whatever
// moment its connection closes.
func TestNoForwardedRequestIsCutByAPlannedStop(t *testing.T) {
	const callers, requests, rounds = 16, 40, 5
	for range rounds {
		s := newStoppingEntry(t)
		s.worker("desk", "w1", 0, done)
		var mu sync.Mutex
		answers := make(map[string]bool)
		var group sync.WaitGroup
		half := make(chan struct{}, callers*requests)
		for c := range callers {
			conn := s.connect()
			group.Go(func() {
				for r := range requests {
					id := fmt.Sprintf("c%d-%d", c, r)
					if _, err := io.WriteString(conn, requestOf(id, "/view/1")); err != nil {
						return
					}
					response, body, err := readResponse(conn)
					if err != nil {
						return
					}
					mu.Lock()
					answers[id] = body == "done" || response.StatusCode == http.StatusServiceUnavailable
					mu.Unlock()
					half <- struct{}{}
				}
			})
		}
		for range callers * requests / 4 {
			<-half
		}
		s.beginStop()
		s.endLeaveWait()
		group.Wait()
		s.expectEnd()
		for _, a := range s.arrived() {
			if id := a.header.Get(idHeader); !answers[id] {
				t.Errorf("request %s reached a worker and was not answered", id)
			}
		}
	}
}
