package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumgw/fleet"
)

// lateConn is the connection of a caller that sends late.
type lateConn struct {
	net.Conn
	t *testing.T
}

func dialEntry(t *testing.T, address string) *lateConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &lateConn{conn, t}
}

func (c *lateConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// begin reads the head of a response.
func (c *lateConn) begin(what string) *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		c.t.Fatalf("%s: %v", what, err)
	}
	return response
}

// expect reads a response, which must be complete, and announce the end of the connection if last is set.
func (c *lateConn) expect(what string, status int, part string, last bool) {
	c.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		c.t.Errorf("%s: %v", what, err)
		return
	}
	c.expectRest(what, response, status, part, last)
}

// expectRest is expect for a response whose head has been read.
func (c *lateConn) expectRest(what string, response *http.Response, status int, part string, last bool) {
	c.t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || response.Close != last || !strings.Contains(string(body), part) {
		c.t.Errorf("%s: status %d, last %v, ends with %q: %v", what, response.StatusCode, response.Close, body[max(0, len(body)-300):], err)
	}
}

func lateChat(tokens int, deadline time.Duration) string { return lateRequest(tokens, true, deadline) }

// lateWholeChat is a chat whose response is sent when it is complete.
func lateWholeChat(tokens int, deadline time.Duration) string {
	return lateRequest(tokens, false, deadline)
}

func lateRequest(tokens int, stream bool, deadline time.Duration) string {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"late"}]}`, model, tokens, stream)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		deadline.Milliseconds(), len(body), body)
}

// Guards against an entry that takes requests late in a planned stop, and exits while they run or while
// their bodies are on the way, without an answer.
func TestStoppingEntryAnswersLateRequests(t *testing.T) {
	const leaveWait, stopTimeout = time.Second, 3 * time.Second
	t.Setenv("LABURNUMGW_LEAVE_WAIT", leaveWait.String())
	t.Setenv("LABURNUMGW_STOP_TIMEOUT", stopTimeout.String())
	w := startSystem(t, 2, 1, 1, 50*time.Millisecond)
	entry := w.Entries[0]
	address := strings.TrimPrefix(entry.HTTP, "http://")
	dial := func() *lateConn { return dialEntry(t, address) }
	running, whole, bodiless, outlasting, fitting := dial(), dial(), dial(), dial(), dial()
	running.send(lateChat(2000, time.Minute))
	// A response whose head is written during the stop announces the end of its connection.
	stream := running.begin("stream at the end")
	whole.send(lateWholeChat(40, time.Minute))
	long := lateChat(10, time.Minute)
	bodiless.send(long[:len(long)-5])
	w.until("the chats run", func() bool { return w.inFlight() >= 2 })
	begun := time.Now()
	exited := make(chan error, 1)
	go func() { exited <- entry.Terminate() }()
	<-time.After(time.Until(begun.Add(leaveWait + 500*time.Millisecond)))
	outlasting.send(long)
	fitting.send(lateChat(5, time.Second))
	outlasting.expect("request that might outlast the entry", http.StatusServiceUnavailable, `"run":"no"`, true)
	fitting.expect("request that ends in time", http.StatusOK, "[DONE]", true)
	bodiless.expect("request without its body", http.StatusServiceUnavailable, `"run":"no"`, true)
	whole.expect("response that begins during the stop", http.StatusOK, `"finish_reason":"stop"`, true)
	running.expectRest("stream at the end", stream, http.StatusOK, "event: error", false)
	if err := <-exited; err != nil || time.Since(begun) > leaveWait+stopTimeout+time.Second {
		t.Errorf("entry exited after %v: %v", time.Since(begun), err)
	}
}

// Guards against an endpoint process that exits while a booking runs, without a record of its outcome
// and with the shards of its journal still held.
func TestStoppingEndpointProcessRecordsRunningBookings(t *testing.T) {
	const stopTimeout = 5 * time.Second
	t.Setenv("LABURNUMGW_STOP_TIMEOUT", stopTimeout.String())
	w := startSystem(t, 1, 1, 1, 5*time.Millisecond)
	w.book("before", "monday")
	if err := w.Backends[0].Terminate(); err != nil {
		t.Log(err)
	}
	w.Backends[0].AddArgs("--delay=1m")
	if err := w.Backends[0].Start(); err != nil {
		t.Fatal(err)
	}
	w.until("the service has started", func() bool {
		var runs map[string]int
		return fleet.GetJSON(w.context(), w.Backends[0].HTTP+"/admin/runs", &runs) == nil
	})
	type answer struct {
		response fleet.Response
		err      error
	}
	answered := make(chan answer, 1)
	go func() {
		response, err := fleet.Book(w.context(), w.Entries[0], service, "running", "tuesday")
		answered <- answer{response, err}
	}()
	w.until("the booking runs", func() bool { return w.runs()["running"] > 0 })
	begun := time.Now()
	process := w.Endpoints[len(w.Engines)]
	if err := process.Terminate(); err != nil || time.Since(begun) > stopTimeout+3*time.Second {
		t.Errorf("endpoint process exited after %v: %v", time.Since(begun), err)
	}
	if got := <-answered; got.err != nil || got.response.ErrorKind != "outcome_unknown" {
		t.Errorf("running booking: status %d kind %q, %v", got.response.Status, got.response.ErrorKind, got.err)
	}
}
