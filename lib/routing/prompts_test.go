package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// Answers the load of a change of weights: an endpoint that has just come back empty got as
// many requests at once as it has places, and read their prompts one after the other, so
// that half of them were late (101 to 136 of 250 in 2 s on keg-laburnum quiet-1).
func TestPromptsDoNotPileUpAtAnEmptyEndpoint(t *testing.T) {
	Convey("Given an empty endpoint beside a busy one", t, func() {
		table := engines(2, Settings{MaxWaitingPromptTokens: 2000})
		report := func(vm string, running int32) {
			table.ReportReceived(&laburnumgwv1.ReportRequest{
				Vm: vm, Zone: "a", Region: "r1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Sequence: 2,
				Load: &laburnumgwv1.Load{Limit: 16, InFlight: running}, Serving: map[string]string{"m": "1"},
			}, day)
		}
		report("vm0", 0)
		report("vm1", 14)
		request := &Request{Model: "m", PromptTokens: 900}
		var sent []Attempt
		counts := make(map[string]int)
		send := func() error {
			decision, err := table.Pick(request, day)
			if err == nil {
				sent = append(sent, table.AttemptSent(decision, request, day))
				counts[decision.VM]++
			}
			return err
		}
		for range 4 {
			So(send(), ShouldBeNil)
		}
		Convey("it gets what it reads in time, and the other one the rest", func() {
			So(counts, ShouldResemble, map[string]int{"vm0": 2, "vm1": 2})
			So(send().Error(), ShouldContainSubstring, string(FilterPrompts))
		})
		Convey("an answer that begins makes room, once", func() {
			for i := range sent {
				if sent[i].endpoint.vm == "vm0" {
					table.AttemptAccepted(&sent[i])
					table.AttemptAccepted(&sent[i])
					table.AttemptFinished(sent[i], Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, day)
				}
			}
			So(table.endpoints["vm0"].waitingPromptTokens, ShouldEqual, 0)
			So(send(), ShouldBeNil)
		})
		Convey("an attempt that ends without an answer makes room", func() {
			for _, a := range sent {
				table.AttemptFinished(a, Result{Sent: true}, day)
			}
			So(table.endpoints["vm0"].waitingPromptTokens, ShouldEqual, 0)
			So(table.endpoints["vm1"].waitingPromptTokens, ShouldEqual, 0)
		})
		Convey("a prompt beyond the limit may wait alone", func() {
			for _, a := range sent {
				table.AttemptFinished(a, Result{Sent: true}, day)
			}
			_, err := table.Pick(&Request{Model: "m", PromptTokens: 100_000}, day)
			So(err, ShouldBeNil)
		})
	})
}
