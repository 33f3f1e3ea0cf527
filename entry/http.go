package entry

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
)

// frontend serves callers over HTTP.
type frontend struct {
	control    *control
	dispatcher *dispatcher
	// memory bounds what is held for callers.
	memory   *membudget.Budget
	metrics  *entryMetrics
	log      *zap.Logger
	shutdown *drain.Shutdown
	// endLateBody makes room for requests when there is no memory; nil before callers are served.
	endLateBody func()
}

func newFrontend(c *control, d *dispatcher, memory *membudget.Budget, metrics *entryMetrics, log *zap.Logger) *frontend {
	return &frontend{control: c, dispatcher: d, memory: memory, metrics: metrics, log: log, shutdown: drain.NewShutdown()}
}

// handler returns the HTTP handler with its middleware.
func (f *frontend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", f.health)
	mux.HandleFunc("/", f.serve)
	stack := negroni.New()
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = zapPrinter{f.log}
	stack.Use(recovery)
	stack.Use(drain.CloseWhileLeaving(f.shutdown.IsStopping))
	stack.UseHandler(mux)
	return stack
}

// zapPrinter writes what negroni prints to the structured log.
type zapPrinter struct{ log *zap.Logger }

// Println implements negroni.ALogger.
func (z zapPrinter) Println(v ...any) { z.log.Sugar().Error(v...) }

// Printf implements negroni.ALogger.
func (z zapPrinter) Printf(format string, v ...any) { z.log.Sugar().Errorf(format, v...) }

// health serves the health check of the load balancer. An entry that is leaving fails the
// check but still serves requests.
func (f *frontend) health(w http.ResponseWriter, r *http.Request) {
	endUnreadBody(w, r)
	if f.shutdown.IsStopping() || !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (f *frontend) ready() bool {
	return f.control.current.Load() != nil && f.control.configs.Ready()
}

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if len(r.TransferEncoding) > 0 {
		// For a chunked request, net/http silently drops a Content-Length header, so bytes
		// after the body may be a smuggled request (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	id := rand.Text()
	kind := f.respond(w, r, id, started)
	f.metrics.countRequest(kind)
	f.metrics.duration.UpdateDuration(started)
}

// respond serves one request and returns the kind of its error, or "" on success.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, id string, started time.Time) errkind.Kind {
	current := f.control.current.Load()
	if current == nil || !f.ready() {
		err := errkind.New(errkind.NotRun, "repeat the request on another entry", "this entry has no configuration yet").
			WithRetryAfter(time.Second)
		endUnreadBody(w, r)
		writeError(w, id, err)
		return err.Kind
	}
	ctx, release := f.shutdown.Bound(r.Context())
	defer release(nil)
	held := f.memory.Open()
	defer held.Close()
	parsed, err := parseRequest(r, id, current.snapshot, started, func(head *request) error {
		head.held = held
		head.limits = f.shutdown.Limits(head.limits.Deadline)
		return f.acceptBody(w, head)
	})
	if err != nil {
		if errkind.Is(err, errkind.NotRun) {
			// The rest of the body may still arrive, and is no request.
			w.Header().Set("Connection", "close")
		}
		f.relieve(err)
		endUnreadBody(w, r)
		writeError(w, id, err)
		return errkind.Of(err)
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		f.log.Warn("read deadline not cleared", zap.String("request", id), zap.Error(err))
	}
	heldResponse := f.memory.Responses().Open()
	defer heldResponse.Close()
	out := &httpResponder{w: w, id: id, limit: maxResponseBytes, started: started, metrics: f.metrics, held: heldResponse}
	err = f.dispatcher.run(ctx, parsed, current.generation, out)
	if err == nil {
		return ""
	}
	f.log.Warn("request failed", zap.String("request", id), zap.String("workspace", parsed.workspace),
		zap.String("kind", string(errkind.Of(err))), zap.Error(err))
	out.fail(err)
	return errkind.Of(err)
}

// unreadBodyLinger is how long a connection stays open after a response before the end of the body, so that the caller
// gets to read the response.
const unreadBodyLinger = 500 * time.Millisecond

// endUnreadBody is called before a response to a request whose body is not read, or not to its end. The server reads the rest
// of the body, without a deadline, and closes the connection if it does not arrive.
func endUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyLinger)) // a connection without deadlines is closed already
	}
}

// relieve has room made for others after an error for want of memory.
func (f *frontend) relieve(err error) {
	var exceeded *membudget.ExceededError
	if errors.As(err, &exceeded) && f.endLateBody != nil {
		f.endLateBody()
	}
}

// stoppingRetryAfter is the time that a caller is told to wait which another entry can serve at once.
const stoppingRetryAfter = 50 * time.Millisecond

