package hosted

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/workerconn"
	"laburnumgw/platform"
)

// streamLength is the number of events of a whole stream in these tests.
const streamLength = 4

// attemptScript is what a worker does with one attempt at a stream that goes on at an event.
type attemptScript struct {
	name    string
	respond func(e *workerExchange, from int)
}

func (e *workerExchange) reset() {
	if tcp, ok := e.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	e.Close()
}

func (e *workerExchange) cutAfter(text string) {
	e.unmarked()
	fmt.Fprint(e, text)
	e.Close()
}

// brokenStreams begin a stream and break off.
var brokenStreams = []attemptScript{
	{"reset inside an event", func(e *workerExchange, _ int) {
		e.stream(1)
		e.chunk("id: 1\ndata: x\n\nid: 2\nda")
		e.reset()
	}},
	{"ends inside an event", func(e *workerExchange, _ int) { e.cutAfter("id: 1\ndata: x\n\nid: 2\nda") }},
	{"ends inside an event, marked as whole", func(e *workerExchange, _ int) {
		e.stream(1)
		e.events(1, 2)
		e.chunk("id: 3\nda")
		e.end()
	}},
	{"ends inside an event, at its length", func(e *workerExchange, _ int) {
		const text = "id: 1\ndata: x\n\nid: 2\nda"
		e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/event-stream", "Content-Length", fmt.Sprint(len(text)))
		fmt.Fprint(e, text)
	}},
	{"ends after an event, without its last chunk", func(e *workerExchange, _ int) {
		e.stream(1)
		e.events(1, 2)
		e.Close()
	}},
	{"ends after an event, before its length", func(e *workerExchange, _ int) {
		e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/event-stream", "Content-Length", "1000")
		fmt.Fprint(e, events(1, 2))
		e.Close()
	}},
	{"crashes after an event", func(e *workerExchange, _ int) {
		e.unmarked()
		fmt.Fprint(e, events(1, 2))
		e.crash()
	}},
	{"writes a head amid it", func(e *workerExchange, _ int) {
		e.unmarked()
		fmt.Fprint(e, events(1, 1), "HTTP/1.1 500 Status\r\nContent-Length: 5\r\n\r\nerror\n\n")
		e.Close()
	}},
}

// failures answer a request that goes on with a stream, or begins one, otherwise than with its events.
var failures = []attemptScript{
	{"500", func(e *workerExchange, _ int) { e.complete(http.StatusInternalServerError, "error 500") }},
	{"503 that ran", func(e *workerExchange, _ int) { e.complete(http.StatusServiceUnavailable, "error 503") }},
	{"429 that ran", func(e *workerExchange, _ int) { e.complete(http.StatusTooManyRequests, "error 429") }},
	{"404", func(e *workerExchange, _ int) { e.complete(http.StatusNotFound, "error 404") }},
	{"600", func(e *workerExchange, _ int) { e.complete(600, "error 600") }},
	{"101", func(e *workerExchange, _ int) { e.head(http.StatusSwitchingProtocols, sealHeader, "seal"); e.Close() }},
	{"204", func(e *workerExchange, _ int) { e.head(http.StatusNoContent, sealHeader, "seal") }},
	{"refusal", func(e *workerExchange, _ int) {
		e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "5")
		fmt.Fprint(e, "error")
	}},
	{"misdirected", func(e *workerExchange, _ int) {
		e.head(http.StatusMisdirectedRequest, "Content-Length", "5")
		fmt.Fprint(e, "error")
	}},
	{"no seal", func(e *workerExchange, from int) {
		text := events(from, streamLength)
		e.head(http.StatusOK, versionHeader, "1", "Content-Type", "text/event-stream", "Content-Length", fmt.Sprint(len(text)))
		fmt.Fprint(e, text)
	}},
	{"garbage", func(e *workerExchange, _ int) { fmt.Fprint(e, "\x00\x01 error\r\n\r\n"); e.Close() }},
	{"closed", func(e *workerExchange, _ int) { e.Close() }},
}

// wrongContinuations answer a request that goes on with a stream with a success that does not.
var wrongContinuations = []attemptScript{
	{"other weights", func(e *workerExchange, from int) {
		e.stream(2)
		e.events(from, streamLength)
		e.end()
	}},
	{"text of an error", func(e *workerExchange, _ int) {
		e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/plain", "Content-Length", "9")
		fmt.Fprint(e, "error 200")
	}},
	{"text of an error like an event", func(e *workerExchange, _ int) {
		e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "application/json", "Content-Length", "19")
		fmt.Fprint(e, "{\"error\": \"none\"}\n\n")
	}},
	{"error in a stream", func(e *workerExchange, _ int) {
		e.stream(1)
		e.chunk("{\"error\": \"none\"}\n\n")
		e.end()
	}},
	{"nothing, as another type", func(e *workerExchange, _ int) {
		e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/plain", "Content-Length", "0")
	}},
	{"its head twice", func(e *workerExchange, from int) {
		e.unmarked()
		e.unmarked()
		fmt.Fprint(e, events(from, streamLength))
		e.Close()
	}},
	{"its head twice, in a chunk", func(e *workerExchange, from int) {
		e.stream(1)
		e.chunk("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		e.events(from, streamLength)
		e.end()
	}},
	{"from the first event on", func(e *workerExchange, _ int) {
		e.stream(1)
		e.events(1, streamLength)
		e.end()
	}},
	{"with the last event again", func(e *workerExchange, from int) {
		e.stream(1)
		e.events(from-1, streamLength)
		e.end()
	}},
	{"with an event twice", func(e *workerExchange, from int) {
		e.stream(1)
		e.events(from, from)
		e.events(from, streamLength)
		e.end()
	}},
	{"with an event without id", func(e *workerExchange, from int) {
		e.stream(1)
		e.chunk("data: error\n\n")
		e.events(from, streamLength)
		e.end()
	}},
	{"inside an event, marked as whole", func(e *workerExchange, from int) {
		e.stream(1)
		e.chunk(fmt.Sprintf("id: %d\nda", from))
		e.end()
	}},
}

