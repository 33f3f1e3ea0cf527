package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/senders"
)

// Guards against entries that all take a share of a worker for themselves: one that is no
// regular sender goes there seldom, and only where the others have no room.
func TestGuestsSendSeldom(t *testing.T) {
	Convey("Given two endpoints of which one knows this entry as a guest", t, func() {
		table := engines(2, Settings{ArrivalsPerSecond: 100})
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
		Convey("regular sends stay within the share and come first", func() {
			for range 3 {
				So(send(day), ShouldEqual, "vm1")
			}
			So(send(day), ShouldNotEqual, "vm1")
		})
		Convey("in 1000 s a guest sends about as often as its probability says, once a second", func() {
			table.SetShare("vm1", senders.Share{})
			sent := 0
			for second := range 1000 {
				for i := range 5 {
					if send(day.Add(time.Duration(second)*time.Second+time.Duration(i)*150*time.Millisecond)) != "" {
						sent++
					}
				}
			}
			So(sent, ShouldBeBetween, 60, 140)
		})
	})
}
