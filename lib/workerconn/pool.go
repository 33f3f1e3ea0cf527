// Package workerconn is an HTTP/1.1 client for workers that reports to its caller whether
// a request was sent. The client of net/http repeats a request by itself when a reused
// connection fails, which is not allowed for a request that must run at most once.
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
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumgw/lib/httpstatus"
)

const (
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// maxIdlePerWorker bounds the idle connections to one worker.
	maxIdlePerWorker = 24
	// idleMargin is subtracted from the time for which a worker keeps an idle connection,
	// so that no request is sent on a connection that the worker is about to close.
	idleMargin = 300 * time.Millisecond
	// defaultKeepAlive is how long an idle connection may be reused when the worker does
	// not state how long it keeps it.
	defaultKeepAlive = 500 * time.Millisecond
	// defaultRemainderTimeout bounds each wait for more of a response that has started to arrive, unless
	// the request has a RemainderTimeout.
	defaultRemainderTimeout = 2 * time.Second
	// maxHeads bounds the response heads that are read for one request: informational
	// responses, responses to other requests, and the matching one.
	maxHeads = 3
	// maxHeadBytes bounds the head of a response, and maxDiscardedBytes a body that is read
	// only to reuse its connection. A faulty worker may send bytes without end.
	maxHeadBytes      = 64 << 10
	maxDiscardedBytes = 16 << 10
	// requestHeadBytes is what the head of a request takes mostly, and usualHeadBytes the size up to which the head of a
	// response counts as part of its request.
	requestHeadBytes = 1 << 10
	usualHeadBytes   = 4 << 10
	// maxRefusals bounds the refusals whose IDs a connection remembers.
	maxRefusals = 32
	// discardTimeout bounds the wait for a body that is read only to reuse its connection.
	discardTimeout = 250 * time.Millisecond
)

// ErrHeadTooLarge is returned when the head of a response exceeds maxHeadBytes.
var ErrHeadTooLarge = errors.New("head of the response exceeds its limit")

// ErrUnrelatedResponse is returned when a connection delivers only responses to other
// requests.
var ErrUnrelatedResponse = errors.New("connection delivers responses to other requests")

// Request is one request on the wire.
type Request struct {
	Method string
	// Target is the path with its query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request. It is not sent on a connection on which a request with the same
	// ID was refused: the worker may write that refusal once more. Empty for none.
	ID string
	// ResponseTimeout bounds the wait for the first byte of the response; nil for no bound.
	ResponseTimeout TimeoutFunc
	// RemainderTimeout bounds each wait for more of a response that has started to arrive, after a
	// ResponseTimeout or an Await with a timeout; nil for 2 s.
	RemainderTimeout TimeoutFunc
	// SendUntil returns the time from which on the request is not sent any more, zero for none; nil for none.
	// Opening a connection may take until then, and the time may have changed meanwhile.
	SendUntil func() time.Time
	// BeforeWrite is called with Header just before the request is written, once its connection is open, and may
	// change it; nil for none.
	BeforeWrite func(http.Header)
	// NewConnection sends the request on a newly opened connection. A worker may close an idle
	// connection just when a request is sent on it, and the outcome of that request is then
	// unknown.
	NewConnection bool
}

// TimeoutFunc returns how much longer to wait for a worker that has sent nothing for the
// time waited. It is called again when that time has passed; zero or less ends the wait
// with ErrUnresponsive.
type TimeoutFunc func(waited time.Duration) (more time.Duration)

// ErrNotSentInTime is returned when a request was not sent before its SendUntil.
var ErrNotSentInTime = errors.New("request was not sent in time")

// ErrUnresponsive is returned when a worker sends nothing until its TimeoutFunc
// ends the wait.
var ErrUnresponsive = errors.New("worker is unresponsive")

// ResponseMatcher reports whether a response belongs to the request that was sent.
// firstRequest is set on a connection that has carried no other request, up to the first response
// that does not belong to it.
type ResponseMatcher func(response *http.Response, firstRequest bool) bool

