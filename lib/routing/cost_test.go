package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/routing"
)

// busyTable returns a table of 600 endpoints with loads, running attempts, ejections
// and cached prefixes.
func busyTable(policy string) *routing.Table {
	rng := rand.New(rand.NewPCG(1, 1))
	table, err := routing.New(routing.Settings{Zone: "a", Region: "north", Policy: policy}, rng)
	if err != nil {
		panic(err)
	}
	incarnation := routing.Incarnation{Counter: 1, ID: 7}
	for i := range 600 {
		r := report(i, string(rune('a'+i%7)), 1)
		r.Load.InFlight = int32(rng.IntN(16))
		table.ReportReceived(r, start)
		if i%20 == 0 {
			table.SetLiveness(r.GetVm(), routing.Suspect)
		}
		if i%5 == 0 {
			table.PrefixEventReceived(routing.PrefixEvent{
				VM: r.GetVm(), Incarnation: incarnation, Sequence: 1, Stored: []uint64{1, 2, 3}})
		}
	}
	for range 300 {
		request := routing.Request{Model: "chat", Tokens: int64(rng.IntN(2000))}
		decision, err := table.Pick(&request, start)
		if err != nil {
			panic(err)
		}
		table.AttemptSent(decision, &request, start)
	}
	return table
}

func costRequests() map[string]routing.Request {
	return map[string]routing.Request{
		"first":   {ID: "r", Attempt: 1, Model: "chat", Idempotent: true, Tokens: 900, Prefixes: []uint64{9, 2}},
		"retry":   {ID: "r", Attempt: 3, Model: "chat", TriedVMs: []string{"vm-1", "vm-2"}},
		"resume":  {ID: "r", Attempt: 2, Model: "chat", VersionDigest: "v1", TriedVMs: []string{"vm-1"}},
		"service": {ID: "r", Attempt: 1, Service: "booking", PreferredVM: "vm-599", OwnerOnly: true},
	}
}

// Guards against allocations in the decision, which is made for each attempt.
func TestPickDoesNotAllocate(t *testing.T) {
	Convey("No policy allocates for any kind of request", t, func() {
		for _, policy := range routing.Policies() {
			table := busyTable(policy)
			recent := routing.NewRecentDecisions(64)
			for kind, request := range costRequests() {
				allocations := testing.AllocsPerRun(200, func() {
					decision, err := table.Pick(&request, start)
					if err != nil {
						panic(err)
					}
					recent.Add(decision)
				})
				SoMsg(fmt.Sprint(policy, ", ", kind), allocations, ShouldEqual, 0)
			}
		}
	})
}

// BenchmarkPick measures one decision at 600 endpoints; the target is 20 µs.
func BenchmarkPick(b *testing.B) {
	table := busyTable(routing.DefaultPolicy)
	for kind, request := range costRequests() {
		b.Run(kind, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Pick(&request, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
