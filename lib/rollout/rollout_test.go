package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

var settings = DefaultSettings(8 * time.Second)

func zone(vms int) []string {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("10.1.0.%d", i))
	}
	return names
}

// Guards against a worker that loads weights of which a chunk is missing, is ordered
// again while an order runs, or goes back to an older version.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Worker{
			Version: rapid.IntRange(0, 4).Draw(t, "version"), Complete: rapid.Bool().Draw(t, "whole"), Busy: rapid.Bool().Draw(t, "busy"),
		}
		complete := make(map[int]bool)
		var targets []Target
		for version := 1; version <= rapid.IntRange(0, 4).Draw(t, "targets"); version++ {
			target := Target{
				Version: version, Complete: rapid.Bool().Draw(t, "held"),
				NamedAt: start.Add(time.Duration(rapid.IntRange(-9000, 0).Draw(t, "named ms")) * time.Millisecond),
			}
			complete[version] = target.Complete
			targets = append(targets, target)
		}
		vms := zone(rapid.IntRange(1, 9).Draw(t, "vms"))
		decision := Decide(settings, w, targets, vms[0], vms, start)
		if decision.Load == 0 {
			return
		}
		if !complete[decision.Load] || w.Busy || (w.Complete && decision.Load <= w.Version) {
			t.Fatalf("%+v for %+v and %+v", decision, w, targets)
		}
	})
}

// switchovers returns when the workers of a zone switch over to a version, by VM.
func switchovers(names []string, targets []Target, version, worker int) map[string]time.Duration {
	at := make(map[string]time.Duration)
	for ms := time.Duration(0); ms <= 20*time.Second; ms += 50 * time.Millisecond {
		for _, vm := range names {
			if _, done := at[vm]; done {
				continue
			}
			var known []Target
			for _, t := range targets {
				if t.NamedAt.After(start.Add(ms)) {
					continue
				}
				t.Complete = !t.CompleteAt.After(start.Add(ms))
				known = append(known, t)
			}
			if Decide(settings, Worker{Version: worker, Complete: true}, known, vm, names, start.Add(ms)).Load == version {
				at[vm] = ms
			}
		}
	}
	return at
}

// Guards against a zone whose workers all wait for their running requests at the same
// time, and against one that switches over after the bound.
func TestSwitchoversAreSpread(t *testing.T) {
	Convey("Zones of 2 to 30 workers for which version 2 is complete after 3.3 s", t, func() {
		targets := []Target{{Version: 2, NamedAt: start, CompleteAt: start.Add(3300 * time.Millisecond)}}
		const outOfService = time.Second
		for vms := 2; vms <= 30; vms++ {
			at := switchovers(zone(vms), targets, 2, 1)
			So(at, ShouldHaveLength, vms)
			for _, switchover := range at {
				So(switchover, ShouldBeBetweenOrEqual, settings.FirstSwitchover, settings.LastSwitchover+50*time.Millisecond)
				together := 0
				for _, other := range at {
					if other <= switchover && other > switchover-outOfService {
						together++
					}
				}
				So(together, ShouldBeLessThanOrEqualTo, vms/2+1)
			}
		}
	})
}

// Guards against idle workers when versions follow each other within 4 s: all workers waited
// for the chunks of version 3 past version 2's bound, and nothing was served for a second.
func TestHalfOfAZoneBridgesTheGapToANewerVersion(t *testing.T) {
	Convey("Version 3 is named 4 s after version 2 and complete 3.3 s later", t, func() {
		names := zone(8)
		targets := []Target{
			{Version: 2, NamedAt: start, CompleteAt: start.Add(3300 * time.Millisecond)},
			{Version: 3, NamedAt: start.Add(4 * time.Second), CompleteAt: start.Add(7300 * time.Millisecond)},
		}
		bridging := switchovers(names, targets, 2, 1)
		direct := switchovers(names, targets, 3, 1)
		Convey("half of the workers serve version 2 by its bound", func() {
			So(len(bridging), ShouldBeBetweenOrEqual, 4, 5)
			for _, switchover := range bridging {
				So(switchover, ShouldBeLessThanOrEqualTo, 8*time.Second)
			}
		})
		Convey("the others load version 3 as soon as it is complete", func() {
			for vm, switchover := range direct {
				if _, ok := bridging[vm]; !ok {
					So(switchover, ShouldBeBetweenOrEqual, 7300*time.Millisecond, 7400*time.Millisecond)
				}
			}
		})
		Convey("those on version 2 switch over within version 3's bound", func() {
			for _, switchover := range switchovers(names, targets, 3, 2) {
				So(switchover, ShouldBeBetweenOrEqual, 7300*time.Millisecond, 12*time.Second)
			}
		})
	})
	Convey("A newer version that does not arrive is not waited for longer than the bound", t, func() {
		names := zone(8)
		targets := []Target{
			{Version: 2, NamedAt: start, CompleteAt: start.Add(3300 * time.Millisecond)},
			{Version: 3, NamedAt: start.Add(4 * time.Second), CompleteAt: start.Add(time.Hour)},
		}
		for _, switchover := range switchovers(names, targets, 2, 1) {
			So(switchover, ShouldBeLessThanOrEqualTo, settings.LastSwitchover+settings.Notice+100*time.Millisecond)
		}
	})
	Convey("A worker without layers loads the newest complete version at once", t, func() {
		targets := []Target{{Version: 1, NamedAt: start, Complete: true}, {Version: 2, NamedAt: start}}
		So(Decide(settings, Worker{}, targets, "a", []string{"a", "b"}, start).Load, ShouldEqual, 1)
	})
}
