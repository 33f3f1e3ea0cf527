package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/rpc"
)

var (
	// errEndpointRestarted cancels the attempts at an endpoint process that has been replaced by a new one.
	errEndpointRestarted = errors.New("endpoint has restarted")
	// errIncomplete marks a response without a valid final frame, or with data before
	// its header.
	errIncomplete = errors.New("response is incomplete")
)

// responder receives the response of a request.
type responder interface {
	// header starts the response of an attempt. It is called once per attempt.
	header(h *laburnumgwv1.Header) error
	// data receives the payload in order.
	data(payload []byte) error
	// relayedCounts returns the bytes and tokens that were written to the caller so far.
	relayedCounts() (payload int64, tokens int64)
	// complete finishes a response whose final frame was valid.
	complete() error
}

// dispatcher runs requests: it chooses an endpoint for each attempt, sends the
// attempt and decides whether to retry.
type dispatcher struct {
	routes  *routes
	conns   *rpc.Pool
	metrics *entryMetrics
	log     *zap.Logger

	loop *dispatch.Loop

	mu sync.Mutex
	// attempts holds the running attempts by VM.
	attempts map[string]map[*runningAttempt]struct{}
}

// run serves one request and returns the error for the caller, or nil.
func (d *dispatcher) run(ctx context.Context, r *request, generation uint64, out responder) error {
	ctx, cancel := context.WithDeadline(ctx, r.limits.Deadline)
	defer cancel()
	retryRequest := retry.Request{Idempotent: r.idempotent, Resumable: r.model != "", Deadline: r.limits.Deadline, Shutdown: r.limits.Shutdown}
	last, err := d.loop.Run(ctx, retryRequest, &requestTarget{dispatcher: d, request: r, generation: generation, out: out})
	return finalError(err, last)
}

// requestTarget runs the attempts of one request for the dispatch loop.
type requestTarget struct {
	*dispatcher
	request    *request
	generation uint64
	out        responder
}

// Pick implements dispatch.Target.
func (t *requestTarget) Pick(number uint32, digest string, tried []string) (routing.Decision, error) {
	return t.routes.pick(t.request, number, digest, tried)
}

// Retrying implements dispatch.Target.
func (t *requestTarget) Retrying(decision routing.Decision, number uint32, result retry.Attempt, next retry.Next) {
	t.metrics.retries.Inc()
	t.log.Info("retry", zap.String("request", t.request.id), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.Stringer("outcome", result.Outcome), zap.Bool("resume", next.Action == retry.Resume), zap.Error(result.Err))
}

// finalError returns the error for the caller. An error about the idempotency key is
// returned unchanged, because its kind says more than that the attempts failed.
func finalError(err error, last retry.Attempt) error {
	if err == nil {
		return nil
	}
	switch errkind.Of(last.Err) {
	case errkind.KeyReused, errkind.KeyExpired, errkind.KeyMissing:
		return last.Err
	default:
		return err
	}
}

// attempt sends a request to one endpoint and relays the response. tokens are those that the caller has.
func (d *dispatcher) attempt(ctx context.Context, r *request, a *runningAttempt, tokens int64, generation uint64) retry.Attempt {
	decision, number := a.decision, a.number
	tracked := d.routes.attemptSent(decision, r, number)
	exchange := &exchange{request: r, number: number, decision: decision, out: a.lane, sum: xxhash.New(),
		onLoad: func(load *laburnumgwv1.Load) { d.routes.loadReceived(tracked, load) }}
	final, err := d.exchange(ctx, r, decision, &laburnumgwv1.ServeRequest{
		RequestId: r.id, Attempt: number, Workspace: r.workspace, Priority: r.priority,
		DeadlineMs: r.limits.Left(time.Now()).Milliseconds(), Model: r.model, VersionDigest: decision.VersionDigest,
		Service: r.service, Method: r.method, Path: r.path, ContentType: r.contentType, Body: r.body,
		Idempotent: r.idempotent, IdempotencyKey: r.idempotencyKey, ResumeTokens: tokens, ConfigGeneration: generation,
	}, exchange)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	result := exchange.result(final, err, a.sent.Load())
	d.routes.attemptFinished(tracked, decision, r, number, result)
	d.metrics.countAttempt(result.Outcome)
	return result
}

