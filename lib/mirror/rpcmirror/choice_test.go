package rpcmirror

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChoice(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	Convey("Given neighbours in the order of preference", t, func() {
		var c choice
		Convey("none is asked when none is known", func() {
			So(c.pick(nil, now), ShouldBeEmpty)
		})
		// Guards against a process that keeps mirroring from an entry of another region, which
		// it asked while those of its own zone were not registered yet.
		Convey("the preferred one is asked as soon as it is known", func() {
			So(c.pick([]string{"far"}, now), ShouldEqual, "far")
			So(c.pick([]string{"near", "far"}, now), ShouldEqual, "near")
		})
		Convey("one that failed is avoided for a while", func() {
			c.avoid("near", now, failedAvoidance)
			So(c.pick([]string{"near", "far"}, now), ShouldEqual, "far")
			So(c.pick([]string{"near", "far"}, now.Add(failedAvoidance)), ShouldEqual, "near")
		})
		// Guards against a process that asks the same failed neighbour again and again.
		Convey("all are asked in turn while all fail", func() {
			asked := make(map[string]int)
			for i := range 9 {
				at := now.Add(time.Duration(i) * 500 * time.Millisecond)
				address := c.pick([]string{"a", "b", "c"}, at)
				asked[address]++
				c.avoid(address, at, failedAvoidance)
			}
			So(asked, ShouldResemble, map[string]int{"a": 3, "b": 3, "c": 3})
		})
	})
}
