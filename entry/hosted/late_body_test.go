package hosted

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// slowClearConn is a connection on which it takes a while to clear a read deadline, as on a busy machine.
type slowClearConn struct {
	net.Conn
	takes time.Duration
}

// SetReadDeadline implements net.Conn.
func (c slowClearConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		<-time.After(c.takes)
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // passes on the error of the connection
}

// Guards against requests that are cut, without an answer, because the read deadline of a body passed just after its
// end: the server reads on in the background, and takes the deadline for a caller that has left.
func TestBodyThatEndsAtItsDeadlineCutsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		target string
		end    time.Duration
		status []int
	}{
		"refused": {"/none/x", unreadBodyWait, []int{http.StatusNotFound}},
		"served":  {"/view/x", 900 * time.Millisecond, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.worker("desk", "d1", 0, done)
				caller := s.connectThrough(func(conn net.Conn) net.Conn { return slowClearConn{conn, time.Millisecond} })
				request := requestText(http.MethodPost, c.target, "body", deadlineHeader, "900")
				// Clearing the deadline of the header takes a millisecond, too.
				caller.send(request[:len(request)-1])
				<-time.After(c.end + time.Millisecond - 500*time.Microsecond)
				got := caller.ask(request[len(request)-1:])
				if got.cut || !slices.Contains(c.status, got.status) {
					t.Errorf("response %+v, want %v", got, c.status)
				}
				if got.last {
					return
				}
				if next := caller.ask(requestText(http.MethodPost, "/view/x", "b", deadlineHeader, "900")); next.cut || next.status != http.StatusOK {
					t.Errorf("next response %+v", next)
				}
			})
		})
	}
}
