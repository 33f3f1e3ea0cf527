package endpoint

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/admission"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/journal"
)

// refusedRetryAfter is how long a caller should wait before a retry after a refusal with a
// short-lived cause.
const refusedRetryAfter = time.Second

// weightsState states which verified weights the engine serves.
type weightsState interface {
	// acquire returns the version that the engine serves for a model and a function that
	// releases it. The engine does not change the version until it is released.
	acquire(model string) (version servedVersion, done func(), ok bool)
}

// servedVersion is a version that the engine serves.
type servedVersion struct {
	digest      string
	fingerprint string
}

// server implements the Endpoint service, through which all requests to the endpoint pass.
type server struct {
	laburnumgwv1.UnimplementedEndpointServer
	vm             string
	zone           string
	service        string
	serviceTimeout time.Duration
	gate           *admission.Gate
	journal        *journal.Journal
	backend        *backend
	weights        weightsState
	zones          *zoneState
	metrics        *endpointMetrics
	log            *zap.Logger
	currentLoad    func() *laburnumgwv1.Load
	shutdown       *drain.Shutdown
	// ready reports whether the process has a configuration to act on.
	ready func() bool
}

// frameWriter sends the response frames of one attempt.
type frameWriter struct {
	stream      laburnumgwv1.Endpoint_ServeServer
	id          string
	attempt     uint32
	digest      string
	replay      bool
	currentLoad func() *laburnumgwv1.Load
}

func (f *frameWriter) header(status int, contentType string) error {
	return f.stream.Send(&laburnumgwv1.ServeResponse{
		RequestId: f.id, Attempt: f.attempt, Load: f.currentLoad(),
		Frame: &laburnumgwv1.ServeResponse_Header{Header: &laburnumgwv1.Header{
			HttpStatus: int32(status), ContentType: contentType, VersionDigest: f.digest, Replayed: f.replay,
		}},
	})
}

func (f *frameWriter) data(payload []byte) error {
	return f.stream.Send(&laburnumgwv1.ServeResponse{
		RequestId: f.id, Attempt: f.attempt, Frame: &laburnumgwv1.ServeResponse_Data{Data: payload},
	})
}

func (f *frameWriter) final(r result) error {
	return f.stream.Send(&laburnumgwv1.ServeResponse{
		RequestId: f.id, Attempt: f.attempt, Load: f.currentLoad(),
		Frame: &laburnumgwv1.ServeResponse_Final{Final: &laburnumgwv1.Final{
			Outcome: r.outcome, TotalBytes: r.totalBytes, Checksum: r.checksum, ErrorKind: string(r.kind),
			Message: r.message, RetryAfterMs: r.retryAfter.Milliseconds(), Tokens: r.tokens,
		}},
	})
}

// Serve implements the Endpoint service.
func (s *server) Serve(request *laburnumgwv1.ServeRequest, stream laburnumgwv1.Endpoint_ServeServer) error {
	out := &frameWriter{stream: stream, id: request.GetRequestId(), attempt: request.GetAttempt(), currentLoad: s.currentLoad}
	started := time.Now()
	r := s.run(stream.Context(), request, out)
	s.metrics.recordAttempt(r.outcome, started)
	s.log.Info("attempt ended", zap.String("request", out.id), zap.Uint32("attempt", out.attempt),
		zap.String("workspace", request.GetWorkspace()), zap.Stringer("outcome", r.outcome),
		zap.String("kind", string(r.kind)), zap.String("message", r.message), zap.Duration("duration", time.Since(started)))
	return out.final(r)
}

