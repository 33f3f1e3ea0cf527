package hosted

import (
	"net/http"
	"testing"
)

// Guards against a refusal that invites the body of its request first: callers that wait for "100 Continue" before they
// send a body sent one that nobody reads.
func TestRefusalInvitesNoBody(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "d1", 0, done)
		got := s.connect().ask("POST /none/x HTTP/1.1\r\nHost: a.example\r\n" + idHeader + ": r1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		if got.cut || got.status != http.StatusNotFound || !got.last {
			t.Errorf("response %+v", got)
		}
	})
}
