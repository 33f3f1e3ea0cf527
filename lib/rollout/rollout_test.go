package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"laburnumgw/lib/startwait"
)

var start = time.Unix(1_000_000, 0)

var settings = DefaultSettings(8 * time.Second)

const loadTime = 2 * time.Second

func zone(vms int) []Member {
	var members []Member
	for i := range vms {
		members = append(members, Member{VM: fmt.Sprintf("10.1.0.%d", i), Version: 1})
	}
	return members
}

// Guards against a worker that loads weights of which a chunk is missing, is ordered
// again while an order runs, or goes back to an older version.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Worker{
			Version: rapid.IntRange(0, 4).Draw(t, "version"), Complete: rapid.Bool().Draw(t, "whole"), Busy: rapid.Bool().Draw(t, "busy"),
			LoadTime: time.Duration(rapid.IntRange(-100, 9000).Draw(t, "load ms")) * time.Millisecond,
		}
		complete := make(map[int]bool)
		var targets []Target
		for version := 1; version <= rapid.IntRange(0, 4).Draw(t, "targets"); version++ {
			target := Target{
				Version: version, Complete: rapid.Bool().Draw(t, "held"),
				NamedAt: start.Add(time.Duration(rapid.IntRange(-9000, 0).Draw(t, "named ms")) * time.Millisecond),
				Held:    rapid.IntRange(0, 8).Draw(t, "chunks held"), Chunks: rapid.IntRange(0, 8).Draw(t, "chunks"),
			}
			target.CompleteAt, target.HeldAt = target.NamedAt, start
			complete[version] = target.Complete
			targets = append(targets, target)
		}
		vms := zone(rapid.IntRange(1, 9).Draw(t, "vms"))
		for i := range vms {
			vms[i].Version = rapid.IntRange(0, 4).Draw(t, "listed")
		}
		decision := Decide(settings, w, targets, vms[0].VM, vms, start)
		if decision.ClosesIn < 0 || decision.ClosesIn > settings.Notice || (decision.ClosesIn > 0 && !w.Complete) {
			t.Fatalf("%+v for %+v and %+v", decision, w, targets)
		}
		if decision.Load == 0 {
			return
		}
		if !complete[decision.Load] || w.Busy || (w.Complete && decision.Load <= w.Version) {
			t.Fatalf("%+v for %+v and %+v", decision, w, targets)
		}
	})
}

// switchovers returns when the workers of a zone switch over to a version, by VM.
func switchovers(members []Member, targets []Target, version, worker int) map[string]time.Duration {
	at := make(map[string]time.Duration)
	for ms := time.Duration(0); ms <= 20*time.Second; ms += 50 * time.Millisecond {
		for i, member := range members {
			vm := member.VM
			if done, isDone := at[vm]; isDone && ms >= done+loadTime+500*time.Millisecond {
				members[i].Version = version
			}
			if _, done := at[vm]; done {
				continue
			}
			var known []Target
			for _, t := range targets {
				if t.NamedAt.After(start.Add(ms)) {
					continue
				}
				t.Complete = !t.CompleteAt.After(start.Add(ms))
				t.Chunks, t.OpenedAt, t.HeldAt = 480, t.NamedAt, start.Add(ms)
				t.Held = min(t.Chunks, int(480*start.Add(ms).Sub(t.NamedAt)/t.CompleteAt.Sub(t.NamedAt)))
				known = append(known, t)
			}
			w := Worker{Version: worker, Complete: true, LoadTime: loadTime}
			if Decide(settings, w, known, vm, members, start.Add(ms)).Load == version {
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
				So(switchover, ShouldBeBetweenOrEqual, 3300*time.Millisecond, startwait.SendingEnds(start, settings.Bound).Sub(start)+50*time.Millisecond)
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
			So(switchover, ShouldBeLessThanOrEqualTo, 8480*time.Millisecond)
		}
	})
	Convey("A worker without layers loads the newest complete version at once", t, func() {
		targets := []Target{{Version: 1, NamedAt: start, Complete: true}, {Version: 2, NamedAt: start}}
		So(Decide(settings, Worker{}, targets, "a", []Member{{VM: "a"}, {VM: "b"}}, start).Load, ShouldEqual, 1)
	})
}

// Guards against a worker that closes for a version whose last chunks stay away, and against one that is ordered without
// notice although its chunks arrive as expected.
func TestNoticeFollowsTheChunks(t *testing.T) {
	members := zone(1)
	target := Target{Version: 2, NamedAt: start, OpenedAt: start, HeldAt: start.Add(2 * time.Second), Held: 10, Chunks: 15}
	for at, closes := range map[time.Duration]bool{time.Second: false, 2 * time.Second: true, 3 * time.Second: true, 4 * time.Second: false} {
		got := Decide(settings, Worker{Version: 1, Complete: true, LoadTime: loadTime}, []Target{target}, members[0].VM, members, start.Add(at))
		if got.Load != 0 || (got.ClosesIn > 0) != closes {
			t.Errorf("after %v: %+v", at, got)
		}
	}
}

// Guards against a change of versions that cannot end in time and does not say so.
func TestLateChangesAreReported(t *testing.T) {
	members := zone(4)
	for arrives, limit := range map[time.Duration]Limit{2 * time.Second: LimitNone, 3500 * time.Millisecond: LimitZone, 5 * time.Second: LimitChunks} {
		target := Target{Version: 2, NamedAt: start, Complete: true, CompleteAt: start.Add(arrives)}
		got := Decide(settings, Worker{Version: 1, Complete: true, LoadTime: loadTime}, []Target{target}, members[0].VM, members, start.Add(arrives))
		if got.Limit != limit || (got.Late > 0) != (limit != LimitNone) {
			t.Errorf("chunks there after %v: %+v, want %q", arrives, got, limit)
		}
	}
}

