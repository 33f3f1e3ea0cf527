package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

// Guards against repeats of refused requests that take so much of the capacity under overload that most
// first attempts are refused: with one repeat each, 46 to 49 of 100 began at the first attempt at 1.35
// times the capacity, instead of 74.
func TestFirstAttemptsGoBeforeRepeatsUnderOverload(t *testing.T) {
	for _, fleet := range []struct{ entries, engines int }{{8, 24}, {35, 52}, {149, 138}} {
		for seed := range uint64(3) {
			Convey(fmt.Sprintf("Given %d entries before %d engines at 1.35 times what they sustain (seed %d)", fleet.entries, fleet.engines, seed), t, func() {
				s := newSimulation(fleet.entries, fleet.engines, 1.35)
				s.rng = rand.New(rand.NewPCG(seed, 2))
				s.run()
				Convey("first attempts begin more than half as often as below the capacity", func() {
					sent, asked := s.kept.sent+s.fresh.sent, s.kept.asked+s.fresh.asked
					So(float64(sent), ShouldBeGreaterThan, 0.5*float64(asked))
				})
				Convey("the engines stay busy", func() {
					So(float64(s.inTime+s.late), ShouldBeGreaterThan, 0.9*s.sustainable())
				})
			})
		}
	}
}

// Guards against callers that open a connection for each request and are taken for repeats: they keep
// half of the chance of others under overload, and all of it without one.
func TestPossibleRepeatsAreServed(t *testing.T) {
	Convey("Given an engine that 4 entries share", t, func() {
		table := newEngineTable(1, Settings{QueueLength: 2, Senders: 4, RetryAfter: 300 * time.Millisecond, FullRetryAfter: 50 * time.Millisecond})
		sequence := uint64(1)
		report := func(inFlight int32) {
			sequence++
			table.ReportReceived(&laburnumgwv1.ReportRequest{
				Vm: "vm0", Zone: "a", Region: "r1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Sequence: sequence,
				Load: &laburnumgwv1.Load{Limit: 12, InFlight: inFlight}, Serving: map[string]string{"m": "1"},
			}, epoch)
		}
		refused := func(r *Request) bool {
			_, err := table.Pick(r, epoch)
			return err != nil
		}
		Convey("possible repeats are served while first attempts are", func() {
			report(0)
			for range 200 {
				So(refused(&Request{Model: "m"}), ShouldBeFalse)
				So(refused(&Request{Model: "m", MayRepeat: true}), ShouldBeFalse)
			}
		})
		Convey("after first attempts were refused", func() {
			report(14)
			for range 500 {
				So(refused(&Request{Model: "m"}), ShouldBeTrue)
			}
			report(0)
			Convey("a possible repeat is refused half of the time, although the engine has room", func() {
				count := 0
				for range 1000 {
					if refused(&Request{Model: "m", MayRepeat: true}) {
						count++
					}
				}
				So(count, ShouldBeBetween, 440, 560)
			})
			Convey("the refusal names the reason, and its caller may return soon", func() {
				var err error
				for tries := 0; err == nil && tries < 100; tries++ {
					_, err = table.Pick(&Request{Model: "m", MayRepeat: true}, epoch)
				}
				var cause *NoEndpointError
				So(errors.As(err, &cause), ShouldBeTrue)
				So(cause.Count(FilterYield), ShouldEqual, 1)
				var typed *errkind.Error
				So(errors.As(err, &typed), ShouldBeTrue)
				So(typed.RetryAfter, ShouldEqual, 50*time.Millisecond)
			})
			Convey("possible repeats are served again once first attempts are", func() {
				for range 500 {
					So(refused(&Request{Model: "m"}), ShouldBeFalse)
				}
				for range 200 {
					So(refused(&Request{Model: "m", MayRepeat: true}), ShouldBeFalse)
				}
			})
		})
	})
	Convey("Entries that share no capacity refuse no possible repeats", t, func() {
		table := newEngineTable(1, Settings{QueueLength: 2})
		table.yield.refused = 1
		for range 200 {
			_, err := table.Pick(&Request{Model: "m", MayRepeat: true}, epoch)
			So(err, ShouldBeNil)
		}
	})
}
