package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/routing"
)

// Guards against ejections of more than half of a pool, or of its last endpoint, in any
// order of failures, deaths, zones out of service and restarts.
func TestEjectionKeepsHalfOfEachPool(t *testing.T) {
	outcomes := []laburnumgwv1.Outcome{
		laburnumgwv1.Outcome_OUTCOME_COMPLETE, laburnumgwv1.Outcome_OUTCOME_FAILED,
		laburnumgwv1.Outcome_OUTCOME_UNKNOWN, laburnumgwv1.Outcome_OUTCOME_NOT_RUN,
	}
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		table, err := routing.New(routing.Settings{Zone: "a", Region: "north"}, rng)
		if err != nil {
			t.Fatal(err)
		}
		size := rapid.IntRange(1, 9).Draw(t, "endpoints")
		sequence := uint64(0)
		now := start
		refresh := func(i int, incarnation uint64, models int) {
			sequence++
			r := report(i, zones[i%3], sequence)
			r.Incarnation.Counter = incarnation
			r.Serving = map[string]string{"chat": "v1"}
			if models > 1 {
				r.Serving["small"] = "v1"
			}
			r.Load.Limit = 1000
			table.ReportReceived(r, now)
		}
		for i := range size {
			refresh(i, 1, 1+i%2)
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, size-1).Draw(t, "endpoint")
			vm := fmt.Sprintf("vm-%d", i)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				table.SetLiveness(vm, routing.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness")))
			case 1:
				out := rapid.SampledFrom(zones).Draw(t, "zone out")
				var states []routing.Zone
				for _, zone := range zones {
					states = append(states, routing.Zone{Name: zone, OutOfService: zone == out})
				}
				table.SetZones(states)
			case 2:
				refresh(i, uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")), 1+rapid.IntRange(0, 1).Draw(t, "models"))
			case 3:
				table.Remove(vm)
			case 4:
				table.SetLeaving(vm, routing.Incarnation{Counter: 1, ID: 7})
			default:
				outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				for range 3 {
					request := routing.Request{Model: "chat"}
					attempt := table.AttemptSent(routing.Decision{VM: vm}, &request, now)
					table.AttemptFinished(attempt, routing.Result{Outcome: outcome, Sent: true}, now)
				}
			}
			checkPools(t, table, now)
		}
	})
}

func checkPools(t *rapid.T, table *routing.Table, now time.Time) {
	available, ejected := map[string]int{}, map[string]int{}
	for _, s := range table.Status() {
		if s.Liveness == routing.Dead || s.Leaving || s.ZoneOutOfService {
			continue
		}
		for _, model := range s.Models {
			available[model]++
			if s.Ejected {
				ejected[model]++
			}
		}
	}
	for model, n := range available {
		if 2*ejected[model] > n {
			t.Fatalf("%d of %d endpoints of %s are ejected", ejected[model], n, model)
		}
		if _, err := table.Pick(&routing.Request{Attempt: 1, Model: model}, now); err != nil {
			t.Fatalf("%d endpoints of %s are available: %v", n, model, err)
		}
	}
}

// Guards against an ejected endpoint that never returns, and against probes that
// arrive more often than their interval.
func TestProbes(t *testing.T) {
	Convey("Probes double their interval and one success ends the ejection", t, func() {
		table := newTable(1)
		for i := range 3 {
			table.ReportReceived(report(i, "a", 1), start)
		}
		request := routing.Request{Attempt: 1, Model: "chat", Idempotent: true}
		fail := routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_FAILED, Sent: true}
		for range 3 {
			attempt := table.AttemptSent(routing.Decision{VM: "vm-1"}, &request, start)
			table.AttemptFinished(attempt, fail, start)
		}
		var probes []int
		for ms := 0; ms < 10_000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			decision, err := table.Pick(&request, now)
			So(err, ShouldBeNil)
			result := routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}
			if decision.VM == "vm-1" {
				So(decision.Reason, ShouldEqual, routing.ReasonProbe)
				probes = append(probes, ms)
				result = fail
			}
			table.AttemptFinished(table.AttemptSent(decision, &request, now), result, now)
		}
		So(probes, ShouldResemble, []int{1000, 3000, 7000})
		now := start.Add(20 * time.Second)
		retry := request
		retry.Attempt = 2
		decision, err := table.Pick(&retry, now)
		So(err, ShouldBeNil)
		So(decision.VM, ShouldNotEqual, "vm-1")
		decision, err = table.Pick(&request, now)
		So(err, ShouldBeNil)
		So(decision.Reason, ShouldEqual, routing.ReasonProbe)
		attempt := table.AttemptSent(decision, &request, now)
		table.AttemptFinished(attempt, routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, now)
		So(table.Status()[1].Ejected, ShouldBeFalse)
	})
}
