package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/routing"
)

// Guards against new work for a zone out of service or a leaving endpoint. The entry
// may learn of the change late, but the first decision afterwards must follow it.
func TestDrainIsImmediate(t *testing.T) {
	kinds := map[string]routing.Request{
		"first attempt":  {Attempt: 1, Model: "chat", Idempotent: true},
		"retry":          {Attempt: 2, Model: "chat", TriedVMs: []string{"vm-1"}},
		"resumed stream": {Attempt: 2, Model: "chat", VersionDigest: "v1"},
		"shard owner":    {Attempt: 1, Service: "booking", PreferredVM: "vm-0", OwnerOnly: true},
		"plain service":  {Attempt: 1, Service: "booking", PreferredVM: "vm-0"},
		"cached prefix":  {Attempt: 1, Model: "chat", Prefixes: []uint64{11}},
	}
	incarnation := routing.Incarnation{Counter: 1, ID: 7}
	changes := map[string]func(*routing.Table){
		"zone out": func(table *routing.Table) {
			table.SetZones([]routing.Zone{{Name: "a", OutOfService: true}, {Name: "b"}, {Name: "c"}})
		},
		"zone removed": func(table *routing.Table) {
			table.SetZones([]routing.Zone{{Name: "b"}, {Name: "c"}})
		},
		"membership reports leaving": func(table *routing.Table) {
			for i := 0; i < 12; i += 3 {
				table.SetLeaving(fmt.Sprintf("vm-%d", i), incarnation)
			}
		},
		"report states leaving": func(table *routing.Table) {
			for i := 0; i < 12; i += 3 {
				leaving := report(i, "a", 2)
				leaving.Load.Leaving = true
				table.ReportReceived(leaving, start)
			}
		},
	}
	Convey("No decision after the change chooses zone a", t, func() {
		chosen := 0
		for kind, template := range kinds {
			for change, apply := range changes {
				table := newTable(1)
				table.SetZones([]routing.Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}})
				for i := range 12 {
					table.ReportReceived(report(i, string(rune('a'+i%3)), 1), start)
				}
				table.PrefixEventReceived(routing.PrefixEvent{
					VM: "vm-0", Incarnation: incarnation, Sequence: 1, Stored: []uint64{11}})
				apply(table)
				for i := range 50 {
					request := template
					now := start.Add(time.Duration(i) * 100 * time.Millisecond)
					decision, err := table.Pick(&request, now)
					if request.OwnerOnly {
						SoMsg(kind+", "+change, err, ShouldNotBeNil)
						continue
					}
					So(err, ShouldBeNil)
					SoMsg(kind+", "+change, decision.Zone, ShouldNotEqual, "a")
					table.AttemptSent(decision, &request, now)
					chosen++
				}
			}
		}
		So(chosen, ShouldEqual, 5*4*50)
	})
	Convey("Attempts of an earlier incarnation do not count against the new one", t, func() {
		table := newTable(1)
		for i := range 4 {
			table.ReportReceived(report(i, "a", 1), start)
		}
		request := routing.Request{Model: "chat"}
		var attempts []routing.Attempt
		for range 8 {
			attempts = append(attempts, table.AttemptSent(routing.Decision{VM: "vm-0"}, &request, start))
		}
		restarted := report(0, "a", 1)
		restarted.Incarnation.Counter = 2
		table.ReportReceived(restarted, start)
		old := &laburnumgwv1.Load{Limit: 1, Leaving: true}
		for _, attempt := range attempts {
			table.AttemptFinished(attempt, routing.Result{
				Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true, Load: old}, start)
		}
		status := table.Status()[0]
		So(status.Ejected, ShouldBeFalse)
		So(status.Leaving, ShouldBeFalse)
		So(status.Limit, ShouldEqual, 16)
		So(status.OwnAttempts, ShouldEqual, 0)
	})
	Convey("A suspect endpoint is not probed while others are left", t, func() {
		table := newTable(1)
		for i := range 4 {
			table.ReportReceived(report(i, "a", 1), start)
		}
		request := routing.Request{Attempt: 1, Model: "chat", Idempotent: true}
		for range 3 {
			attempt := table.AttemptSent(routing.Decision{VM: "vm-0"}, &request, start)
			table.AttemptFinished(attempt, routing.Result{}, start)
			attempt = table.AttemptSent(routing.Decision{VM: "vm-0"}, &request, start)
			table.AttemptFinished(attempt, routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN}, start)
		}
		So(table.Status()[0].Ejected, ShouldBeTrue)
		table.SetLiveness("vm-0", routing.Suspect)
		decision, err := table.Pick(&request, start.Add(time.Minute))
		So(err, ShouldBeNil)
		So(decision.VM, ShouldNotEqual, "vm-0")
	})
	Convey("A frame that reports leaving applies until the endpoint restarts", t, func() {
		table := newTable(1)
		table.ReportReceived(report(0, "a", 1), start)
		request := routing.Request{Model: "chat"}
		decision, err := table.Pick(&request, start)
		So(err, ShouldBeNil)
		attempt := table.AttemptSent(decision, &request, start)
		table.LoadReceived(attempt, &laburnumgwv1.Load{Limit: 4, Leaving: true}, start)
		table.ReportReceived(report(0, "a", 2), start)
		_, err = table.Pick(&request, start)
		So(err, ShouldNotBeNil)
		restarted := report(0, "a", 1)
		restarted.Incarnation.Counter = 2
		table.ReportReceived(restarted, start)
		_, err = table.Pick(&request, start)
		So(err, ShouldBeNil)
	})
}
