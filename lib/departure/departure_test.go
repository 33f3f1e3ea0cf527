package departure

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against a leaving worker that gets requests again, and against one that has started
// again under the same name and gets none.
func TestDeparturesBelongToOneStart(t *testing.T) {
	Convey("Given the departure of a start", t, func() {
		set := NewSet()
		So(set.Add(Departure{"w", 5}), ShouldBeTrue)
		So(set.Contains("w", 5), ShouldBeTrue)
		So(set.Contains("w", 4), ShouldBeTrue)
		So(set.Contains("w", 6), ShouldBeFalse)
		So(set.Contains("v", 5), ShouldBeFalse)
		So(set.Add(Departure{"w", 5}), ShouldBeFalse)
		So(set.Add(Departure{"w", 3}), ShouldBeFalse)
		So(set.Add(Departure{"w", 7}), ShouldBeTrue)
		So(set.All(), ShouldResemble, []Departure{{"w", 7}})
	})
}

// Guards against memory that grows with each worker that ever left.
func TestDeparturesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet()
		count := rapid.IntRange(0, 3*maxDepartures).Draw(t, "count")
		for i := range count {
			set.Add(Departure{fmt.Sprint(i), 1})
		}
		if kept := len(set.All()); kept != min(count, maxDepartures) || len(set.order) != kept {
			t.Fatalf("%d of %d departures kept, order %d", kept, count, len(set.order))
		}
		if count > 0 && !set.Contains(fmt.Sprint(count-1), 1) {
			t.Fatal("the last departure is forgotten")
		}
	})
}
