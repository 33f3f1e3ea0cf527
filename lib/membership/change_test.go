package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

// threeEntries are one entry in each of three availability zones.
var threeEntries = []Peer{
	{VM: "entry-a", Zone: "a", Address: "entry-a:1"}, {VM: "entry-b", Zone: "b", Address: "entry-b:1"}, {VM: "entry-c", Zone: "c", Address: "entry-c:1"},
}

// reportingEndpoint returns an endpoint that reports to three entries, each of which has acknowledged a full report, and
// the time.
func reportingEndpoint(t *testing.T) (*Endpoint, time.Duration) {
	t.Helper()
	p := NewEndpoint(Self{VM: "m", Zone: "a", Region: "r", Address: "m:1"}, threeEntries, 0, rand.New(rand.NewPCG(1, 1)))
	p.SetLoad(Load{Load: &pb.Load{}, Serving: map[string]string{"rota": "v1"}})
	now := time.Duration(0)
	for end := 20 * time.Second; now < end; now = max(p.Next(), now+time.Millisecond) {
		for _, send := range p.Tick(now) {
			p.ReportResult(now, send, acknowledge(p, threeEntries))
		}
	}
	if len(p.Entries()) != len(threeEntries) {
		t.Fatalf("the endpoint reports to %v", p.Entries())
	}
	return p, now
}

// acknowledge returns the response of an entry that knows the endpoint and the other entries.
func acknowledge(p *Endpoint, seeds []Peer) *pb.ReportResponse {
	response := &pb.ReportResponse{Entries: []*pb.EntryInfo{{Vm: "m", Incarnation: p.Incarnation().Proto()}}}
	for _, peer := range seeds {
		response.Entries = append(response.Entries, &pb.EntryInfo{Vm: peer.VM, Zone: peer.Zone, Address: peer.Address, Incarnation: &pb.Incarnation{Counter: 1}})
	}
	return response
}

// Guards against entries that send requests to an engine which has stopped serving a version, until its next report
// is due: it refuses them, and looks idle.
func TestChangeOfServedVersionsIsReportedAtOnce(t *testing.T) {
	p, now := reportingEndpoint(t)
	for _, serving := range []map[string]string{{}, {"rota": "v2"}, {}, {"rota": "v1"}} {
		now += 10 * time.Millisecond
		p.SetLoad(Load{Load: &pb.Load{}, Serving: serving})
		if due := p.Next(); due > now {
			t.Errorf("report of %v is due in %v", serving, due-now)
		}
		told := make(map[string]bool)
		for _, send := range p.Tick(now) {
			told[send.To.VM] = send.Request.GetZone() != "" && send.Request.GetServing()["rota"] == serving["rota"]
			p.ReportResult(now+5*time.Millisecond, send, acknowledge(p, threeEntries))
		}
		if !told["entry-a"] || !told["entry-b"] || !told["entry-c"] {
			t.Errorf("change to %v is reported to %v", serving, told)
		}
	}
	p.SetLoad(Load{Load: &pb.Load{InFlight: 3}, Serving: map[string]string{"rota": "v1"}})
	if due := p.Next(); due <= now {
		t.Errorf("a report without a change of what is served is due at %v, at %v", due, now)
	}
}

// Guards against a change that an entry learns half a minute late, because a report from before the change was acknowledged
// after it.
func TestReportInFlightHidesNoChange(t *testing.T) {
	p, now := reportingEndpoint(t)
	p.SetLoad(Load{Load: &pb.Load{}, Serving: map[string]string{"rota": "v1"}, Services: []string{"s"}})
	inFlight := make(map[string]ReportSend)
	for end := now + maxReportInterval + reportsPerSecond*time.Millisecond; now < end; now += time.Millisecond {
		for _, send := range p.Tick(now) {
			inFlight[send.To.VM] = send
		}
	}
	p.SetLoad(Load{Load: &pb.Load{}, Serving: map[string]string{}, Services: []string{"s"}})
	for _, send := range inFlight {
		p.ReportResult(now, send, acknowledge(p, threeEntries))
	}
	told := make(map[string]bool)
	for end := now + maxReportInterval + time.Second; now < end; now += time.Millisecond {
		for _, send := range p.Tick(now) {
			if send.Request.GetZone() != "" && len(send.Request.GetServing()) == 0 {
				told[send.To.VM] = true
			}
			p.ReportResult(now, send, acknowledge(p, threeEntries))
		}
	}
	if len(told) != 3 {
		t.Errorf("the change was reported to %v", told)
	}
}
