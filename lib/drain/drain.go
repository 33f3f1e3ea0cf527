// Package drain shuts down an HTTP server without cutting off a request that is being read.
// http.Server.Shutdown closes a keep-alive connection on which the header of a request has
// arrived in part, and drops a request whose header it reads after the shutdown started.
package drain

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"laburnumgw/lib/door"
)

// maxHeaderTimeout bounds the time for the rest of a header during a drain, which a caller that
// stalls within one must not delay for longer.
const maxHeaderTimeout = 5 * time.Second

// Listener tracks the connections of one server, so that Drain can end them.
type Listener struct {
	net.Listener
	server *http.Server
	// headerTimeout bounds the time for a header during the drain; zero for no bound.
	headerTimeout time.Duration

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	// readsEnd and writesEnd bound the reads and the writes of the connections; zero for no bound.
	readsEnd, writesEnd time.Time
	// memory bounds what the connections hold, each connBytes at least; nil for no bound.
	memory    Memory
	connBytes int64
	// table decides which connections are kept, and onShed is told what was closed for others.
	table  *door.Table[*conn]
	onShed func(door.Reason)
	// empty is closed when the drain has started and no connection is left.
	empty chan struct{}
}

// New returns a listener that tracks the connections which the server accepts. It sets the
// server's ConnState and uses its ReadHeaderTimeout, maxHeaderTimeout at most, during the drain.
func New(server *http.Server, listener net.Listener) *Listener {
	l := &Listener{
		Listener: listener, server: server, headerTimeout: min(server.ReadHeaderTimeout, maxHeaderTimeout),
		conns: make(map[*conn]struct{}), table: door.NewTable[*conn](0), onShed: func(door.Reason) {}, empty: make(chan struct{}),
	}
	server.ConnState = l.connStateChanged
	return l
}

// Memory bounds the memory of connections. Reserve takes n bytes for a connection that holds size bytes with them.
type Memory interface {
	Reserve(n, size int64) error
	Release(n int64)
}

// BoundMemory has each connection take connBytes of a memory, and what a header takes beyond a usual one until its
// response is written. A connection for which there is none is closed. It is called before Serve.
func (l *Listener) BoundMemory(memory Memory, connBytes int64) {
	l.memory, l.connBytes = memory, connBytes
}

// Serve serves until the listener fails, or returns http.ErrServerClosed after Drain.
func (l *Listener) Serve() error {
	return l.server.Serve(l) //nolint:wrapcheck // callers compare with http.ErrServerClosed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.draining {
				return nil, http.ErrServerClosed
			}
			return nil, err //nolint:wrapcheck // the server checks the errors of its listener
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// connStateChanged is the ConnState callback of the server.
func (l *Listener) connStateChanged(changed net.Conn, state http.ConnState) {
	c, ok := changed.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	expires := false
	switch state {
	case http.StateIdle:
		c.idle, c.active = true, false
		c.releaseHeader()
		l.table.Enter(c.place, door.Idle, time.Now())
		if l.draining {
			c.expire()
			expires = true
		}
	case http.StateActive:
		c.idle, c.inHeader, c.active = false, false, true
		l.table.Enter(c.place, door.Busy, time.Now())
	case http.StateClosed, http.StateHijacked:
		c.releaseHeader()
		if _, ok := l.conns[c]; ok && l.memory != nil {
			l.memory.Release(l.connBytes)
		}
		delete(l.conns, c)
		l.table.Remove(c.place)
		l.closeIfEmpty()
	}
	l.mu.Unlock()
	if expires {
		_ = c.applyReadDeadline() // a closed connection has no deadlines
	}
}

// closeIfEmpty closes empty, once, when the drain has started and no connection is left.
// The caller holds the lock.
func (l *Listener) closeIfEmpty() {
	if !l.draining || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// EndAt bounds the reading of headers and bodies, and the writing of responses. It is called before
// Drain. A body is bounded only if the handler sets a read deadline for it: without one, a read serves
// the server to notice that the caller leaves.
func (l *Listener) EndAt(reads, writes time.Time) {
	l.mu.Lock()
	l.readsEnd, l.writesEnd = reads, writes
	all, bounded := slices.Collect(maps.Keys(l.conns)), make([]*conn, 0, len(l.conns))
	for _, c := range all {
		if c.active && !c.readDeadline.IsZero() {
			c.appliedRead = c.boundedRead(c.readDeadline)
			bounded = append(bounded, c)
		}
	}
	l.mu.Unlock()
	// The errors are ignored: a closed connection has no deadlines.
	for _, c := range all {
		_ = c.applyWriteDeadline()
	}
	for _, c := range bounded {
		_ = c.applyReadDeadline()
	}
}

// Drain stops accepting connections, ends those that wait for a request, and waits for the
// others, each of which ends with its response. The handler must send the header
// Connection: close with it, see CloseWhileLeaving.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.startDrain(); err != nil {
		return err
	}
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
	}
	if count := l.unanswered(); count > 0 {
		return fmt.Errorf("wait for %d connections: %w", count, ctx.Err())
	}
	return nil
}

// unanswered returns the number of connections on which a response is not complete.
func (l *Listener) unanswered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		if !c.answered {
			count++
		}
	}
	return count
}

// startDrain closes the listener and ends the connections that wait for a request.
func (l *Listener) startDrain() error {
	bounded, err := l.refuseFurther()
	for _, c := range bounded {
		_ = c.applyReadDeadline() // a closed connection has no deadlines
	}
	return err
}

