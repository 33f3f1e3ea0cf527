package dial

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that waits a second for a machine that was off at the first
// packet. Guards as well against tries that stay too short for a link that is full.
func TestDialTriesAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		// The machine answers packets that are sent once it is on. The network repeats a
		// packet after a second.
		d := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			wait := time.Millisecond
			if time.Since(began) < 100*time.Millisecond {
				wait = time.Second
			}
			select {
			case <-time.After(wait):
				near, _ := net.Pipe()
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, 2*time.Second)
		for {
			conn, err := d.Dial(t.Context(), "tcp", "a")
			if err == nil {
				conn.Close()
				break
			}
			<-time.After(100 * time.Millisecond)
		}
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("connected after %v", took)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		// Each packet waits 1.2 s in the queue of a link.
		d := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case <-time.After(1200 * time.Millisecond):
				near, _ := net.Pipe()
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, 2*time.Second)
		tries := 0
		for {
			tries++
			conn, err := d.Dial(t.Context(), "tcp", "a")
			if err == nil {
				conn.Close()
				break
			}
		}
		if tries > 4 {
			t.Errorf("%d tries on a slow link", tries)
		}
		if len(d.patience) != 0 {
			t.Error("failures are kept after a success")
		}
	})
}
