package hosted

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/timelimit"
	"laburnumgw/lib/workerconn"
	"laburnumgw/lib/workerlimit"
	"laburnumgw/platform"
)

const (
	// maxBufferedBytes bounds a response that is buffered until it is complete, and
	// bufferedShare is the part of the memory limit of the process that all buffered responses
	// together may take.
	maxBufferedBytes = 16 << 20
	bufferedShare    = 0.25
	// detailEvery is the number of routing decisions of which one is logged with all candidates.
	detailEvery = 64
	// maxSilencePatience bounds the patience for a silent worker on routes whose callers wait longer, so
	// that a request at a worker that has gone dark is repeated in time.
	maxSilencePatience = 2 * time.Second
	// minSilencePatience outlasts the silence of a sound worker. It is less than the time for which the
	// entry waits for an event on any route.
	minSilencePatience = 1500 * time.Millisecond
	// reportPollInterval is the pause between two checks whether an unresponsive worker still
	// reports.
	reportPollInterval = 200 * time.Millisecond
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
	limits    timelimit.Limits
	attempts  uint32
	// tried names the workers of earlier attempts. sentAttempts counts those that were sent.
	tried        []string
	sentAttempts int
	// silentAttempts counts the attempts that were given up while their connection was open, because the worker
	// sent nothing, and lastEnd is the end of the last attempt.
	silentAttempts int
	lastEnd        error
	// firstEventTimer ends the request unless the first event arrives before; nil for routes
	// that do not stream.
	firstEventTimer *time.Timer

	// tracked is the current attempt in the routing table. trackedWorker is the start of its
	// worker at trackedAddress, and reportAge the age of the worker's last report when it was chosen.
	tracked        routing.Attempt
	trackedWorker  int64
	trackedAddress string
	reportAge      time.Duration
	startWait      startWait

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
	// began is set once the current attempt has begun to write a stream, or its response is complete, and trial while the request is a
	// trial of a block.
	began bool
	trial *storedBlock
	// firstEventWait is how long the last attempt waited for its first event, zero for none.
	// weightsLeft is how long requests could still start on the weights when it was sent, by the bound
	// as it is known now, zero for no bound.
	// expectedWait is how long requests were expected to wait at the worker then.
	firstEventWait, weightsLeft, expectedWait time.Duration
	// servedVersion is the version of the weights in the head of the last attempt's response, zero
	// without one.
	servedVersion int
	// lastFailure is the last failure response of a worker, sent to the caller when no later
	// attempt gives a better response.
	lastFailure *bufferedResponse
}

