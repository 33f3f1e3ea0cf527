package linkfake

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against figures that depend on map order or on anything but the seed.
func TestFiguresRepeat(t *testing.T) {
	t.Parallel()
	Convey("The same seed gives the same figures", t, func() {
		scenario := MixedFaults(smallFleet)
		So(NewRun(scenario).Execute(), ShouldResemble, NewRun(scenario).Execute())
		other := scenario
		other.Seed++
		So(NewRun(other).Execute(), ShouldNotResemble, NewRun(scenario).Execute())
	})
}
