package hosted

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/timelimit"
	"laburnumgw/platform"
)

const (
	// maxBufferedBytes bounds a response that is buffered until it is complete.
	maxBufferedBytes = 16 << 20
	// detailEvery is the number of routing decisions of which one is logged with all candidates.
	detailEvery = 64
)

var (
	// errMisdirected marks a refusal as misdirected: another worker responded at the address of
	// the chosen one, or the worker has other weights than expected.
	errMisdirected = errors.New("worker refused the request as misdirected")
	// errOtherWeights marks a resumed stream that a worker continued on other weights.
	errOtherWeights = errors.New("stream would continue on other weights")
	// errNotSealed marks a response without the seal that proves that the worker sent it.
	errNotSealed = errors.New("response carries no seal of the worker")
	// errRefused marks a response that states that the request was not run.
	errRefused = errors.New("worker did not run the request")
	// errFull marks such a response of a worker that is full.
	errFull = fmt.Errorf("%w: it is full", errRefused)
	// errWorkerFailed marks a failure that the worker itself reported.
	errWorkerFailed = errors.New("worker responded with a failure")
	// errTruncated marks a response that ended before it was complete.
	errTruncated = errors.New("answer was cut off")
)

// call is the handling of one request of a caller.
type call struct {
	*frontend
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// reusedConn is set when the caller's connection has carried another request before.
	reusedConn  bool
	in          platform.CallerHeaders
	snapshot    *catalog.Snapshot
	route       *catalog.Route
	workspace   *catalog.Workspace
	regions     []string
	serviceName string
	service     *service
	// engine is nil for a plain service.
	engine    *catalog.Engine
	forwarded http.Header
	body      []byte
	// held is the memory that the request takes, and heldResponses what its responses do.
	held, heldResponses *membudget.Account

	limits timelimit.Limits
	// share is the request as the shares of its service know it.
	share    sharedRequest
	attempts uint32
	// silentAttempts counts the attempts that were given up while their connection was open, because the worker
	// sent nothing, and lastEnd is the end of the last attempt.
	silentAttempts int
	lastEnd        error
	// firstEventTimer ends the request unless the first event arrives before; nil for routes
	// that do not stream.
	firstEventTimer *time.Timer

	// picked is the attempt at the worker that was chosen last, and hedge the one that was sent beside a
	// silent attempt; nil for none. No other is sent before nextHedgeAt.
	picked      *attempt
	hedge       *hedge
	hedges      *dispatch.Hedges
	nextHedgeAt time.Time

	// headSent is set once the head of the response was sent to the caller.
	headSent bool
	// incomplete is set when the response cannot be completed.
	incomplete bool
	// relayedBytes counts the bytes of the body that were sent to the caller. lastEventID is the
	// id of the last event among them, and weightVersion the version of the weights that
	// produced it.
	relayedBytes  int64
	lastEventID   string
	weightVersion int
	// name is the name of the whole request, empty until it is needed.
	name string
	// trial is set while the request is a trial of a block.
	trial *storedBlock
	// brokenEnd is the end of an attempt that was taken for broken off, until it is known what follows it; nil for none.
	brokenEnd *unmarkedEnd
	// lastFailure is the last failure response of a worker, sent to the caller when no later
	// attempt gives a better response.
	lastFailure *bufferedResponse
}

// bufferedResponse is a complete response that was not sent yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// release returns the memory of the body.
	release func()
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// tokens estimates the work of a request in output tokens. Ten prompt tokens cost as much as one
// output token.
func (c *call) tokens() int64 {
	return int64(c.in.ExpectedOutputTokens + c.in.PromptTokens/10)
}

func (c *call) query(number uint32, digest string, tried []string) *routing.Request {
	query := &routing.Request{
		ID: c.in.ID, Attempt: number, VersionDigest: digest, Idempotent: c.route.Repeatable(), TriedVMs: tried, Regions: c.regions,
		LeavesPlaces: c.share.beyond,
	}
	if engine := c.engine; engine != nil {
		query.Model = c.serviceName
		query.Duration = engine.Duration(c.in.PromptTokens, c.in.ExpectedOutputTokens)
		query.Tokens = c.tokens()
		query.PromptTokens = int64(c.in.PromptTokens)
	} else {
		query.Service = c.serviceName
	}
	query.Aim = max(c.timeToAim(time.Now()), minAim)
	return query
}

