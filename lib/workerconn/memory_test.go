package workerconn

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"laburnumgw/lib/membudget"
)

// Guards against heads of responses, or idle connections, whose memory is not counted or not returned.
func TestHeadsAndIdleConnectionsHoldMemory(t *testing.T) {
	const idleBytes = 10_000
	held := int64(-1)
	var budget *membudget.Budget
	withPeer(t, func(conn net.Conn, _ int, r *http.Request) {
		if r.Header.Get("Id") == "endless" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: endless\r\nX: %s", strings.Repeat("h", 1<<20))
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\nX: %s\r\n\r\n", strings.Repeat("h", 40<<10))
		held = budget.Held()
		fmt.Fprint(conn, "b")
	}, func(t *testing.T, pool *Pool, _ *peer) {
		budget = membudget.New(100_000)
		pool.BoundMemory(budget, idleBytes)
		for range 3 {
			if _, _, err := exchange(t, pool, "a", false); err != nil {
				t.Fatal(err)
			}
			if held < 36<<10 || budget.Held() != idleBytes {
				t.Errorf("%d bytes held during a response with a long head, %d after it", held, budget.Held())
			}
		}
		if _, _, err := exchange(t, pool, "endless", false); !errors.Is(err, ErrHeadTooLarge) {
			t.Errorf("endless head: %v", err)
		}
		if budget.Held() != 0 {
			t.Errorf("%d bytes held without a connection", budget.Held())
		}
		if err := budget.Reserve(50_000, 60_000); err != nil {
			t.Fatal(err)
		}
		var exceeded *membudget.ExceededError
		if _, _, err := exchange(t, pool, "endless", false); !errors.As(err, &exceeded) {
			t.Errorf("endless head beside others: %v", err)
		}
		if err := budget.Reserve(45_000, 60_000); err != nil {
			t.Fatal(err)
		}
		if _, _, err := exchange(t, pool, "a", true); !errors.As(err, &exceeded) {
			t.Errorf("long head without memory: %v", err)
		}
		if budget.Held() != 95_000 || len(pool.idle) != 0 {
			t.Errorf("%d bytes held, connections to %d workers", budget.Held(), len(pool.idle))
		}
	})
}
