package rendezvous

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a ranking that changes for unrelated members, which would move
// ownership when any VM joins or leaves.
func TestRankIsStable(t *testing.T) {
	Convey("Removing one member keeps the order of the others", t, func() {
		var members []string
		for i := range 20 {
			members = append(members, fmt.Sprintf("vm-%d", i))
		}
		ranked := Rank("key", members)
		So(Best("key", members), ShouldEqual, ranked[0])
		rest := Rank("key", members[1:])
		var expected []string
		for _, member := range ranked {
			if member != members[0] {
				expected = append(expected, member)
			}
		}
		So(rest, ShouldResemble, expected)
		So(Top("key", members, 3), ShouldResemble, ranked[:3])
	})
}
