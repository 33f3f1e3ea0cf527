package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/workerconn"
	"laburnumgw/lib/workerlimit"
	"laburnumgw/platform"
)

// attempt is one attempt at a request. It may run beside another one of the same request, so that it changes
// nothing of the call. Only what is relayed to the caller does.
type attempt struct {
	*call
	decision routing.Decision
	number   uint32
	// ctx ends the attempt. sentAt is when it was handed to the connection pool. finished is set once its end
	// was recorded.
	ctx      context.Context
	sentAt   time.Time
	finished bool
	// beside is set for an attempt that was sent beside a silent one.
	beside bool
	// writtenAt is when the request was written, once its connection was open; zero before.
	writtenAt time.Time
	// endsBy is when the worker ends the request by the time that it was given, zero before the request is written. endsAtBound
	// is set if that is because of the bound of its weights.
	endsBy      time.Time
	endsAtBound bool

	// tracked is the attempt in the routing table. startedAtMs is the start of its worker at address, and
	// reportAge the age of the worker's last report when it was chosen.
	tracked     routing.Attempt
	startedAtMs int64
	address     string
	reportAge   time.Duration
	startWait   startWait
	sentLoad    sentLoad

	// continues is set when the attempt goes on with a stream after lastEventID, on weightVersion.
	// continuesEvents is set when that is a series of events.
	continues, continuesEvents bool
	lastEventID                string
	weightVersion              int

	// began is set once the worker has begun to write a stream, or its response is complete.
	began bool
	// firstEventWait is how long the attempt waited for its first event, zero for none.
	// weightsLeft is how long requests could still start on the weights when it was sent, by the bound
	// as it is known now, zero for no bound.
	// expectedWait is how long requests were expected to wait at the worker then.
	firstEventWait, weightsLeft, expectedWait time.Duration
	// servedVersion is the version of the weights in the head of the response, zero without one.
	servedVersion int
	// countedBytes and countedResponse are the sizes of the request and of its response that count at the worker, zero for
	// none.
	countedBytes, countedResponse int64
	// readsAhead is set while another goroutine than that of the request reads the stream.
	readsAhead atomic.Bool
	// failure is a complete response that reports a failure; nil for none.
	failure *bufferedResponse
	load    *laburnumgwv1.Load
	// brokenEnd is the end of a response without length and chunks that was taken for broken off; nil for none.
	brokenEnd *unmarkedEnd
}

// opened is what an attempt has brought before any of it was relayed: a stream with its first events, a
// complete response, or the end of the attempt without either.
type opened struct {
	stream   *stream
	buffered *bufferedResponse
	// release returns the memory of buffered.
	release func()
	ended   retry.Attempt
}

// hasBegun reports whether there is something to relay.
func (o *opened) hasBegun() bool { return o.stream != nil || o.buffered != nil }

// close ends a response that is not relayed.
func (o *opened) close() {
	if o.stream != nil {
		o.stream.close()
	}
	if o.release != nil {
		o.release()
	}
}

// start returns the worker of the attempt as the quarantine knows it.
func (a *attempt) start() quarantine.Start {
	return quarantine.Start{Address: a.address, StartedAtMs: a.startedAtMs}
}

// result returns the end of an attempt of which nothing was relayed.
func (a *attempt) result(outcome laburnumgwv1.Outcome, sent bool, version string, err error) retry.Attempt {
	return retry.Attempt{Outcome: outcome, Sent: sent, VersionDigest: version, Err: err}
}

// open sends the request to the worker and reads its response until it has begun.
func (a *attempt) open(firstEvent workerconn.TimeoutFunc) opened {
	request := &workerconn.Request{
		Method: a.r.Method, Target: a.r.RequestURI, Host: a.r.Host, Body: a.body, ID: a.in.ID, ResponseTimeout: firstEvent, RemainderTimeout: a.remainderTimeout(), SendUntil: a.sendUntil(),
		NewConnection: !a.route.Repeatable(),
		Header:        platform.WorkerHeader(a.forwarded, a.forward()),
		BeforeWrite:   a.beforeWrite,
	}
	response, sent, err := a.conns.Send(a.ctx, a.decision.Address, request, a.owns)
	if err != nil {
		return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, sent, "", err)}
	}
	o := a.read(response, firstEvent)
	if o.stream == nil {
		response.Abort()
	}
	return o
}

