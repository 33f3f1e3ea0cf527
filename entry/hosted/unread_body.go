package hosted

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// unreadBodyWait is how long a refusal waits for the rest of a body, which has mostly arrived
	// already, so that the connection can be kept. maxUnreadBody is how much of it is read.
	unreadBodyWait = 50 * time.Millisecond
	maxUnreadBody  = 256 << 10
	// unreadBodyLinger is how long the connection stays open after a refusal whose body has not
	// arrived, so that the caller gets to read the refusal.
	unreadBodyLinger = 500 * time.Millisecond
)

// endUnreadBody is called before a refusal. The server would read the rest of the body, without a
// deadline, before it sends a response on a connection that is kept. When the rest does not arrive at once,
// the connection is closed after the response instead.
func endUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// A connection without deadlines is closed already.
	control := http.NewResponseController(w)
	// A read would invite the body of a caller that waits for "100 Continue".
	waits := r.Header.Get("Expect") != ""
	if w.Header().Get("Connection") != "close" && r.ContentLength <= maxUnreadBody && !waits {
		_ = control.SetReadDeadline(time.Now().Add(unreadBodyWait))
		if _, err := io.CopyN(io.Discard, r.Body, maxUnreadBody+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyLinger))
}
