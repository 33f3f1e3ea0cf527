package dial

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that waits a second for a machine that was off when the first
// packet was sent, and against timeouts that stay too short for a congested link.
func TestDialRetriesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		// The machine responds to packets that are sent once it is on. A lost packet is
		// sent again after a second.
		d := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			wait := time.Millisecond
			if time.Since(started) < 100*time.Millisecond {
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
		if took := time.Since(started); took > 400*time.Millisecond {
			t.Errorf("connected after %v", took)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		// Each packet is queued for 1.2 s at a congested link.
		d := New(func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case <-time.After(1200 * time.Millisecond):
				near, _ := net.Pipe()
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, 2*time.Second)
		attempts := 0
		for {
			attempts++
			conn, err := d.Dial(t.Context(), "tcp", "a")
			if err == nil {
				conn.Close()
				break
			}
		}
		if attempts > 4 {
			t.Errorf("%d attempts on a slow link", attempts)
		}
		if len(d.timeouts) != 0 {
			t.Error("timeouts of failed attempts are kept after a success")
		}
	})
}
