package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"laburnumgw/lib/retry"
)

var start = time.Unix(1_000_000, 0)

// Guards against retry storms: over any 10 s the retries must stay within 10% of the
// first attempts of the same 10 s plus 3 per second, also when traffic stops and the
// retries of earlier requests arrive afterwards.
func TestBudgetOverAnyWindow(t *testing.T) {
	type event struct {
		at    time.Duration
		retry bool
	}
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(retry.BudgetSettings{})
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			gap := rapid.IntRange(0, 4000).Draw(t, "gap ms")
			count := rapid.IntRange(1, 300).Draw(t, "requests")
			retries := rapid.Bool().Draw(t, "retries")
			for range count {
				now += time.Duration(gap) * time.Millisecond / 300
				if !retries {
					budget.FirstAttempt(start.Add(now))
				} else if !budget.TryRetry(start.Add(now)) {
					continue
				}
				events = append(events, event{now, retries})
			}
			now += time.Duration(gap) * time.Millisecond
		}
		for i := range events {
			if i > 0 && events[i-1].at == events[i].at {
				continue
			}
			firsts, retries := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at >= events[i].at+10*time.Second {
					break
				}
				if e.retry {
					retries++
				} else {
					firsts++
				}
			}
			if retries > 0.1*firsts+30 {
				t.Fatalf("window from %v: %v retries for %v first attempts", events[i].at, retries, firsts)
			}
		}
	})
}

// Guards against a budget that is stricter than its bound when traffic is steady.
func TestBudgetAllowsItsShare(t *testing.T) {
	Convey("Retries at a steady tenth of the first attempts are allowed", t, func() {
		budget := retry.NewBudget(retry.BudgetSettings{PerSecond: 0.2})
		refused := 0
		for i := range 5000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			budget.FirstAttempt(now)
			if i%10 == 9 && !budget.TryRetry(now) {
				refused++
			}
		}
		So(refused, ShouldEqual, 0)
		So(budget.TryRetry(start.Add(time.Hour)), ShouldBeTrue)
	})
}

// Guards against retries that arrive at the same time after a common failure.
func TestBackoffHasFullJitter(t *testing.T) {
	Convey("Delays cover the whole range up to a doubling bound", t, func() {
		backoff := retry.Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
		rng := rand.New(rand.NewPCG(1, 2))
		for n, bound := range map[int]time.Duration{1: 10, 2: 20, 3: 40, 4: 50, 60: 50} {
			bound *= time.Millisecond
			low, high := bound, time.Duration(0)
			for range 1000 {
				delay := backoff.Delay(n, rng)
				low = min(low, delay)
				high = max(high, delay)
			}
			So(high, ShouldBeLessThanOrEqualTo, bound)
			So(high, ShouldBeGreaterThan, bound*9/10)
			So(low, ShouldBeLessThan, bound/10)
		}
	})
}
