package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/routing"
	"laburnumgw/lib/routing/routetest"
)

// Guards against herding: 8 entries that decide on reports 1 s late must keep the
// highest load within 1.3 of the mean, in each window of 1 s and in 99% of the samples
// taken every 10 ms, with and without loads in response frames.
func TestImbalance(t *testing.T) {
	scenarios := []struct {
		name string
		routetest.Scenario
	}{
		{"24 endpoints", routetest.Scenario{Endpoints: 24}},
		{"24 endpoints, no frame loads", routetest.Scenario{Endpoints: 24, NoFrameLoads: true}},
		{"15 endpoints", routetest.Scenario{Endpoints: 15}},
		{"96 endpoints", routetest.Scenario{Endpoints: 96}},
	}
	Convey("The default policy holds the bound and beats every baseline", t, func() {
		var violations []string
		for _, scenario := range scenarios {
			scenario.ReportLag = time.Second
			scenario.Seed = 1
			best := 0.0
			for i, policy := range routing.Policies() {
				scenario.Policy = policy
				result, err := routetest.Run(scenario.Scenario)
				So(err, ShouldBeNil)
				line := fmt.Sprintf("%-30s %-16s worst 1 s %.3f, p99 %.3f, mean %.3f", scenario.name,
					policy, result.WorstWindow, result.P99Ratio, result.MeanRatio)
				t.Log(line)
				if i == 0 {
					best = result.P99Ratio
				}
				held := result.WorstWindow <= 1.3 && result.P99Ratio <= 1.3
				if i == 0 && !held || i > 0 && result.P99Ratio <= best {
					violations = append(violations, line)
				}
			}
		}
		So(violations, ShouldBeEmpty)
	})
}

// Guards against herding of many entries that each have few requests in flight: their
// own counts then distinguish few endpoints, and all see the same late reports.
func TestManyEntries(t *testing.T) {
	Convey("The default policy beats every baseline with 49 entries", t, func() {
		ratios := map[string]float64{}
		for _, policy := range routing.Policies() {
			result, err := routetest.Run(routetest.Scenario{
				Policy: policy, Seed: 1, Entries: 49, Endpoints: 48,
				ReportLag: time.Second, Duration: 30 * time.Second})
			So(err, ShouldBeNil)
			ratios[policy] = result.P99Ratio
			t.Logf("%-16s worst 1 s %.3f, p99 %.3f, mean %.3f", policy,
				result.WorstWindow, result.P99Ratio, result.MeanRatio)
		}
		for _, policy := range routing.Policies()[1:] {
			SoMsg(policy, ratios[policy], ShouldBeGreaterThan, ratios[routing.DefaultPolicy])
		}
	})
}
