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
		Convey("a request waits for a pass while a slot is free, and then longer for each one ahead of it", func() {
			So(engine.StartWait(0, 11), ShouldEqual, engine.StartWait(0, 0))
			for queued := range 20 {
				wait, longer := engine.StartWait(queued, 12), engine.StartWait(queued+1, 12)
				So(longer, ShouldBeGreaterThan, wait)
				So(engine.MaxQueueLength(longer), ShouldBeGreaterThan, queued)
			}
		})
		Convey("more requests may wait with more slots, since slots free up more often", func() {
			engine.Slots = 48
			So(engine.MaxQueueLength(200*time.Millisecond), ShouldBeBetween, 3, 7)
		})
	})
	Convey("An engine without configured figures allows no queue", t, func() {
		So((&Engine{}).MaxQueueLength(time.Second), ShouldEqual, 0)
		So((&Engine{}).StartWait(5, 5), ShouldEqual, 0)
	})
}
