package catalog

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQueue(t *testing.T) {
	Convey("Given an engine that frees a slot every 93 ms", t, func() {
		engine := Engine{
			Slots: 12, Step: 6730 * time.Microsecond, StepPerRequest: 22 * time.Microsecond, Stride: 7,
			PromptPerSecond: 30_600, MeanPromptTokens: 965, MeanOutputTokens: 121,
		}
		Convey("one request may wait for 0.2 s, two for 0.3 s, and three for 0.4 s", func() {
			So(engine.MaxQueueLength(200*time.Millisecond), ShouldEqual, 1)
			So(engine.MaxQueueLength(300*time.Millisecond), ShouldEqual, 2)
			So(engine.MaxQueueLength(400*time.Millisecond), ShouldEqual, 3)
		})
		Convey("no request may wait when the bound is shorter than a pass", func() {
			So(engine.MaxQueueLength(50*time.Millisecond), ShouldEqual, 0)
		})
		Convey("more requests may wait with more slots, since slots free up more often", func() {
			engine.Slots = 48
			So(engine.MaxQueueLength(200*time.Millisecond), ShouldBeBetween, 3, 7)
		})
	})
	Convey("An engine without configured figures allows no queue", t, func() {
		So((&Engine{}).MaxQueueLength(time.Second), ShouldEqual, 0)
	})
}