// acceptBody refuses a request that might outlast the entry, before its body is read, and bounds
// the reading of the body and the writing of the response.
func (f *frontend) acceptBody(w http.ResponseWriter, head *request) error {
	if !head.limits.Admits(time.Now(), 0) {
		return errkind.Wrap(drain.ErrStopping, errkind.NotRun, "repeat the request on another entry", "the request might outlast this entry").
			WithRetryAfter(stoppingRetryAfter)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(head.limits.Deadline); err != nil {
		return fmt.Errorf("set the read deadline of the body: %w", err)
	}
	// A caller that does not read must not hold the request for longer than its deadline.
	if err := control.SetWriteDeadline(head.limits.Deadline.Add(writeGrace)); err != nil {
		return fmt.Errorf("set the write deadline of the response: %w", err)
	}
	return nil
}

// maxResponseBytes bounds the part of a response that is buffered until it is complete.
const maxResponseBytes = 16 << 20

// httpResponder relays a response to the caller. An event stream is relayed event by
// event, its last event only after the final frame has been checked. Any other response
// is buffered until it is complete.
type httpResponder struct {
	w       http.ResponseWriter
	id      string
	limit   int
	started time.Time
	metrics *entryMetrics
	// held is the memory that the response takes.
	held *membudget.Account

	headerSent    bool
	streaming     bool
	sentHeader    *laburnumgwv1.Header
	currentHeader *laburnumgwv1.Header
	buffered      []byte
	bytes         int64
	tokens        int64
}

var (
	errVersionChanged = errors.New("resumed stream has another model version than its first part")
	errNotAStream     = errors.New("resumed response is not an event stream")
)

// doneEvent starts the last event of a stream.
const doneEvent = "data: [DONE]"

// header implements responder.
func (h *httpResponder) header(header *laburnumgwv1.Header) error {
	stream := strings.HasPrefix(header.GetContentType(), "text/event-stream") && header.GetHttpStatus() == http.StatusOK
	if h.headerSent && !stream {
		return errNotAStream
	}
	if h.headerSent && h.sentHeader.GetVersionDigest() != header.GetVersionDigest() {
		return errVersionChanged
	}
	h.streaming = stream
	h.currentHeader = header
	h.held.Release(int64(cap(h.buffered)))
	h.buffered = nil
	return nil
}

// data implements responder.
func (h *httpResponder) data(payload []byte) error {
	if h.streaming && !strings.HasPrefix(string(payload), doneEvent) {
		return h.relay(payload)
	}
	if len(h.buffered)+len(payload) > h.limit {
		return errkind.New(errkind.TooLarge, "ask for a smaller response", "response exceeds %d bytes", h.limit)
	}
	if err := h.grow(len(h.buffered) + len(payload)); err != nil {
		return err
	}
	h.buffered = append(h.buffered, payload...)
	return nil
}

// grow makes room for a size. Both buffers are held until the old one is copied.
func (h *httpResponder) grow(size int) error {
	old := cap(h.buffered)
	if size <= old {
		return nil
	}
	size = max(size, min(2*old, h.limit))
	if err := h.held.Reserve(int64(size), int64(size)); err != nil {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "repeat the request with the same Idempotency-Key", "no memory for the response")
	}
	h.buffered = append(make([]byte, 0, size), h.buffered...)
	h.held.Release(int64(old))
	return nil
}

func (h *httpResponder) relay(event []byte) error {
	if !h.headerSent {
		h.writeHeader()
	}
	n, err := h.w.Write(event)
	h.bytes += int64(n)
	if err != nil {
		return err
	}
	h.tokens++
	return http.NewResponseController(h.w).Flush()
}

func (h *httpResponder) writeHeader() {
	h.headerSent = true
	h.sentHeader = h.currentHeader
	h.metrics.firstByte.UpdateDuration(h.started)
	header := h.w.Header()
	header.Set(headerRequestID, h.id)
	if contentType := h.currentHeader.GetContentType(); contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if digest := h.currentHeader.GetVersionDigest(); digest != "" {
		header.Set("X-Model-Version", digest)
	}
	if h.currentHeader.GetReplayed() {
		header.Set("Idempotent-Replayed", "true")
	}
	h.w.WriteHeader(int(h.currentHeader.GetHttpStatus()))
}

// relayedCounts implements responder.
func (h *httpResponder) relayedCounts() (int64, int64) { return h.bytes, h.tokens }

// complete implements responder.
func (h *httpResponder) complete() error {
	if !h.headerSent {
		h.writeHeader()
	}
	_, err := h.w.Write(h.buffered)
	if err != nil {
		return err
	}
	return http.NewResponseController(h.w).Flush()
}

// fail sends the error of a request without a complete response: as an event when the
// status has been sent already, as an error response otherwise.
func (h *httpResponder) fail(err error) {
	if h.headerSent {
		writeErrorEvent(h.w, h.id, err)
		return
	}
	writeError(h.w, h.id, err)
}
