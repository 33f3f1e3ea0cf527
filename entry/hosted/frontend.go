package hosted

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/workerconn"
	"laburnumgw/platform"
)

const (
	// defaultDeadline applies when neither the caller nor the route bounds the time.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes bounds a body when the configuration does not.
	defaultBodyBytes = 4 << 20
	// writeGrace is added to the deadline for sending the final response.
	writeGrace = 200 * time.Millisecond
	// firstEventReserve is how long before a caller gives up a stream without an event the entry
	// sends it a final response, after which it can retry.
	firstEventReserve = 200 * time.Millisecond
	// refusalWriteTimeout bounds how long a caller may take to read a refusal.
	refusalWriteTimeout = time.Second
	// unroutedRetryAfter is the time that a caller is told to wait when its request was refused
	// without the routing, or when neither a worker nor the routing asks for another time.
	unroutedRetryAfter = 250 * time.Millisecond
	// memoryRetryAfter is the time after which callers try again for whose request there was no memory. A large body takes
	// about as long to arrive.
	memoryRetryAfter = 500 * time.Millisecond
	// retryAfterJitter is the largest random addition to that time, as a fraction of it. It
	// spreads the retries of refused callers.
	retryAfterJitter = 0.5
)

var (
	// errCallerDisconnected ends an exchange whose caller closed the connection.
	errCallerDisconnected = errors.New("caller disconnected")
	// errTimeout ends an exchange at the route's timeout or the caller's deadline, and that of a
	// stream without an event firstEventReserve before its caller gives up.
	errTimeout = errors.New("timeout of the request has passed")
)

// frontend serves callers over HTTP.
type frontend struct {
	view    *view
	conns   *workerconn.Pool
	buffers *responseBuffers
	// memory bounds what is held for callers and workers, and connMemory is the part of their connections.
	memory     *membudget.Budget
	connMemory *connMemory
	// unread is what is held for callers that have not read it.
	unread  *membudget.Unread
	metrics *entryMetrics
	log     *zap.Logger
	// detail logs the steps of requests that succeed.
	detail   *zap.Logger
	shutdown *drain.Shutdown
	// mirrored tells how current the configuration is.
	mirrored mirrored
	// endLateBody makes room for requests when there is no memory; nil before callers are served.
	endLateBody func()
}

// handler returns the HTTP handler with its middleware. Paths reach the workers exactly
// as they were sent, so no multiplexer cleans them.
func (f *frontend) handler() http.Handler {
	stack := negroni.New()
	stack.Use(drain.CloseWhileLeaving(f.shutdown.IsStopping))
	stack.UseFunc(f.answerPanics)
	stack.UseFunc(closeAfterChunkedBody)
	stack.UseHandlerFunc(f.serve)
	return stack
}

// readiness returns the handler of the platform's readiness probe. The platform sends
// connections only to ready entries.
func (f *frontend) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadinessPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if f.shutdown.IsStopping() || !f.view.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// closeAfterChunkedBody closes the connection after a request with a chunked body: the server
// silently drops a Content-Length sent along with the chunks, so bytes after the body may be a
// smuggled request.
func closeAfterChunkedBody(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	next(w, r)
}

// serve handles one request.
func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	memory := f.memory.Open()
	defer memory.Close()
	c, err := f.accept(w, r, started, memory)
	if err != nil {
		reason := string(errkind.Of(err))
		endUnreadBody(w, r)
		// A connection without deadlines is closed already.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		f.refuse(w, c, err)
		f.metrics.countResponse(reason, started)
		f.log.Info("request refused", zap.String("request", c.in.ID), zap.String("host", r.Host), zap.String("reason", reason), zap.Error(err))
		return
	}
	c.heldResponses = f.memory.Responses().Open()
	defer c.heldResponses.Close()
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.limits.Deadline, errTimeout)
	defer cancel()
	ctx, giveUp := f.shutdown.Bound(ctx)
	defer giveUp(nil)
	c.r = r.WithContext(ctx)
	if c.route.Kind == catalog.Stream {
		c.firstEventTimer = time.AfterFunc(c.route.CallerEventTimeout()-firstEventReserve, func() { giveUp(errTimeout) })
		defer c.firstEventTimer.Stop()
	}
	// A caller that does not read must not hold the exchange longer than its deadline.
	writes := http.NewResponseController(w)
	if err := writes.SetWriteDeadline(c.limits.Deadline.Add(writeGrace)); err != nil {
		f.log.Warn("write deadline not set", zap.String("request", c.in.ID), zap.Error(err))
	}
	ended, err := c.service.loop.Run(ctx, retry.Request{
		Idempotent: c.route.Repeatable(), Resumable: c.route.Resumable, Deadline: c.limits.Deadline, Shutdown: c.limits.Shutdown,
		MaxSent: max(1, c.route.Attempts), RetryAfter: unroutedRetryAfter,
	}, c)
	err = c.shareEnded(ended, err)
	reason := c.finish(ctx, ended, err)
	f.metrics.countResponse(reason, started)
	f.logFor(reason == "complete" && c.attempts <= 1).Info("request ended", zap.String("request", c.in.ID), zap.String("route", c.route.Name), zap.String("service", c.serviceName),
		zap.String("workspace", c.workspaceName()), zap.Int64("config", c.snapshot.Version), zap.String("reason", reason),
		zap.Uint32("attempts", c.attempts), zap.Duration("duration", time.Since(started)), zap.Error(err))
	if c.incomplete {
		// Closing the connection keeps the part sent from looking complete.
		c.logCut(reason)
		resetUnmarked(r)
		panic(http.ErrAbortHandler)
	}
}

