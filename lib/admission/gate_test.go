package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/lib/errkind"
)

// Guards against a planned stop that cuts off running requests or lets queued ones
// wait until their deadlines.
func TestDrainWaitsForRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A drain during work", t, func() {
			gate := NewGate(Config{Limits: Limits{ColdInFlight: 2, WarmInFlight: 2, QueueLength: 2}})
			ctx := context.Background()
			first, err := gate.Acquire(ctx, Request{ID: "a", Workspace: "w"})
			So(err, ShouldBeNil)
			second, err := gate.Acquire(ctx, Request{ID: "a", Workspace: "w"})
			So(err, ShouldBeNil)
			queuedErr := make(chan error, 1)
			go func() {
				_, err := gate.Acquire(ctx, Request{ID: "c", Workspace: "w"})
				queuedErr <- err
			}()
			synctest.Wait()
			drained := make(chan error, 1)
			go func() { drained <- gate.Drain(ctx) }()
			synctest.Wait()
			So(len(drained), ShouldEqual, 0)
			So(errkind.Is(<-queuedErr, errkind.NotRun), ShouldBeTrue)
			_, err = gate.Acquire(ctx, Request{ID: "d", Workspace: "w"})
			So(errkind.Is(err, errkind.NotRun), ShouldBeTrue)
			first(Succeeded)
			first(Succeeded)
			synctest.Wait()
			So(len(drained), ShouldEqual, 0)
			second(Succeeded)
			So(<-drained, ShouldBeNil)
		})
	})
}

// Guards against slots that stay occupied after their callers disconnected, and against
// queued requests that wait beyond the time left for queueing.
func TestDisconnectAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("One queued caller disconnects, another request expires, a third one runs", t, func() {
			gate := NewGate(Config{Limits: Limits{ColdInFlight: 1, WarmInFlight: 1, QueueLength: 4}})
			release, err := gate.Acquire(context.Background(), Request{ID: "a", Workspace: "w"})
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = gate.Acquire(ctx, Request{ID: "b", Workspace: "w"})
			So(errkind.Is(err, errkind.NotRun), ShouldBeTrue)
			start := time.Now()
			_, err = gate.Acquire(context.Background(),
				Request{ID: "c", Workspace: "w", Deadline: start.Add(10 * time.Second)})
			So(errkind.Is(err, errkind.NotRun), ShouldBeTrue)
			So(time.Since(start), ShouldEqual, 4*time.Second)
			go release(Succeeded)
			release, err = gate.Acquire(context.Background(), Request{ID: "d", Workspace: "w"})
			So(err, ShouldBeNil)
			release(Succeeded)
			So(gate.Load().InFlight+gate.Load().Queued, ShouldEqual, 0)
		})
	})
}
