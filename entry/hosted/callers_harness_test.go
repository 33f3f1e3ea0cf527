package hosted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"laburnumgw/lib/drain"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rpc"
)

// pipeListener is a listener whose connections are pipes in memory, so that the server of callers
// runs in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "callers", Net: "pipe"} }

// maxConnTime ends a connection whose test waits for ever.
const maxConnTime = 10 * time.Minute

// callerServer serves callers of a deployment through net/http.
type callerServer struct {
	*deployment
	listener *pipeListener
	conns    []net.Conn
	drain    *drain.Listener
	process  *Process
}

// withCallers runs a test in virtual time against the server of callers.
func withCallers(t *testing.T, run func(t *testing.T, s *callerServer)) {
	t.Helper()
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		s := &callerServer{deployment: d, listener: newPipeListener()}
		s.process = &Process{
			settings: d.front.view.settings, view: d.front.view, frontend: d.front, grpc: grpc.NewServer(), conns: rpc.NewPlainPool(), log: zap.NewNop(),
		}
		s.drain = s.process.serveCallers(s.listener, make(chan error, 1))
		defer func() {
			s.listener.Close()
			for _, conn := range s.conns {
				conn.Close()
			}
		}()
		run(t, s)
	})
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

// connect opens a connection, which is closed after maxConnTime, or at the end of the test.
func (s *callerServer) connect() *callerConn {
	s.t.Helper()
	return s.connectThrough(func(conn net.Conn) net.Conn { return conn })
}

// connectThrough is connect with a change of the server's end.
func (s *callerServer) connectThrough(change func(conn net.Conn) net.Conn) *callerConn {
	s.t.Helper()
	near, far := net.Pipe()
	s.listener.conns <- change(far)
	s.conns = append(s.conns, near)
	time.AfterFunc(maxConnTime, func() { near.Close() })
	return &callerConn{Conn: near, t: s.t, reader: bufio.NewReader(near)}
}

// send writes parts of a request, which must be taken.
func (c *callerConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("request not taken: %v", err)
	}
}

// receive reads one response. It is cut when the connection ends before the response is complete.
func (c *callerConn) receive() callerResponse {
	started := time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerResponse{cut: true, took: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), cut: err != nil, last: response.Close, took: time.Since(started)}
}

// ask sends a request and reads its response.
func (c *callerConn) ask(text string) callerResponse {
	c.t.Helper()
	c.send(text)
	return c.receive()
}

// requestText returns a request with a body and further header lines.
func requestText(method, target, body string, fields ...string) string {
	text := method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + idHeader + ": r1\r\nAuthorization: Token key\r\n"
	for i := 0; i+1 < len(fields); i += 2 {
		text += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	if body != "" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + "\r\n" + body
}

// remove deletes an object.
func (d *deployment) remove(kind, name string) {
	d.rev++
	d.front.view.applyChanges(kind, []mirror.Change{{Object: mirror.Object{Name: name, Revision: d.rev}, Deleted: true}})
}

// storm applies a number of configurations at once, each of which moves the routes.
func (d *deployment) storm(count int) {
	for number := range count {
		d.put("config", "main", newerConfig(strconv.Itoa(20+number), `"service":"llm"`, []string{`"service":"desk"`, `"service":"llm"`}[number%2]))
	}
}

// withoutRetryBudget leaves the entry no retries.
func (d *deployment) withoutRetryBudget() {
	bounds := &d.front.view.settings.Bounds
	bounds.RetryRatio, bounds.RetrySlack = 0.001, 0.01
	d.put("config", "main", testConfig)
}