// logFor returns the logger of a step. Lines of successful steps go to the detail logger, which
// may drop them.
func (f *frontend) logFor(succeeded bool) *zap.Logger {
	if succeeded {
		return f.detail
	}
	return f.log
}

// accept checks a request against the configuration and reads its body.
func (f *frontend) accept(w http.ResponseWriter, r *http.Request, started time.Time, memory *membudget.Account) (*call, error) {
	c := &call{frontend: f, w: w, r: r, started: started, held: memory, reusedConn: countConnRequest(r.Context())}
	in, err := platform.ParseCall(r.Header)
	c.in = in
	if err != nil {
		return c, err
	}
	if err := f.matchCurrent(c); err != nil {
		return c, err
	}
	c.regions = catalog.AllowedRegions(c.route, c.workspace)
	c.limits = f.shutdown.Limits(started.Add(deadline(in.Deadline, c.route.Timeout)))
	c.serviceName = c.route.Choose(f.view.random())
	c.service, c.engine = f.view.service(c.serviceName)
	if c.service == nil {
		return c, errkind.New(errkind.NotRun, "repeat the request", "service %q is not known here", c.serviceName).
			WithRetryAfter(unroutedRetryAfter)
	}
	c.forwarded = platform.EndToEndHeaders(r.Header)
	if _, ok := c.forwarded["User-Agent"]; !ok {
		c.forwarded["User-Agent"] = nil
	}
	if err := c.admit(); err != nil {
		return c, err
	}
	if err := f.unread.Check(c.party()); err != nil {
		return c, c.refusedForMemory("unread", err)
	}
	if err := c.admitByShare(); err != nil {
		return c, err
	}
	if err := c.readBody(c.snapshot.Limits); err != nil {
		return c, err
	}
	return c, c.ensureFits()
}

// deadline returns the time that a request has: the caller's or the route's, whichever is
// shorter, or defaultDeadline without either.
func deadline(caller, route time.Duration) time.Duration {
	switch {
	case caller <= 0 && route <= 0:
		return defaultDeadline
	case caller <= 0:
		return route
	case route <= 0:
		return caller
	}
	return min(caller, route)
}

func (c *call) readBody(limits catalog.Limits) error {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "send a smaller body", "body of %d bytes exceeds %d", c.r.ContentLength, limit)
	}
	if err := c.held.Reserve(requestBytes, requestBytes); err != nil {
		return c.refusedForMemory("request", err)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(c.limits.Deadline); err != nil {
		return fmt.Errorf("set the read deadline of the body: %w", err)
	}
	body, err := c.receiveBody(limit)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.New(errkind.TooLarge, "send a smaller body", "body exceeds %d bytes", limit)
	}
	var exceeded *membudget.ExceededError
	if errors.As(err, &exceeded) {
		return c.refusedForMemory("request", err)
	}
	if err != nil {
		// The rest of the body may still arrive, and is no request.
		c.w.Header().Set("Connection", "close")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.fits() {
		c.metrics.refusedAtStop.Inc()
		return refusedAtStop()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errkind.Wrap(err, errkind.NotRun, "send the complete body sooner", "body has not arrived in time")
	}
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "send the complete body", "body cannot be read")
	}
	c.body = body
	// From here on the server detects a disconnect of the caller, without a deadline.
	if err := http.NewResponseController(c.w).SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the read deadline of the body: %w", err)
	}
	return nil
}

// party returns for whom responses of the request wait: its workspace, or else its caller.
func (c *call) party() string {
	if c.workspace != nil {
		return c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return ""
	}
	return host
}

// receiveBody reads the body. Memory for a declared length is reserved before anything is read.
func (c *call) receiveBody(limit int64) ([]byte, error) {
	first := c.r.ContentLength
	if first < 0 {
		first = membudget.FirstBytes
	}
	data, _, err := c.held.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), first, limit)
	return data, err //nolint:wrapcheck // the caller describes the error
}

// refusedForMemory refuses a request that was not sent to a worker.
func (c *call) refusedForMemory(what string, err error) error {
	c.metrics.memoryRefused(what).Inc()
	if c.endLateBody != nil {
		c.endLateBody()
	}
	return errkind.Wrap(err, errkind.NotRun, "repeat the request on another entry", "memory of this entry is used up").WithRetryAfter(memoryRetryAfter)
}

// statusOf maps error kinds to the statuses of responses that the entry itself generates.
var statusOf = map[errkind.Kind]int{
	errkind.NotRun:           http.StatusServiceUnavailable,
	errkind.BadRequest:       http.StatusBadRequest,
	errkind.NotFound:         http.StatusNotFound,
	errkind.Denied:           http.StatusUnauthorized,
	errkind.TooLarge:         http.StatusRequestEntityTooLarge,
	errkind.DeadlineExceeded: http.StatusGatewayTimeout,
}

// refuse sends an error response generated by the entry itself.
func (f *frontend) refuse(w http.ResponseWriter, c *call, err error) {
	status, ok := statusOf[errkind.Of(err)]
	if !ok {
		status = http.StatusBadGateway
	}
	header := w.Header()
	platform.SetRequestID(header, c.in.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	var typed *errkind.Error
	if status == http.StatusServiceUnavailable && errors.As(err, &typed) {
		after := cmp.Or(typed.RetryAfter, unroutedRetryAfter)
		platform.SetRetryAfter(header, c.returnAfter(after, f.view.random()))
	}
	w.WriteHeader(status)
	if _, err := io.WriteString(w, err.Error()+"\n"); err != nil {
		f.log.Debug("response not delivered", zap.String("request", c.in.ID), zap.Error(err))
	}
}

// random returns a number in [0, 1).
func (v *view) random() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rng.Float64()
}
