package hosted

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

func listedWorker(id, address string, born int64) mirror.Change {
	value := fmt.Sprintf(`{"address":%q,"service":"desk","zone":"a","state":"ready","born":%d}`, address, born)
	return mirror.Change{Object: mirror.Object{Name: id, Revision: born, Value: json.RawMessage(value)}}
}

func reportsView(workers int) *view {
	v := newView(&platform.Settings{VM: "front", Zone: "a"}, newEntryMetrics(), zap.NewNop())
	changes := make([]mirror.Change, 0, workers)
	for i := range workers {
		changes = append(changes, listedWorker(fmt.Sprint("i-", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), 1))
	}
	v.applyChanges(platform.KindWorkers, changes)
	return v
}

// Guards against reports that are applied to no worker, or to one that was removed, when workers
// restart under another name or move to another address.
func TestReportsReachTheWorkerOfTheirAddress(t *testing.T) {
	Convey("Given a worker at an address", t, func() {
		v := reportsView(1)
		receives := func(id, address string, sequence uint64) bool {
			v.applyReport(address, sequence, catalog.Report{StartedAtMs: 1, Queued: int(sequence)})
			w := v.workers[id]
			return w != nil && w.report.Queued == int(sequence)
		}
		So(receives("i-0", "10.0.0.0:1", 1), ShouldBeTrue)
		Convey("both names listed at the address receive reports", func() {
			v.applyChanges(platform.KindWorkers, []mirror.Change{listedWorker("i-new", "10.0.0.0:1", 2)})
			So(receives("i-0", "10.0.0.0:1", 2), ShouldBeTrue)
			So(receives("i-new", "10.0.0.0:1", 3), ShouldBeTrue)
			Convey("and only the remaining name after the other was removed", func() {
				removed := listedWorker("i-0", "10.0.0.0:1", 1)
				removed.Deleted = true
				v.applyChanges(platform.KindWorkers, []mirror.Change{removed})
				So(receives("i-new", "10.0.0.0:1", 4), ShouldBeTrue)
				So(receives("i-0", "10.0.0.0:1", 5), ShouldBeFalse)
			})
		})
		Convey("a worker that moved receives reports at its new address only", func() {
			v.applyChanges(platform.KindWorkers, []mirror.Change{listedWorker("i-0", "10.0.0.9:1", 2)})
			So(receives("i-0", "10.0.0.0:1", 2), ShouldBeFalse)
			So(receives("i-0", "10.0.0.9:1", 3), ShouldBeTrue)
		})
	})
}

// BenchmarkReport measures the handling of one report at an entry, for fleets of several sizes.
// An entry of a fleet of 300 machines gets 700 reports per second.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{10, 60, 600, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			v := reportsView(workers)
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				v.applyReport("10.0.0.1:1", sequence, catalog.Report{StartedAtMs: 1})
			}
		})
	}
}

// Guards against a routing policy that is read from the settings but not used.
func TestRoutingPolicyReachesTheTable(t *testing.T) {
	Convey("A service is routed by the policy of the settings", t, func() {
		v := newView(&platform.Settings{VM: "front", Zone: "a", RoutingPolicy: "random"}, newEntryMetrics(), zap.NewNop())
		So(v.routingSettings(&catalog.Service{Name: "desk"}).Policy, ShouldEqual, "random")
	})
}

// Guards against a datagram that crashes the process or changes the known workers: any machine
// can send one.
func TestMalformedDatagramsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := reportsView(3)
		v.applyDatagram(rapid.SliceOfN(rapid.Byte(), 0, maxReportBytes).Draw(t, "data"))
		v.mu.Lock()
		defer v.mu.Unlock()
		if len(v.workers) != 3 {
			t.Fatalf("%d workers are known, want 3", len(v.workers))
		}
	})
}
