package linkfake

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// execute runs a scenario and prints its seed and figures.
func execute(t *testing.T, s Scenario) Result {
	t.Helper()
	result := NewRun(s).Execute()
	t.Logf("%s, seed %d: %s", s.Name, s.Seed, result)
	return result
}

// controlLimitBytesPerSecond is the design's limit of control traffic of one VM in bytes per second.
// Tests hold it in each single second, which is stricter than the mean.
const controlLimitBytesPerSecond = 29000

// Guards the design's bounds for a burst without faults: the time for 750 VMs, its
// growth from 100 VMs, the bytes from the origin, and the control traffic.
func TestPlainBurst(t *testing.T) {
	t.Parallel()
	small := execute(t, Plain(smallFleet))
	large := execute(t, Plain(largeFleet))
	Convey("A plain burst holds its bounds", t, func() {
		So(small.Incomplete, ShouldEqual, 0)
		So(large.Incomplete, ShouldEqual, 0)
		So(large.LastCompletion, ShouldBeLessThanOrEqualTo, 1.25)
		So(large.LastCompletion/small.LastCompletion, ShouldBeLessThanOrEqualTo, 1.2)
		So(small.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1)
		So(large.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1)
		So(large.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
	})
}

// Guards against delays that fit one number of chunks only: with shorter chunks, a
// chunk spreads in more chunk times, since bitmaps are not exchanged more often.
func TestMoreChunks(t *testing.T) {
	t.Parallel()
	scenario := Plain(smallFleet)
	scenario.Chunks = 1024
	result := execute(t, scenario)
	Convey("1,024 chunks hold the bounds as 256 do", t, func() {
		So(result.Incomplete, ShouldEqual, 0)
		So(result.LastCompletion, ShouldBeLessThanOrEqualTo, 1.25)
		So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1)
		So(result.ControlMean, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
	})
}

// Guards against regions that do not complete after they were cut off from each other
// while VMs die, or that disturb the home region.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	result := execute(t, RegionCut(smallFleet, smallFleet, 0.5, 1))
	Convey("Both regions complete", t, func() {
		So(result.Incomplete, ShouldEqual, 0)
		So(result.ByRegion["a"], ShouldBeLessThanOrEqualTo, 1.6)
		So(result.ByRegion["b"], ShouldBeLessThanOrEqualTo, 1.25/narrowLinkCopies+0.5)
		So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.5)
		So(result.LinkCopies["b"], ShouldBeLessThanOrEqualTo, 1.1)
		So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
	})
}

// Guards the bound with half of each link reserved for live requests.
func TestHalfLink(t *testing.T) {
	t.Parallel()
	result := execute(t, HalfLink(largeFleet))
	Convey("Half of the link takes at most twice the time", t, func() {
		So(result.Incomplete, ShouldEqual, 0)
		So(result.LastCompletion, ShouldBeLessThanOrEqualTo, 2.5)
		So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
		So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1)
	})
}

// Guards against a narrow inter-region link that carries a chunk more than once, or
// that the far region waits for longer than its bytes need.
func TestNarrowRegionLink(t *testing.T) {
	t.Parallel()
	result := execute(t, TwoRegions(largeFleet/2, largeFleet/2))
	Convey("The far region is bound by the link only", t, func() {
		So(result.Incomplete, ShouldEqual, 0)
		So(result.ByRegion["a"], ShouldBeLessThanOrEqualTo, 1.25)
		So(result.ByRegion["b"], ShouldBeLessThanOrEqualTo, 1.25/narrowLinkCopies)
		So(result.LinkCopies["b"], ShouldBeLessThanOrEqualTo, 1.1)
		So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
		So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1)
	})
}

// Guards against dead, stalled and corrupt peers that hold up the others or send them
// back to the origin.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	result := execute(t, MixedFaults(largeFleet))
	Convey("Survivors complete in time", t, func() {
		So(result.Incomplete, ShouldEqual, 0)
		So(result.CorruptChunks, ShouldBeGreaterThan, 0)
		So(result.LastCompletion, ShouldBeLessThanOrEqualTo, 1.6)
		So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
		So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.5)
	})
}

// Guards against a partitioned zone that stops, draws more than one copy by itself,
// or slows the other zones down.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	for _, at := range []float64{0.1, 0.3, 0.6} {
		result := execute(t, ZonePartition(largeFleet, at, at+0.4))
		others := result.OriginCopies - result.ZoneOriginCopies["a-z1"]
		Convey("Only the partitioned zone draws more", t, func() {
			So(result.Incomplete, ShouldEqual, 0)
			So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.1+1)
			So(others, ShouldBeLessThanOrEqualTo, 1.1)
			So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
			So(result.ByZone["a-z0"], ShouldBeLessThanOrEqualTo, 1.25)
			So(result.ByZone["a-z2"], ShouldBeLessThanOrEqualTo, 1.25)
			So(result.ByZone["a-z1"], ShouldBeLessThanOrEqualTo, 1.6)
		})
	}
}

// Guards against single faults that the table does not list on their own. They are
// held to the table's bounds for mixed faults, from the end of the store's outage and
// by the time the store's link needs for one copy.
func TestOtherFaults(t *testing.T) {
	t.Parallel()
	const fleet = 200
	for _, c := range []struct {
		scenario Scenario
		last     float64
	}{
		{StaggeredStart(fleet), 1.6},
		{DishonestPeers(fleet), 1.6},
		{LateJoiners(smallFleet, fleet, 0.5), 1.6},
		{StoreDown(fleet, 0.1, 0.6), 0.6 + 1.6},
		{StoreSlow(fleet, 0.2), 1.6 * 2.5},
		{RateLimited(fleet), 1.6},
		{SlowPeers(fleet), 1.6},
	} {
		result := execute(t, c.scenario)
		Convey("Bounds hold with "+c.scenario.Name, t, func() {
			So(result.Incomplete, ShouldEqual, 0)
			So(result.LastCompletion, ShouldBeLessThanOrEqualTo, c.last)
			So(result.ControlPeak, ShouldBeLessThanOrEqualTo, controlLimitBytesPerSecond)
			So(result.OriginCopies, ShouldBeLessThanOrEqualTo, 1.5)
		})
	}
}

// Guards against VMs that wait for longer than one fetch in vain after the store was silent:
// 7 s of silence were followed by up to 1.8 s without a byte.
func TestStoreSilent(t *testing.T) {
	t.Parallel()
	const silence = 7 * time.Second
	for _, vms := range [][]int{{1}, {4, 4, 3}, {15, 15, 15}} {
		plain := SmallModel(vms...)
		whole := seconds(plain, execute(t, plain).LastCompletion)
		for at := 0.0; at < 0.8; at += 0.1 {
			s := StoreUnresponsive(plain, at, silence)
			result := execute(t, s)
			stalled := seconds(s, result.LastCompletion) - whole - silence.Seconds()
			// A fetch that the store drops at the end of its silence is given up after 32
			// chunk times, and the schedule of the region takes some more to recover.
			limit := 40 * seconds(s, 1) / float64(s.Chunks)
			if result.Incomplete > 0 || stalled > limit {
				t.Errorf("%d VMs, silent from %.1f V: %d incomplete, stalled for %.2f s beyond the silence, at most %.2f", vms, at, result.Incomplete, stalled, limit)
			}
			if result.OriginCopies > 1.5 {
				t.Errorf("%d VMs, silent from %.1f V: %.2f copies from the store", vms, at, result.OriginCopies)
			}
		}
	}
}

func seconds(s Scenario, copyTimes float64) float64 { return copyTimes * s.CopyTime.Seconds() }
