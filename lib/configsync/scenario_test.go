package configsync_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/configsync/controlsim"
)

// smallFleet returns a fleet of three zones that has had 25 s to reach generation 1.
func smallFleet(seed uint64) *controlsim.Sim {
	zones := []controlsim.Zone{
		{Name: "a", Region: "n", Entries: 3, Endpoints: 3, Seeds: 1},
		{Name: "b", Region: "n", Entries: 3, Endpoints: 3, Seeds: 1},
		{Name: "c", Region: "s", Entries: 3, Endpoints: 3, Seeds: 1},
	}
	s := controlsim.New(controlsim.Options{Zones: zones, Seed: seed, Loss: 0.05, FileCount: 5, FileBytes: 100, ModelCount: 2, ChunkCount: 4})
	s.Platform.Apply(0)
	s.StartAll()
	s.Run(25 * time.Second)
	return s
}

// behind counts the running processes of some zones whose active generation differs from
// the given one.
func behind(s *controlsim.Sim, generation uint64, zones ...string) int {
	count := 0
	for _, node := range s.Nodes {
		for _, zone := range zones {
			if node.Self.Zone == zone && node.Up && node.Sync.Generation() != generation {
				count++
			}
		}
	}
	return count
}

// alarms counts the alarms of a kind in the current incarnations of all processes.
func alarms(s *controlsim.Sim, kind configsync.AlarmKind) int {
	count := 0
	for _, node := range s.Nodes {
		count += node.Alarms[kind]
	}
	return count
}

// Guards against a fleet that follows a platform that was restored to an older generation.
func TestRestoredPlatform(t *testing.T) {
	Convey("The newer bundle is written back and an alarm is raised", t, func() {
		s := smallFleet(21)
		old := s.Platform.Bundle
		s.Platform.LostResponses = 0.5
		s.Platform.Apply(1)
		generation := s.Platform.Apply(1)
		s.Run(propagationBound)
		s.Platform.Restore(old)
		s.Run(20 * time.Second)
		So(s.Platform.Bundle.GetGeneration(), ShouldEqual, generation)
		So(alarms(s, configsync.PlatformGenerationOlder), ShouldBeGreaterThan, 0)
		So(behind(s, generation, "a", "b", "c"), ShouldEqual, 0)
		next := s.Platform.Apply(1)
		s.Run(propagationBound)
		So(behind(s, next, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against a process that switches to a source with the own generation but different
// content.
func TestForkedGeneration(t *testing.T) {
	Convey("Processes keep their own bundle and raise an alarm", t, func() {
		s := smallFleet(22)
		own := s.Platform.Bundle
		fork := &pb.ConfigBundle{Generation: own.GetGeneration(), Digest: "other", Files: own.GetFiles()}
		s.Platform.Restore(fork)
		s.Run(10 * time.Second)
		So(alarms(s, configsync.DigestDiffers), ShouldBeGreaterThan, 0)
		for _, node := range s.Nodes {
			So(node.Sync.Current().GetDigest(), ShouldEqual, own.GetDigest())
		}
	})
}

// Guards against a partitioned zone that an operator's push does not bring up to date, that
// returns to an older generation after the partition heals, or that catches up late.
func TestPartitionedZone(t *testing.T) {
	Convey("An operator's push reaches the partitioned zone, and the zone catches up after the partition heals", t, func() {
		s := smallFleet(23)
		for _, other := range []string{"a", "b", controlsim.PlatformZone} {
			s.Cut("c", other, true)
		}
		generation := s.Platform.Apply(1)
		s.Run(propagationBound)
		So(behind(s, generation, "a", "b"), ShouldEqual, 0)
		So(behind(s, generation, "c"), ShouldEqual, 6)
		s.OperatorPush(s.Node("10.2.0.1"))
		s.Run(propagationBound)
		So(behind(s, generation, "c"), ShouldEqual, 0)
		next := s.Platform.Apply(1)
		s.Run(time.Minute)
		So(behind(s, next, "c"), ShouldEqual, 6)
		s.HealAll()
		s.Run(propagationBound)
		So(behind(s, next, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against a process that serves with an old generation after a long suspension, and
// against a platform outage that makes processes unready or delays changes after its end.
func TestSuspensionAndOutage(t *testing.T) {
	Convey("A suspended process queries its neighbours before it serves", t, func() {
		s := smallFleet(24)
		node := s.Node("10.0.0.1")
		node.Pause()
		generation := s.Platform.Apply(1)
		s.Run(time.Minute)
		node.Resume()
		So(node.Sync.Ready(), ShouldBeFalse)
		s.Run(propagationBound)
		So(node.Sync.Ready(), ShouldBeTrue)
		So(node.Sync.Generation(), ShouldEqual, generation)
	})
	Convey("Changes after a platform outage arrive within the propagation bound", t, func() {
		s := smallFleet(25)
		s.Platform.SetDown(true)
		s.Run(time.Minute)
		So(s.ReadyCount(), ShouldEqual, len(s.Nodes))
		s.Platform.SetDown(false)
		generation := s.Platform.Apply(1)
		s.Run(propagationBound)
		So(behind(s, generation, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against placements that change within a configuration generation and do not reach
// all processes, or that are replaced by older ones.
func TestPlacements(t *testing.T) {
	Convey("The newest placement reaches every process and is never replaced by an older one", t, func() {
		s := smallFleet(26)
		place := func(fencing, generation uint64) {
			assignments := []*pb.Assignment{{Vm: "10.0.1.0", VersionDigest: "d"}}
			s.Platform.SetPlacement(&pb.Placement{Model: "model-0", Fencing: fencing, Generation: generation, Assignments: assignments})
		}
		missing := func(entries bool, fencing, generation uint64) int {
			count := 0
			for _, node := range s.Nodes {
				held := node.Sync.Current().GetPlacements()
				ok := len(held) == 1 && held[0].GetFencing() == fencing && held[0].GetGeneration() == generation && len(held[0].GetAssignments()) == 1
				if !ok && node.Entry == entries {
					count++
				}
			}
			return count
		}
		place(1, 1)
		s.Run(propagationBound)
		So(missing(true, 1, 1), ShouldEqual, 0)
		s.Run(time.Minute)
		So(missing(false, 1, 1), ShouldEqual, 0)
		place(2, 1)
		s.Run(time.Minute)
		place(1, 9)
		s.Platform.Apply(1)
		s.Run(time.Minute)
		So(missing(true, 2, 1), ShouldEqual, 0)
		So(missing(false, 2, 1), ShouldEqual, 0)
	})
}