func (s *server) run(ctx context.Context, request *laburnumgwv1.ServeRequest, out *frameWriter) result {
	if !s.ready() {
		return refusal("endpoint process %s has no configuration yet", s.vm)
	}
	if r, refused := s.refusedByZone(request); refused {
		return r
	}
	deadline := time.Now().Add(time.Duration(request.GetDeadlineMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, release := s.shutdown.Bound(ctx)
	defer release(nil)
	c := call{
		requestID: request.GetRequestId(), workspace: request.GetWorkspace(), method: request.GetMethod(), path: request.GetPath(),
		contentType: request.GetContentType(), body: request.GetBody(), idempotencyKey: request.GetIdempotencyKey(),
		priority: request.GetPriority(), resumeTokens: request.GetResumeTokens(),
	}
	if request.GetModel() != "" {
		return s.runModel(ctx, request, c, deadline, out)
	}
	if s.service == "" || request.GetService() != s.service {
		return refusal("endpoint %s does not offer service %q", s.vm, request.GetService())
	}
	if request.GetIdempotent() {
		return s.runAdmitted(ctx, request, deadline, func() result { return s.backend.run(ctx, c, out) })
	}
	return s.runOnce(ctx, request, c, deadline, out)
}

// refusedByZone refuses a request in an availability zone that is out of service.
func (s *server) refusedByZone(request *laburnumgwv1.ServeRequest) (r result, refused bool) {
	if !s.zones.refuses(request.GetConfigGeneration(), time.Now()) {
		return result{}, false
	}
	return refusal("availability zone %s is out of service", s.zone), true
}

func refusal(format string, args ...any) result {
	return notRunResult(errkind.New(errkind.NotRun, "repeat the request; another endpoint can take it", format, args...).
		WithRetryAfter(refusedRetryAfter))
}

func (s *server) runModel(ctx context.Context, request *laburnumgwv1.ServeRequest, c call, deadline time.Time, out *frameWriter) result {
	if s.weights == nil {
		return refusal("endpoint %s serves no models", s.vm)
	}
	return s.runAdmitted(ctx, request, deadline, func() result {
		version, done, ok := s.weights.acquire(request.GetModel())
		if !ok {
			return refusal("model %q is not served by endpoint %s at present", request.GetModel(), s.vm)
		}
		defer done()
		if wanted := request.GetVersionDigest(); wanted != "" && wanted != version.digest {
			return refusal("endpoint %s serves version %s, not %s", s.vm, version.digest, wanted)
		}
		c.engine = true
		c.fingerprint = version.fingerprint
		out.digest = version.digest
		return s.backend.run(ctx, c, out)
	})
}

// runAdmitted runs a request once the admission gate admits it, and reports the outcome to the
// gate.
func (s *server) runAdmitted(ctx context.Context, request *laburnumgwv1.ServeRequest, deadline time.Time, run func() result) result {
	kind := admission.Idempotent
	if !request.GetIdempotent() {
		kind = admission.NonIdempotent
	}
	release, err := s.gate.Acquire(ctx, admission.Request{
		ID: request.GetRequestId(), Workspace: request.GetWorkspace(), Priority: request.GetPriority(), Deadline: deadline, Kind: kind,
	})
	if err != nil {
		return notRunResult(err)
	}
	// The zone may have changed while the request waited.
	if r, refused := s.refusedByZone(request); refused {
		release(admission.Abandoned)
		return r
	}
	r := run()
	release(admissionResult(ctx, r))
	return r
}

func admissionResult(ctx context.Context, r result) admission.Result {
	switch r.outcome {
	case laburnumgwv1.Outcome_OUTCOME_COMPLETE:
		return admission.Succeeded
	case laburnumgwv1.Outcome_OUTCOME_NOT_RUN, laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS:
		return admission.Abandoned
	default:
		if ctx.Err() != nil {
			return admission.Abandoned
		}
		return admission.Failed
	}
}

// runOnce runs a non-idempotent request at most once. The run continues when the caller
// disconnects, because its outcome has to be recorded.
func (s *server) runOnce(ctx context.Context, request *laburnumgwv1.ServeRequest, c call, deadline time.Time, out *frameWriter) result {
	return s.runAdmitted(ctx, request, deadline, func() result {
		if c.idempotencyKey == "" {
			runCtx, cancel := s.runContext(ctx)
			defer cancel()
			return s.backend.run(runCtx, c, out)
		}
		key := journal.Key{Workspace: c.workspace, Service: s.service, IdempotencyKey: c.idempotencyKey}
		ticket, replay, err := s.journal.Begin(ctx, key, bodyDigest(c))
		switch {
		case err != nil:
			return journalResult(err)
		case replay != nil:
			return s.replay(replay, out)
		}
		return s.runTicket(ctx, ticket, c, out)
	})
}

// runContext returns the context of a run that outlasts its caller.
func (s *server) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, release := s.shutdown.Bound(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, s.serviceTimeout)
	return ctx, func() {
		cancel()
		release(nil)
	}
}

// bodyDigest returns the digest of the method, path and body, by which two different requests
// with the same key are told apart.
func bodyDigest(c call) journal.Digest {
	var digestInput []byte
	for _, part := range []string{c.method, c.path} {
		digestInput = append(digestInput, part...)
		digestInput = append(digestInput, 0)
	}
	return journal.DigestOf(append(digestInput, c.body...))
}

func journalResult(err error) result {
	r := notRunResult(err)
	r.kind = errkind.Of(err)
	switch r.kind {
	case errkind.InProgress:
		r.outcome = laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS
	case errkind.OutcomeUnknown, errkind.KeyExpired:
		r.outcome = laburnumgwv1.Outcome_OUTCOME_UNKNOWN
	case errkind.KeyReused, errkind.KeyMissing:
		r.outcome = laburnumgwv1.Outcome_OUTCOME_FAILED
	case errkind.NotFound:
		r.kind = errkind.NotRun
	case errkind.NotRun:
	default:
		r.outcome = laburnumgwv1.Outcome_OUTCOME_UNKNOWN
		r.kind = errkind.OutcomeUnknown
	}
	return r
}

// bufferedResponse holds a response until it is complete.
type bufferedResponse struct {
	status      int
	contentType string
	body        []byte
}

func (c *bufferedResponse) header(status int, contentType string) error {
	c.status = status
	c.contentType = contentType
	return nil
}

func (c *bufferedResponse) data(payload []byte) error {
	c.body = append(c.body, payload...)
	return nil
}

func (s *server) runTicket(ctx context.Context, ticket *journal.Ticket, c call, out *frameWriter) result {
	runCtx, cancel := s.runContext(ctx)
	defer cancel()
	var response bufferedResponse
	r := s.backend.run(runCtx, c, &response)
	switch r.outcome {
	case laburnumgwv1.Outcome_OUTCOME_COMPLETE:
		ticket.Complete(journal.Response{Status: response.status, ContentType: response.contentType, Body: response.body})
	case laburnumgwv1.Outcome_OUTCOME_NOT_RUN:
		ticket.NotStarted()
		return r
	default:
		ticket.OutcomeUnknown()
		return r
	}
	return send(out, response.status, response.contentType, response.body)
}

// replay sends the recorded response of an earlier run of the request.
func (s *server) replay(recorded *journal.RecordedResponse, out *frameWriter) result {
	s.metrics.replays.Inc()
	if recorded.Omitted {
		return unknownResult("the request ran once and was answered with status %d; its body of %d bytes was too large to record, read the result from the service",
			recorded.Status, recorded.Size)
	}
	out.replay = true
	return send(out, recorded.Status, recorded.ContentType, recorded.Body)
}

// errSend marks a response that could not be sent to the entry.
var errSend = errors.New("entry disconnected before the response was sent")

func send(out sink, status int, contentType string, body []byte) result {
	if err := out.header(status, contentType); err != nil {
		return unknownResult("%v: %v", errSend, err)
	}
	sum := &countingWriter{out: out, digest: xxhash.New()}
	for start := 0; start < len(body); start += dataFrameBytes {
		if err := sum.data(body[start:min(len(body), start+dataFrameBytes)]); err != nil {
			return unknownResult("%v: %v", errSend, err)
		}
	}
	return sum.result(status)
}
