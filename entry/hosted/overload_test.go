package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumgw/lib/catalog"
)

// Guards against repeats that are taken for first attempts, and first attempts for repeats: callers
// repeat refused requests on new connections, so that a request on a kept one is a first attempt.
func TestKeptConnectionsGoBeforeNewOnesUnderOverload(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		logs := s.observe()
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			e.stream(1)
			e.events(1, 2)
			e.end()
		})
		sequence := uint64(0)
		report := func(running int) {
			sequence++
			s.front.view.applyReport(workerAddress("w1"), sequence, catalog.Report{
				StartedAtMs: 1, Running: running, Weights: catalog.Weights{Model: "m", Version: 1, To: 16},
			})
		}
		request := requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
		kept := s.connect()
		if got := kept.ask(request); got.status != http.StatusOK {
			t.Fatalf("first request: %+v", got)
		}
		report(60)
		for range 200 {
			if got := kept.ask(request); got.status != http.StatusServiceUnavailable {
				t.Fatalf("full worker: %+v", got)
			}
		}
		refused := 0
		for range 40 {
			// The worker's share of arrivals allows more.
			<-time.After(200 * time.Millisecond)
			report(0)
			if got := s.connect().ask(request); got.status != http.StatusOK {
				refused++
			}
			report(0)
			if got := kept.ask(request); got.status != http.StatusOK {
				t.Fatalf("request on a kept connection: %+v", got)
			}
		}
		if refused < 5 {
			t.Errorf("%d of 40 requests on new connections yielded", refused)
		}
		named := 0
		for _, line := range logs.FilterMessage("no endpoint chosen").All() {
			if err, _ := line.ContextMap()["error"].(string); strings.Contains(err, "1 yields_to_first_attempts") {
				named++
			}
		}
		if named != refused {
			t.Errorf("%d refusals name the reason, of %d", named, refused)
		}
	})
}
