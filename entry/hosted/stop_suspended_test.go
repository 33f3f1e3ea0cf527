package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an entry that is killed before its planned stop has ended, because its machine was suspended
// meanwhile: the clock of the stop stands still, that of the platform does not.
func TestPlannedStopEndsWithinItsGraceAfterASuspension(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.put("config", "main", patientConfig)
		s.worker("desk", "d1", 0, func(*workerExchange) { <-time.After(2 * time.Minute) })
		running := s.connect()
		running.send(requestText(http.MethodPost, "/book/x", "", deadlineHeader, "120000"))
		stop := s.beginStop(stopGrace)
		stop.wait(3 * time.Second)
		const suspended = 2 * time.Second
		s.front.view.handleSuspension(suspended)
		got := running.receive()
		if err := <-stop.ended; err != nil || stop.took+suspended >= stopGrace {
			t.Errorf("stop after %v of %v: %v, response %+v", stop.took+suspended, stopGrace, err, got)
		}
	})
}
