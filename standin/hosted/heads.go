package hosted

import (
	"bytes"
	"net"
	"net/http"
)

// HeadBreaks is how a worker closes connections within the heads of its responses, after it has run the request
// or accepted the order. The zero value closes none.
type HeadBreaks struct {
	// Every is the number of responses of which one is broken off; zero for none.
	Every int
	// Resumed is set to break off responses to resumed streams only.
	Resumed bool
	// Reset has the connection end with a reset instead of an orderly close.
	Reset bool
}

// headStep is the number of bytes by which the place moves at which a head ends. It has no divisor in common with the
// lengths of most heads, so that they end everywhere.
const headStep = 7

// SetHeadBreaks changes how the worker breaks off heads.
func (w *Worker) SetHeadBreaks(b HeadBreaks) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heads = b
}

// HeadsBroken returns the number of responses that ended within their heads.
func (w *Worker) HeadsBroken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headsBroken
}

// breakHead sends a part of the head of a response and closes the connection, if the worker is to. It reports whether
// it did.
func (w *Worker) breakHead(out http.ResponseWriter, status string, resumed bool) bool {
	w.mu.Lock()
	b := w.heads
	due := false
	if b.Every > 0 && (resumed || !b.Resumed) {
		w.headsDue++
		due = w.headsDue%b.Every == 0
	}
	if due {
		w.headsBroken++
	}
	place := w.headsBroken * headStep
	w.mu.Unlock()
	if !due {
		return false
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + status + "\r\n")
	_ = out.Header().Write(&head) // writes to a buffer do not fail
	head.WriteString("Content-Length: 1200\r\n")
	// The write fails only when the caller has disconnected.
	_, _ = conn.Write(head.Bytes()[:place%head.Len()])
	if tcp, ok := conn.(*net.TCPConn); ok && b.Reset {
		_ = tcp.SetLinger(0) // it fails only on a closed connection
	}
	conn.Close()
	return true
}
