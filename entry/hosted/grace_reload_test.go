package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an entry that is killed before its planned stop has ended, because the grace time was shortened by
// a reload of the settings.
func TestPlannedStopKeepsTheGraceThatWasReloaded(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.put("config", "main", patientConfig)
		s.worker("desk", "d1", 0, func(*workerExchange) { <-time.After(2 * time.Minute) })
		s.front.view.settings.Bounds.Grace = stopGrace
		const grace = 3 * time.Second
		next := *s.front.view.settings
		next.Bounds.Grace = grace
		s.front.view.reconfigure(&next)
		running := s.connect()
		running.send(requestText(http.MethodPost, "/book/x", "", deadlineHeader, "120000"))
		began := time.Now()
		ended := make(chan error, 1)
		go func() { ended <- s.process.stop(s.drain, time.After(leaveWait(grace))) }()
		got := running.receive()
		if err := <-ended; err != nil || time.Since(began) >= grace {
			t.Errorf("stop after %v of %v: %v, response %+v", time.Since(began), grace, err, got)
		}
	})
}
