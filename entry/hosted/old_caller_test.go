package hosted

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
)

// Guards against a stream that is cut and looks complete to a caller of HTTP/1.0: it has no chunks, so that an orderly
// close is its end.
func TestCutStreamDoesNotLookCompleteToAnOldCaller(t *testing.T) {
	for name, c := range map[string]struct {
		scripts []attemptScript
		isCut   bool
	}{
		"whole": {[]attemptScript{wholeStream}, false},
		"cut":   {[]attemptScript{brokenStreams[0], failures[0]}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveAttempts(t, c.scripts...)
			conn, err := net.Dial("tcp", s.entry)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET /chat/x HTTP/1.0\r\nHost: a.example\r\n%s: r1\r\nAuthorization: Token key\r\n%s: 5000\r\n\r\n", idHeader, deadlineHeader)
			raw, err := io.ReadAll(conn)
			if errors.Is(err, syscall.ECONNRESET) != c.isCut {
				t.Errorf("%q, %v", raw, err)
			}
		})
	}
}