// read reads a response until it has begun.
func (a *attempt) read(response *workerconn.Response, firstEvent workerconn.TimeoutFunc) opened {
	vm := a.decision.VM
	workerResponse := platform.ParseWorkerResponse(response.StatusCode, response.Header)
	load := loadOf(workerResponse.Load)
	if workerResponse.Sealed {
		a.servedVersion = workerResponse.WeightVersion
	}
	if !workerResponse.Misdirected {
		a.view.loadStated(a.service, vm, a.startedAtMs, workerResponse.Load)
	}
	if workerResponse.Leaving && !workerResponse.Misdirected {
		a.view.responseStatesLeaving(vm)
	}
	if a.statesLimit(workerResponse) {
		a.view.limitStated(vm, a.startedAtMs, workerResponse.Limit, a.sentAt)
	}
	unknown := func(err error) opened {
		return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", err)}
	}
	switch {
	case workerResponse.Misdirected && !a.continues:
		a.view.markMisdirected(vm, a.expectedVersion())
		return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_NOT_RUN, true, "", errMisdirected)}
	case workerResponse.NotExecuted:
		response.Discard(workerResponse.KeepAlive)
		refused := a.result(laburnumgwv1.Outcome_OUTCOME_NOT_RUN, true, "", a.refusal(workerResponse.Load))
		refused.RetryAfter = a.view.pauseWorker(a.service, vm, workerResponse.RetryAfter)
		a.load = load
		return opened{ended: refused}
	case !workerResponse.Sealed:
		a.load = load
		return unknown(errNotSealed)
	case a.continues && response.StatusCode == http.StatusOK && workerResponse.WeightVersion != a.weightVersion:
		// The worker changed its weights after it was chosen and did not refuse.
		a.load = load
		return unknown(errOtherWeights)
	case a.route.Kind == catalog.Stream && response.StatusCode == http.StatusOK:
		a.view.loadReceived(a.service, &a.tracked, load)
		return a.openStream(response, workerResponse, firstEvent)
	}
	a.load = load
	return a.buffer(response, workerResponse)
}

// openStream reads a stream up to its first events.
func (a *attempt) openStream(response *workerconn.Response, workerResponse platform.WorkerResponse, firstEvent workerconn.TimeoutFunc) opened {
	a.weightVersion = workerResponse.WeightVersion
	s, err := a.newStream(response, workerResponse)
	if err == nil {
		s.first, err = s.next(firstEvent)
	}
	if err != nil && len(s.first.events) == 0 {
		s.close()
		return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, versionDigest(a.weightVersion), err)}
	}
	s.firstErr = err
	return opened{stream: s}
}

// versionDigest returns a version of weights as the digest of a decision, empty without one.
func versionDigest(version int) string {
	if version == 0 {
		return ""
	}
	return strconv.Itoa(version)
}

// buffer reads a response that is no stream to its end.
func (a *attempt) buffer(response *workerconn.Response, workerResponse platform.WorkerResponse) opened {
	a.memoryResponds(response.ContentLength)
	body, release, err := a.buffers.readAll(a.call, response.Body, response.ContentLength)
	if err == nil && !response.EndMarked() {
		err = a.checkEnd()
	}
	if err != nil {
		release()
		return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", fmt.Errorf("%w: %w", errTruncated, err))}
	}
	response.Finish(workerResponse.KeepAlive)
	a.responseBegan()
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body, release: release}
	switch {
	case a.continues, meansNotRun(buffered.status):
		// The worker ran the request, although callers take some statuses as "not run".
	case buffered.status >= http.StatusInternalServerError && a.route.Repeatable():
		a.failure = buffered // keeps its memory
	default:
		return opened{buffered: buffered, release: release}
	}
	if a.failure == nil {
		release()
	}
	return opened{ended: a.result(laburnumgwv1.Outcome_OUTCOME_FAILED, true, "", errWorkerFailed)}
}

// statesLimit reports whether a response tells about the limit of the worker. Another worker
// says nothing about it, and without the seal a missing limit proves nothing.
func (a *attempt) statesLimit(response platform.WorkerResponse) bool {
	if response.Misdirected {
		return false
	}
	return response.Sealed || response.NotExecuted || response.Limit.Kind == workerlimit.Limited
}

// forward returns the headers that are added to a request for a worker. An interrupted stream is
// resumed after the last event that reached the caller. The weights for which the worker was chosen are named, since it may
// load others before it begins, which are out of time or not known to be whole.
func (a *attempt) forward() platform.ForwardHeaders {
	f := platform.ForwardHeaders{Worker: a.decision.VM, Workspace: a.workspaceName(), Deadline: a.limits.Left(time.Now()), Order: a.sentLoad.order, HasOrder: a.sentLoad.hasOrder}
	if a.continues {
		f.LastEventID = a.lastEventID
	}
	if a.continues || a.engine != nil {
		f.WeightVersion = a.expectedVersion()
	}
	return f
}

// beforeWrite states until when the worker may work on the request. Weights with a bound end the request there if it is over
// by then for certain: the worker knows how long the request has waited, whatever has delayed it, and the entry does not.
func (a *attempt) beforeWrite(header http.Header) {
	now := time.Now()
	a.writtenAt, a.endsAtBound = now, false
	left := a.limits.Left(now)
	if needs, known := a.longestRun(); known {
		if window, _ := a.startLimits(a.decision); window.Limits(needs, now) && window.TimeLimit.Sub(now) < left {
			left, a.endsAtBound = window.TimeLimit.Sub(now), true
		}
	}
	a.endsBy = now.Add(platform.SetDeadline(header, left))
}

