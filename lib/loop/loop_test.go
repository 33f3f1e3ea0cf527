package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a loop that misses a wake-up, and against one that spins when its
// state machine is always due.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Ticks follow the returned time, wake-ups and the shortest wait", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			wake := make(chan struct{}, 1)
			waits := []time.Duration{time.Second, time.Hour, 0, time.Hour}
			started := time.Now()
			var at []time.Duration
			go Run(ctx, wake, func() time.Duration {
				at = append(at, time.Since(started))
				return waits[len(at)-1]
			})
			<-time.After(5 * time.Second)
			wake <- struct{}{}
			<-time.After(time.Second)
			cancel()
			synctest.Wait()
			So(at, ShouldResemble, []time.Duration{0, time.Second, 5 * time.Second, 5*time.Second + minWait})
		})
	})
}
