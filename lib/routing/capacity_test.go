package routing

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

func TestRefusalsForWantOfRoom(t *testing.T) {
	settings := Settings{QueueLength: 2, RetryAfter: 300 * time.Millisecond, FullRetryAfter: 50 * time.Millisecond}
	refusal := func(table *Table) time.Duration {
		_, err := table.Pick(&Request{Model: "m"}, day)
		var typed *errkind.Error
		So(errors.As(err, &typed), ShouldBeTrue)
		return typed.RetryAfter
	}
	Convey("Given an engine that is full", t, func() {
		table := engines(1, settings)
		table.ReportReceived(&laburnumgwv1.ReportRequest{
			Vm: "vm0", Zone: "a", Region: "r1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Sequence: 2,
			Load: &laburnumgwv1.Load{Limit: 12, InFlight: 14}, Serving: map[string]string{"m": "1"},
		}, day)
		Convey("a caller may come back soon, since places free all the time", func() {
			So(refusal(table), ShouldEqual, 50*time.Millisecond)
		})
		Convey("it may not while the engine asks for a pause", func() {
			table.SetPaused("vm0", day.Add(2*time.Second))
			So(refusal(table), ShouldEqual, 2*time.Second)
		})
	})
	// Guards against callers that use up their one return while engines read the prompts of those
	// before them: after all processes were killed 745 requests were refused in 2 s where 438 had.
	Convey("Given an engine that reads a prompt of this entry", t, func() {
		settings.MaxWaitingPromptTokens = 1000
		table := engines(1, settings)
		request := &Request{Model: "m", PromptTokens: 900}
		decision, err := table.Pick(request, day)
		So(err, ShouldBeNil)
		table.AttemptSent(decision, request, day)
		Convey("a caller waits longer, as prompts take longer than places", func() {
			_, err := table.Pick(request, day)
			var typed *errkind.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.RetryAfter, ShouldEqual, 300*time.Millisecond)
		})
	})
	Convey("Without an engine that serves the request a caller waits longer", t, func() {
		So(refusal(engines(0, settings)), ShouldEqual, 300*time.Millisecond)
	})
}

func TestRoomIsSharedAsPlacesAreTaken(t *testing.T) {
	Convey("Given an engine with 4 senders", t, func() {
		table := engines(1, Settings{QueueLength: 2, Senders: 4})
		sequence := uint64(1)
		report := func(taken int32) {
			sequence++
			table.ReportReceived(&laburnumgwv1.ReportRequest{
				Vm: "vm0", Zone: "a", Region: "r1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1}, Sequence: sequence,
				Load: &laburnumgwv1.Load{Limit: 12, InFlight: taken}, Serving: map[string]string{"m": "1"},
			}, day)
			table.ShareFreeCapacity("vm0")
		}
		// sent returns the requests that follow a report until the first refusal.
		sent := func(taken int32) int {
			report(taken)
			var attempts []Attempt
			for {
				request := &Request{Model: "m"}
				decision, err := table.Pick(request, day)
				if err != nil {
					break
				}
				attempts = append(attempts, table.AttemptSent(decision, request, day))
			}
			for _, a := range attempts {
				table.AttemptFinished(a, Result{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}, day)
			}
			return len(attempts)
		}
		Convey("one alone may fill it while half of the places are free", func() {
			So(sent(4), ShouldEqual, 10)
		})
		Convey("each takes a quarter of what is left once it is full", func() {
			for range 200 {
				report(12)
			}
			sum := 0
			for range 400 {
				sum += sent(12)
			}
			So(sum, ShouldBeBetween, 150, 250)
		})
	})
}
