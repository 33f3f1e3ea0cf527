package hosted

import (
	"testing"
	"time"

	"laburnumgw/lib/retry"
)

// Guards against three retries a second at each entry where the platform allows none beyond the
// share of requests.
func TestRetryBudgetWithoutSlack(t *testing.T) {
	d := newDeployment(t)
	v := d.front.view
	for slack, allowed := range map[float64]bool{0: false, 104: true} {
		v.settings.Bounds.RetrySlack = slack
		v.mu.Lock()
		budget := retry.NewBudget(v.budget())
		v.mu.Unlock()
		if got := budget.TryRetry(time.Now()); got != allowed {
			t.Errorf("slack %v: retry allowed: %v", slack, got)
		}
	}
}
