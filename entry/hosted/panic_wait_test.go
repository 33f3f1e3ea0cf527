package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a worker that gets no requests before the bound of its weights for as long as it lives, because the
// handler of a request to it has panicked.
func TestPanicLeavesNoRequestWaitingAtItsWorker(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		buffers := s.front.buffers
		s.front.buffers = nil
		s.worker("llm", "w1", 1, func(e *workerExchange) { e.complete(http.StatusNotFound, "x") })
		got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p"))
		s.front.buffers = buffers
		if got.status != http.StatusBadGateway {
			t.Fatalf("response %+v", got)
		}
		s.worker("llm", "w1", 1, streamScript(1))
		<-time.After(time.Minute)
		s.version(2)
		<-time.After(time.Second)
		if got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p")); got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
		view := s.front.view
		view.mu.Lock()
		defer view.mu.Unlock()
		if expected := view.workers["w1"].waits.Expected(time.Now()); expected > time.Second {
			t.Errorf("requests are expected to wait for %v", expected)
		}
	})
}
