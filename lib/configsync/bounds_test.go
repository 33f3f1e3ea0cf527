package configsync_test

import (
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/configsync/controlsim"
	"laburnumgw/lib/membership"
)

const (
	spreadBound   = 4 * time.Second
	idleCalls     = 30
	restartCalls  = 200
	trafficBound  = 29_000
	changesPerDay = 1300
	deadBound     = 3 * time.Second
	killed        = 5
	boundSeed     = 11
	boundLoss     = 0.05
	settlePeriod  = 60 * time.Second
	measurePeriod = 10 * time.Second
)

// checkBounds holds one fleet to the bounds of design section 1.5 with 5% loss.
func checkBounds(t *testing.T, entries, endpoints int) {
	debug.SetGCPercent(400)
	s := controlsim.New(controlsim.Options{Zones: controlsim.Fleet(entries, endpoints), Loss: boundLoss, Seed: boundSeed,
		FileCount: 40, FileBytes: 1024, ModelCount: 15, ChunkCount: 256})
	falseDeaths := 0
	s.OnMember = func(at *controlsim.Node, event membership.Event) {
		dead := event.Kind == membership.EndpointDead || event.Kind == membership.EntryDead
		if dead && s.Node(event.VM).Up {
			falseDeaths++
			t.Logf("%s: %s sees %s for %s, silent for %s", s.Now(), at.Self.VM, event.Kind, event.VM, event.SinceLastSeen)
		}
	}
	s.Platform.Apply(0)
	s.Platform.CountWaiting()
	s.StartAll()
	s.Run(settlePeriod)
	t.Logf("%d entries, %d endpoint processes, seed %d, loss %.0f%%", entries, endpoints, boundSeed, 100*boundLoss)
	t.Logf("full restart: %d calls/s at most, %d ready", s.Platform.PeakCalls(0, s.Now()), s.ReadyCount())
	So(s.ReadyCount(), ShouldEqual, entries+endpoints)
	So(s.Platform.PeakCalls(0, s.Now()), ShouldBeLessThanOrEqualTo, restartCalls)

	from := s.Now()
	entry, endpoint := s.MeasureTraffic(measurePeriod)
	t.Logf("idle: %d calls/s at most; bytes/s sent and received: entries mean %.0f max %.0f, endpoint processes mean %.0f max %.0f",
		s.Platform.PeakCalls(from, s.Now()), entry.Mean, entry.Max, endpoint.Mean, endpoint.Max)
	So(s.Platform.PeakCalls(from, s.Now()), ShouldBeLessThanOrEqualTo, idleCalls)
	So(entry.Max, ShouldBeLessThanOrEqualTo, trafficBound)
	So(endpoint.Max, ShouldBeLessThanOrEqualTo, trafficBound)

	s.Platform.Apply(1)
	changeEntry, changeEndpoint := s.MeasureTraffic(measurePeriod)
	t.Logf("at %d changes a day: entries max %.0f, endpoint processes max %.0f; peak second of a change %d", changesPerDay,
		atDailyRate(entry, changeEntry), atDailyRate(endpoint, changeEndpoint), changeEntry.PeakSecond)
	So(atDailyRate(entry, changeEntry), ShouldBeLessThanOrEqualTo, trafficBound)
	So(atDailyRate(endpoint, changeEndpoint), ShouldBeLessThanOrEqualTo, trafficBound)

	for range 3 {
		times, missing := s.MeasureSpread(1, spreadBound)
		t.Logf("spread: p50 %s p99 %s max %s, missing %d", controlsim.Percentile(times, 0.5),
			controlsim.Percentile(times, 0.99), controlsim.Percentile(times, 1), missing)
		So(missing, ShouldEqual, 0)
	}
	checkDeath(t, s)
	t.Logf("false deaths %d", falseDeaths)
	So(falseDeaths, ShouldEqual, 0)
}

// atDailyRate returns the traffic of the busiest process when changes come at the daily
// rate, from a measured period without and one with a change.
func atDailyRate(idle, change controlsim.Traffic) float64 {
	share := float64(changesPerDay) * measurePeriod.Hours() / 24
	busiest := 0.0
	for i, rate := range idle.ByNode {
		busiest = max(busiest, rate+share*max(0, change.ByNode[i]-rate))
	}
	return busiest
}

// checkDeath kills endpoints and requires that no entry would send to them after the
// bound, counted from the kill, which is not before the last sign of life.
func checkDeath(t *testing.T, s *controlsim.Sim) {
	var dead []*controlsim.Node
	for _, node := range s.Nodes {
		if !node.Entry && len(dead) < killed {
			node.Kill()
			dead = append(dead, node)
		}
	}
	s.Run(deadBound)
	for _, node := range s.Nodes {
		for _, gone := range dead {
			if !node.Entry {
				continue
			}
			view, known := node.Member.Endpoint(gone.Self.VM)
			if known && view.State != membership.Dead {
				t.Errorf("%s takes %s for %s %s after its death", node.Self.VM, gone.Self.VM, view.State, deadBound)
			}
		}
	}
}

// Guards the bounds on spread, platform calls, traffic and detection at 340 processes.
func TestBounds340(t *testing.T) {
	Convey("106 entries and 234 endpoint processes", t, func() { checkBounds(t, 106, 234) })
}

// Guards the same bounds at 340 processes that are all entries.
func TestBounds340Entries(t *testing.T) {
	Convey("340 entries", t, func() { checkBounds(t, 340, 0) })
}

// Guards the same bounds at 1,090 processes with 750 endpoint VMs.
func TestBounds1090(t *testing.T) {
	Convey("340 entries and 750 endpoint processes", t, func() { checkBounds(t, 340, 750) })
}
