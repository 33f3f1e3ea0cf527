package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
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
		{"24 endpoints, 200 prefixes", routetest.Scenario{Endpoints: 24, Prefixes: 200}},
	}
	var violations []string
	measure := func(name string, scenario routetest.Scenario, seed uint64, policy string) *routetest.Result {
		scenario.ReportLag = time.Second
		scenario.Seed = seed
		scenario.Policy = policy
		result, err := routetest.Run(scenario)
		So(err, ShouldBeNil)
		line := fmt.Sprintf("%-30s seed %d %-16s worst 1 s %.3f, p99 %.3f, mean %.3f", name, seed,
			policy, result.WorstWindow, result.P99Ratio, result.MeanRatio)
		t.Log(line)
		if policy == routing.DefaultPolicy && (result.WorstWindow > 1.3 || result.P99Ratio > 1.3) {
			violations = append(violations, line)
		}
		return result
	}
	Convey("The default policy holds the bound and beats every baseline", t, func() {
		for _, scenario := range scenarios {
			best := measure(scenario.name, scenario.Scenario, 1, routing.DefaultPolicy)
			for _, policy := range routing.Policies()[1:] {
				result := measure(scenario.name, scenario.Scenario, 1, policy)
				SoMsg(scenario.name+", "+policy, result.P99Ratio, ShouldBeGreaterThan, best.P99Ratio)
			}
			for seed := uint64(2); seed <= 4; seed++ {
				measure(scenario.name, scenario.Scenario, seed, routing.DefaultPolicy)
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

// Guards against requests that fail or wait while a zone is taken out of service and returns, or
// its processes crash and return, although the other zones have free capacity.
func TestZoneLeavesAndReturns(t *testing.T) {
	inZone := func(_ int, zone string) bool { return zone == "b" }
	changes := map[string][]routetest.Change{
		"out of service": {
			{At: 20 * time.Second, Do: func(s *routetest.Sim) { s.TakeZoneOutOfService("b", 3*time.Second) }},
			{At: 50 * time.Second, Do: func(s *routetest.Sim) { s.RestoreZone("b", 3*time.Second) }},
		},
		"crashed": {
			{At: 20 * time.Second, Do: func(s *routetest.Sim) { s.SetMode(routetest.Crashed, inZone) }},
			{At: 50 * time.Second, Do: func(s *routetest.Sim) { s.SetMode(routetest.Serving, inZone) }},
		},
	}
	Convey("No idempotent request fails and p99 is at most 1.2 times that of a run without changes", t, func() {
		for seed := range uint64(5) {
			scenario := routetest.Scenario{
				Seed: seed, ReportLag: time.Second, NotIdempotent: 0.1, Warmup: 20 * time.Second, Duration: 60 * time.Second}
			undisturbed, err := routetest.Run(scenario)
			So(err, ShouldBeNil)
			for name, list := range changes {
				scenario.Changes = list
				result, err := routetest.Run(scenario)
				So(err, ShouldBeNil)
				line := fmt.Sprintf("seed %d, %-8s failed %d of %d idempotent, p99 %v (undisturbed %v), retries %d, errors %v", seed, name,
					result.IdempotentFailed, result.IdempotentRequests, result.P99, undisturbed.P99, result.Retries, result.Errors)
				t.Log(line)
				SoMsg(line, result.IdempotentFailed, ShouldEqual, 0)
				SoMsg(line, result.OutOfServicePicks, ShouldEqual, 0)
				SoMsg(line, result.P99, ShouldBeLessThanOrEqualTo, undisturbed.P99*12/10)
				SoMsg(line, result.BudgetUse, ShouldBeLessThanOrEqualTo, 1)
			}
		}
	})
}

// Guards against retry storms and against refusals while enough endpoints work: a
// third of the endpoints fails each request, crashes, or stops responding.
func TestThirdOfEndpointsFails(t *testing.T) {
	third := func(i int, _ string) bool { return i%3 == i/3%3 }
	modes := map[string]routetest.Mode{
		"failing": routetest.Failing, "crashed": routetest.Crashed, "unresponsive": routetest.Unresponsive,
	}
	Convey("99% of the idempotent requests are answered within the retry budget", t, func() {
		for seed := range uint64(5) {
			for name, mode := range modes {
				// Only requests that end after the failure begins are counted.
				scenario := routetest.Scenario{
					Seed: seed, ReportLag: time.Second, Warmup: 15 * time.Second, Duration: 45 * time.Second}
				scenario.Changes = []routetest.Change{
					{At: 15 * time.Second, Do: func(s *routetest.Sim) { s.SetMode(mode, third) }},
				}
				result, err := routetest.Run(scenario)
				So(err, ShouldBeNil)
				line := fmt.Sprintf("seed %d, %-12s failed %d of %d idempotent, retries %d, budget use %.2f, p99 %v, errors %v", seed, name,
					result.IdempotentFailed, result.IdempotentRequests, result.Retries, result.BudgetUse, result.P99, result.Errors)
				t.Log(line)
				SoMsg(line, result.BudgetUse, ShouldBeLessThanOrEqualTo, 1)
				SoMsg(line, result.IdempotentFailed*100, ShouldBeLessThanOrEqualTo, result.IdempotentRequests)
			}
		}
	})
}

// Guards against two faults when the reports of endpoints stop: that these attract requests
// by an old low load, and that they get none while others are full.
func TestReportsStop(t *testing.T) {
	Convey("Endpoints without reports stay within the bound and cause no failure", t, func() {
		for _, frames := range []bool{true, false} {
			scenario := routetest.Scenario{Seed: 1, ReportLag: time.Second, NoFrameLoads: !frames}
			scenario.Changes = []routetest.Change{{At: 20 * time.Second, Do: func(s *routetest.Sim) {
				s.SetMode(routetest.ReportsLost, func(i int, _ string) bool { return i%8 == 0 })
			}}}
			result, err := routetest.Run(scenario)
			So(err, ShouldBeNil)
			t.Logf("frame loads %v: failed %d, worst 1 s %.3f, p99 %v, refused %d", frames,
				result.IdempotentFailed, result.WorstWindow, result.P99, result.Errors[errkind.NotRun])
			So(result.IdempotentFailed, ShouldEqual, 0)
			So(result.WorstWindow, ShouldBeLessThanOrEqualTo, 1.3)
		}
	})
}

// Guards against a cold endpoint that gets the share of a warm one: its requests would
// be refused or wait in its queue while others have free capacity.
func TestEndpointColdAgain(t *testing.T) {
	Convey("Cold endpoints get requests in proportion to their limit", t, func() {
		scenario := routetest.Scenario{Seed: 1, ReportLag: time.Second, Load: 24}
		undisturbed, err := routetest.Run(scenario)
		So(err, ShouldBeNil)
		for i := range 8 {
			at := 15*time.Second + time.Duration(i)*5*time.Second
			scenario.Changes = append(scenario.Changes, routetest.Change{At: at, Do: func(s *routetest.Sim) {
				s.MakeCold(i, 2)
			}})
		}
		result, err := routetest.Run(scenario)
		So(err, ShouldBeNil)
		t.Logf("failed %d, refused %d, above limit %d, retries %d, queued %d, p99 %v (undisturbed %v)", result.IdempotentFailed,
			result.Errors[errkind.NotRun], result.OverLimit, result.Retries, result.QueuedCold, result.P99, undisturbed.P99)
		So(result.IdempotentFailed, ShouldEqual, 0)
		So(result.OverLimit, ShouldEqual, 0)
		So(result.P99, ShouldBeLessThanOrEqualTo, undisturbed.P99*12/10)
		So(result.QueuedCold*100, ShouldBeLessThanOrEqualTo, result.Requests)
	})
}
