package senders

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// entries returns a number of entries spread over zones.
func entries(count, zones int) map[string]string {
	list := make(map[string]string, count)
	for i := range count {
		list[fmt.Sprintf("front-%03d", i)] = fmt.Sprintf("zone-%d", i%zones)
	}
	return list
}

// sum returns what all assigned senders may send to a worker in a second, and what the
// unassigned ones send on average, when each entry knows the fleet that known returns.
func sum(all map[string]string, known func(entry string) Fleet, worker, zone string, bound float64) (assigned int, unassigned float64) {
	for _, entry := range slices.Sorted(maps.Keys(all)) {
		entryZone := all[entry]
		share := known(entry).ShareOf(entry, entryZone, worker, zone, bound, 4)
		assigned += share.PerSecond
		unassigned += share.UnassignedProbability
	}
	return assigned, unassigned
}

// Guards against shares of a cold worker's bound that sum up to more than the bound: with
// one request a second for each of 35 entries, a worker that sustains 26 got 28.
func TestSharesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 340).Draw(t, "entries")
		zones := rapid.IntRange(1, 7).Draw(t, "zones")
		bound := rapid.Float64Range(5, 80).Draw(t, "bound")
		worker := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 250).Draw(t, "worker"))
		zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 7).Draw(t, "zone"))
		all := entries(count, zones)
		complete := NewFleet(all)
		assigned, unassigned := sum(all, func(string) Fleet { return complete }, worker, zone, bound)
		if float64(assigned) > bound || float64(assigned)+unassigned > bound {
			t.Fatalf("shares of %d assigned and %g unassigned exceed the bound of %g", assigned, unassigned, bound)
		}
		if assigned == 0 {
			t.Fatal("no entry is an assigned sender")
		}
	})
}

// Guards against shares that hold the bound only when all entries know the same fleet: a
// tenth of the entries is new, and half of the others do not know of these yet.
func TestSharesStayWithinTheBoundWhileEntriesJoin(t *testing.T) {
	for _, count := range []int{35, 42, 149, 207, 340} {
		all := entries(count, 5)
		before := entries(count*9/10, 5)
		complete, old := NewFleet(all), NewFleet(before)
		for w := range 400 {
			i := w
			assigned, unassigned := sum(all, func(entry string) Fleet {
				i++
				if _, known := before[entry]; known && i%2 == 0 {
					return old
				}
				return complete
			}, fmt.Sprintf("10.0.0.%d:80", w), "zone-1", 26)
			if float64(assigned)+unassigned > 26 {
				t.Fatalf("%d entries: shares of %d assigned and %g unassigned exceed the bound of 26", count, assigned, unassigned)
			}
		}
	}
}

// Guards against entries that are assigned to few workers or none and so receive few reports,
// and against workers with few assigned senders in their own zone.
func TestSubsetsAreEven(t *testing.T) {
	Convey("Given 149 entries before 138 workers in 5 zones", t, func() {
		all := entries(149, 5)
		fleet := NewFleet(all)
		workers := make(map[string]int)
		for w := range 138 {
			worker, zone := fmt.Sprintf("10.0.%d.%d:80", w%5, w), fmt.Sprintf("zone-%d", w%5)
			near, far := fleet.AssignedSenders(worker, zone, AssignedCount(26))
			So(len(near)+len(far), ShouldEqual, AssignedCount(26))
			So(len(near), ShouldBeGreaterThan, len(far))
			for _, entry := range append(near, far...) {
				workers[entry]++
				So(fleet.ShareOf(entry, all[entry], worker, zone, 26, 4).PerSecond, ShouldEqual, 1)
			}
		}
		So(workers, ShouldHaveLength, 149)
		for _, n := range workers {
			So(n, ShouldBeBetween, 5, 40)
		}
	})
	Convey("Workers of a zone without entries get senders of the other zones", t, func() {
		near, far := NewFleet(entries(60, 3)).AssignedSenders("w", "zone-9", 18)
		So(near, ShouldBeEmpty)
		So(far, ShouldHaveLength, 18)
	})
	Convey("Few entries share the bound evenly", t, func() {
		fleet := NewFleet(entries(8, 3))
		So(fleet.ShareOf("front-000", "zone-0", "w", "zone-1", 59, 4), ShouldResemble, Share{PerSecond: 7, Senders: 8})
	})
}
