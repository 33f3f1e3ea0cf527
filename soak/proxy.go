package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to connections.
type Mode uint8

// Modes of a proxy.
const (
	// Pass hands all bytes on.
	Pass Mode = iota
	// Delay hands them on late.
	Delay
	// Silence hands nothing on in either direction and keeps connections open.
	Silence
	// OneWay hands on only what callers send.
	OneWay
	// Refuse resets connections.
	Refuse
)

// String names the mode.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "silence", "one_way", "refuse"}[m]
}

const (
	proxyDelay = 150 * time.Millisecond
	// proxyPoll is how often a silent connection looks whether it may go on.
	proxyPoll = 20 * time.Millisecond
)

// Proxy stands before a server and harms its connections.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
	done  bool
}

// NewProxy starts a proxy.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
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

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.done = true
	p.resetAll()
	p.mu.Unlock()
	p.listener.Close()
}

func (p *Proxy) current() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.done
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.current(); mode == Refuse {
			reset(caller)
			continue
		}
		go p.join(caller)
	}
}

func (p *Proxy) join(caller net.Conn) {
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

// copy hands bytes on as the mode says. The end of one side ends the other.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.hold(answers) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if p.hold(answers) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have closed already
	}
}

// hold waits while the mode holds bytes back. It reports whether the proxy has ended.
func (p *Proxy) hold(answers bool) bool {
	for {
		mode, done := p.current()
		switch {
		case done:
			return true
		case mode == Delay:
			time.Sleep(proxyDelay)
			return false
		case mode == Silence, mode == OneWay && answers:
			time.Sleep(proxyPoll)
		default:
			return false
		}
	}
}
