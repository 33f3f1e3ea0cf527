package endpoint

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against refusals while a zone change propagates (5 of 1,054 requests failed in the
// demonstration), and against requests that run in a zone that is out of service.
func TestZoneChangeRefusesOnlyLateRequests(t *testing.T) {
	Convey("Given a zone that is taken out of service in generation 2", t, func() {
		now := time.Unix(100, 0)
		var zone zoneState
		zone.set(false, 1, now)
		zone.set(true, 2, now)
		Convey("requests in transit are accepted", func() {
			So(zone.refuses(1, now.Add(drainGrace-1)), ShouldBeFalse)
		})
		Convey("an entry that has not received the change is refused within 3 s", func() {
			So(zone.refuses(1, now.Add(drainGrace)), ShouldBeTrue)
			So(drainGrace, ShouldBeLessThan, 3*time.Second)
		})
		Convey("an entry that knows a newer generation is served", func() {
			So(zone.refuses(3, now.Add(time.Hour)), ShouldBeFalse)
		})
		Convey("a later configuration does not restart the grace period", func() {
			zone.set(true, 3, now.Add(time.Second))
			So(zone.refuses(3, now.Add(drainGrace)), ShouldBeTrue)
		})
	})
}