// Pool keeps idle connections for reuse, by address.
type Pool struct {
	dial Dial

	// memory bounds what idle connections, each of connBytes, and long heads hold; nil for no bound.
	memory    Memory
	connBytes int64

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts the attempts to open a connection.
	opened int64
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool that opens connections within a timeout and sends TCP keep-alive
// probes on them.
func NewPool(connectTimeout time.Duration, keepAlive net.KeepAliveConfig) *Pool {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive}
	return NewPoolWith(dialer.DialContext)
}

// NewPoolWith returns a pool that opens connections with dial.
func NewPoolWith(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// Opened returns the number of attempts to open a connection.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// headBytesLeft is how many bytes of a head may still be read; negative outside of heads.
	headBytesLeft int
	// endedBy is the end of the connection as a read has found it; nil before.
	endedBy error
	// remainderTimeout bounds each read while boundReads is set.
	remainderTimeout TimeoutFunc
	boundReads       bool
	// refused holds the IDs of the requests that were refused on the connection.
	refused []string
	// keepAlive is how long the idle connection may be reused; negative for not at all.
	keepAlive time.Duration
	idleSince time.Time
	// memory is the pool's. headHeld is what is reserved for a head, nothing once the connection is closed.
	memory   Memory
	headHeld atomic.Int64
	closed   atomic.Bool
}

// Read implements io.Reader for the buffered reader, and limits the size of heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft < 0 {
		return c.read(p)
	}
	if c.headBytesLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	if refused := c.holdHead(int64(maxHeadBytes - c.headBytesLeft)); refused != nil {
		return 0, refused
	}
	return n, err
}

// read reads from the connection and records its end.
func (c *conn) read(p []byte) (int, error) {
	n, err := c.readBound(p)
	switch {
	case errors.Is(err, io.EOF):
		c.endedBy = io.ErrUnexpectedEOF
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.endedBy = err
	}
	return n, err
}

