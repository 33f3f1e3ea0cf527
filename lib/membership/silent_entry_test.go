package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

// Guards against an entry that gets no reports any more since it was silent for some seconds, so that it takes sound
// endpoints for dead.
func TestEntryThatWasSilentGetsReportsAgain(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			var entries []Peer
			for i := range 3 {
				vm := fmt.Sprint("entry-", i)
				entries = append(entries, Peer{VM: vm, Zone: "a", Address: vm + ":1"})
			}
			p := NewEndpoint(Self{VM: "m", Zone: "a", Region: "r", Address: "m:1"}, entries, 0, rand.New(rand.NewPCG(1, 1)))
			begins := 20 * time.Second
			ends := begins + silence
			before, after := make(map[string]bool), make(map[string]time.Duration)
			for now := time.Duration(0); now < ends+failedExclusion+failedRetryInterval; now = max(p.Next(), now+time.Millisecond) {
				for _, send := range p.Tick(now) {
					vm := send.To.VM
					switch {
					case now < begins:
						before[vm] = true
					case now < ends && vm == "entry-0":
						p.ReportResult(now, send, nil)
						continue
					case now >= ends && after[vm] == 0:
						after[vm] = now - ends
					}
					p.ReportResult(now, send, acknowledge(p, entries))
				}
			}
			for _, entry := range entries {
				if before[entry.VM] && after[entry.VM] == 0 {
					t.Errorf("%s gets no reports after a silence of %v", entry.VM, silence)
				}
			}
			if !before["entry-0"] {
				t.Error("the silent entry had no reports before")
			}
			t.Logf("reports %v after the silence", after)
		})
	}
}

// answerToProbe is the response of an endpoint that does not report to the prober, which a heartbeat of 0 states.
func answerToProbe(vm string) *pb.ReportResponse {
	return &pb.ReportResponse{Entries: []*pb.EntryInfo{{Vm: vm, Incarnation: &pb.Incarnation{Counter: 1, Id: 9}}}}
}

// Guards against an entry that holds sound endpoints for dead after a pause of its own process: they report to other
// entries meanwhile, and come back only when they report to it again.
func TestEndpointThatAnswersAPausedEntryIsAlive(t *testing.T) {
	e := testEntry()
	now := JoinSpread
	names := []string{"x", "y", "z"}
	for _, vm := range names {
		e.Report(now, testReport(vm, 1, 1))
	}
	e.Tick(now)
	now += 3 * time.Second
	out := e.Tick(now)
	if len(out.Probes) != len(names) {
		t.Fatalf("%d probes after the pause", len(out.Probes))
	}
	for _, probe := range out.Probes {
		e.ProbeResult(now, probe.To.VM, answerToProbe(probe.To.VM))
	}
	alive := make(map[string]bool)
	for _, event := range e.Tick(now).Events {
		alive[event.VM] = event.Kind == EndpointAlive
	}
	for _, vm := range names {
		if !alive[vm] {
			t.Errorf("%s has answered and is not alive", vm)
		}
	}
	died := 0
	for end := now + DeadAfter + time.Second; now < end; now += 100 * time.Millisecond {
		out := e.Tick(now)
		for _, event := range out.Events {
			if event.Kind == EndpointDead {
				died++
			}
		}
		for _, probe := range out.Probes {
			e.ProbeResult(now, probe.To.VM, answerToProbe(probe.To.VM))
		}
	}
	if died > 0 {
		t.Errorf("%d endpoints that answer are dead later", died)
	}
}
