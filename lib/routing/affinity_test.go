package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/routing"
)

// Guards against a popular prefix that overloads the endpoints that hold it: with the
// request, an endpoint chosen by affinity has at most affinity_bound times the mean load.
func TestAffinityStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Float64Range(1, 2).Draw(t, "bound")
		settings := routing.Settings{Zone: "a", Region: "north", AffinityBound: bound}
		table, err := routing.New(settings, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		size := rapid.IntRange(1, 12).Draw(t, "endpoints")
		loads := map[string]float64{}
		total := 0.0
		for i := range size {
			r := report(i, "a", 1)
			r.Load.Limit = 100
			r.Load.InFlight = int32(rapid.IntRange(0, 12).Draw(t, "in flight"))
			table.ReportReceived(r, start)
			loads[r.GetVm()] = float64(r.GetLoad().GetInFlight())
			total += float64(r.GetLoad().GetInFlight())
		}
		table.PrefixEventReceived(routing.PrefixEvent{
			VM: "vm-0", Incarnation: routing.Incarnation{Counter: 1, ID: 7}, Sequence: 3, Stored: []uint64{1, 2}})
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			request := routing.Request{Attempt: 1, Model: "chat", Prefixes: []uint64{1, 2}}
			decision, err := table.Pick(&request, start)
			if err != nil {
				t.Fatal(err)
			}
			table.AttemptSent(decision, &request, start)
			loads[decision.VM]++
			total++
			limit := math.Ceil(bound * total / float64(size))
			if decision.Reason == routing.ReasonPrefix && loads[decision.VM] > limit+1e-9 {
				t.Fatalf("affinity chose %s with load %v, limit %v", decision.VM, loads[decision.VM], limit)
			}
		}
	})
}

// Guards against affinity that has no effect below the bound, and against an index
// that keeps the entries of an earlier incarnation or applies old events.
func TestAffinityFollowsEvents(t *testing.T) {
	pick := func(table *routing.Table, hash uint64) routing.Decision {
		request := routing.Request{Attempt: 1, Model: "chat", Prefixes: []uint64{hash + 1, hash}}
		decision, err := table.Pick(&request, start)
		So(err, ShouldBeNil)
		return decision
	}
	Convey("The holder of the longest prefix is chosen until it evicts or restarts", t, func() {
		table := newTable(1)
		for i := range 9 {
			r := report(i, "a", 1)
			r.Load.InFlight = 8
			table.ReportReceived(r, start)
		}
		event := routing.PrefixEvent{VM: "vm-3", Incarnation: routing.Incarnation{Counter: 1, ID: 7}}
		event.Sequence, event.Stored = 1, []uint64{20}
		table.PrefixEventReceived(event)
		event.VM, event.Sequence, event.Stored = "vm-4", 9, []uint64{21, 20}
		table.PrefixEventReceived(event)
		decision := pick(table, 20)
		So(decision.VM, ShouldEqual, "vm-4")
		So(decision.Reason, ShouldEqual, routing.ReasonPrefix)
		event.Sequence, event.Stored, event.Cleared = 8, nil, true
		table.PrefixEventReceived(event)
		So(pick(table, 20).VM, ShouldEqual, "vm-4")
		restarted := report(4, "a", 1)
		restarted.Incarnation.Counter = 2
		restarted.Load = &laburnumgwv1.Load{Limit: 16, InFlight: 8}
		table.ReportReceived(restarted, start)
		So(pick(table, 20).VM, ShouldEqual, "vm-3")
		event = routing.PrefixEvent{VM: "vm-3", Incarnation: event.Incarnation, Sequence: 5, Evicted: []uint64{20}}
		table.PrefixEventReceived(event)
		So(pick(table, 20).Reason, ShouldEqual, routing.ReasonScore)
	})
	Convey("The index is bounded for each endpoint", t, func() {
		table := newTable(1)
		for i := range 2 {
			r := report(i, "a", 1)
			r.Load.InFlight = 8
			table.ReportReceived(r, start)
		}
		for i := range uint64(1000) {
			table.PrefixEventReceived(routing.PrefixEvent{
				VM: "vm-0", Incarnation: routing.Incarnation{Counter: 1, ID: 7}, Sequence: i + 1, Stored: []uint64{i}})
		}
		held := 0
		for i := range uint64(1000) {
			request := routing.Request{Model: "chat", Prefixes: []uint64{i}}
			decision, err := table.Pick(&request, start)
			So(err, ShouldBeNil)
			if decision.Reason == routing.ReasonPrefix {
				held++
			}
		}
		So(held, ShouldEqual, 512)
		So(fmt.Sprint(pick(table, 5000).Reason), ShouldEqual, "score")
	})
}