// bufferedResponse is a complete response that was not sent yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
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
	}
	if engine := c.engine; engine != nil {
		query.Model = c.serviceName
		query.Duration = engine.Duration(c.in.PromptTokens, c.in.ExpectedOutputTokens)
		query.Tokens = c.tokens()
		query.PromptTokens = int64(c.in.PromptTokens)
	} else {
		query.Service = c.serviceName
	}
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
	fields := []zap.Field{zap.String("request", c.in.ID), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.String("zone", decision.Zone), zap.String("reason", string(decision.Reason)), zap.String("weights", decision.VersionDigest),
		zap.Float64("load", decision.Load), zap.Int("eligible", decision.EligibleCount), zap.Int("pool", decision.PoolSize),
		zap.Int64("config", c.snapshot.Version), zap.Duration("left", c.limits.Left(time.Now())), zap.Duration("report_age", c.reportAge)}
	if query.Detail {
		fields = append(fields, zap.Any("candidates", decision.Candidates))
	}
	c.logFor(number == 1).Info("endpoint chosen", fields...)
	return decision, nil
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
	decision, err := c.service.table.Pick(query, now)
	if err != nil {
		return decision, err //nolint:wrapcheck // the error describes the refusal
	}
	c.tracked = c.service.table.AttemptSent(decision, query, now)
	c.trackedWorker, c.trackedAddress = 0, decision.Address
	c.reportAge = c.view.reportAge(decision.VM)
	c.startWait = startWait{}
	if w := c.view.workers[decision.VM]; w != nil {
		c.trackedWorker = w.StartedAtMs
		if c.engine != nil {
			c.startWait = c.view.startWaitBegins(w, now)
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
func (c *call) Attempt(ctx context.Context, decision routing.Decision, number uint32) retry.Attempt {
	started := time.Now()
	c.attempts, c.began, c.firstEventWait, c.weightsLeft, c.expectedWait, c.servedVersion = number, false, 0, 0, 0, 0
	tracked := c.tracked
	exchanged := false
	defer func() {
		if !exchanged { // it panicked
			c.view.startWaitEnded(c.startWait, waitUnknown)
		}
	}()
	ended, load := c.exchange(ctx, decision, &tracked)
	exchanged = true
	result := routing.Result{Outcome: ended.Outcome, Sent: ended.Sent, Load: load}
	if ctx.Err() != nil {
		// The caller disconnected or its timeout has passed, which says nothing about the
		// endpoint.
		result.Outcome = laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED
		result.Sent = true
	}
	if errors.Is(ended.Err, workerconn.ErrNotSentInTime) {
		result.Outcome = laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED
	}
	c.view.attemptFinished(c.service, tracked, result)
	switch {
	case !ended.Sent || ended.Outcome == laburnumgwv1.Outcome_OUTCOME_NOT_RUN:
		c.view.startWaitEnded(c.startWait, waitUnknown)
	case c.began:
		c.view.startWaitEnded(c.startWait, waitBegun)
	default:
		c.view.startWaitEnded(c.startWait, waitGivenUp)
	}
	c.metrics.attempts.UpdateDuration(started)
	c.tried = append(c.tried, decision.VM)
	if ended.Sent {
		c.sentAttempts++
	}
	c.lastEnd = ended.Err
	if ctx.Err() == nil && ended.Sent && endedForSilence(ended.Err) {
		c.silentAttempts++
		c.metrics.silentAttempts.Inc()
	}
	if ctx.Err() == nil {
		c.recordWeights(decision, ended, time.Since(started))
	}
	ended.MayHaveCrashed = c.recordCrash(ctx, ended)
	var parts []string
	name := ""
	if c.endedBeforeResponse(ended) {
		parts, name = c.in.PromptParts, c.requestName()
	}
	c.logFor(ended.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE).Info("attempt ended", zap.String("request", c.in.ID), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.Stringer("outcome", ended.Outcome), zap.Bool("sent", ended.Sent), zap.Int64("relayed", ended.RelayedBytes),
		zap.Duration("duration", time.Since(started)), zap.Duration("first_event", c.firstEventWait), zap.Duration("weights_left", c.weightsLeft), zap.Duration("expected_wait", c.expectedWait), zap.Int("weights_served", c.servedVersion),
		zap.Strings("prompt_parts", parts), zap.String("request_name", name), zap.Bool("may_have_crashed", ended.MayHaveCrashed), zap.Error(ended.Err))
	return ended
}

// endedBeforeResponse reports whether an attempt ended before the first event of its stream, or before
// its response was complete, although the worker had received the request.
func (c *call) endedBeforeResponse(ended retry.Attempt) bool {
	return ended.Sent && ended.Outcome == laburnumgwv1.Outcome_OUTCOME_UNKNOWN && !c.began
}

// exchange sends the request to one worker and relays its response.
func (c *call) exchange(ctx context.Context, decision routing.Decision, tracked *routing.Attempt) (retry.Attempt, *laburnumgwv1.Load) {
	sentAt := time.Now()
	firstEvent, sendUntil := c.firstEventTimeout(decision)
	request := &workerconn.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Body: c.body, ID: c.in.ID, ResponseTimeout: firstEvent, SendUntil: sendUntil,
		NewConnection: !c.route.Repeatable(),
		Header:        platform.WorkerHeader(c.forwarded, c.forward(decision)),
	}
	response, sent, err := c.conns.Send(ctx, decision.Address, request, c.owns)
	if err != nil {
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, sent, "", err), nil
	}
	defer response.Abort()
	workerResponse := platform.ParseWorkerResponse(response.StatusCode, response.Header)
	load := loadOf(workerResponse.Load)
	if workerResponse.Sealed {
		c.servedVersion = workerResponse.WeightVersion
	}
	if workerResponse.Leaving && !workerResponse.Misdirected {
		c.view.responseStatesLeaving(decision.VM)
	}
	if c.statesLimit(workerResponse) {
		c.view.limitStated(decision.VM, c.trackedWorker, workerResponse.Limit, sentAt)
	}
	switch {
	case workerResponse.Misdirected && c.relayedBytes == 0:
		c.view.markMisdirected(decision.VM)
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_NOT_RUN, true, "", errMisdirected), nil
	case workerResponse.NotExecuted:
		response.Discard(workerResponse.KeepAlive)
		refused := c.attemptResult(laburnumgwv1.Outcome_OUTCOME_NOT_RUN, true, "", errRefused)
		refused.RetryAfter = c.view.pauseWorker(c.service, decision.VM, workerResponse.RetryAfter)
		return refused, load
	case !workerResponse.Sealed:
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", errNotSealed), load
	case c.relayedBytes > 0 && response.StatusCode == http.StatusOK && workerResponse.WeightVersion != c.weightVersion:
		// The worker changed its weights after it was chosen and did not refuse.
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", errOtherWeights), load
	case c.route.Kind == catalog.Stream && response.StatusCode == http.StatusOK:
		c.weightVersion = workerResponse.WeightVersion
		c.view.loadReceived(c.service, tracked, load)
		err = c.relayStream(response, workerResponse, firstEvent, c.workerTimeout(decision), func() {
			c.firstEventWait = time.Since(sentAt)
			c.view.attemptAccepted(c.service, tracked)
			c.view.startWaitEnded(c.startWait, waitBegun)
			c.responseBegan()
		})
		load = nil // outdated: it was sent with the head of the stream
	default:
		return c.relayBuffered(response, workerResponse), load
	}
	version := ""
	if c.weightVersion > 0 {
		version = strconv.Itoa(c.weightVersion)
	}
	if err != nil {
		return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, version, err), load
	}
	return c.attemptResult(laburnumgwv1.Outcome_OUTCOME_COMPLETE, true, version, nil), load
}

