// Package dial opens connections with a timeout that grows with each failure to connect to
// an address, and tells resets of connections from orderly ends.
package dial

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// FirstAttemptTimeout bounds the first attempt to connect to an address; the timeout doubles
// after each failed attempt, up to a maximum. Round trips take a few milliseconds, so a longer wait means that
// the machine is off, and TCP sends the lost packet again only after a second: a new attempt
// connects sooner. On a congested link, the later timeouts are long enough.
const FirstAttemptTimeout = 200 * time.Millisecond

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections and remembers the timeout of addresses whose last attempt failed.
type Dialer struct {
	dial       Func
	maxTimeout time.Duration

	mu sync.Mutex
	// timeouts bounds the next attempt, for addresses whose last attempt failed.
	timeouts map[string]time.Duration
}

// New returns a Dialer that opens connections with dial and bounds each attempt by at most
// maxTimeout.
func New(dial Func, maxTimeout time.Duration) *Dialer {
	return &Dialer{dial: dial, maxTimeout: maxTimeout, timeouts: make(map[string]time.Duration)}
}

// Dial opens a connection within the timeout of the address.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	timeout, failed := d.timeouts[address]
	if !failed {
		timeout = min(FirstAttemptTimeout, d.maxTimeout)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.timeouts[address] = min(2*timeout, d.maxTimeout)
		return nil, fmt.Errorf("connect to %s within %s: %w", address, timeout, err)
	}
	delete(d.timeouts, address)
	return conn, nil
}

// Forget resets the timeout of an address to that of a first attempt.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.timeouts, address)
}
