// Package workerconn sends HTTP/1.1 requests to workers on connections whose every send
// is known to the caller. The client of net/http repeats a request by itself when a kept
// connection fails, which a request that must run at most once does not permit.
package workerconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxIdle bounds the idle connections to one worker.
	maxIdle = 24
	// idleMargin is taken off the time that a worker keeps an idle connection.
	idleMargin = 300 * time.Millisecond
	// unknownKeepAlive is how long an idle connection is used when the worker does not
	// say how long it keeps it.
	unknownKeepAlive = 500 * time.Millisecond
	// restTimeout bounds the wait for the rest of what has begun to arrive.
	restTimeout = 2 * time.Second
	// maxForeign bounds the answers to other requests that are read before the own one.
	maxForeign = 3
	// maxHeadBytes bounds the head of an answer, and maxDroppedBytes a body that is read
	// only to keep its connection. A worker in trouble may send bytes without end.
	maxHeadBytes    = 64 << 10
	maxDroppedBytes = 16 << 10
	// dropTimeout bounds the wait for such a body.
	dropTimeout = 250 * time.Millisecond
)

// ErrHeadTooLarge is returned when the head of an answer does not end within its bound.
var ErrHeadTooLarge = errors.New("head of the answer exceeds its bound")

// ErrUnrelatedResponse is returned when a connection delivers only answers to other requests.
var ErrUnrelatedResponse = errors.New("connection delivers answers to other requests")

// Request is one request on the wire.
type Request struct {
	Method string
	// Target is the path with its query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ResponseTimeout bounds the wait for the answer; nil for no bound.
	ResponseTimeout TimeoutFunc
	// NewConnection opens a connection for this request. A worker may drop an idle connection at
	// the moment at which a request is sent on it, whose outcome is then unknown.
	NewConnection bool
}

// TimeoutFunc states how much longer to wait for a silent worker, of which the connection
// has waited for some time already. Zero gives the worker up.
type TimeoutFunc func(waited time.Duration) (more time.Duration)

// ErrUnresponsive is returned when a worker sends nothing for longer than the patience.
var ErrUnresponsive = errors.New("worker is silent")

// ResponseMatcher tells whether an answer belongs to the request that was sent. Fresh is set
// on a connection that has carried no other request.
type ResponseMatcher func(answer *http.Response, fresh bool) bool

// Pool keeps idle connections by address.
type Pool struct {
	dial Dial

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts the connections that were opened.
	opened int64
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool that opens connections within a timeout and probes silent ones.
func NewPool(connectTimeout time.Duration, keepAlive net.KeepAliveConfig) *Pool {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive}
	return NewPoolWith(dialer.DialContext)
}

// NewPoolWith returns a pool that opens connections with a function.
func NewPoolWith(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// headLeft is what may still be read of a head; negative outside of heads.
	headLeft int
	// keepAlive is how long the worker keeps the connection idle.
	keepAlive time.Duration
	idleSince time.Time
}

// Read implements io.Reader for the buffered reader, and bounds heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// abort closes the connection with a reset. A worker that has not read the request yet,
// because its machine stands still, then never reads it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Response is an answer whose body is read from its connection.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool
	closed  bool
}

// Send sends a request and reads the head of its answer. Sent is false while no byte of
// the request has left, so that the request cannot have run; none does when the patience is at
// its end. Ending the context closes
// the connection. The caller ends the response with Finish or Abort.
func (p *Pool) Send(ctx context.Context, address string, r *Request, own ResponseMatcher) (response *Response, sent bool, err error) {
	c, err := p.take(ctx, address, r.NewConnection)
	if err != nil {
		return nil, false, err
	}
	if r.ResponseTimeout != nil && r.ResponseTimeout(0) <= 0 {
		c.Close()
		return nil, false, fmt.Errorf("not sent: %w", ErrUnresponsive)
	}
	stop := context.AfterFunc(ctx, c.abort)
	fail := func(sent bool, err error) (*Response, bool, error) {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, sent, err
	}
	n, err := c.Write(r.encode())
	if err != nil && n == 0 && c.used && ctx.Err() == nil {
		// The worker has closed the kept connection, and nothing has left on it.
		stop()
		c.Close()
		return p.Send(ctx, address, r, own)
	}
	if err != nil {
		return fail(n > 0, fmt.Errorf("send request: %w", err))
	}
	if err := c.await(r.ResponseTimeout, time.Now()); err != nil {
		return fail(true, fmt.Errorf("wait for answer: %w", err))
	}
	answer, err := c.readAnswer(r, own) //nolint:bodyclose // the caller ends the response
	if err != nil {
		return fail(true, fmt.Errorf("read answer: %w", err))
	}
	return &Response{Response: answer, pool: p, address: address, conn: c, stop: stop}, true, nil
}

