package hosted

import (
	"net/http"
	"testing"
	"time"
)

// breaksOffLate breaks a stream off after 15 events, and continues one with the last two.
func breaksOffLate(e *workerExchange) {
	e.stream(1)
	if e.request.Header.Get("Last-Event-Id") != "" {
		e.events(16, 17)
		e.end()
		return
	}
	for id := 1; id <= 15; id++ {
		e.events(id, id)
		<-time.After(300 * time.Millisecond)
	}
	e.Close()
}

// Guards against a stream that breaks off during a planned stop and is not resumed although the rest of it would end
// in time.
func TestStreamIsResumedDuringAPlannedStop(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.put("config", "main", patientConfig)
		for _, id := range []string{"w1", "w2"} {
			s.worker("llm", id, 1, breaksOffLate)
		}
		conn := s.connect()
		stop := s.beginStop(stopGrace)
		stop.wait(time.Second)
		conn.send(requestText(http.MethodPost, "/chat/x", "p", "X-Laburnumgw-Token-Counts", "900, 300", "X-Laburnumgw-Length-Hint", "300"))
		got := conn.receive()
		if got.cut {
			t.Errorf("response %+v", got)
		}
		<-stop.ended
	})
}
