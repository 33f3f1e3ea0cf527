package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	pb "laburnumgw/api/laburnumgw/v1"
)

func testEntry() *Entry {
	self := Self{VM: "entry-1", Zone: "a", Region: "r", Address: "e1:1"}
	e := NewEntry(self, nil, 0, rand.New(rand.NewPCG(1, 1)))
	e.Tick(JoinSpread)
	return e
}

func testReport(vm string, counter, sequence uint64) *pb.ReportRequest {
	return &pb.ReportRequest{Vm: vm, Zone: "a", Region: "r", Address: vm + ":1", Sequence: sequence,
		Incarnation: &pb.Incarnation{Counter: counter, Id: 9}, Load: &pb.Load{InFlight: int32(sequence)}}
}

func kinds(events []Event) []EventKind {
	var list []EventKind
	for _, event := range events {
		list = append(list, event.Kind)
	}
	return list
}

// Guards against late reports of an earlier incarnation or with a lower sequence number
// replacing newer ones.
func TestStaleReports(t *testing.T) {
	Convey("Reports with a lower incarnation or sequence number change nothing", t, func() {
		e := testEntry()
		now := JoinSpread
		e.Report(now, testReport("x", 2, 5))
		e.Report(now, testReport("x", 2, 4))
		view, _ := e.Endpoint("x")
		So(view.Report.GetLoad().GetInFlight(), ShouldEqual, 5)
		response := e.Report(now, testReport("x", 1, 9))
		view, _ = e.Endpoint("x")
		So(view.Incarnation.Counter, ShouldEqual, 2)
		So(response.GetEntries()[0].GetIncarnation().GetCounter(), ShouldEqual, 2)
		e.Report(now, testReport("x", 3, 1))
		So(kinds(e.Tick(now).Events), ShouldResemble, []EventKind{EndpointAlive, EndpointNewIncarnation, EndpointAlive})
		compact := testReport("y", 1, 1)
		compact.Zone = ""
		So(e.Report(now, compact).GetEntries()[0].GetIncarnation(), ShouldBeNil)
	})
}

// Guards against an endpoint that still gets requests 3 s after its last report, and against
// an endpoint that is marked as dead without being suspect and probed before.
func TestUnresponsiveEndpoint(t *testing.T) {
	Convey("An unresponsive endpoint is suspect, probed and then dead", t, func() {
		e := testEntry()
		now := JoinSpread
		e.Report(now, testReport("x", 1, 1))
		e.Tick(now)
		probes := 0
		var seen []EventKind
		for elapsed := time.Duration(0); elapsed <= 3*time.Second; elapsed += 100 * time.Millisecond {
			out := e.Tick(now + elapsed)
			probes += len(out.Probes)
			seen = append(seen, kinds(out.Events)...)
		}
		So(seen, ShouldResemble, []EventKind{EndpointSuspect, EndpointDead})
		So(probes, ShouldBeGreaterThanOrEqualTo, 9)
		e.Report(now+4*time.Second, testReport("x", 1, 2))
		So(kinds(e.Tick(now+4*time.Second).Events), ShouldResemble, []EventKind{EndpointAlive})
	})
	Convey("After a pause of the entry's process, endpoints found dead are probed at once", t, func() {
		e := testEntry()
		now := JoinSpread
		e.Report(now, testReport("x", 1, 1))
		e.Tick(now)
		out := e.Tick(now + time.Minute)
		So(len(out.Probes), ShouldEqual, 1)
		view, _ := e.Endpoint("x")
		So(view.State, ShouldEqual, Dead)
		response := &pb.ReportResponse{Entries: []*pb.EntryInfo{{Vm: "x", Incarnation: &pb.Incarnation{Counter: 1, Id: 9}, Heartbeat: 1}}}
		e.ProbeResult(now+time.Minute, "x", response)
		view, _ = e.Endpoint("x")
		So(view.State, ShouldEqual, Alive)
	})
}

// Guards against a platform list that overrides a newer report.
func TestPlatformList(t *testing.T) {
	Convey("The list marks unresponsive endpoints as leaving, but not live ones", t, func() {
		e := testEntry()
		now := JoinSpread
		e.Report(now, testReport("x", 1, 1))
		list := []VM{{Peer: Peer{VM: "x"}, Leaving: true}, {Peer: Peer{VM: "entry-2", Zone: "b"}, Entry: true}}
		e.ApplyPlatformList(now, list)
		view, _ := e.Endpoint("x")
		So(view.Leaving, ShouldBeFalse)
		e.Tick(now + 2*time.Second)
		e.ApplyPlatformList(now+2*time.Second, list)
		view, _ = e.Endpoint("x")
		So(view.Leaving, ShouldBeTrue)
		e.Report(now+2*time.Second, testReport("x", 1, 2))
		view, _ = e.Endpoint("x")
		So(view.Leaving, ShouldBeFalse)
	})
}

// Guards against an entry that cannot route when its own zone has no endpoint.
func TestSample(t *testing.T) {
	Convey("Endpoints of other zones known from gossip are probed when the zone has no live endpoint", t, func() {
		e := testEntry()
		now := JoinSpread
		remote := testReport("far", 1, 1)
		remote.Zone = "b"
		from := &pb.EntryInfo{Vm: "entry-2", Zone: "b", Incarnation: &pb.Incarnation{Counter: 1}}
		e.Gossip(now, &pb.GossipRequest{From: from, Endpoints: []*pb.ReportRequest{remote}})
		_, known := e.Endpoint("far")
		So(known, ShouldBeFalse)
		out := e.Tick(now + 2*time.Second)
		So(out.Probes[0].To.VM, ShouldEqual, "far")
		response := &pb.ReportResponse{Entries: []*pb.EntryInfo{{Vm: "far", Incarnation: &pb.Incarnation{Counter: 1, Id: 9}}}}
		e.ProbeResult(now+2*time.Second, "far", response)
		view, _ := e.Endpoint("far")
		So(view.State, ShouldEqual, Alive)
	})
}

// Guards against a restarted endpoint process whose reports are dropped, and against a
// process that exits before the entries have acknowledged that it leaves.
func TestEndpointJoinReportLeave(t *testing.T) {
	Convey("An endpoint process learns its incarnation counter, reports and leaves", t, func() {
		e := testEntry()
		now := JoinSpread
		e.Report(now, testReport("x", 7, 100))
		seed := Peer{VM: "entry-1", Zone: "a", Region: "r", Address: "e1:1"}
		p := NewEndpoint(Self{VM: "x", Zone: "a", Region: "r", Address: "x:1"}, []Peer{seed}, now, rand.New(rand.NewPCG(2, 2)))
		lost := false
		drive := func(until time.Duration) {
			for ; now < until; now += 10 * time.Millisecond {
				for _, send := range p.Tick(now) {
					if lost {
						p.ReportResult(now, send, nil)
						continue
					}
					p.ReportResult(now, send, e.Report(now, send.Request))
				}
			}
		}
		drive(now + 3*time.Second)
		So(p.Joined(), ShouldBeTrue)
		So(p.Incarnation().Counter, ShouldEqual, 8)
		view, _ := e.Endpoint("x")
		So(view.Incarnation, ShouldResemble, p.Incarnation())
		So(now-view.LastSeen, ShouldBeLessThan, time.Second)
		lost = true
		p.Leave(now)
		drive(now + time.Second)
		So(p.LeaveComplete(now), ShouldBeFalse)
		lost = false
		drive(now + 1500*time.Millisecond)
		So(p.LeaveComplete(now), ShouldBeTrue)
		view, _ = e.Endpoint("x")
		So(view.Leaving, ShouldBeTrue)
	})
}
