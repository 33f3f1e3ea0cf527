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
	propagationBound         = 4 * time.Second
	maxIdleCallsPerSecond    = 30
	maxRestartCallsPerSecond = 200
	maxBytesPerSecond        = 29_000
	changesPerDay            = 1300
	deathDetectionBound      = 3 * time.Second
	killedEndpoints          = 5
	boundSeed                = 11
	boundLoss                = 0.05
	settlePeriod             = 60 * time.Second
	measurePeriod            = 10 * time.Second
)

// checkBounds checks one fleet against the constants above with 5% loss.
func checkBounds(t *testing.T, entries, endpoints int) {
	debug.SetGCPercent(400)
	s := controlsim.New(controlsim.Options{Zones: controlsim.Fleet(entries, endpoints), Loss: boundLoss, Seed: boundSeed,
		FileCount: 40, FileBytes: 1024, ModelCount: 15, ChunkCount: 256})
	falseDeaths := 0
	s.OnMembershipEvent = func(at *controlsim.Node, event membership.Event) {
		dead := event.Kind == membership.EndpointDead || event.Kind == membership.EntryDead
		if dead && s.Node(event.VM).Up {
			falseDeaths++
			t.Logf("%s: %s sees %s for %s, silent for %s", s.Now(), at.Self.VM, event.Kind, event.VM, event.SinceLastSeen)
		}
	}
	s.Platform.Apply(0)
	s.Platform.CountWaitingWatches()
	s.StartAll()
	s.Run(settlePeriod)
	t.Logf("%d entries, %d endpoint processes, seed %d, loss %.0f%%", entries, endpoints, boundSeed, 100*boundLoss)
	t.Logf("full restart: %d calls/s at most, %d ready", s.Platform.PeakCalls(0, s.Now()), s.ReadyCount())
	So(s.ReadyCount(), ShouldEqual, entries+endpoints)
	So(s.Platform.PeakCalls(0, s.Now()), ShouldBeLessThanOrEqualTo, maxRestartCallsPerSecond)

	from := s.Now()
	entry, endpoint := s.MeasureTraffic(measurePeriod)
	t.Logf("idle: %d calls/s at most; bytes/s sent and received: entries mean %.0f max %.0f, endpoint processes mean %.0f max %.0f",
		s.Platform.PeakCalls(from, s.Now()), entry.Mean, entry.Max, endpoint.Mean, endpoint.Max)
	So(s.Platform.PeakCalls(from, s.Now()), ShouldBeLessThanOrEqualTo, maxIdleCallsPerSecond)
	So(entry.Max, ShouldBeLessThanOrEqualTo, maxBytesPerSecond)
	So(endpoint.Max, ShouldBeLessThanOrEqualTo, maxBytesPerSecond)

	s.Platform.Apply(1)
	changeEntry, changeEndpoint := s.MeasureTraffic(measurePeriod)
	t.Logf("at %d changes a day: entries max %.0f, endpoint processes max %.0f; peak second of a change %d", changesPerDay,
		atDailyRate(entry, changeEntry), atDailyRate(endpoint, changeEndpoint), changeEntry.PeakSecondBytes)
	So(atDailyRate(entry, changeEntry), ShouldBeLessThanOrEqualTo, maxBytesPerSecond)
	So(atDailyRate(endpoint, changeEndpoint), ShouldBeLessThanOrEqualTo, maxBytesPerSecond)

	for range 3 {
		times, missing := s.MeasurePropagation(1, propagationBound)
		t.Logf("spread: p50 %s p99 %s max %s, missing %d", controlsim.Percentile(times, 0.5),
			controlsim.Percentile(times, 0.99), controlsim.Percentile(times, 1), missing)
		So(missing, ShouldEqual, 0)
	}
	checkDeath(t, s)
	t.Logf("false deaths %d", falseDeaths)
	So(falseDeaths, ShouldEqual, 0)
}

// atDailyRate returns the traffic of the busiest process in bytes per second at
// changesPerDay, calculated from a measured period without a change and one with a change.
func atDailyRate(idle, change controlsim.Traffic) float64 {
	share := float64(changesPerDay) * measurePeriod.Hours() / 24
	busiest := 0.0
	for i, rate := range idle.ByNode {
		busiest = max(busiest, rate+share*max(0, change.ByNode[i]-rate))
	}
	return busiest
}

// checkDeath kills endpoint processes and requires that every entry that knows them takes
// them for dead after the bound, so that it would not send to them. The bound is counted
// from the kill, which is not earlier than the last message of the process.
func checkDeath(t *testing.T, s *controlsim.Sim) {
	var victims []*controlsim.Node
	for _, node := range s.Nodes {
		if !node.Entry && len(victims) < killedEndpoints {
			node.Kill()
			victims = append(victims, node)
		}
	}
	s.Run(deathDetectionBound)
	for _, node := range s.Nodes {
		for _, victim := range victims {
			if !node.Entry {
				continue
			}
			view, known := node.Member.Endpoint(victim.Self.VM)
			if known && view.State != membership.Dead {
				t.Errorf("%s takes %s for %s %s after its death", node.Self.VM, victim.Self.VM, view.State, deathDetectionBound)
			}
		}
	}
}

// Guards the bounds on propagation time, platform calls, traffic and failure detection at
// 340 processes.
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
