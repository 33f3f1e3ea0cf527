// Package rpc keeps the gRPC connections between the system's processes.
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
	// streamWindow and connWindow fix the HTTP/2 windows. Without fixed windows each
	// connection estimates its bandwidth with extra frames on nearly every call, which
	// doubled the bytes of a call that carries little.
	streamWindow = 1 << 20
	connWindow   = 4 << 20
	// connectTimeout bounds one attempt to connect. Round trips between regions
	// take a few milliseconds.
	connectTimeout = 2 * time.Second
	// maxConnectBackoff lets a restarted VM be reached again soon.
	maxConnectBackoff = 2 * time.Second
	// idleTimeout closes connections that carried no call, so that the number of
	// connections follows the peers in use.
	idleTimeout = 5 * time.Minute
)

// Pool holds one connection for each address.
type Pool struct {
	keys  *mtls.Keys
	roles []mtls.Role
	dials *dial.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool whose peers must prove one of the roles.
func NewPool(keys *mtls.Keys, roles ...mtls.Role) *Pool {
	pool := NewPlainPool()
	pool.keys, pool.roles = keys, roles
	return pool
}

// NewPlainPool returns a pool without certificates, for networks in which the platform
// decides who can connect.
func NewPlainPool() *Pool {
	return &Pool{conns: make(map[string]*grpc.ClientConn), dials: dial.New(new(net.Dialer).DialContext, connectTimeout)}
}

// credentials returns how a connection proves its identity.
func (p *Pool) credentials() credentials.TransportCredentials {
	if p.keys == nil {
		return insecure.NewCredentials()
	}
	return p.keys.ClientCredentials(p.roles...)
}

// UseDialer opens later connections in another way, for example so that a bench can count
// their bytes. How long a try may take stays with the pool. It must be called before the
// first call of Conn.
func (p *Pool) UseDialer(open dial.Func) {
	p.dials = dial.New(open, connectTimeout)
}

// Conn returns the connection to an address. It connects on the first call.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return p.dials.Dial(ctx, "tcp", address)
		}),
		grpc.WithTransportCredentials(p.credentials()),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connWindow),
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

// Forget closes the connection to an address, when its process is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	p.dials.Forget(address)
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

// ServerOptions returns the options of every server of the system.
func ServerOptions(keys *mtls.Keys, policy mtls.Policy) []grpc.ServerOption {
	return append(policy.ServerOptions(),
		grpc.Creds(keys.ServerCredentials()),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connWindow),
	)
}

type sentKey struct{}

// TrackSent returns a context whose call sets the flag when its headers leave for a
// connected peer. While the flag is unset, the peer has not seen the call.
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