// register makes the attempt known to endpointSilent and endpointRestarted. The returned function undoes that.
func (d *dispatcher) register(a *runningAttempt) func() {
	vm := a.decision.VM
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts[vm] == nil {
		d.attempts[vm] = make(map[*runningAttempt]struct{})
	}
	d.attempts[vm][a] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.attempts[vm], a)
		if len(d.attempts[vm]) == 0 {
			delete(d.attempts, vm)
		}
	}
}

// endpointSilent tells the attempts at an endpoint whether membership takes it for dead. It may only be slow, so that
// none is ended: what may be repeated is sent to another endpoint as well.
func (d *dispatcher) endpointSilent(vm string, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for running := range d.attempts[vm] {
		running.setSilent(silent)
	}
}

// endpointRestarted cancels the attempts at an endpoint process that has been replaced by a new one.
func (d *dispatcher) endpointRestarted(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for running := range d.attempts[vm] {
		running.cancel(errEndpointRestarted)
	}
}

func (d *dispatcher) exchange(ctx context.Context, r *request, decision routing.Decision, message *laburnumgwv1.ServeRequest, x *exchange) (*laburnumgwv1.Final, error) {
	conn, err := d.conns.Conn(decision.Address)
	if err != nil {
		return nil, err
	}
	stream, err := laburnumgwv1.NewEndpointClient(conn).Serve(ctx, message)
	if err != nil {
		return nil, err
	}
	for {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, errIncomplete
		}
		if err != nil {
			return nil, err
		}
		if frame.GetRequestId() != r.id || frame.GetAttempt() != x.number {
			d.metrics.foreignFrames.Inc()
			d.log.Warn("dropped a frame of another attempt", zap.String("request", r.id), zap.String("frame_request", frame.GetRequestId()))
			continue
		}
		final, err := x.receive(frame)
		if final != nil || err != nil {
			return final, err
		}
	}
}

// exchange is the state of one attempt on the wire.
type exchange struct {
	request        *request
	number         uint32
	decision       routing.Decision
	out            responder
	sum            *xxhash.Digest
	total          int64
	digest         string
	headerReceived bool
	onLoad         func(*laburnumgwv1.Load)
}

// receive handles one frame. It returns the final frame when the response has ended.
func (x *exchange) receive(frame *laburnumgwv1.ServeResponse) (*laburnumgwv1.Final, error) {
	if header := frame.GetHeader(); header != nil {
		if err := httpstatus.Check(int(header.GetHttpStatus())); err != nil {
			return nil, err //nolint:wrapcheck // the attempt adds the endpoint
		}
	}
	if load := frame.GetLoad(); load != nil {
		x.onLoad(load)
	}
	switch part := frame.GetFrame().(type) {
	case *laburnumgwv1.ServeResponse_Header:
		x.headerReceived = true
		x.digest = part.Header.GetVersionDigest()
		return nil, x.out.header(part.Header)
	case *laburnumgwv1.ServeResponse_Data:
		if !x.headerReceived {
			return nil, errIncomplete
		}
		x.total += int64(len(part.Data))
		_, _ = x.sum.Write(part.Data)
		return nil, x.out.data(part.Data)
	case *laburnumgwv1.ServeResponse_Final:
		return x.finish(part.Final)
	default:
		return nil, nil
	}
}

func (x *exchange) finish(final *laburnumgwv1.Final) (*laburnumgwv1.Final, error) {
	if final.GetOutcome() != laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		return final, nil
	}
	if !x.headerReceived || final.GetTotalBytes() != x.total || final.GetChecksum() != x.sum.Sum64() {
		return nil, errIncomplete
	}
	return final, x.out.complete()
}

// result describes the end of the attempt to the retry planner.
func (x *exchange) result(final *laburnumgwv1.Final, err error, sent bool) retry.Attempt {
	payload, _ := x.out.relayedCounts()
	result := retry.Attempt{
		Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: sent,
		RelayedBytes: payload, VersionDigest: x.digest, Err: err,
	}
	if final == nil || err != nil {
		if result.Err == nil {
			result.Err = errIncomplete
		}
		return result
	}
	result.Outcome = final.GetOutcome()
	result.RetryAfter = time.Duration(final.GetRetryAfterMs()) * time.Millisecond
	if result.Outcome != laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		result.Err = errkind.New(errkind.Kind(final.GetErrorKind()), "", "%s", final.GetMessage())
	}
	return result
}
