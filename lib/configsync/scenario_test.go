package configsync_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/configsync/controlsim"
)

// smallFleet returns a settled fleet of three zones on generation 1.
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

// behind counts running processes of some zones that act on another generation.
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

func alarms(s *controlsim.Sim, kind configsync.AlarmKind) int {
	count := 0
	for _, node := range s.Nodes {
		count += node.Alarms[kind]
	}
	return count
}

// Guards against a fleet that follows a restored platform to an older generation.
func TestRestoredPlatform(t *testing.T) {
	Convey("The newer bundle is written back and an alarm is raised", t, func() {
		s := smallFleet(21)
		old := s.Platform.Bundle
		s.Platform.LostResponses = 0.5
		s.Platform.Apply(1)
		generation := s.Platform.Apply(1)
		s.Run(spreadBound)
		s.Platform.Restore(old)
		s.Run(20 * time.Second)
		So(s.Platform.Bundle.GetGeneration(), ShouldEqual, generation)
		So(alarms(s, configsync.PlatformGenerationOlder), ShouldBeGreaterThan, 0)
		So(behind(s, generation, "a", "b", "c"), ShouldEqual, 0)
		next := s.Platform.Apply(1)
		s.Run(spreadBound)
		So(behind(s, next, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against a fork: a source with the own generation and other content.
func TestForkedGeneration(t *testing.T) {
	Convey("The own bundle is kept and an alarm is raised", t, func() {
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

// Guards against a partitioned zone that an operator cannot reach, that falls back after
// the partition heals, or that catches up late.
func TestPartitionedZone(t *testing.T) {
	Convey("A push reaches the zone, and healing brings it up to date", t, func() {
		s := smallFleet(23)
		for _, other := range []string{"a", "b", controlsim.PlatformZone} {
			s.Cut("c", other, true)
		}
		generation := s.Platform.Apply(1)
		s.Run(spreadBound)
		So(behind(s, generation, "a", "b"), ShouldEqual, 0)
		So(behind(s, generation, "c"), ShouldEqual, 6)
		s.OperatorPush(s.Node("10.2.0.1"))
		s.Run(spreadBound)
		So(behind(s, generation, "c"), ShouldEqual, 0)
		next := s.Platform.Apply(1)
		s.Run(time.Minute)
		So(behind(s, next, "c"), ShouldEqual, 6)
		s.HealAll()
		s.Run(spreadBound)
		So(behind(s, next, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against a process that serves on an old generation after a long pause, and
// against a platform outage that stops the fleet or delays changes after its end.
func TestPauseAndOutage(t *testing.T) {
	Convey("A paused process asks its neighbours before it serves", t, func() {
		s := smallFleet(24)
		node := s.Node("10.0.0.1")
		node.Pause()
		generation := s.Platform.Apply(1)
		s.Run(time.Minute)
		node.Resume()
		So(node.Sync.Ready(), ShouldBeFalse)
		s.Run(spreadBound)
		So(node.Sync.Ready(), ShouldBeTrue)
		So(node.Sync.Generation(), ShouldEqual, generation)
	})
	Convey("Changes after an outage arrive in time", t, func() {
		s := smallFleet(25)
		s.Platform.SetDown(true)
		s.Run(time.Minute)
		So(s.ReadyCount(), ShouldEqual, len(s.Nodes))
		s.Platform.SetDown(false)
		generation := s.Platform.Apply(1)
		s.Run(spreadBound)
		So(behind(s, generation, "a", "b", "c"), ShouldEqual, 0)
	})
}

// Guards against placements that change between configuration generations and do not
// reach all processes, or that go back.
func TestPlacements(t *testing.T) {
	Convey("The newest placement reaches every process and never goes back", t, func() {
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
		s.Run(spreadBound)
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