// Pick implements dispatch.Target.
func (c *call) Pick(number uint32, digest string, tried []string) (routing.Decision, error) {
	if err := c.refuseBlocked(); err != nil {
		return routing.Decision{}, err
	}
	if err := c.ensureFits(); err != nil {
		return routing.Decision{}, err
	}
	query := c.query(number, digest, tried)
	if c.attempts == 0 {
		query.MaxWait = c.maxWait()
	}
	decision, err := c.pick(query)
	var cause *routing.NoEndpointError
	if errors.As(err, &cause) && len(cause.OnlyLimited) > 0 {
		decision, err = c.pickBorrowed(query, cause.OnlyLimited, err)
	}
	if err != nil {
		c.log.Warn("no endpoint chosen", zap.String("request", c.in.ID), zap.Uint32("attempt", number),
			zap.Int64("config", c.snapshot.Version), zap.Duration("left", c.limits.Left(time.Now())), zap.Error(err))
		return decision, err
	}
	if err := c.refuseTooLate(decision); err != nil {
		return decision, err
	}
	c.logChosen(query, decision)
	return decision, nil
}

// logChosen logs a routing decision.
func (c *call) logChosen(query *routing.Request, decision routing.Decision) {
	fields := []zap.Field{zap.String("request", c.in.ID), zap.Uint32("attempt", query.Attempt), zap.String("vm", decision.VM),
		zap.String("zone", decision.Zone), zap.String("reason", string(decision.Reason)), zap.String("weights", decision.VersionDigest),
		zap.Float64("load", decision.Load), zap.Int("eligible", decision.EligibleCount), zap.Int("pool", decision.PoolSize),
		zap.Int64("config", c.snapshot.Version), zap.Duration("left", c.limits.Left(time.Now())), zap.Duration("report_age", c.picked.reportAge),
		zap.Int64("born", c.picked.startedAtMs)}
	if sent := c.picked.sentLoad; sent.hasOrder {
		fields = append(fields, zap.Int("order", sent.order), zap.Int("prompt_tokens", c.in.PromptTokens), zap.Duration("expected_first", sent.expectedFirst))
	}
	if query.Detail {
		fields = append(fields, zap.Any("candidates", decision.Candidates))
	}
	c.logFor(query.Attempt == 1).Info("endpoint chosen", fields...)
}

// pick chooses an endpoint.
func (c *call) pick(query *routing.Request) (routing.Decision, error) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.service.decisions++
	query.Detail = c.service.decisions%detailEvery == 0
	return c.pickAndTrack(query, time.Now())
}

// pickAndTrack chooses an endpoint and counts the attempt there at once, so that requests that
// are handled at the same time do not all take the same share of a bound. The caller holds the
// lock.
func (c *call) pickAndTrack(query *routing.Request, now time.Time) (routing.Decision, error) {
	c.considerMemory(query, now)
	c.service.load.decideFor(c.route.Name, now)
	decision, err := c.service.table.Pick(query, now)
	if err != nil {
		return decision, err //nolint:wrapcheck // the error describes the refusal
	}
	a := &attempt{
		call: c, decision: decision, number: query.Attempt, tracked: c.service.table.AttemptSent(decision, query, now), address: decision.Address,
		reportAge: c.view.reportAge(decision.VM), continues: c.relayedBytes > 0, lastEventID: c.lastEventID, weightVersion: c.weightVersion,
	}
	if a.continues {
		a.continuesEvents = isEventStream(c.w.Header().Get("Content-Type"))
	}
	c.picked = a
	if decision.Zone != c.view.settings.Zone {
		c.metrics.sentToZone(c.serviceName, decision.Zone)
	}
	if w := c.view.workers[decision.VM]; w != nil {
		a.startedAtMs = w.StartedAtMs
		a.memorySent(now)
		a.sentLoad = c.loadSent(w, query, now)
		if c.engine != nil {
			a.startWait = c.view.startWaitBegins(w, now)
		}
		if c.service.table.HasLimit(decision.VM) {
			c.metrics.limitedAttempts(decision.VM).Inc()
		}
	}
	return decision, nil
}

