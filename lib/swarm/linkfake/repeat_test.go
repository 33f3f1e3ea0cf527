package linkfake

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against results that depend on map order or on anything else but the seed.
func TestFiguresRepeat(t *testing.T) {
	t.Parallel()
	Convey("The same seed gives the same result", t, func() {
		scenario := MixedFaults(smallFleet)
		So(NewRun(scenario).Execute(), ShouldResemble, NewRun(scenario).Execute())
		other := scenario
		other.Seed++
		So(NewRun(other).Execute(), ShouldNotResemble, NewRun(scenario).Execute())
	})
}