// readBound reads from the connection, for as long as remainderTimeout allows while boundReads is set.
func (c *conn) readBound(p []byte) (int, error) {
	if !c.boundReads {
		return c.Conn.Read(p)
	}
	for w := (wait{timeout: c.remainderTimeout, started: time.Now()}); ; {
		if !w.goOn() {
			return 0, fmt.Errorf("rest of the response: %w", os.ErrDeadlineExceeded)
		}
		// SetReadDeadline fails only on a closed connection. Its reads return the bytes that have
		// arrived and then report the close.
		_ = c.SetReadDeadline(w.until)
		if n, err := c.Conn.Read(p); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// explain adds the end of the connection to the error of a response that is not complete. What was read until
// then may be malformed for no other reason.
func (c *conn) explain(err error) error {
	if c.endedBy == nil || errors.Is(err, c.endedBy) {
		return err
	}
	return fmt.Errorf("%w: %w", c.endedBy, err)
}

// abort closes the connection with a TCP reset, which discards bytes that the worker has
// not read. A worker on a suspended VM then never reads the request.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// Response is the response to a request. Its body is read from its connection.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	upload  *upload
	id      string
	stop    func() bool
	closed  bool
}

// Send sends a request and reads the head of its response. sent is false when no byte of
// the request was sent, so that the request cannot have run. Nothing is sent when
// ResponseTimeout grants no time. The end of the context closes the connection. The caller
// must end the response with Finish, Discard or Abort.
func (p *Pool) Send(ctx context.Context, address string, r *Request, matches ResponseMatcher) (response *Response, sent bool, err error) {
	c, err := p.take(ctx, address, r)
	if err != nil {
		return nil, false, err
	}
	if r.SendUntil != nil {
		if until := r.SendUntil(); !until.IsZero() && !time.Now().Before(until) {
			c.close()
			return nil, false, ErrNotSentInTime
		}
	}
	if r.ResponseTimeout != nil && r.ResponseTimeout(0) <= 0 {
		c.close()
		return nil, false, fmt.Errorf("not sent: %w", ErrUnresponsive)
	}
	if r.BeforeWrite != nil {
		r.BeforeWrite(r.Header)
	}
	c.remainderTimeout = r.RemainderTimeout
	if c.remainderTimeout == nil {
		c.remainderTimeout = func(waited time.Duration) time.Duration { return defaultRemainderTimeout - waited }
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
	upload, n, err := c.startUpload(r)
	if err != nil && n == 0 && c.used && ctx.Err() == nil {
		// The worker has closed the reused connection, and no byte was sent on it.
		stop()
		c.close()
		return p.Send(ctx, address, r, matches)
	}
	if err != nil {
		return fail(n > 0, fmt.Errorf("send request: %w", err))
	}
	if err := c.await(upload.timeout(r.ResponseTimeout), time.Now()); err != nil {
		return fail(true, fmt.Errorf("wait for response: %w", err))
	}
	head, err := c.readResponse(r, matches) //nolint:bodyclose // the caller ends the response
	if err != nil {
		return fail(true, fmt.Errorf("read response: %w", err))
	}
	response = &Response{Response: head, pool: p, address: address, conn: c, upload: upload, id: r.ID, stop: stop}
	response.Body = &body{ReadCloser: head.Body, response: response}
	return response, true, nil
}

// encode returns the first inlineBytes of a request, and the rest. Most of a long body is not copied.
func (r *Request) encode() (first []byte, rest [][]byte) {
	var b bytes.Buffer
	b.Grow(min(len(r.Body)+requestHeadBytes, inlineBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if head := b.Bytes(); len(head) > inlineBytes {
		return head[:inlineBytes], [][]byte{head[inlineBytes:], r.Body}
	}
	inline := min(len(r.Body), inlineBytes-b.Len())
	b.Write(r.Body[:inline])
	if inline < len(r.Body) {
		rest = [][]byte{r.Body[inline:]}
	}
	return b.Bytes(), rest
}

// readResponse reads the head of the response that matches the request. A response to
// another request, which may arrive late on a reused connection, is discarded.
func (c *conn) readResponse(r *Request, matches ResponseMatcher) (*http.Response, error) {
	firstRequest := !c.used
	c.used = true
	for range maxHeads {
		c.releaseHead()
		c.headBytesLeft = maxHeadBytes
		response, final, err := httpstatus.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.headBytesLeft = -1
		if err != nil {
			return nil, c.explain(err)
		}
		if !final {
			continue
		}
		if matches(response, firstRequest) {
			return response, nil
		}
		c.keepAlive = -1
		firstRequest = false
		if err := discard(response.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnrelatedResponse, c.explain(err))
		}
	}
	return nil, ErrUnrelatedResponse
}

// discard reads a body to its end without storing it, and fails when the body exceeds
// maxDiscardedBytes.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		err = fmt.Errorf("body exceeds %d bytes", maxDiscardedBytes)
	}
	return err
}

// take returns a reusable idle connection, or a new one.
func (p *Pool) take(ctx context.Context, address string, r *Request) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	for !r.NewConnection {
		list := p.idle[address]
		at := lastUsable(list, r.ID)
		if at < 0 {
			break
		}
		c := list[at]
		p.idle[address] = slices.Delete(list, at, at+1)
		p.release(1)
		if now.Sub(c.idleSince) < c.keepAlive && c.reusable() {
			p.mu.Unlock()
			return c, nil
		}
		c.close()
	}
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.opened++
	p.mu.Unlock()
	opened, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to worker: %w", err)
	}
	c := &conn{Conn: opened, headBytesLeft: -1, memory: p.memory}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	return c, nil
}