// statesLimit reports whether a response tells about the limit of the worker. Another worker
// says nothing about it, and without the seal a missing limit proves nothing.
func (c *call) statesLimit(response platform.WorkerResponse) bool {
	if response.Misdirected {
		return false
	}
	return response.Sealed || response.NotExecuted || response.Limit.Kind == workerlimit.Limited
}

func (c *call) attemptResult(outcome laburnumgwv1.Outcome, sent bool, version string, err error) retry.Attempt {
	return retry.Attempt{Outcome: outcome, Sent: sent, RelayedBytes: c.relayedBytes, VersionDigest: version, Err: err}
}

// forward returns the headers that are added to a request for a worker. An interrupted stream is
// resumed after the last event that reached the caller, on the same weights. The weights are named as well
// where the worker must not run the request on older ones, which it may have.
func (c *call) forward(decision routing.Decision) platform.ForwardHeaders {
	f := platform.ForwardHeaders{Worker: decision.VM, Workspace: c.workspaceName(), Deadline: c.limits.Left(time.Now())}
	if c.relayedBytes > 0 {
		f.LastEventID = c.lastEventID
	}
	// The digest of a decision is always a decimal version number.
	version, _ := strconv.Atoi(decision.VersionDigest)
	if c.relayedBytes > 0 || (c.engine != nil && c.view.mayHaveOlderWeights(decision.VM, c.engine.Model, version)) {
		f.WeightVersion = version
	}
	return f
}

