package hosted

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// stopGrace is the time from SIGTERM to SIGKILL in the tests of a planned stop.
const stopGrace = 8 * time.Second

// plannedStop is a planned stop in virtual time.
type plannedStop struct {
	begun time.Time
	// ended delivers the result of the stop, and took how long it took.
	ended chan error
	took  time.Duration
}

// beginStop begins a planned stop.
func (s *callerServer) beginStop(grace time.Duration) *plannedStop {
	s.front.view.settings.Bounds.Grace = grace
	p := &plannedStop{begun: time.Now(), ended: make(chan error, 1)}
	go func() {
		err := s.process.stop(s.drain, time.After(leaveWait))
		p.took = time.Since(p.begun)
		p.ended <- err
	}()
	return p
}

// wait waits until some time after the begin of the stop.
func (p *plannedStop) wait(since time.Duration) { <-time.After(time.Until(p.begun.Add(since))) }

// Guards against a worker that is told of more time than the entry has left: a forwarded time budget
// ends with the planned stop of the entry, in first attempts and in repeats.
func TestForwardedTimeBudgetEndsWithThePlannedStop(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		for _, id := range []string{"w1", "w2"} {
			s.worker("llm", id, 1, func(e *workerExchange) {
				if len(s.arrived()) == 1 {
					e.crash()
					return
				}
				e.stream(1)
				e.events(0, 3)
				e.end()
			})
		}
		conn := s.connect()
		stop := s.beginStop(stopGrace)
		stop.wait(2 * time.Second)
		if got := conn.ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")); got.status != http.StatusOK || got.cut {
			t.Errorf("response %+v", got)
		}
		arrived := s.arrived()
		if len(arrived) != 2 {
			t.Fatalf("%d attempts", len(arrived))
		}
		for _, a := range arrived {
			ms, err := strconv.Atoi(a.header.Get(deadlineHeader))
			if end := a.at.Add(time.Duration(ms) * time.Millisecond).Sub(stop.begun); err != nil || end > stopGrace-stopMargin {
				t.Errorf("worker %s may work until %v of the grace: %v", a.worker, end, err)
			}
		}
		if err := <-stop.ended; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
}