// lastUsable returns the index of the last connection on which no request with an ID was refused, or
// -1 without one.
func lastUsable(idle []*conn, id string) int {
	for at := len(idle) - 1; at >= 0; at-- {
		if id == "" || !slices.Contains(idle[at].refused, id) {
			return at
		}
	}
	return -1
}

// reusable reports whether an idle connection is open and has nothing to read. Bytes that
// arrive on an idle connection belong to no request.
func (c *conn) reusable() bool {
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
	empty := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// await waits for the next byte, which is expected since started. Each read of the rest then
// waits as long as remainderTimeout allows. Without a timeout function it does not wait, and reads have no bound.
func (c *conn) await(timeout TimeoutFunc, started time.Time) error {
	if timeout == nil {
		if c.boundReads {
			c.boundReads = false
			// On a closed connection, on which this fails, the read reports the close.
			_ = c.SetReadDeadline(time.Time{})
		}
		return nil
	}
	if c.reader.Buffered() > 0 {
		// The buffered bytes may end within a frame whose rest has not arrived yet.
		c.boundReads = true
		return nil
	}
	c.boundReads = false
	for w := (wait{timeout: timeout, started: started}); ; {
		if !w.goOn() {
			return ErrUnresponsive
		}
		// On a closed connection, on which this fails, the read reports the close.
		_ = c.SetReadDeadline(w.until)
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return err
		}
		c.boundReads = true
		return nil
	}
}

// Await waits for the next bytes of the body. The timeout counts from since, when these
// bytes were first expected, so that a worker that sends single bytes does not extend it.
func (r *Response) Await(timeout TimeoutFunc, since time.Time) error {
	if err := r.conn.await(timeout, since); !errors.Is(err, io.EOF) {
		return err
	}
	// The next read tells whether the body is complete.
	return nil
}

// Check opens a connection to an address and closes it.
func (p *Pool) Check(ctx context.Context, address string) error {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	opened, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to worker: %w", err)
	}
	opened.Close()
	return nil
}

// Finish ends a response whose body was read to its end, and keeps the connection if it can
// be reused. keepAlive is how long the worker states that it keeps the connection, or zero.
func (r *Response) Finish(keepAlive time.Duration) {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() || r.Close || r.conn.keepAlive < 0 || r.conn.reader.Buffered() > 0 || !r.EndMarked() || !r.upload.complete() {
		r.conn.close()
		return
	}
	r.conn.keepAlive = defaultKeepAlive
	if keepAlive > 0 {
		r.conn.keepAlive = max(keepAlive-idleMargin, idleMargin)
	}
	r.conn.idleSince = time.Now()
	r.conn.boundReads = false
	// SetReadDeadline fails only on a closed connection, which the next request detects.
	_ = r.conn.SetReadDeadline(time.Time{})
	r.pool.put(r.address, r.conn)
}

// Discard ends a response that refuses the request, and whose body is not used. A short body
// is read, so that the connection can be reused for requests with other IDs; a long or slow body
// closes it, and so does the refusal after maxRefusals others.
func (r *Response) Discard(keepAlive time.Duration) {
	if len(r.conn.refused) == maxRefusals {
		r.Abort()
		return
	}
	r.conn.refused = append(r.conn.refused, r.id)
	r.conn.boundReads = false
	// SetReadDeadline fails only on a closed connection, which the read reports.
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if err := discard(r.Body); err != nil {
		r.Abort()
		return
	}
	r.Finish(keepAlive)
}

// EndMarked reports whether a length or a transfer encoding marks the end of the body, or
// there is none, so that another response may follow on the connection.
func (r *Response) EndMarked() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
}

// Abort ends a response and closes its connection, so that the worker stops processing
// the request.
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
	c.releaseHead()
	if len(p.idle[address]) >= maxIdlePerWorker || (p.memory != nil && p.memory.Reserve(p.connBytes, p.connBytes) != nil) {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Forget closes the idle connections to an address whose worker was removed.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.release(len(list))
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
