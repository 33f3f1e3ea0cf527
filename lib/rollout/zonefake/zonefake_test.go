package zonefake_test

import (
	"testing"
	"time"

	"laburnumgw/lib/rollout/zonefake"
)

// Guards against workers that have all chunks and wait for a share of the bound, with the last one whole after sending to
// older weights has ended, although the links allow more, and against a zone that is not served meanwhile.
func TestVersionsServeAsSoonAsTheLinksAllow(t *testing.T) {
	for _, c := range []struct{ arrives, load, half, last time.Duration }{
		{2100 * time.Millisecond, 2 * time.Second, 4200 * time.Millisecond, 6150 * time.Millisecond},
		{3500 * time.Millisecond, 2 * time.Second, 5500 * time.Millisecond, 7500 * time.Millisecond},
		{3500 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 6500 * time.Millisecond},
		{2100 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second, 6150 * time.Millisecond},
	} {
		for _, zones := range [][]int{{5, 5, 4}, {19, 19, 19}, {100, 100, 100}, {200, 200, 200}} {
			for name, lost := range map[string]map[int]time.Duration{"all": nil, "one is gone": {0: time.Millisecond}, "one stands still": {1: time.Hour}} {
				r := zonefake.Scenario{
					Zones: zones, Named: []time.Duration{0}, Transit: c.arrives, Load: c.load, Bound: 8 * time.Second, Utilization: 1, Lost: lost,
				}.Execute()
				if r.Half == 0 || r.Half > c.half || r.Last == 0 || r.Last > c.last {
					t.Errorf("%+v, zones of %d, %s: half of the workers whole at %v, the last at %v", c, zones, name, r.Half, r.Last)
				}
				if least := (zones[0]/2 - len(lost)); r.Lowest*float64(zones[0]) < float64(least) {
					t.Errorf("%+v, zones of %d, %s: %.2f of a zone serve", c, zones, name, r.Lowest)
				}
			}
		}
	}
}
