package hosted

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request that begins on old weights after their bound, because it waits longer at
// an overloaded worker than the entries stop before the bound, and the worker runs what was closed meanwhile.
func TestNoRequestBeginsOnOldWeightsAfterALongWait(t *testing.T) {
	for _, c := range []struct {
		latency            time.Duration
		startsPerSecond    int
		perSecond, entries int
		reporting          int
	}{
		{1 * time.Second, 0, 20, 1, 0},
		{1500 * time.Millisecond, 0, 20, 1, 0},
		{2 * time.Second, 0, 20, 1, 0},
		{2 * time.Second, 0, 4, 3, 3},
		{1800 * time.Millisecond, 0, 40, 8, 8},
		{20 * time.Millisecond, 40, 50, 3, 3},
		{20 * time.Millisecond, 40, 50, 8, 8},
		{20 * time.Millisecond, 40, 60, 30, 20},
		{1500 * time.Millisecond, 0, 60, 149, 20},
		{20 * time.Millisecond, 40, 60, 149, 20},
	} {
		t.Run(fmt.Sprintf("wait %v, %d of %d a second, %d entries", c.latency, c.startsPerSecond, c.perSecond, c.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var entries []*deployment
				for i := range c.entries {
					entries = append(entries, newEntryDeployment(t, entryName(i), "a"))
				}
				w := &stubbornWorker{latency: c.latency}
				if c.startsPerSecond > 0 {
					w.interval = time.Second / time.Duration(c.startsPerSecond)
				}
				named := askUntilBound(t, w, c.perSecond, c.reporting, nil, entries...)
				requireStartsWithinBound(t, w, named)
				<-time.After(2 * time.Minute)
				for _, d := range entries {
					d.front.conns.Forget(workerAddress("w1"))
				}
			})
		})
	}
}