// refuseFurther closes the listener and bounds the reads of the connections that wait for a request or read its
// header, which it returns.
func (l *Listener) refuseFurther() ([]*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, nil
	}
	l.draining = true
	var bounded []*conn
	for c := range l.conns {
		switch {
		case c.idle:
			c.expire()
			bounded = append(bounded, c)
		case c.inHeader && c.boundHeader():
			bounded = append(bounded, c)
		}
	}
	l.closeIfEmpty()
	if err := l.Close(); err != nil {
		return bounded, fmt.Errorf("close listener: %w", err)
	}
	return bounded, nil
}

// conn is a connection of a caller. The lock of the listener guards its fields, except applying, which is taken before it.
type conn struct {
	net.Conn
	listener *Listener
	// place is the connection's in the table of the listener.
	place *door.Conn[*conn]
	// idle is set from the end of a response until the first bytes of the next request.
	idle bool
	// inHeader is set until the server has read the header of a request, the wait for its first bytes on a
	// new connection included, and active from the call of the handler to the end of the response.
	inHeader, active bool
	// headerBytes and headerLines are what was read of the header, and headerHeld what is reserved for it.
	headerBytes, headerLines, headerHeld int64
	// readDeadline and writeDeadline are the deadlines that the server or the handler has set, and appliedRead the
	// read deadline that holds in place of theirs.
	readDeadline, writeDeadline, appliedRead time.Time
	// applying is held while deadlines are passed on to Conn, so that the newest is the last one. The lock of the
	// listener is not: a connection on which that takes long must not hold up the others.
	applying sync.Mutex
	// answered is set when the response is sent and the connection is kept open only for its caller to
	// read it.
	answered bool
}

// expiredDeadline is a read deadline in the past, which makes reads fail at once.
var expiredDeadline = time.Unix(1, 0)

// expire ends the wait for a request. A read that has already received bytes still returns
// them. The caller holds the lock, and applies the deadline without it.
func (c *conn) expire() { c.appliedRead = expiredDeadline }

// boundHeader bounds the time for the rest of a header, and reports whether there is a bound. The caller holds the
// lock, and applies the deadline without it.
func (c *conn) boundHeader() bool {
	latest := c.listener.readsEnd
	if timeout := c.listener.headerTimeout; timeout > 0 {
		latest = c.boundedRead(time.Now().Add(timeout))
	}
	if latest.IsZero() {
		return false
	}
	c.appliedRead = latest
	return true
}

// applyReadDeadline passes the newest read deadline on to the connection.
func (c *conn) applyReadDeadline() error {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.listener.mu.Lock()
	t := c.appliedRead
	c.listener.mu.Unlock()
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // passes on the error of the connection
}

// applyWriteDeadline passes the newest write deadline on to the connection.
func (c *conn) applyWriteDeadline() error {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.listener.mu.Lock()
	t := c.boundedWrite(c.writeDeadline)
	c.listener.mu.Unlock()
	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // passes on the error of the connection
}

// boundedRead returns a read deadline, readsEnd at the latest. The caller holds the lock.
func (c *conn) boundedRead(t time.Time) time.Time {
	if end := c.listener.readsEnd; !end.IsZero() && t.After(end) {
		return end
	}
	return t
}

// boundedWrite returns a write deadline, which may be zero, writesEnd at the latest. The caller holds
// the lock.
func (c *conn) boundedWrite(t time.Time) time.Time {
	if end := c.listener.writesEnd; !end.IsZero() && (t.IsZero() || t.After(end)) {
		return end
	}
	return t
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err //nolint:wrapcheck // the server checks the errors of its connections
	}
	bounded, refused := c.received(p[:n])
	if bounded {
		_ = c.applyReadDeadline() // a closed connection has no deadlines
	}
	if refused != nil {
		// The server answers other errors than those of a read with 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	return n, err //nolint:wrapcheck // the server checks the errors of its connections
}

// received records bytes that were read. It reports whether it has bounded the reads, and fails when there is no
// memory for the header.
func (c *conn) received(data []byte) (bounded bool, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.idle {
		c.idle, c.inHeader = false, true
		c.listener.table.Enter(c.place, door.Head, time.Now())
		bounded = c.listener.draining && c.boundHeader()
	}
	if c.inHeader {
		err = c.holdHeader(data)
	}
	return bounded, err
}

// SetReadDeadline implements net.Conn. The server uses it to bound the wait for the next
// request, which must stay ended during the drain, and the time for a header. It clears the
// deadline once it has read the header, before it calls the handler.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.recordReadDeadline(t)
	return c.applyReadDeadline()
}

// recordReadDeadline records a deadline that the server or the handler sets.
func (c *conn) recordReadDeadline(t time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.idle:
		if c.listener.draining {
			t = expiredDeadline
		}
	case !c.active:
		c.inHeader = !t.IsZero()
		latest := time.Now().Add(c.listener.headerTimeout)
		if c.inHeader && c.listener.draining && c.listener.headerTimeout > 0 && t.After(latest) {
			t = latest
		}
	}
	if c.active {
		state := door.Body
		if t.IsZero() {
			state = door.Busy
		}
		c.listener.table.Enter(c.place, state, time.Now())
	}
	c.readDeadline, c.appliedRead = t, c.boundedRead(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	c.writeDeadline = t
	c.listener.mu.Unlock()
	return c.applyWriteDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets the server send a response to a caller that is still sending.
func (c *conn) CloseWrite() error {
	c.listener.mu.Lock()
	c.answered = true
	c.listener.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // passes on the error of the connection
	}
	return nil
}

// SetLinger lets the server reset a connection instead of closing it.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec) //nolint:wrapcheck // passes on the error of the connection
	}
	return nil
}
