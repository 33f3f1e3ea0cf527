package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// FoundReset reports whether the error of a write tells that the peer has reset the connection before it had
// closed it. The system reports a reset once, to a read or to a write, and the end of the connection from then on.
func FoundReset(writeErr error) bool {
	// After an orderly end, a reset is reported as EPIPE.
	for _, other := range []error{nil, os.ErrDeadlineExceeded, net.ErrClosed, syscall.EPIPE, io.ErrClosedPipe} {
		if errors.Is(writeErr, other) {
			return false
		}
	}
	return true
}

// ReportingResets returns a dial function for connections whose reads report a reset also when a write has found it.
// After the end of the connection has been read, writes fail.
func ReportingResets(dial Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: opened}, nil
	}
}

type resetConn struct {
	net.Conn
	// mu is held during a write.
	mu  sync.Mutex
	err error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.err == nil {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// It ends a write that is blocked, and fails only on a closed connection.
	_ = c.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if FoundReset(c.err) {
		err = fmt.Errorf("found by a write: %w", c.err)
	}
	return n, err
}
