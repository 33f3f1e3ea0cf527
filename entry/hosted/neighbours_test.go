package hosted

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

// zoneOf returns the views of all entries of one zone with a number of entries.
func zoneOf(entries int) []*view {
	views := make([]*view, entries)
	for i := range views {
		name := fmt.Sprintf("front-%d", i)
		views[i] = newView(&platform.Settings{VM: name, Zone: "a"}, newEntryMetrics(), zap.NewNop())
		for j := range entries {
			views[i].entries[fmt.Sprintf("front-%d", j)] = platform.Entry{Zone: "a", Address: fmt.Sprintf("10.0.0.%d:1", j)}
		}
		views[i].entries["elsewhere"] = platform.Entry{Zone: "b", Address: "10.1.0.1:1"}
	}
	return views
}

// Guards against a reader of the store whose work grows with its zone: at 100 entries it
// sent 15 MB a second. Guards as well against circles, in which entries would confirm
// each other, and against a limit of age that the depth of the tree exceeds.
func TestEntriesMirrorInATree(t *testing.T) {
	Convey("In zones of 1 to 120 entries", t, func() {
		for _, entries := range []int{1, 2, 8, 9, 30, 120} {
			views := zoneOf(entries)
			parents := make(map[string]string)
			children := make(map[string]int)
			readers := 0
			for i, v := range views {
				own := fmt.Sprintf("10.0.0.%d:1", i)
				if v.source() == mirror.StoreFirst {
					readers++
					continue
				}
				parents[own] = v.neighbours()[0]
				children[v.neighbours()[0]]++
				So(v.neighbours(), ShouldNotContain, own)
				So(v.neighbours(), ShouldNotContain, "10.1.0.1:1")
			}
			So(readers, ShouldEqual, 1)
			for i, v := range views {
				depth := 0
				for at := fmt.Sprintf("10.0.0.%d:1", i); parents[at] != ""; at = parents[at] {
					depth++
					So(depth, ShouldBeLessThanOrEqualTo, 3)
				}
				So(children[fmt.Sprintf("10.0.0.%d:1", i)], ShouldBeLessThanOrEqualTo, mirrorFanout)
				// The reader hears of the store each 0.9 s, and each level adds a wait.
				oldest := 900*time.Millisecond + time.Duration(depth)*pullWait
				So(v.staleAfter(), ShouldBeGreaterThanOrEqualTo, oldest)
			}
		}
	})
}

// Guards against a zone that starts at once, without the entry that reads the store for it,
// and whose entries all list the workers in the same moment, which fills the link of the
// zone. Small zones lose no time.
func TestStartsOfAZoneAreSpread(t *testing.T) {
	Convey("Of 36 entries, two begin to read in any 1200 ms while the link carries a list in 300", t, func() {
		begins := make(map[time.Duration]int)
		for _, v := range zoneOf(36) {
			begins[v.patience()/(1200*time.Millisecond)]++
		}
		delete(begins, 8*time.Second/(1200*time.Millisecond)) // the bound of recovery ends the wait
		So(len(begins), ShouldBeGreaterThan, 4)
		for _, entries := range begins {
			So(entries, ShouldBeLessThanOrEqualTo, 2)
		}
	})
	Convey("The entries of a zone of 4 wait no longer than 600 ms", t, func() {
		for _, v := range zoneOf(4) {
			So(v.patience(), ShouldBeLessThanOrEqualTo, 600*time.Millisecond)
		}
	})
}
