package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/routing"
)

// Guards against a returned availability zone that stays cold because its idle
// endpoints score worse than warm ones elsewhere: requests of the zone's callers would then
// cross the region link, and the zone would still be cold at a later burst.
func TestReturnedZoneServesItsCallers(t *testing.T) {
	Convey("Idle cold endpoints of the entry's zone take most of its requests", t, func() {
		table, err := routing.New(routing.Settings{Zone: "c", Region: "south"}, rand.New(rand.NewPCG(1, 1)))
		So(err, ShouldBeNil)
		for i := range 12 {
			zone, region, limit := "a", "north", int32(32)
			if i >= 8 {
				zone, region, limit = "c", "south", 4
			}
			table.ReportReceived(&laburnumgwv1.ReportRequest{
				Vm: fmt.Sprintf("vm-%02d", i), Zone: zone, Region: region, Address: "127.0.0.1:1", Sequence: 1,
				Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Load: &laburnumgwv1.Load{Limit: limit, Cold: limit == 4},
				Serving: map[string]string{"rota": "d"},
			}, start)
		}
		own := 0
		for i := range 100 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			request := &routing.Request{ID: fmt.Sprint(i), Attempt: 1, Model: "rota", Idempotent: true}
			decision, err := table.Pick(request, now)
			So(err, ShouldBeNil)
			attempt := table.AttemptSent(decision, request, now)
			table.AttemptFinished(attempt, routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, now)
			if decision.Zone == "c" {
				own++
			}
		}
		So(own, ShouldBeGreaterThanOrEqualTo, 90)
	})
}
