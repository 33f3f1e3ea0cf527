package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// firstDial bounds the first try to open a connection, and each further one may take twice
// as long, up to connectTimeout. Round trips take a few milliseconds, so that a longer wait
// is one for a machine that is off, whose repeated packet comes only after a second. On a
// link that is full, the later tries are long enough.
const firstDial = 200 * time.Millisecond

// dialer opens connections with a patience that grows with the failures of an address.
type dialer struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	failures map[string]int
}

func newDialer() *dialer {
	return &dialer{failures: make(map[string]int), dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}}
}

// Dial opens a connection.
func (d *dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	patience := connectTimeout
	if failures := d.failures[address]; failures < maxDoublings {
		patience = firstDial << failures
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := d.dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failures[address]++
		return nil, fmt.Errorf("connect to %s within %s: %w", address, patience, err)
	}
	delete(d.failures, address)
	return conn, nil
}

// forget drops what is known of an address.
func (d *dialer) forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failures, address)
}

// maxDoublings is the number of failures from which on a try takes connectTimeout.
const maxDoublings = 4
