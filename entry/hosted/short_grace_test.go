package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an entry that is killed before its planned stop has ended where the grace time is short.
func TestPlannedStopEndsWithinAShortGrace(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, stopGrace, 12 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", patientConfig)
				s.worker("desk", "d1", 0, func(*workerExchange) { <-time.After(2 * time.Minute) })
				running, silent := s.connect(), s.connect()
				running.send(requestText(http.MethodPost, "/book/x", "", deadlineHeader, "120000"))
				stop := s.beginStop(grace)
				stop.wait(grace / 2)
				if got := silent.ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "120000")); got.status != http.StatusServiceUnavailable {
					t.Errorf("late response %+v", got)
				}
				got := running.receive()
				if got.cut || !got.last || got.status != http.StatusBadGateway {
					t.Errorf("response %+v", got)
				}
				if at := time.Since(stop.begun); at < grace*5/6 {
					t.Errorf("ended after %v of the grace time", at)
				}
				if err := <-stop.ended; err != nil || stop.took >= grace {
					t.Errorf("stop after %v: %v", stop.took, err)
				}
			})
		})
	}
}

// Guards against a stop whose steps are out of order, or which ends requests before the last sixth of
// the grace time.
func TestScheduleOfAPlannedStopFitsItsGrace(t *testing.T) {
	now := time.Now()
	for grace := 100 * time.Millisecond; grace <= time.Minute; grace += 100 * time.Millisecond {
		s := stopSchedule(now, grace)
		last := now
		for _, at := range []time.Time{s.Drain, s.RequestsEnd, s.ResponsesEnd, s.ProcessEnd, now.Add(grace)} {
			if !at.After(last) {
				t.Errorf("grace %v: %+v", grace, s)
			}
			last = at
		}
		if end := s.RequestsEnd.Sub(now); end < grace*5/6 {
			t.Errorf("grace %v: requests end after %v", grace, end)
		}
	}
}
