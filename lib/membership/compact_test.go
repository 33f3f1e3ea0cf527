package membership

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	pb "laburnumgw/api/laburnumgw/v1"
)

// Guards against a compact report that drops a value of the last full report. The
// placement of a model then loses its VMs until the next full report.
func TestCompactReportKeepsFullValues(t *testing.T) {
	Convey("A compact report keeps every value of the last full one but load, sequence and generation", t, func() {
		e := NewEntry(Self{VM: "entry-1", Zone: "a"}, nil, 0, rand.New(rand.NewPCG(1, 1)))
		incarnation := &pb.Incarnation{Id: 1, Counter: 1}
		full := &pb.ReportRequest{
			Vm: "m", Zone: "a", Region: "r", Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: 1, Load: &pb.Load{},
			Serving: map[string]string{"rota": "d"}, Services: []string{"s"}, Models: []string{"rota"}, WeightsMemory: 5,
			Progress: []*pb.WeightProgress{{Model: "rota"}}, Shards: map[string]*pb.ShardList{"s": {Shards: []uint32{1}}},
		}
		e.Report(0, full)
		e.Report(1, &pb.ReportRequest{Vm: "m", Incarnation: incarnation, Sequence: 2, Load: &pb.Load{}, ConfigGeneration: 9})
		view, ok := e.Endpoint("m")
		So(ok, ShouldBeTrue)
		expected := proto.CloneOf(full)
		expected.Sequence = 2
		expected.ConfigGeneration = 9
		So(proto.Equal(view.Report, expected), ShouldBeTrue)
	})
}
