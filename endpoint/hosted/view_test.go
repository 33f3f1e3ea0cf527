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

// reportBytes is the size of a report with the headers of UDP and IP.
const reportBytes = 90

// zoneName returns the name of a zone by its number.
func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// fleet returns the views of the processes beside all workers of a fleet.
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

// Guards against reports that grow with entries times workers. The aim is 340 entries
// before 600 workers in 7 zones, with control of 29 KB a second at a node.
func TestReportsOfALargeFleetStayBounded(t *testing.T) {
	Convey("Each of 343 entries before 602 workers gets at most 29 KB of reports a second", t, func() {
		perSecond := make(map[string]float64)
		for _, v := range fleet(7, 49, 86) {
			targets := v.reportTargets()
			for _, entry := range targets.near {
				perSecond[entry] += 1 / reportInterval.Seconds()
			}
			for _, entry := range targets.far {
				perSecond[entry] += 1 / reportInterval.Seconds() / farReports
			}
		}
		So(perSecond, ShouldHaveLength, 343)
		for _, reports := range perSecond {
			So(reports*reportBytes, ShouldBeLessThanOrEqualTo, 29_000)
		}
	})
	Convey("In a small fleet every entry hears every worker", t, func() {
		for _, v := range fleet(3, 4, 5) {
			targets := v.reportTargets()
			So(len(targets.near), ShouldEqual, 4)
			So(len(targets.far), ShouldEqual, 8)
		}
	})
	Convey("A change of the entries changes who hears", t, func() {
		v := fleet(2, 4, 1)[0]
		gone := v.reportTargets().near[0]
		v.apply(platform.KindEntries, mirror.Change{Object: mirror.Object{Name: gone}, Deleted: true})
		So(slices.Contains(v.reportTargets().near, gone), ShouldBeFalse)
	})
}
