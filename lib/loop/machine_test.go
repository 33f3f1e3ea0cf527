package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type counter struct {
	ticks []time.Duration
	sum   int
}

func (c *counter) Sum() int { return c.sum }

// Guards against changes that get lost between goroutines, a wake-up that is delayed until
// the due time, and a due time that is treated as a duration to wait.
func TestMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a state machine that is due each second", t, func() {
			machine := New(&counter{})
			ctx, cancel := context.WithCancel(context.Background())
			tick := func() (due time.Duration) {
				machine.Use(func(c *counter, now time.Duration) {
					c.ticks = append(c.ticks, now)
					due = time.Duration(len(c.ticks)) * time.Second
				})
				return due
			}
			ended := make(chan struct{})
			go func() { machine.Run(ctx, tick); close(ended) }()

			Convey("it ticks at the times due, and at once when it is woken", func() {
				<-time.After(2500 * time.Millisecond)
				machine.Wake()
				machine.Wake()
				synctest.Wait()
				var at []time.Duration
				machine.Use(func(c *counter, _ time.Duration) { at = append(at, c.ticks...) })
				So(at[:3], ShouldResemble, []time.Duration{0, time.Second, 2 * time.Second})
				So(len(at), ShouldBeBetweenOrEqual, 4, 5)
				So(at[3], ShouldEqual, 2500*time.Millisecond)
			})
			Convey("changes from many goroutines are all seen", func() {
				done := make(chan struct{})
				for range 100 {
					go func() { machine.Use(func(c *counter, _ time.Duration) { c.sum++ }); done <- struct{}{} }()
				}
				for range 100 {
					<-done
				}
				So(Get(machine, (*counter).Sum), ShouldEqual, 100)
			})
			cancel()
			<-ended
		})
	})
}
