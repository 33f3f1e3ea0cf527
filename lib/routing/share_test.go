package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/senders"
)

// Guards against entries that each assume a share of a worker: one that is not an assigned sender
// sends there rarely, and only if the other endpoints have no free capacity.
func TestUnassignedSendersSendRarely(t *testing.T) {
	Convey("Given two endpoints, with this entry an assigned sender of only one", t, func() {
		table := newEngineTable(2, Settings{ArrivalsPerSecond: 100})
		table.SetShare("vm0", senders.Share{UnassignedProbability: 0.1})
		table.SetShare("vm1", senders.Share{PerSecond: 3})
		send := func(now time.Time) string {
			decision, err := table.Pick(&Request{Model: "m"}, now)
			if err != nil {
				return ""
			}
			table.AttemptFinished(table.AttemptSent(decision, &Request{Model: "m"}, now), Result{Sent: true}, now)
			return decision.VM
		}
		Convey("the endpoint with an assigned share comes first, and gets no more than the share", func() {
			for range 3 {
				So(send(epoch), ShouldEqual, "vm1")
			}
			So(send(epoch), ShouldNotEqual, "vm1")
		})
		Convey("in 1000 s an unassigned sender sends about as often as its probability says, at most once a second", func() {
			table.SetShare("vm1", senders.Share{})
			sent := 0
			for second := range 1000 {
				for i := range 5 {
					if send(epoch.Add(time.Duration(second)*time.Second+time.Duration(i)*150*time.Millisecond)) != "" {
						sent++
					}
				}
			}
			So(sent, ShouldBeBetween, 60, 140)
		})
	})
}