// longestRun returns how long a request to an engine runs at most once it has begun, if its length has a limit. The estimate of its
// caller is often far off.
func (a *attempt) longestRun() (time.Duration, bool) {
	if a.engine == nil || a.in.MaxOutputTokens <= 0 {
		return 0, false
	}
	return time.Duration(runReserve * float64(a.engine.Duration(a.in.PromptTokens, a.in.MaxOutputTokens))), true
}

// timeLimitPassed reports whether the worker was told to end the request by now. How it does so says nothing about it.
func (a *attempt) timeLimitPassed() bool { return !a.endsBy.IsZero() && !time.Now().Before(a.endsBy) }

// expectedVersion returns the weights for which the worker was chosen; zero for a plain worker.
func (a *attempt) expectedVersion() int {
	// The digest of a decision is always a decimal version number.
	version, _ := strconv.Atoi(a.decision.VersionDigest)
	return version
}

// finish records the end of the attempt in the view, the metrics and the log. It waits for news of a crash when the
// request was lost.
func (a *attempt) finish(ended retry.Attempt) retry.Attempt {
	if a.finished {
		return ended
	}
	a.finished = true
	requestEnded := a.r.Context().Err() != nil
	result := routing.Result{Outcome: ended.Outcome, Sent: ended.Sent, Load: a.load}
	if requestEnded {
		// The caller disconnected or its timeout has passed, which says nothing about the
		// endpoint.
		result.Outcome = laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED
		result.Sent = true
	}
	superseded := a.superseded()
	isComplete := ended.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE
	if superseded || errors.Is(ended.Err, workerconn.ErrNotSentInTime) || (a.timeLimitPassed() && !isComplete) {
		result.Outcome = laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED
	}
	a.view.attemptFinished(a, result)
	a.memoryEnded(ended.Sent && lostConnection(ended.Err))
	switch {
	case !ended.Sent || (ended.Outcome == laburnumgwv1.Outcome_OUTCOME_NOT_RUN && !a.timeLimitPassed()):
		a.view.startWaitEnded(a.startWait, waitUnknown)
	case a.began:
		a.view.startWaitEnded(a.startWait, waitBegun)
	default:
		a.view.startWaitEnded(a.startWait, waitGivenUp)
	}
	a.metrics.attempts.UpdateDuration(a.sentAt)
	if !requestEnded {
		a.recordWeights(ended, time.Since(a.sentAt))
	}
	if !superseded && !a.timeLimitPassed() {
		ended.MayHaveCrashed = a.recordCrash(ended)
	}
	var parts []string
	name := ""
	if a.endedBeforeResponse(ended) {
		parts, name = a.in.PromptParts, a.requestName()
	}
	a.logFor(isComplete).Info("attempt ended", zap.String("request", a.in.ID), zap.Uint32("attempt", a.number), zap.String("vm", a.decision.VM),
		zap.Stringer("outcome", ended.Outcome), zap.Bool("sent", ended.Sent), zap.Bool("hedge", a.beside), zap.Bool("superseded", superseded), zap.Int64("relayed", ended.RelayedBytes),
		zap.Duration("duration", time.Since(a.sentAt)), zap.Duration("connect", a.connectTime()), zap.Duration("first_event", a.firstEventWait), zap.Duration("weights_left", a.weightsLeft), zap.Duration("expected_wait", a.expectedWait), zap.Int("weights_served", a.servedVersion),
		zap.Strings("prompt_parts", parts), zap.String("request_name", name), zap.Bool("may_have_crashed", ended.MayHaveCrashed), zap.Error(ended.Err))
	return ended
}

// connectTime returns how long the request waited for its connection, zero if it was not written.
func (a *attempt) connectTime() time.Duration {
	if a.writtenAt.IsZero() {
		return 0
	}
	return a.writtenAt.Sub(a.sentAt)
}

// forget records the end of an attempt that tells nothing about its worker: it was not sent, or it panicked.
func (a *attempt) forget() {
	if a.finished {
		return
	}
	a.finished = true
	a.view.attemptFinished(a, routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED})
	a.memoryEnded(false)
	a.view.startWaitEnded(a.startWait, waitUnknown)
}

// endedBeforeResponse reports whether an attempt ended before the first event of its stream, or before
// its response was complete, although the worker had received the request.
func (a *attempt) endedBeforeResponse(ended retry.Attempt) bool {
	return ended.Sent && ended.Outcome == laburnumgwv1.Outcome_OUTCOME_UNKNOWN && !a.began
}
