package membudget

import (
	"errors"
	"math"
	"runtime/debug"
	"testing"

	"pgregory.net/rapid"
)

// Guards against holdings that exceed the limit together, large ones that take the reserve of small ones, a smaller one
// that is refused where a larger one is not, and memory that is not returned.
func TestHoldingsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 256<<20).Draw(t, "limit")
		b := New(limit)
		type holding struct {
			account *Account
			size    int64
		}
		var open []holding
		held := int64(0)
		reserve := func(h *holding, n int64) {
			before := b.Held()
			err := h.account.Reserve(n, h.size+n)
			switch {
			case err == nil:
				h.size += n
				held += n
				if h.size > SmallBytes && held > limit-limit/10 {
					t.Fatalf("a holding of %d bytes took the reserve: %d of %d held", h.size, held, limit)
				}
			case h.size+n <= SmallBytes && before+n <= limit:
				t.Fatalf("a small holding was refused: %v", err)
			default:
				var exceeded *ExceededError
				if !errors.As(err, &exceeded) || exceeded.Held != before || exceeded.Needed != n {
					t.Fatalf("refused with %d bytes held: %v", before, err)
				}
				if larger := h.size + n + 1; b.Reserve(n, larger) == nil {
					t.Fatalf("%d bytes were refused and %d were not", h.size+n, larger)
				}
			}
		}
		size := rapid.OneOf(rapid.Int64Range(0, SmallBytes), rapid.Int64Range(0, 16<<20))
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				h := holding{account: b.Open()}
				reserve(&h, size.Draw(t, "n"))
				open = append(open, h)
			},
			"grow": func(t *rapid.T) {
				if len(open) == 0 {
					return // nothing to grow
				}
				reserve(&open[rapid.IntRange(0, len(open)-1).Draw(t, "which")], size.Draw(t, "n"))
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					return // nothing to close
				}
				at := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				h := open[at]
				h.account.Close()
				h.account.Close()
				h.account.Release(h.size)
				if err := h.account.Reserve(1, 1); !errors.Is(err, ErrClosed) {
					t.Fatalf("closed account: %v", err)
				}
				held -= h.size
				open = append(open[:at], open[at+1:]...)
			},
			"": func(t *rapid.T) {
				if b.Held() != held || held > limit {
					t.Fatalf("%d bytes held, want %d of %d", b.Held(), held, limit)
				}
			},
		})
		for _, h := range open {
			h.account.Close()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes left", b.Held())
		}
	})
}

// Guards against a runtime that does not know the memory limit of its process, and against one whose own setting is
// overwritten.
func TestRuntimeIsToldTheLimit(t *testing.T) {
	before := debug.SetMemoryLimit(math.MaxInt64)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	LimitRuntime(0)
	if got := debug.SetMemoryLimit(-1); got != math.MaxInt64 {
		t.Errorf("limit %d without one of the process", got)
	}
	LimitRuntime(284)
	LimitRuntime(64)
	if got := debug.SetMemoryLimit(-1); got != 213<<20 {
		t.Errorf("limit %d for 284 MB", got)
	}
}
