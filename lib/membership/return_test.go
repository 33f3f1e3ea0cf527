package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	pb "laburnumgw/api/laburnumgw/v1"
)

// Guards against an entry that restarts as the only one of its availability zone and
// never gets reports of the zone's endpoints again, because they still consider it leaving.
func TestEndpointReturnsToRestartedEntry(t *testing.T) {
	Convey("An endpoint reports again to an entry some time after the entry left", t, func() {
		entry := Peer{VM: "entry-c-1", Zone: "c", Region: "r", Address: "127.0.0.1:1"}
		other := Peer{VM: "entry-a-1", Zone: "a", Region: "r", Address: "127.0.0.1:2"}
		p := NewEndpoint(Self{VM: "m", Zone: "c"}, []Peer{entry, other}, 0, rand.New(rand.NewPCG(1, 1)))
		incarnation := &pb.Incarnation{Counter: 1, Id: 1}
		respond := func(send ReportSend, leaving bool) *pb.ReportResponse {
			return &pb.ReportResponse{Entries: []*pb.EntryInfo{{
				Vm: send.To.VM, Zone: send.To.Zone, Region: send.To.Region, Address: send.To.Address, Incarnation: incarnation, Leaving: leaving,
			}}}
		}
		reached := make(map[string]time.Duration)
		for now := time.Duration(0); now < 2*time.Minute; now += 50 * time.Millisecond {
			left := now > 20*time.Second && now < 25*time.Second
			for _, send := range p.Tick(now) {
				if send.To.VM == entry.VM && left {
					p.ReportResult(now, send, respond(send, true))
					continue
				}
				reached[send.To.VM] = now
				p.ReportResult(now, send, respond(send, false))
			}
		}
		So(reached[entry.VM], ShouldBeGreaterThan, 50*time.Second)
		So(reached[other.VM], ShouldBeGreaterThan, 50*time.Second)
	})
}
