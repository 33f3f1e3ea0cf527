package hosted

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

// reportBytes is the size of a report including the UDP and IP headers.
const reportBytes = 90

// zoneName returns the name of the zone with the given number.
func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// fleet returns the views of the endpoint processes of all workers of a fleet.
func fleet(zones, entriesPerZone, workersPerZone int) []*view {
	var views []*view
	for zone := range zones {
		for w := range workersPerZone {
			v := newView(&platform.Settings{IP: fmt.Sprintf("10.%d.1.%d", zone, w), Worker: fmt.Sprintf("10.%d.1.%d", zone, w) + ":8000", Zone: zoneName(zone)}, zap.NewNop())
			for other := range zones {
				for e := range entriesPerZone {
					name := fmt.Sprintf("front-%d-%d", other, e)
					v.entries[name] = platform.Entry{Zone: zoneName(other), Address: name}
				}
			}
			views = append(views, v)
		}
	}
	return views
}

// Guards against report traffic that grows with the number of entries times the number of
// workers. The target is 340 entries that send to 600 workers in 7 zones, with 29 KB/s of
// control traffic per node.
func TestReportsOfALargeFleetStayBounded(t *testing.T) {
	Convey("Each of 343 entries that send to 602 workers receives at most 29 KB of reports per second", t, func() {
		perSecond := make(map[string]float64)
		for _, v := range fleet(7, 49, 86) {
			targets := v.reportTargets()
			for _, entry := range targets.sameZone {
				perSecond[entry] += 1 / reportInterval.Seconds()
			}
			for _, entry := range targets.otherZones {
				perSecond[entry] += 1 / reportInterval.Seconds() / otherZoneReportEvery
			}
		}
		So(perSecond, ShouldHaveLength, 343)
		for _, reports := range perSecond {
			So(reports*reportBytes, ShouldBeLessThanOrEqualTo, 29_000)
		}
	})
	Convey("In a small fleet every entry receives the reports of every worker", t, func() {
		for _, v := range fleet(3, 4, 5) {
			targets := v.reportTargets()
			So(len(targets.sameZone), ShouldEqual, 4)
			So(len(targets.otherZones), ShouldEqual, 8)
		}
	})
	Convey("After an entry is removed it receives no reports", t, func() {
		v := fleet(2, 4, 1)[0]
		removed := v.reportTargets().sameZone[0]
		v.apply(platform.KindEntries, mirror.Change{Object: mirror.Object{Name: removed}, Deleted: true})
		So(slices.Contains(v.reportTargets().sameZone, removed), ShouldBeFalse)
	})
}
