package timelimit_test

import (
	"testing"
	"time"

	"laburnumgw/lib/timelimit"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// stopping returns a stop that drains from 2 s on and ends requests after 7 s.
func stopping(phase timelimit.Phase) *timelimit.Shutdown {
	s := new(timelimit.Shutdown)
	if phase != timelimit.Serving {
		s.Begin(timelimit.Schedule{Drain: at(2000), RequestsEnd: at(7000), ProcessEnd: at(7500)})
	}
	if phase == timelimit.Draining {
		s.Drain()
	}
	return s
}

// Guards against parts of an entry that disagree on the end of a request: the earliest limit counts,
// and a stop counts from its beginning on.
func TestEndOfARequestIsItsEarliestLimit(t *testing.T) {
	for _, c := range []struct {
		shutdown *timelimit.Shutdown
		deadline int
		end      int
		cause    timelimit.Cause
	}{
		{nil, 9000, 9000, timelimit.Budget},
		{stopping(timelimit.Serving), 9000, 9000, timelimit.Budget},
		{stopping(timelimit.Leaving), 9000, 7000, timelimit.Stop},
		{stopping(timelimit.Leaving), 7000, 7000, timelimit.Budget},
		{stopping(timelimit.Draining), 6999, 6999, timelimit.Budget},
		{stopping(timelimit.Draining), 7001, 7000, timelimit.Stop},
	} {
		limits := timelimit.Limits{Deadline: at(c.deadline), Shutdown: c.shutdown}
		if end, cause := limits.End(); !end.Equal(at(c.end)) || cause != c.cause {
			t.Errorf("%+v ends at %v by %s", c, end.Sub(start), cause)
		}
		if left := limits.Left(at(1000)); left != at(c.end).Sub(at(1000)) {
			t.Errorf("%+v has %v left", c, left)
		}
		if by := limits.StartBy(time.Time{}); !by.Equal(at(c.end)) {
			t.Errorf("%+v begins by %v", c, by.Sub(start))
		}
		if by := limits.StartBy(at(3000)); !by.Equal(at(3000)) {
			t.Errorf("%+v with a bound begins by %v", c, by.Sub(start))
		}
		if by := limits.StartBy(at(9500)); !by.Equal(at(c.end)) {
			t.Errorf("%+v with a late bound begins by %v", c, by.Sub(start))
		}
	}
	s := stopping(timelimit.Serving)
	limits := timelimit.Limits{Shutdown: s}
	if end, _ := limits.End(); !end.IsZero() || s.IsStopping() {
		t.Errorf("request without limits ends at %v", end)
	}
	s.Begin(timelimit.Schedule{RequestsEnd: at(7000)})
	if end, cause := limits.End(); !end.Equal(at(7000)) || cause != timelimit.Stop || !s.IsStopping() {
		t.Errorf("request without a budget ends at %v by %s", end, cause)
	}
}

// Guards against a request that is accepted late in a planned stop and cut at its end.
func TestRequestIsAdmittedOnlyIfItCanEnd(t *testing.T) {
	for _, c := range []struct {
		phase             timelimit.Phase
		now, budget, work int
		fits, admits      bool
	}{
		{timelimit.Serving, 6900, 6000, 5000, true, true},
		{timelimit.Leaving, 1000, 6000, 6000, true, true},
		{timelimit.Leaving, 1500, 6000, 6000, false, false},
		{timelimit.Leaving, 1500, 6000, 5500, true, true},
		{timelimit.Leaving, 1500, 5500, 9000, true, true},
		{timelimit.Draining, 2500, 6000, 100, true, false},
		{timelimit.Draining, 2500, 4500, 100, true, true},
		{timelimit.Draining, 6900, 2500, 200, false, false},
		{timelimit.Draining, 7100, 2500, 0, false, false},
	} {
		limits := timelimit.Limits{Deadline: at(c.now + c.budget), Shutdown: stopping(c.phase)}
		work := time.Duration(c.work) * time.Millisecond
		if fits := limits.Fits(at(c.now), work); fits != c.fits {
			t.Errorf("%+v fits: %v", c, fits)
		}
		if admits := limits.Admits(at(c.now), work); admits != c.admits {
			t.Errorf("%+v is admitted: %v", c, admits)
		}
	}
}