// encode returns the bytes of a request.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readAnswer reads the head of the own answer. An answer to another request, which may
// arrive late on a kept connection, is dropped.
func (c *conn) readAnswer(r *Request, own ResponseMatcher) (*http.Response, error) {
	fresh := !c.used
	c.used = true
	for range maxForeign {
		c.headLeft = maxHeadBytes
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.headLeft = -1
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 {
			continue
		}
		if own(answer, fresh) {
			return answer, nil
		}
		c.keepAlive = -1
		if err := drop(answer.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnrelatedResponse, err)
		}
	}
	return nil, ErrUnrelatedResponse
}

// drop reads a body to its end without keeping it, and fails on a long one.
func drop(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDroppedBytes+1))
	if err == nil && n > maxDroppedBytes {
		err = fmt.Errorf("body exceeds %d bytes", maxDroppedBytes)
	}
	return err
}

// take returns an idle connection that still seems open, or a new one.
func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	for !fresh && len(p.idle[address]) > 0 {
		list := p.idle[address]
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		if now.Sub(c.idleSince) < c.keepAlive && c.quiet() {
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	if !fresh {
		delete(p.idle, address)
	}
	p.opened++
	p.mu.Unlock()
	opened, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to worker: %w", err)
	}
	c := &conn{Conn: opened, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	return c, nil
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes that
// arrive on an idle connection belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// await waits for the next byte of what is expected since a time. Bytes that have begun to
// arrive are waited for until restTimeout.
func (c *conn) await(patience TimeoutFunc, started time.Time) error {
	if patience == nil {
		return nil
	}
	if c.reader.Buffered() > 0 {
		// What is buffered may end amid a frame whose rest is still to come.
		_ = c.SetReadDeadline(time.Now().Add(restTimeout))
		return nil
	}
	for {
		more := patience(time.Since(started))
		if more <= 0 {
			return ErrUnresponsive
		}
		if err := c.SetReadDeadline(time.Now().Add(more)); err != nil {
			return fmt.Errorf("bound the wait: %w", err)
		}
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return err
		}
		// It fails only on a closed connection, of which the next read reports the end
		// after the bytes that have arrived.
		_ = c.SetReadDeadline(time.Now().Add(restTimeout))
		return nil
	}
}

// Await waits for the next bytes of the body. The patience counts from when they were first
// expected, so that a worker that sends a byte now and then does not renew it.
func (r *Response) Await(patience TimeoutFunc, since time.Time) error {
	return r.conn.await(patience, since)
}

// Finish ends a response whose body was read to its end. The connection is kept when
// nothing speaks against it; keepAlive is what the worker says, or zero.
func (r *Response) Finish(keepAlive time.Duration) {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() || r.Close || r.conn.keepAlive < 0 || r.conn.reader.Buffered() > 0 || !r.framed() {
		r.conn.Close()
		return
	}
	r.conn.keepAlive = unknownKeepAlive
	if keepAlive > 0 {
		r.conn.keepAlive = max(keepAlive-idleMargin, idleMargin)
	}
	r.conn.idleSince = time.Now()
	// It fails only on a closed connection, which the next request notices.
	_ = r.conn.SetReadDeadline(time.Time{})
	r.pool.put(r.address, r.conn)
}

// Drain ends a response whose body is not used. A short body is read, so that the
// connection can be kept; a long or slow one ends it.
func (r *Response) Drain(keepAlive time.Duration) {
	// It fails only on a closed connection, which the read reports.
	_ = r.conn.SetReadDeadline(time.Now().Add(dropTimeout))
	if err := drop(r.Body); err != nil {
		r.Abort()
		return
	}
	r.Finish(keepAlive)
}

// framed reports whether the end of the body was marked, so that another answer may
// follow on the connection.
func (r *Response) framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Abort ends a response and closes its connection, which stops the worker.
func (r *Response) Abort() {
	if r.closed {
		return
	}
	r.closed = true
	r.stop()
	r.conn.abort()
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Forget closes the idle connections to an address, when its worker is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}