var wholeStream = attemptScript{"whole", func(e *workerExchange, from int) {
	e.stream(1)
	e.events(from, streamLength)
	e.end()
}}

// servedAttempts is an entry behind a real server, with workers on real connections that act on one
// attempt after another.
type servedAttempts struct {
	entry string

	mu      sync.Mutex
	scripts []attemptScript
	seen    int
	crashed map[string]bool
}

// next returns the script of the next attempt.
func (s *servedAttempts) next() attemptScript {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	return s.scripts[min(s.seen, len(s.scripts))-1]
}

func (s *servedAttempts) attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func serveAttempts(t *testing.T, scripts ...attemptScript) *servedAttempts {
	t.Helper()
	s := &servedAttempts{scripts: scripts, crashed: make(map[string]bool)}
	d := newDeployment(t)
	d.put(platform.KindConfig, "main", strings.Replace(strings.Replace(testConfig, `"version":7`, `"version":8`, 1), `"attempts":2,"resumable"`, `"attempts":3,"resumable"`, 1))
	listeners := make(map[string]net.Listener)
	for i := range 4 {
		id := fmt.Sprint("w", i+1)
		address := workerAddress(id)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[address] = listener
		serving := make(chan struct{})
		go func() {
			defer close(serving)
			s.serveWorker(address, listener)
		}()
		t.Cleanup(func() {
			listener.Close()
			<-serving
		})
		d.worker("llm", id, 1, nil)
	}
	d.front.conns = workerconn.NewPoolWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		s.mu.Lock()
		crashed := s.crashed[address]
		s.mu.Unlock()
		if crashed {
			return nil, errRefusedByPeer
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, listeners[address].Addr().String())
	})
	t.Cleanup(func() {
		for address := range listeners {
			d.front.conns.Forget(address)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process := &Process{settings: d.front.view.settings, view: d.front.view, frontend: d.front, log: zap.NewNop()}
	process.serveCallers(listener, make(chan error, 1))
	t.Cleanup(func() { listener.Close() })
	s.entry = listener.Addr().String()
	return s
}

func (s *servedAttempts) serveWorker(address string, listener net.Listener) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serving.Go(func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				from := 1
				if after, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
					from = after + 1
				}
				crash := func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.crashed[address] = true
					conn.Close()
				}
				s.next().respond(&workerExchange{Conn: conn, request: request, crash: crash}, from)
			}
		})
	}
}

// ask sends a request for a stream and returns all bytes up to the end of the connection.
func (s *servedAttempts) ask(t *testing.T) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", s.entry)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /chat/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n%s: r1\r\nAuthorization: Token key\r\n%s: 5000\r\n\r\n", idHeader, deadlineHeader)
	raw, err := io.ReadAll(conn)
	if err != nil && len(raw) == 0 {
		t.Fatal(err)
	}
	return raw
}

// checkStream returns an error unless a caller has received the first events of the stream, and a
// marked end after all of them only. Before its first event, an error may be sent instead.
func checkStream(raw []byte) error {
	if n := bytes.Count(raw, []byte("HTTP/1.1 ")); n != 1 {
		return fmt.Errorf("%d heads", n)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		if err != nil || bytes.Contains(body, []byte("data:")) {
			return fmt.Errorf("failure with %q, %w", body, err)
		}
		return nil
	}
	if !isEventStream(response.Header.Get("Content-Type")) {
		// The worker's own answer, which is passed on as it is where no stream has begun.
		if err != nil || string(body) != "error 200" {
			return fmt.Errorf("answer %q, %w", body, err)
		}
		return nil
	}
	for last := streamLength; last >= 0; last-- {
		if string(body) != events(1, last) {
			continue
		}
		if complete := err == nil; complete != (last == streamLength) {
			return fmt.Errorf("%d of %d events, complete: %t", last, streamLength, complete)
		}
		return nil
	}
	return errors.New("other bytes than the events")
}

// Guards against the text or the head of an error, or events once more, in the middle of a stream that
// broke off, and against its end as if it were complete.
func TestStreamThatBrokeOffIsContinuedOrCut(t *testing.T) {
	var orders [][]attemptScript
	continuations := append(append([]attemptScript{wholeStream}, failures...), wrongContinuations...)
	for _, broken := range brokenStreams {
		for _, second := range continuations {
			orders = append(orders, []attemptScript{broken, second, wholeStream})
			orders = append(orders, []attemptScript{broken, second, failures[0]})
		}
	}
	for _, first := range failures {
		for _, broken := range brokenStreams {
			orders = append(orders, []attemptScript{first, broken, wholeStream}, []attemptScript{first, broken, failures[0]}, []attemptScript{first, broken, wrongContinuations[1]})
		}
	}
	for _, third := range continuations {
		orders = append(orders, []attemptScript{brokenStreams[0], brokenStreams[4], third})
	}
	for _, order := range orders {
		names := make([]string, len(order))
		for i, script := range order {
			names[i] = script.name
		}
		t.Run(strings.Join(names, ", then "), func(t *testing.T) {
			t.Parallel()
			s := serveAttempts(t, order...)
			started := time.Now()
			raw := s.ask(t)
			if err := checkStream(raw); err != nil {
				t.Errorf("%v, after %d attempts in %s: %s", err, s.attempts(), time.Since(started), raw)
			}
		})
	}
}