// Guards against workers that load a version late which they would serve for a moment, because others of the first half have
// taken it, and against idle ones that leave a gap which they could serve.
func TestSkippedVersions(t *testing.T) {
	const arrives = 3300 * time.Millisecond
	members := zone(4)
	for i := range members {
		members[i].Version = 2
	}
	older := Target{Version: 2, NamedAt: start, Complete: true, CompleteAt: start.Add(arrives)}
	for name, c := range map[string]struct {
		idle      bool
		named, at time.Duration
		late      int
	}{
		"busy, newer one soon":              {false, 4 * time.Second, 4500 * time.Millisecond, 0},
		"busy, newer one late":              {false, 4 * time.Second, 6 * time.Second, 0},
		"idle, newer one late":              {true, 5 * time.Second, 6200 * time.Millisecond, 2},
		"idle, newer one named at once":     {true, time.Second, 7 * time.Second, 0},
		"busy, newer one named much later":  {false, 5800 * time.Millisecond, 6100 * time.Millisecond, 0},
		"idle, gap longer than both orders": {true, 5800 * time.Millisecond, 6100 * time.Millisecond, 2},
	} {
		late := 0
		for i := range members {
			if positionOf(members[i].VM, members, math.MaxInt).wave(2) == 0 {
				continue
			}
			w := Worker{Version: 1, Complete: true, Idle: c.idle, LoadTime: loadTime, IdleLoadTime: 300 * time.Millisecond}
			targets := []Target{older, {Version: 3, NamedAt: start.Add(c.named), Chunks: 48}}
			if Decide(settings, w, targets, members[i].VM, members, start.Add(c.at)).Load == 2 {
				late++
			}
		}
		if late != c.late {
			t.Errorf("%s: %d of the second half load the older version, want %d", name, late, c.late)
		}
	}
}

// Guards against a zone that serves nothing while the last chunks of a newer version stay away: all of its workers waited for
// them, with an older version at hand that still gets requests for 2 s.
func TestNewerVersionThatStopsArrivingIsNotAwaited(t *testing.T) {
	const arrives, named = 3300 * time.Millisecond, 2 * time.Second
	opened := start.Add(named)
	older := Target{Version: 2, NamedAt: start, Complete: true, CompleteAt: start.Add(arrives)}
	idleFrom := startwait.SendingEnds(start, settings.Bound).Add(200 * time.Millisecond)
	for _, held := range []int{10, 24, 40, 43, 46, 47} {
		members, loads := zone(4), 0
		for _, member := range members {
			for now := start.Add(arrives); now.Before(startwait.SendingEnds(opened, settings.Bound).Add(-time.Second)); now = now.Add(50 * time.Millisecond) {
				newer := Target{Version: 3, NamedAt: opened, OpenedAt: opened, Chunks: 48}
				newer.Held = min(held, int(48*now.Sub(opened)/arrives))
				newer.HeldAt = opened.Add(time.Duration(newer.Held) * arrives / 48)
				w := Worker{Version: 1, Complete: true, LoadTime: loadTime, IdleLoadTime: 400 * time.Millisecond, Idle: now.After(idleFrom)}
				if Decide(settings, w, []Target{older, newer}, member.VM, members, now).Load == 2 {
					loads++
					break
				}
			}
		}
		if loads < len(members)/2 {
			t.Errorf("%d of 48 chunks of the newer version: %d of %d workers load the older one", held, loads, len(members))
		}
	}
}

// Guards against a zone that serves nothing because an idle worker, which expects a short order, takes its turn while all the
// others are still loading.
func TestIdleWorkerWaitsForTheOthers(t *testing.T) {
	const idleLoadTime = 400 * time.Millisecond
	target := Target{Version: 2, NamedAt: start, Complete: true, CompleteAt: start.Add(2 * time.Second)}
	for vms := 2; vms <= 30; vms++ {
		members := zone(vms)
		back := make(map[string]time.Time)
		for now := target.CompleteAt; now.Before(startwait.SendingEnds(start, settings.Bound)); now = now.Add(10 * time.Millisecond) {
			away := 0
			for i, member := range members {
				w := Worker{Version: 1, Complete: true, LoadTime: loadTime, IdleLoadTime: idleLoadTime}
				w.Idle = positionOf(member.VM, zone(vms), 2).wave(2) > 0
				at, isOrdered := back[member.VM]
				switch {
				case !isOrdered && Decide(settings, w, []Target{target}, member.VM, members, now).Load == 2:
					back[member.VM] = now.Add(loadTime)
					if w.Idle {
						back[member.VM] = now.Add(idleLoadTime)
					}
				case isOrdered && !now.Before(at):
					members[i].Version = 2
				}
				if now.Before(back[member.VM]) {
					away++
				}
			}
			if away == vms {
				t.Fatalf("all of %d workers load %v after the version was complete", vms, now.Sub(target.CompleteAt))
			}
		}
	}
}

// The plan of a fleet of 600 workers in three zones must cost a process less than 1 ms.
func BenchmarkDecide(b *testing.B) {
	members := zone(200)
	targets := []Target{{Version: 2, NamedAt: start, Complete: true, CompleteAt: start}, {Version: 3, NamedAt: start}}
	for b.Loop() {
		Decide(settings, Worker{Version: 1, Complete: true, LoadTime: loadTime}, targets, members[7].VM, members, start)
	}
}
