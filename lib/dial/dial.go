// Package dial opens connections with a patience that grows with the failures of an
// address.
package dial

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// FirstAttemptTimeout bounds the first try to open a connection, and each further one may take twice as
// long. Round trips take a few milliseconds, so that a longer wait is one for a machine
// that is off, whose repeated packet comes only after a second. On a link that is full, the
// later tries are long enough.
const FirstAttemptTimeout = 200 * time.Millisecond

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens connections.
type Dialer struct {
	dial Func
	last time.Duration

	mu sync.Mutex
	// patience is how long the next try may take, for addresses whose last one failed.
	patience map[string]time.Duration
}

// New returns a dialer over dial that waits no longer than last for one try.
func New(dial Func, last time.Duration) *Dialer {
	return &Dialer{dial: dial, last: last, patience: make(map[string]time.Duration)}
}

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	patience, failed := d.patience[address]
	if !failed {
		patience = min(FirstAttemptTimeout, d.last)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := d.dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.patience[address] = min(2*patience, d.last)
		return nil, fmt.Errorf("connect to %s within %s: %w", address, patience, err)
	}
	delete(d.patience, address)
	return conn, nil
}

// Forget drops what is known of an address.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.patience, address)
}
