package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membership"
)

// Guards against endpoint processes that learn of a placement only at the next periodic
// repair, which made each wave of a rollout take about 10 s.
func TestPlacementRevisionCausesQuery(t *testing.T) {
	Convey("An endpoint process that receives a different placement revision queries its sender", t, func() {
		entry := Peer{VM: "entry-1", Zone: "a", Address: "127.0.0.1:1"}
		n := NewNode(membership.Self{VM: "m", Zone: "a"}, RoleEndpoint, []Peer{entry}, 0, rand.New(rand.NewPCG(1, 1)))
		bundle := &pb.ConfigBundle{Generation: 1, Digest: "d", Placements: []*pb.Placement{{Model: "rota", Fencing: 1, Generation: 1}}}
		n.current = bundle
		n.join.done = true
		n.nextRepair = time.Hour
		n.ObserveRevision(time.Second, entry, Revision(bundle))
		So(n.Tick(time.Second).Pulls, ShouldBeEmpty)
		n.ObserveRevision(2*time.Second, entry, Revision(bundle)+1)
		So(n.Tick(2*time.Second).Pulls, ShouldHaveLength, 1)
		n.ObserveRevision(2*time.Second+revisionQueryInterval-1, entry, Revision(bundle)+1)
		So(n.Tick(2*time.Second+revisionQueryInterval-1).Pulls, ShouldBeEmpty)
	})
}

// Guards against processes that query each other without end, because they hold the same placements in another order.
func TestRevisionDoesNotDependOnTheOrderOfPlacements(t *testing.T) {
	Convey("Two placements have one revision in either order, and another one when one of them changes", t, func() {
		a, b := &pb.Placement{Model: "a", Fencing: 1, Generation: 2}, &pb.Placement{Model: "b", Fencing: 3, Generation: 4}
		revision := func(placements ...*pb.Placement) uint64 { return Revision(&pb.ConfigBundle{Placements: placements}) }
		So(revision(b, a), ShouldEqual, revision(a, b))
		So(revision(a, &pb.Placement{Model: "b", Fencing: 3, Generation: 5}), ShouldNotEqual, revision(a, b))
	})
}
