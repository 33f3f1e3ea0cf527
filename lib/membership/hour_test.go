package membership_test

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/configsync/controlsim"
	"laburnumgw/lib/membership"
)

// Guards against false failure detections at 5% message loss. Simulates all entries and
// endpoint processes of one zone of the largest fleet for one hour of simulated time. Two
// entries in each other zone make the endpoint processes send as many reports as in the
// complete fleet.
func TestNoFalseDeathsInOneHour(t *testing.T) {
	Convey("49 entries and 107 endpoint processes of one zone see no false death in one hour", t, func() {
		debug.SetGCPercent(400)
		zones := []controlsim.Zone{{Name: "zone-0", Region: "north", Entries: 49, Endpoints: 107, Seeds: 2}}
		for i := range 6 {
			zones = append(zones, controlsim.Zone{Name: fmt.Sprintf("zone-%d", i+1), Region: "south", Entries: 2, Seeds: 2})
		}
		const seed = 5
		s := controlsim.New(controlsim.Options{Zones: zones, Loss: 0.05, Seed: seed, NoConfig: true, NoTraffic: true})
		counts := make(map[membership.EventKind]int)
		s.OnMembershipEvent = func(_ *controlsim.Node, event membership.Event) { counts[event.Kind]++ }
		s.StartAll()
		s.Run(time.Hour)
		t.Logf("seed %d: %d endpoint deaths, %d entry deaths, %d suspicions", seed, counts[membership.EndpointDead],
			counts[membership.EntryDead], counts[membership.EndpointSuspect])
		So(counts[membership.EndpointDead], ShouldEqual, 0)
		So(counts[membership.EntryDead], ShouldEqual, 0)
		So(counts[membership.EndpointAlive], ShouldBeGreaterThan, 107)
	})
}