// Retrying implements dispatch.Target.
func (c *call) Retrying(decision routing.Decision, number uint32, ended retry.Attempt, next retry.Next) {
	c.metrics.retries.Inc()
	if next.Action == retry.Resume {
		c.metrics.resumed.Inc()
	}
	c.log.Info("retry", zap.String("request", c.in.ID), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.Stringer("outcome", ended.Outcome), zap.Bool("resume", next.Action == retry.Resume), zap.Error(ended.Err))
}

// Attempt implements dispatch.Target.
func (c *call) Attempt(ctx context.Context, _ routing.Decision, _ uint32, hedges *dispatch.Hedges) retry.Attempt {
	c.hedges = hedges
	current := c.picked
	defer c.dropHedge()
	finished := false
	defer func() {
		if !finished { // it panicked
			current.forget()
		}
	}()
	c.attempts = current.number
	c.goesOn()
	current.ctx, current.sentAt = ctx, time.Now()
	brought := current.open(current.firstEventTimeout())
	for {
		ended := c.relay(current, brought)
		ended = current.finish(ended)
		if c.hedge == nil || ctx.Err() != nil || !c.hedges.MayGoOn(ended) {
			c.dropHedge()
			c.record(current, ended)
			finished = true
			return ended
		}
		c.record(current, ended)
		c.hedges.Ended(ended)
		c.goesOn()
		current, brought = c.adoptHedge()
	}
}

// record records the end of an attempt in the call.
func (c *call) record(a *attempt, ended retry.Attempt) {
	c.lastEnd = ended.Err
	c.brokenEnd = cmp.Or(a.brokenEnd, c.brokenEnd)
	if a.failure != nil {
		if c.lastFailure != nil {
			c.lastFailure.release()
		}
		c.lastFailure = a.failure
	}
	if a.began {
		c.trialSurvived()
	}
	if c.r.Context().Err() == nil && !a.superseded() && ended.Sent && endedForSilence(ended.Err) {
		c.silentAttempts++
		c.metrics.silentAttempts.Inc()
	}
}

// owns reports whether a response belongs to this request. A response without a request id that
// states that the request was not run is accepted only on a connection that carried no other
// request.
func (c *call) owns(response *http.Response, newConnection bool) bool {
	workerResponse := platform.ParseWorkerResponse(response.StatusCode, response.Header)
	if workerResponse.RequestID != "" {
		return workerResponse.RequestID == c.in.ID
	}
	return newConnection && (workerResponse.NotExecuted || c.in.ID == "")
}

func loadOf(load *platform.Load) *laburnumgwv1.Load {
	if load == nil {
		return nil
	}
	if load.Ignored.Has(platform.LoadRunning | platform.LoadQueued | platform.LoadSlots) {
		return nil
	}
	return &laburnumgwv1.Load{InFlight: int32(load.Running), Queued: int32(load.Queued), Limit: int32(load.Slots)}
}

// finish sends the final response of a request that is not complete. It returns the reason for
// the log and the metrics.
func (c *call) finish(ctx context.Context, ended retry.Attempt, err error) string {
	cause := context.Cause(ctx)
	stopped := errors.Is(cause, drain.ErrStopping)
	c.endsAfterBrokenEnd(err)
	switch {
	case err == nil:
		return "complete"
	case cause != nil && !stopped && !errors.Is(cause, errTimeout):
		c.incomplete = true
		return "caller_left"
	case c.headSent && stopped:
		c.incomplete = true
		return "stopped"
	case c.headSent:
		c.incomplete = true
		return "stream_cut"
	case c.lastFailure != nil && !errkind.Is(err, errkind.NotRun):
		if err := c.sendBuffered(c.lastFailure); err != nil {
			c.incomplete = true
		}
		return "worker_failed"
	case errkind.Is(err, errkind.NotRun):
		c.refuse(c.w, c, err)
		return "not_run"
	case errors.Is(cause, errTimeout):
		c.refuse(c.w, c, errkind.Wrap(err, errkind.DeadlineExceeded, "allow more time", "no response in time"))
		return "timeout"
	}
	c.refuse(c.w, c, err)
	switch {
	case stopped:
		return "stopped"
	case ended.Err != nil && errors.Is(ended.Err, errNotSealed):
		return "not_sealed"
	}
	return "outcome_unknown"
}
