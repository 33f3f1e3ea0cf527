package hosted

import (
	"net/http"
	"testing"

	"laburnumgw/lib/quarantine"
)

// Guards against a closed connection in place of an answer when the handler of a request panics, and
// against an entry that hangs since the panic left a lock held.
func TestPanicOfTheHandlerIsAnswered(t *testing.T) {
	t.Run("before the answer", func(t *testing.T) {
		withCallers(t, func(t *testing.T, s *callerServer) {
			s.worker("desk", "d1", 0, done)
			conn := s.connect()
			buffers := s.front.buffers
			s.front.buffers = nil
			got := conn.ask(requestText(http.MethodPost, "/book/x", "b"))
			if got.cut || got.status != http.StatusBadGateway || got.header.Get(sealHeader) != "" || got.header.Get(idHeader) != "r1" {
				t.Errorf("response %+v", got)
			}
			s.front.buffers = buffers
			if got := s.connect().ask(requestText(http.MethodPost, "/book/x", "b")); got.status != http.StatusOK {
				t.Errorf("next response %+v", got)
			}
			if n := s.front.metrics.panics.Get(); n != 1 {
				t.Errorf("%d panics counted", n)
			}
		})
	})
	t.Run("within a stream", func(t *testing.T) {
		withCallers(t, func(t *testing.T, s *callerServer) {
			view := s.front.view
			tracker := view.quarantine
			setQuarantine := func(next *quarantine.Tracker) {
				view.mu.Lock()
				defer view.mu.Unlock()
				view.quarantine = next
			}
			s.worker("llm", "w1", 1, func(e *workerExchange) {
				e.stream(1)
				setQuarantine(nil) // is used after the first event
				e.events(1, 1)
			})
			got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000", prefixHeader, "aa:9,cc:1"))
			setQuarantine(tracker)
			if !got.cut || got.body != events(1, 1) || s.front.metrics.cutResponse("panic").Get() != 1 {
				t.Errorf("response %+v", got)
			}
			s.worker("llm", "w1", 1, streamsWhole)
			if got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")); got.body != events(1, 3) {
				t.Errorf("next response %+v", got)
			}
		})
	})
}

// Guards against an entry that hangs since a panic left a lock held: the next requests, or all of a service, waited
// for ever.
func TestPanicLeavesNoLockHeld(t *testing.T) {
	for name, fail := range map[string]func(v *view) (restore func()){
		"limits": func(v *view) func() {
			limits := v.limits
			v.limits = nil
			return func() { v.limits = limits }
		},
		"departures": func(v *view) func() {
			departures := v.departures
			v.departures = nil
			return func() { v.departures = departures }
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				var restore func()
				s.worker("desk", "d1", 0, func(e *workerExchange) {
					if restore == nil {
						restore = fail(s.front.view)
					}
					e.head(http.StatusOK, sealHeader, "seal", leavingHeader, "1", "Content-Length", "0")
				})
				if got := s.connect().ask(requestText(http.MethodPost, "/book/x", "b")); got.status != http.StatusBadGateway {
					t.Errorf("response %+v", got)
				}
				restore()
				if !s.front.view.mu.TryLock() {
					t.Fatal("the lock of the view is held")
				}
				s.front.view.mu.Unlock()
			})
		})
	}
}