// silencePatience returns how long a worker that neither sends anything nor reports is waited for
// before a repeatable request is sent to another one. Sound workers fall silent for a second or so, so
// that it is as long as callers of a stream wait, less the objective, within which the repeat has to
// begin. That is 1.5 s at least, and maxSilencePatience at most.
func silencePatience(route *catalog.Route) time.Duration {
	return min(maxSilencePatience, route.CallerEventTimeout()-route.Objective)
}

// firstEventPatience is silencePatience before the first event of a stream, for which the entry waits
// firstEventReserve less than callers. It leaves the repeat the objective, or firstEventReserve, unless
// minSilencePatience is longer.
func firstEventPatience(route *catalog.Route) time.Duration {
	left := route.CallerEventTimeout() - firstEventReserve - max(route.Objective, firstEventReserve)
	return min(maxSilencePatience, max(minSilencePatience, left))
}

// workerTimeout returns how long to wait for a worker that sends nothing, or nil for no limit
// when the request must not be repeated. A model worker that reports is alive and only busy, so
// it gets most of the time that callers wait. While the request can't be sent to another worker, it
// is waited for until the caller has left for certain.
func (c *call) workerTimeout(decision routing.Decision) workerconn.TimeoutFunc {
	return c.patientTimeout(decision, silencePatience(c.route))
}

// patientTimeout is workerTimeout with a patience for a worker that does not report.
func (c *call) patientTimeout(decision routing.Decision, patience time.Duration) workerconn.TimeoutFunc {
	if !c.route.Repeatable() {
		return nil
	}
	busy, end := time.Duration(0), c.limits.Left(time.Now())
	if c.route.Kind == catalog.Stream {
		busy, end = c.route.CallerEventTimeout()-firstEventReserve, c.route.CallerEventTimeout()+firstEventReserve
	}
	return func(waited time.Duration) time.Duration {
		switch {
		case waited < patience:
			return patience - waited
		case waited < busy && c.view.reporting(decision.VM):
			return min(busy-waited, reportPollInterval)
		case waited < end && !c.canRepeat(decision):
			return min(end-waited, reportPollInterval)
		}
		return 0
	}
}

// firstEventTimeout is workerTimeout for the head and the first event of a response. A request
// must not start on weights after their bound, so the wait ends there at the latest, also when the bound has
// come closer since, and the request is not sent any more when sendUntil has passed.
func (c *call) firstEventTimeout(decision routing.Decision) (bounded workerconn.TimeoutFunc, sendUntil func() time.Time) {
	timeout := c.workerTimeout(decision)
	if c.route.Kind == catalog.Stream && c.relayedBytes == 0 {
		timeout = c.patientTimeout(decision, firstEventPatience(c.route))
	}
	if c.engine == nil {
		return timeout, nil
	}
	bound, _, expected := c.startLimits(decision)
	c.expectedWait = expected
	sendUntil = func() time.Time {
		_, until, _ := c.startLimits(decision)
		return until
	}
	if bound.IsZero() && timeout == nil {
		return nil, sendUntil
	}
	now := time.Now()
	return func(time.Duration) time.Duration {
		more := reportPollInterval
		if bound, _, _ := c.startLimits(decision); !bound.IsZero() {
			c.weightsLeft = bound.Sub(now)
			more = min(more, time.Until(c.limits.StartBy(bound)))
		}
		if timeout != nil {
			more = min(more, timeout(time.Since(now)))
		}
		return more
	}, sendUntil
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
	return &laburnumgwv1.Load{InFlight: int32(load.Running), Queued: int32(load.Queued), Limit: int32(load.Slots)}
}

// finish sends the final response of a request that is not complete. It returns the reason for
// the log and the metrics.
func (c *call) finish(ctx context.Context, ended retry.Attempt, err error) string {
	cause := context.Cause(ctx)
	stopped := errors.Is(cause, drain.ErrStopping)
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
