package soak

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode uint8

// Modes of a proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards all bytes after a delay.
	Delay
	// Silence forwards nothing in either direction and keeps connections open.
	Silence
	// OneWay forwards only what callers send.
	OneWay
	// Refuse resets open and new connections.
	Refuse
)

// String returns the name of the mode as it appears in the list of faults.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one_way", "refuse"}[m]
}

const (
	proxyDelay = 150 * time.Millisecond
	// proxyPollInterval is the interval at which a held connection checks the mode.
	proxyPollInterval = 20 * time.Millisecond
)

// Proxy forwards TCP connections to a server and injects faults into them.
type Proxy struct {
	address string
	target  string

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	mode     Mode
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewProxy starts a proxy that listens on an address and forwards to a target.
func NewProxy(address, target string) (*Proxy, error) {
	p := &Proxy{address: address, target: target, conns: make(map[net.Conn]struct{})}
	return p, p.Listen()
}

// listenAttempts bounds the attempts to listen on an address.
const listenAttempts = 100

func listenPause() { time.Sleep(proxyPollInterval) }

// listen listens on an address. It may be in use for a moment after its fleet has ended, since processes that
// another fleet starts hold copies of the sockets until they run their own program.
func listen(address string, pause func()) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || attempt == listenAttempts {
			return listener, err
		}
		pause()
	}
}

// Listen accepts connections, unless the proxy does so already or is closed.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := listen(p.address, listenPause)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", p.address, err)
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// StopListening refuses connections from now on and resets the open ones, like a machine whose
// server has ended.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.resetAll()
}

// Set changes the mode. Refuse resets the open connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == Refuse {
		p.resetAll()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for conn := range p.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only on a closed connection
	}
	conn.Close()
}

// Close closes the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.StopListening()
}

func (p *Proxy) current() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.current(); mode == Refuse {
			reset(caller)
			continue
		}
		go p.forward(caller)
	}
}

func (p *Proxy) forward(caller net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller] = struct{}{}
	p.conns[server] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, caller, false) })
	both.Go(func() { p.copy(caller, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
	caller.Close()
	server.Close()
}

// copy forwards bytes as the mode requires. When the source ends its
// stream, it closes the write side of the destination.
func (p *Proxy) copy(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.waitWhileHeld(responses) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if p.waitWhileHeld(responses) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have closed already
	}
}

// waitWhileHeld blocks while the mode holds bytes back, and for the delay of Delay. It
// reports whether the proxy has been closed.
func (p *Proxy) waitWhileHeld(responses bool) bool {
	for {
		mode, closed := p.current()
		switch {
		case closed:
			return true
		case mode == Delay:
			time.Sleep(proxyDelay)
			return false
		case mode == Silence, mode == OneWay && responses:
			time.Sleep(proxyPollInterval)
		default:
			return false
		}
	}
}
