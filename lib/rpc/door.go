package rpc

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"laburnumgw/lib/door"
)

const (
	// helloTimeout bounds the opening of an HTTP/2 connection, the handshake of TLS included.
	helloTimeout = 5 * time.Second
	// helloBytes is the length of the first bytes of an HTTP/2 connection.
	helloBytes = 24
	// maxFieldBytes bounds the fields of a call.
	maxFieldBytes = 16 << 10
	// maxCallBytes bounds the message of a call on the platform, the longest of which is a bitmap of chunks, and callMemory is
	// what a call takes at most until its handler has it.
	maxCallBytes = 32 << 10
	callMemory   = maxCallBytes + 16<<10
	// callShare is the part of the memory of a process that calls may take together.
	callShare = 6
	// callsPerConn bounds the calls at a time on a connection.
	callsPerConn = 128
	// readBufferBytes suits the short requests of calls.
	readBufferBytes = 8 << 10
)

// DoorOptions returns the options of all gRPC servers that bound what a client takes before its call is handled.
func DoorOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ConnectionTimeout(helloTimeout), grpc.MaxHeaderListSize(maxFieldBytes)}
}

// PlainDoorOptions returns DoorOptions and further ones for servers without TLS, whose clients send short messages only. The
// calls together take a part of the memory of the process, of which zero stands for no limit; onRefused is called for
// each that finds none.
func PlainDoorOptions(memoryMB int64, onRefused func(door.Reason)) []grpc.ServerOption {
	calls := &callLimit{left: math.MaxInt64, onRefused: onRefused}
	if memoryMB > 0 {
		calls.left = memoryMB << 20 / callShare / callMemory
	}
	return append(DoorOptions(), grpc.MaxRecvMsgSize(maxCallBytes), grpc.MaxConcurrentStreams(callsPerConn),
		grpc.ReadBufferSize(readBufferBytes), grpc.InTapHandle(calls.begin))
}

// callLimit bounds the calls at a time.
type callLimit struct {
	mu        sync.Mutex
	left      int64
	onRefused func(door.Reason)
}

// begin takes a place for a call until its context ends.
func (l *callLimit) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left <= 0 {
		l.onRefused(door.NoMemory)
		return ctx, status.Error(codes.ResourceExhausted, "no memory for further calls; repeat the call")
	}
	l.left--
	conn := callerOf(ctx)
	conn.callBegan()
	context.AfterFunc(ctx, func() {
		conn.callEnded()
		l.mu.Lock()
		l.left++
		l.mu.Unlock()
	})
	return ctx, nil
}

// Bound returns a listener with at most limit connections, for a server with PlainDoorOptions. For a further one, the one that has not
// sent its first bytes for longest is closed, or else the one without a call for longest, or else the new one. onShed is called for
// each, and must not block.
func Bound(listener net.Listener, limit int, onShed func(door.Reason)) net.Listener {
	return &boundListener{Listener: listener, table: door.NewTable[net.Conn](limit), onShed: onShed}
}

// BoundTLS is Bound for a server with ServerOptions: a connection stays one that may be closed until its peer has proven who it is.
func BoundTLS(listener net.Listener, limit int, onShed func(door.Reason)) net.Listener {
	return &boundListener{Listener: listener, table: door.NewTable[net.Conn](limit), onShed: onShed, provesPeers: true}
}

type boundListener struct {
	net.Listener
	onShed      func(door.Reason)
	provesPeers bool

	mu    sync.Mutex
	table *door.Table[net.Conn]
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // the server checks the errors of its listener
		}
		l.mu.Lock()
		decision := l.table.Connect(accepted, time.Now())
		l.mu.Unlock()
		if unread := decision.Close; unread != nil {
			unread.Value.Close()
			l.onShed(door.Unread)
		}
		if decision.Admitted != nil {
			return &boundConn{Conn: accepted, listener: l, place: decision.Admitted}, nil
		}
		accepted.Close()
		l.onShed(door.Refused)
	}
}

// boundConn is a connection of a boundListener.
type boundConn struct {
	net.Conn
	listener *boundListener
	place    *door.Conn[net.Conn]
	received atomic.Int64
	// calls are those at a time, under the lock of the listener.
	calls int
}

// Read implements net.Conn.
func (c *boundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if before := c.received.Load(); before < helloBytes && n > 0 && !c.listener.provesPeers {
		if c.received.Add(int64(n)) >= helloBytes {
			c.enter(door.Idle)
		}
	}
	return n, err //nolint:wrapcheck // the server checks the errors of its connections
}

// enter records what the connection does.
func (c *boundConn) enter(state door.State) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.Enter(c.place, state, time.Now())
}

// boundAddr is the address of the peer of a connection.
type boundAddr struct {
	net.Addr
	conn *boundConn
}

// RemoteAddr implements net.Conn.
func (c *boundConn) RemoteAddr() net.Addr { return boundAddr{c.Conn.RemoteAddr(), c} }

// callerOf returns the connection of a call, nil if its listener is not a bound one.
func callerOf(ctx context.Context) *boundConn {
	if p, ok := peer.FromContext(ctx); ok {
		if addr, ok := p.Addr.(boundAddr); ok {
			return addr.conn
		}
	}
	return nil
}

// callBegan records that a call has begun.
func (c *boundConn) callBegan() { c.countCall(1, door.Busy) }

// callEnded records that a call has ended.
func (c *boundConn) callEnded() { c.countCall(-1, door.Idle) }

// countCall adds to the calls of the connection, which is in a state once there is one or none.
func (c *boundConn) countCall(more int, state door.State) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.calls += more; state == door.Busy || c.calls == 0 {
		c.listener.table.Enter(c.place, state, time.Now())
	}
}

// doorCredentials tell the connections of a boundListener that their peer has proven who it is.
type doorCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake implements credentials.TransportCredentials.
func (c doorCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if bound, ok := raw.(*boundConn); ok && err == nil {
		bound.enter(door.Busy)
	}
	return conn, info, err //nolint:wrapcheck // the server checks the errors of its credentials
}

// Clone implements credentials.TransportCredentials.
func (c doorCredentials) Clone() credentials.TransportCredentials {
	return doorCredentials{c.TransportCredentials.Clone()}
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.listener.mu.Lock()
	c.listener.table.Remove(c.place)
	c.listener.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // passes on the error of the connection
}
