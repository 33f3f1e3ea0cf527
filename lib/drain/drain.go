// Package drain ends an HTTP server without cutting a request that is being read.
// http.Server.Shutdown closes a kept connection on which the header of a request has arrived
// in part, and drops a request whose header it has read after the shutdown began.
package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener tracks the connections of one server, until Drain.
type Listener struct {
	net.Listener
	server *http.Server
	// patience bounds the time for the rest of a header that has begun.
	patience time.Duration

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	// empty is closed when no connection is left after the beginning of the drain.
	empty chan struct{}
}

// New tracks the connections that a server accepts from a listener. It sets the server's
// ConnState and takes the time for a header from it.
func New(server *http.Server, listener net.Listener) *Listener {
	l := &Listener{
		Listener: listener, server: server, patience: server.ReadHeaderTimeout,
		conns: make(map[*conn]struct{}), empty: make(chan struct{}),
	}
	server.ConnState = l.changed
	return l
}

// Serve serves until the listener fails, or returns http.ErrServerClosed after Drain.
func (l *Listener) Serve() error {
	return l.server.Serve(l) //nolint:wrapcheck // callers compare with http.ErrServerClosed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if l.draining {
			return nil, http.ErrServerClosed
		}
		return nil, err //nolint:wrapcheck // the server looks at the errors of its listener
	}
	c := &conn{Conn: accepted, listener: l}
	l.conns[c] = struct{}{}
	return c, nil
}

// changed is called by the server at each change of a connection.
func (l *Listener) changed(changed net.Conn, state http.ConnState) {
	c, ok := changed.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.idle = true
		if l.draining {
			c.expire()
		}
	case http.StateActive:
		c.idle = false
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
		l.check()
	}
}

// check closes empty once. The caller holds the lock.
func (l *Listener) check() {
	if !l.draining || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.empty:
	default:
		close(l.empty)
	}
}

// Drain accepts no more connections, ends those that wait for a request, and waits for the
// others, each of which ends with its answer. The handler says so in a Connection header.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.begin(); err != nil {
		return err
	}
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for connections: %w", ctx.Err())
	}
}

// begin closes the listener and ends the waits for a request.
func (l *Listener) begin() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil
	}
	l.draining = true
	for c := range l.conns {
		if c.idle {
			c.expire()
		}
	}
	l.check()
	if err := l.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// conn is a connection of a caller. The lock of the listener guards its fields.
type conn struct {
	net.Conn
	listener *Listener
	// idle is set from the end of an answer until the first bytes of the next request.
	idle bool
}

// past is before every deadline.
var past = time.Unix(1, 0)

// expire ends the wait for a request. A read that has begun to return bytes still does. The
// caller holds the lock.
func (c *conn) expire() {
	// A connection that is closed has no deadlines.
	_ = c.Conn.SetReadDeadline(past)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err //nolint:wrapcheck // the server looks at the errors of its connections
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.idle {
		c.idle = false
		if c.listener.draining {
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.patience))
		}
	}
	return n, err //nolint:wrapcheck // the server looks at the errors of its connections
}

// SetReadDeadline implements net.Conn. The server bounds the wait for the next request with
// it, which Drain has ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.idle && c.listener.draining {
		t = past
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // a connection adds nothing
}

// CloseWrite lets the server send an answer to a caller that still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // a connection adds nothing
	}
	return nil
}
