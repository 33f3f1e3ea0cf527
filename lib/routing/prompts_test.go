package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// Guards against late responses after a switchover: an endpoint that had just returned to
// service empty got as many requests at once as it has slots, and read their prompts one after
// the other, so that half of them were late (101 to 136 of 250 in 2 s).
func TestPromptsDoNotPileUpAtAnEmptyEndpoint(t *testing.T) {
	Convey("Given an empty endpoint and a busy one", t, func() {
		table := newEngineTable(2, Settings{MaxWaitingPromptTokens: 2000})
		report := func(vm string, running int32) {
			table.ReportReceived(&laburnumgwv1.ReportRequest{
				Vm: vm, Zone: "a", Region: "r1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Sequence: 2,
				Load: &laburnumgwv1.Load{Limit: 16, InFlight: running}, Serving: map[string]string{"m": "1"},
			}, epoch)
		}
		report("vm0", 0)
		report("vm1", 14)
		request := &Request{Model: "m", PromptTokens: 900}
		var sent []Attempt
		counts := make(map[string]int)
		send := func() error {
			decision, err := table.Pick(request, epoch)
			if err == nil {
				sent = append(sent, table.AttemptSent(decision, request, epoch))
				counts[decision.VM]++
			}
			return err
		}
		for range 4 {
			So(send(), ShouldBeNil)
		}
		Convey("the empty one gets as many prompts as the limit allows, and the busy one the rest", func() {
			So(counts, ShouldResemble, map[string]int{"vm0": 2, "vm1": 2})
			So(send().Error(), ShouldContainSubstring, string(FilterPrompts))
		})
		Convey("the start of a response frees the prompt's tokens, once", func() {
			for i := range sent {
				if sent[i].endpoint.vm == "vm0" {
					table.AttemptAccepted(&sent[i])
					table.AttemptAccepted(&sent[i])
					table.AttemptFinished(sent[i], Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, epoch)
				}
			}
			So(table.endpoints["vm0"].waitingPromptTokens, ShouldEqual, 0)
			So(send(), ShouldBeNil)
		})
		Convey("an attempt that ends without a response frees them", func() {
			for _, a := range sent {
				table.AttemptFinished(a, Result{Sent: true}, epoch)
			}
			So(table.endpoints["vm0"].waitingPromptTokens, ShouldEqual, 0)
			So(table.endpoints["vm1"].waitingPromptTokens, ShouldEqual, 0)
		})
		Convey("a prompt beyond the limit may wait alone", func() {
			for _, a := range sent {
				table.AttemptFinished(a, Result{Sent: true}, epoch)
			}
			_, err := table.Pick(&Request{Model: "m", PromptTokens: 100_000}, epoch)
			So(err, ShouldBeNil)
		})
	})
}
