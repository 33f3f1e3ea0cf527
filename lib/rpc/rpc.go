// Package rpc provides gRPC connections, calls and server options for the system's processes.
package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"laburnumgw/lib/dial"
	"laburnumgw/lib/mtls"
)

const (
	// MaxMessageBytes bounds one message: a request body of 4 MB, or a bundle.
	MaxMessageBytes = 16 << 20
	// streamWindowBytes and connWindowBytes are fixed HTTP/2 flow-control windows. Without
	// fixed windows, each connection estimates its bandwidth with extra frames on nearly
	// every call, which doubled the bytes of small calls.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
	// connectTimeout bounds one attempt to connect. Round trips between regions
	// take a few milliseconds.
	connectTimeout = 2 * time.Second
	// maxConnectBackoff bounds the pause between attempts to connect, so that a restarted VM
	// is reached again soon.
	maxConnectBackoff = 2 * time.Second
	// idleTimeout is how long a connection without calls stays open. Closing idle ones keeps
	// the number of connections in line with the peers in use.
	idleTimeout = 5 * time.Minute
)

// Pool holds one connection for each address.
type Pool struct {
	keys   *mtls.Keys
	roles  []mtls.Role
	dialer *dial.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool whose peers must prove one of the roles.
func NewPool(keys *mtls.Keys, roles ...mtls.Role) *Pool {
	pool := NewPlainPool()
	pool.keys, pool.roles = keys, roles
	return pool
}

// NewPlainPool returns a pool without TLS, for networks in which the platform controls who
// can connect.
func NewPlainPool() *Pool {
	return &Pool{conns: make(map[string]*grpc.ClientConn), dialer: dial.New(new(net.Dialer).DialContext, connectTimeout)}
}

// credentials returns the transport credentials of the pool's connections.
func (p *Pool) credentials() credentials.TransportCredentials {
	if p.keys == nil {
		return insecure.NewCredentials()
	}
	return p.keys.ClientCredentials(p.roles...)
}

// UseDialer replaces the function that opens connections, for example so that a benchmark
// can count their bytes. The pool still bounds each attempt. UseDialer must be called before
// the first call of Conn.
func (p *Pool) UseDialer(open dial.Func) {
	p.dialer = dial.New(open, connectTimeout)
}

// Conn returns the connection to an address. The connection is opened by its first call.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return p.dialer.Dial(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(p.credentials()),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

// Forget closes the connection to an address whose process was removed.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	p.dialer.Forget(address)
	if conn != nil {
		conn.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		conn.Close()
		delete(p.conns, address)
	}
}

// ServerOptions returns the options of the gRPC servers that use mutual TLS.
func ServerOptions(keys *mtls.Keys, policy mtls.Policy) []grpc.ServerOption {
	return append(policy.ServerOptions(),
		grpc.Creds(doorCredentials{keys.ServerCredentials()}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
	)
}

type sentKey struct{}

// TrackSent returns a context and a flag that is set when the call with this context sends
// its headers to a connected peer. While the flag is unset, the peer has not received the call.
func TrackSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentHandler sets the flags of TrackSent.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch event.(type) {
	case *stats.OutHeader, *stats.OutPayload:
	default:
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
