package soak

import (
	"errors"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// failing is a network that answers no request.
type failing struct{}

// RoundTrip implements http.RoundTripper.
func (failing) RoundTrip(*http.Request) (*http.Response, error) { return nil, errors.New("no network") }

// Guards against outcomes without an end, with which every check of a time passes.
func TestOutcomeHasAnEnd(t *testing.T) {
	Convey("A request that fails has a start and a later end", t, func() {
		c := &Callers{client: &http.Client{Transport: failing{}}}
		outcome := c.ask(&Process{fleet: &Fleet{}}, "chat", "r1")
		So(outcome.Err, ShouldNotBeNil)
		So(outcome.Ended, ShouldHappenOnOrAfter, outcome.Sent)
	})
}

// Guards against checks that no run can fail.
func TestChecksFail(t *testing.T) {
	Convey("Given 100 requests, the second half of them beside a fault", t, func() {
		start := time.Unix(1_000_000, 0)
		r := &run{fleet: &Fleet{}, windows: []window{{start.Add(50 * time.Second), start.Add(200 * time.Second)}}}
		outcomes := make([]Outcome, 100)
		for i := range outcomes {
			sent := start.Add(time.Duration(i) * time.Second)
			outcomes[i] = Outcome{Sent: sent, Ended: sent.Add(100 * time.Millisecond), Status: http.StatusOK}
		}
		broken := func() int {
			r.check(outcomes)
			return len(r.result.Violations)
		}
		Convey("all served keep every promise", func() { So(broken(), ShouldEqual, 0) })
		Convey("failures beside the fault keep it as well", func() {
			for i := 51; i < 100; i++ {
				outcomes[i].Status = http.StatusServiceUnavailable
			}
			So(broken(), ShouldEqual, 0)
		})
		Convey("a failure in 50 calm requests is allowed, two are not", func() {
			outcomes[3].Status = http.StatusServiceUnavailable
			So(broken(), ShouldEqual, 0)
			outcomes[4].Status = http.StatusServiceUnavailable
			So(broken(), ShouldEqual, 1)
		})
		Convey("refused connections of an entry that restarts as planned are allowed, its answers are not", func() {
			r.stops = map[string][]window{"front-0": {{start, start.Add(20 * time.Second)}}}
			for i := range 10 {
				outcomes[i].Entry, outcomes[i].Status, outcomes[i].Err = "front-0", 0, syscall.ECONNREFUSED
			}
			So(broken(), ShouldEqual, 0)
			for i := range 10 {
				outcomes[i].Status, outcomes[i].Err = http.StatusServiceUnavailable, nil
			}
			So(broken(), ShouldEqual, 1)
		})
		Convey("an answer later than a request may take is not", func() {
			outcomes[3].Ended = outcomes[3].Sent.Add(longestAnswer + time.Second)
			So(broken(), ShouldEqual, 1)
		})
		Convey("a run without a calm request shows nothing", func() {
			r.windows[0].from = start.Add(-time.Second)
			So(broken(), ShouldEqual, 1)
		})
	})
}
