package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallKind is the kind of a call to a worker.
type CallKind uint8

// Kinds of calls.
const (
	// CallRequest is a request of a caller. Of the faults, only Endless applies to it.
	CallRequest CallKind = iota
	CallReport
	CallOrder
	CallStage
	CallStaged
)

// Call is a call to a worker.
type Call struct {
	Kind CallKind
	// Piece is the index of the piece of CallStage and CallStaged.
	Piece int
	// Version is the version that CallOrder names, or of whose bytes CallStage is; zero if they are of none.
	Version int
}

// Repeat is when a response is written once more.
type Repeat uint8

// Times at which a response is written once more.
const (
	RepeatNever Repeat = iota
	RepeatAtOnce
	// RepeatAtNextCall writes it as the response to the next call on the connection.
	RepeatAtNextCall
)

// Endless is the part of a response that has no end.
type Endless uint8

// Parts of a response that have no end.
const (
	EndlessNone Endless = iota
	EndlessInHead
	EndlessInBody
)

// CallFault is how a call goes wrong. With the zero value it does not.
type CallFault struct {
	// Late is the time after which the worker executes the call, also if it was closed meanwhile. Calls on other
	// connections go on.
	Late time.Duration
	// Until has the worker execute the call when the channel is closed, also if the call was closed before.
	Until <-chan struct{}
	// Silent is how long the whole worker falls silent before it executes the call.
	Silent time.Duration
	// SpoiltAfter is the time after which a piece that was staged turns bad; zero for never.
	SpoiltAfter time.Duration
	// Lost has the connection closed in place of the response.
	Lost    bool
	Repeat  Repeat
	Endless Endless
	// Answered is called when the response was written.
	Answered func()
}

// Empty reports whether the call goes well.
func (f CallFault) Empty() bool {
	return f.Late+f.Silent+f.SpoiltAfter == 0 && f.Until == nil && !f.Lost && f.Repeat == RepeatNever && f.Endless == EndlessNone && f.Answered == nil
}

// OnCall sets a function that returns how each call goes wrong. It is called before the call is executed.
func (w *Worker) OnCall(f func(Call) CallFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = f
}

func (w *Worker) faultOf(call Call) CallFault {
	w.mu.Lock()
	onCall := w.onCall
	w.mu.Unlock()
	if onCall == nil {
		return CallFault{}
	}
	return onCall(call)
}

// controlCall returns the call that a request of the endpoint process is, or false for one of a caller.
func controlCall(r *http.Request) (Call, bool) {
	index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
	switch {
	case r.URL.Path == "/-/report":
		return Call{Kind: CallReport}, true
	case r.URL.Path == "/-/order":
		return Call{Kind: CallOrder}, true
	case strings.HasPrefix(r.URL.Path, "/-/stage-put/"):
		return Call{Kind: CallStage, Piece: index}, true
	case strings.HasPrefix(r.URL.Path, "/-/stage-get/"):
		return Call{Kind: CallStaged, Piece: index}, true
	}
	return Call{}, false
}

// newestVersion bounds the versions to which staged bytes are assigned.
const newestVersion = 64

// versionOf returns the version of which a piece is, or zero.
func (m Model) versionOf(index int, data []byte) int {
	for version := 1; version <= newestVersion; version++ {
		if bytes.Equal(data, m.Chunk(version, index)) {
			return version
		}
	}
	return 0
}

// serveCall executes a call of the endpoint process, with its fault, and responds to it.
func (w *Worker) serveCall(out http.ResponseWriter, r *http.Request, call Call) {
	w.awaitProgress()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has disconnected before the end of its call
	}
	var o order
	if call.Kind == CallOrder {
		if err := json.Unmarshal(body, &o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		call.Version = o.Version
	}
	if call.Kind == CallStage {
		call.Version = w.Model.versionOf(call.Piece, body)
	}
	fault := w.faultOf(call)
	if fault.Until != nil {
		<-fault.Until
	}
	if fault.Silent > 0 {
		w.Silence(fault.Silent)
		time.Sleep(fault.Silent)
	}
	time.Sleep(fault.Late)
	status, content := http.StatusOK, []byte(nil)
	switch call.Kind {
	case CallReport:
		if w.awaitSilence(r.Context()) != nil {
			return
		}
		content = encodeState(w.state())
	case CallOrder:
		status = w.accept(o)
	case CallStage:
		time.Sleep(w.StoreTime)
		w.store(call.Piece, body)
		if fault.SpoiltAfter > 0 {
			time.AfterFunc(fault.SpoiltAfter, func() { w.Spoil(call.Piece) })
		}
	case CallStaged:
		status, content = w.staged(call.Piece)
	}
	if (call.Kind == CallReport || call.Kind == CallOrder) && w.breakHead(out, fmt.Sprint(status, " ", http.StatusText(status)), false) {
		return
	}
	w.respondToCall(out, fault, status, content)
}

func encodeState(state map[string]any) []byte {
	data, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}

// staged returns the response to a call for a staged piece.
func (w *Worker) staged(index int) (status int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.weights.staged[index]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, p.data
}

// respondToCall sends a response in the way that the fault requires.
func (w *Worker) respondToCall(out http.ResponseWriter, fault CallFault, status int, content []byte) {
	switch {
	case fault.Lost:
		panic(http.ErrAbortHandler)
	case fault.Endless != EndlessNone:
		sendWithoutEnd(out, fault.Endless)
		return
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if len(content) > 0 && content[0] == '{' {
		out.Header().Set("Content-Type", "application/json")
	}
	if fault.Repeat != RepeatNever {
		w.respondAgain(out, fault.Repeat, status, content)
		return
	}
	out.WriteHeader(status)
	// The write and the flush fail only when the caller has disconnected.
	_, _ = out.Write(content)
	if fault.Answered != nil {
		_ = http.NewResponseController(out).Flush()
		fault.Answered()
	}
}

// respondAgain writes a response twice, and serves the connection further.
func (w *Worker) respondAgain(out http.ResponseWriter, repeat Repeat, status int, content []byte) {
	conn, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = out.Header().Write(&response) // writes to a buffer do not fail
	response.WriteString("\r\n")
	response.Write(content)
	_, err = conn.Write(response.Bytes())
	if err == nil && repeat == RepeatAtNextCall {
		_, err = buffered.Peek(1)
	}
	if err == nil {
		_, err = conn.Write(response.Bytes())
	}
	if err != nil {
		conn.Close()
		return
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	_ = server.Serve(&singleListener{conn: &bufferedConn{conn, buffered}}) // it returns when it has accepted the connection
}

// bufferedConn is a connection of which some bytes have been read already.
type bufferedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// singleListener accepts one connection.
type singleListener struct{ conn net.Conn }

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	conn := l.conn
	l.conn = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	// endlessBlock and endlessPause bound the rate of bytes without end.
	endlessBlock = 8 << 10
	endlessPause = time.Millisecond
)

// sendWithoutEnd sends a response whose head or body has no end, until the caller closes the connection.
func sendWithoutEnd(out http.ResponseWriter, part Endless) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	head := "HTTP/1.1 200 OK\r\nX-Filler: "
	if part == EndlessInBody {
		head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	block := bytes.Repeat([]byte{'a'}, endlessBlock)
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}
