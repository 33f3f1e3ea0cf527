package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/rpc"
)

// script is the behaviour of an endpoint process towards one call.
type script func(ctx context.Context, call *scriptedCall) error

// scriptedCall is one call to a scripted endpoint process.
type scriptedCall struct {
	request *laburnumgwv1.ServeRequest
	stream  laburnumgwv1.Endpoint_ServeServer
	sum     *xxhash.Digest
	total   int64
}

func (c *scriptedCall) send(f *frame) error {
	f.RequestId, f.Attempt = c.request.GetRequestId(), c.request.GetAttempt()
	return c.stream.Send(f)
}

func (c *scriptedCall) data(text string) error {
	c.total += int64(len(text))
	_, _ = c.sum.WriteString(text)
	return c.send(dataFrame(text))
}

func (c *scriptedCall) complete() error {
	return c.send(&frame{Frame: &laburnumgwv1.ServeResponse_Final{Final: &laburnumgwv1.Final{
		Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, TotalBytes: c.total, Checksum: c.sum.Sum64(),
	}}})
}

// streamText is the whole stream of the scripted endpoint processes.
const streamText = "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n"

// events sends the events of the stream from one to another.
func (c *scriptedCall) events(from, to int) error {
	for _, event := range strings.SplitAfter(streamText, "\n\n")[from:to] {
		if err := c.data(event); err != nil {
			return err
		}
	}
	return nil
}

// pause waits, or until the call is cancelled.
func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// serveStream serves the stream with a silence before its third event.
func serveStream(silence time.Duration) script {
	return func(ctx context.Context, c *scriptedCall) error {
		if err := c.send(headerFrame("text/event-stream", "v1")); err != nil {
			return err
		}
		from := int(c.request.GetResumeTokens())
		if from < 2 {
			if err := c.events(from, 2); err != nil {
				return err
			}
			from = 2
		}
		if err := pause(ctx, silence); err != nil {
			return err
		}
		if err := c.events(from, 5); err != nil {
			return err
		}
		return c.complete()
	}
}

// servePlain serves a plain response after a silence.
func servePlain(silence time.Duration) script {
	return func(ctx context.Context, c *scriptedCall) error {
		if err := pause(ctx, silence); err != nil {
			return err
		}
		if err := c.send(headerFrame("application/json", "v1")); err != nil {
			return err
		}
		if err := c.data("{}"); err != nil {
			return err
		}
		return c.complete()
	}
}

func refuse(_ context.Context, c *scriptedCall) error {
	return c.send(&frame{Frame: &laburnumgwv1.ServeResponse_Final{Final: &laburnumgwv1.Final{
		Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, ErrorKind: "not_run", Message: "full",
	}}})
}

func runsAlready(_ context.Context, c *scriptedCall) error {
	return c.send(&frame{Frame: &laburnumgwv1.ServeResponse_Final{Final: &laburnumgwv1.Final{
		Outcome: laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS, ErrorKind: "in_progress", Message: "runs",
	}}})
}

func breakOff(context.Context, *scriptedCall) error { return io.ErrUnexpectedEOF }

// scriptedEndpoint is an endpoint process. It counts its calls, and those that were cancelled before they ended.
type scriptedEndpoint struct {
	laburnumgwv1.UnimplementedEndpointServer
	script script

	mu               sync.Mutex
	calls, cancelled int
}

func (e *scriptedEndpoint) Serve(request *laburnumgwv1.ServeRequest, stream laburnumgwv1.Endpoint_ServeServer) error {
	e.mu.Lock()
	e.calls++
	e.mu.Unlock()
	err := e.script(stream.Context(), &scriptedCall{request: request, stream: stream, sum: xxhash.New()})
	if err != nil && stream.Context().Err() != nil {
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
	}
	return err
}

func (e *scriptedEndpoint) counts() (calls, cancelled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls, e.cancelled
}

// scriptedMetrics are made outside of any bubble of virtual time, since summaries have a goroutine that never ends.
var scriptedMetrics = newEntryMetrics()

// scriptedEntry is an entry before scripted endpoint processes.
type scriptedEntry struct {
	t       *testing.T
	control *control
}

// newScriptedEntry returns an entry that knows an endpoint process "a". Others are added later, so that requests
// go to "a" first. It must be called in a bubble of virtual time.
func newScriptedEntry(t *testing.T, endpoints map[string]*scriptedEndpoint) *scriptedEntry {
	t.Helper()
	conns := rpc.NewPlainPool()
	listeners := make(map[string]*bufconn.Listener)
	for vm, endpoint := range endpoints {
		listener := bufconn.Listen(1 << 16)
		server := grpc.NewServer()
		laburnumgwv1.RegisterEndpointServer(server, endpoint)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		listeners[vm+":1"] = listener
	}
	conns.UseDialer(func(ctx context.Context, _, address string) (net.Conn, error) {
		return listeners[address].DialContext(ctx)
	})
	t.Cleanup(conns.Close)
	settings := &Settings{RecentDecisions: 10, DetailEvery: 1}
	settings.VM, settings.Zone, settings.Region = "entry", "a", "north"
	r, err := newRoutes(settings, scriptedMetrics, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := r.configure(testSnapshot(t)); err != nil {
		t.Fatal(err)
	}
	d := newDispatcher(r, conns, scriptedMetrics, zap.NewNop())
	e := &scriptedEntry{t: t, control: &control{routes: r, dispatcher: d, metrics: scriptedMetrics, log: zap.NewNop()}}
	e.add("a")
	return e
}

// add makes an endpoint process known.
func (e *scriptedEntry) add(vm string) {
	e.control.routes.applyReport(membership.EndpointView{
		Peer: membership.Peer{VM: vm, Zone: "a", Region: "north", Address: vm + ":1"}, State: membership.Alive,
		Report: &laburnumgwv1.ReportRequest{
			Vm: vm, Zone: "a", Region: "north", Address: vm + ":1", Incarnation: &laburnumgwv1.Incarnation{Counter: 1, Id: 1}, Sequence: 1,
			Load: &laburnumgwv1.Load{Limit: 10}, Serving: map[string]string{"rota": "v1"}, Services: []string{"free"}, Models: []string{"rota"},
		},
	})
}

// answer sends a request, declares "a" dead after 2.5 s without a report, and returns the response and its time.
func (e *scriptedEntry) answer(method, path, body string) (*httptest.ResponseRecorder, time.Duration) {
	e.t.Helper()
	sent := time.Now()
	snapshot := testSnapshot(e.t)
	parsed, err := parseRequest(httptest.NewRequest(method, path, strings.NewReader(body)), "r", snapshot, sent, acceptAny)
	if err != nil {
		e.t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	out := &httpResponder{w: recorder, id: "r", limit: maxResponseBytes, started: sent, metrics: e.control.metrics, held: membudget.ForProcess(0).Open()}
	timers := []*time.Timer{
		time.AfterFunc(time.Second, func() { e.add("b") }),
		time.AfterFunc(membership.DeadAfter, func() { e.control.memberChanged(membership.Event{Kind: membership.EndpointDead, VM: "a"}) }),
	}
	defer func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}()
	if err := e.control.dispatcher.run(e.t.Context(), parsed, 1, out); err != nil {
		out.fail(err)
	}
	return recorder, time.Since(sent)
}

const chatBody = `{"model":"rota","stream":true,"messages":[]}`

// Guards against a response that is lost because the endpoint process that gives it sent no report for a while, although it
// goes on, and no other one gives the response in its place.
func TestEndpointWithoutReportsIsGivenUpOnlyOnceAnotherHasBegun(t *testing.T) {
	const silence = 3500 * time.Millisecond
	others := map[string]script{"refuses": refuse, "says that it runs already": runsAlready, "breaks off": breakOff, "is silent as well": serveStream(time.Hour), "has other weights": otherWeights}
	for name, other := range others {
		t.Run("the other one "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := &scriptedEndpoint{script: serveStream(silence)}, &scriptedEndpoint{script: other}
				response, took := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": b}).answer(http.MethodPost, "/v1/chat/completions", chatBody)
				if response.Code != http.StatusOK || response.Body.String() != streamText || took > silence+time.Second {
					t.Errorf("after %v: status %d, %q", took, response.Code, response.Body)
				}
				synctest.Wait()
				if _, cancelled := a.counts(); cancelled > 0 {
					t.Error("the silent one was given up")
				}
				if calls, cancelled := b.counts(); calls != 1 || (name == "is silent as well" && cancelled != 1) {
					t.Errorf("%d calls at the other one, %d of them ended", calls, cancelled)
				}
			})
		})
	}
	t.Run("a request that must not be repeated", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, b := &scriptedEndpoint{script: servePlain(silence)}, &scriptedEndpoint{script: servePlain(0)}
			response, took := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": b}).answer(http.MethodPost, "/free", "{}")
			if response.Code != http.StatusOK || response.Body.String() != "{}" {
				t.Errorf("after %v: status %d, %q", took, response.Code, response.Body)
			}
			if calls, _ := b.counts(); calls > 0 {
				t.Errorf("it was sent to the other one %d times", calls)
			}
		})
	})
}

// Guards against a request that ends with the endpoint process that was silent first, although the one that was asked beside it
// goes on.
func TestEndpointThatWasAskedBesideASilentOneGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &scriptedEndpoint{script: func(ctx context.Context, c *scriptedCall) error {
			if err := c.send(headerFrame("text/event-stream", "v1")); err != nil {
				return err
			}
			if err := c.events(0, 2); err != nil {
				return err
			}
			_ = pause(ctx, 3*time.Second)
			return io.ErrUnexpectedEOF
		}}
		b := &scriptedEndpoint{script: serveStream(time.Second)}
		response, took := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": b}).answer(http.MethodPost, "/v1/chat/completions", chatBody)
		if calls, _ := b.counts(); response.Body.String() != streamText || calls != 1 || took > 4*time.Second {
			t.Errorf("after %v: %d calls, status %d, %q", took, calls, response.Code, response.Body)
		}
	})
}

// Guards against an entry that sends all its requests a second time after its own process was paused: it takes all endpoints for
// dead then, until they answer the probes that follow at once.
func TestEndpointThatAnswersItsProbeIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &scriptedEndpoint{script: serveStream(3 * time.Second)}, &scriptedEndpoint{script: serveStream(0)}
		e := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": b})
		alive := time.AfterFunc(membership.DeadAfter+membership.CallTimeout/2, func() {
			e.control.memberChanged(membership.Event{Kind: membership.EndpointAlive, VM: "a"})
		})
		defer alive.Stop()
		response, took := e.answer(http.MethodPost, "/v1/chat/completions", chatBody)
		if response.Body.String() != streamText {
			t.Errorf("after %v: status %d, %q", took, response.Code, response.Body)
		}
		if calls, _ := b.counts(); calls > 0 {
			t.Errorf("%d calls at the other one", calls)
		}
	})
}

// panickingResponder panics once a response begins.
type panickingResponder struct{ *httpResponder }

func (panickingResponder) header(*laburnumgwv1.Header) error { panic("header") }

// Guards against a panic that ends the process, since only the goroutine of the handler recovers.
func TestPanicOfAnAttemptReachesTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": {script: servePlain(time.Second)}})
		r, err := parseRequest(httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody)), "r", testSnapshot(t), time.Now(), acceptAny)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if cause := recover(); cause != "header" {
				t.Errorf("recovered %v", cause)
			}
		}()
		out := panickingResponder{&httpResponder{w: httptest.NewRecorder(), metrics: scriptedMetrics}}
		err = e.control.dispatcher.run(t.Context(), r, 1, out)
		t.Errorf("no panic, %v", err)
	})
}

func otherWeights(_ context.Context, c *scriptedCall) error {
	if err := c.send(headerFrame("text/event-stream", "v2")); err != nil {
		return err
	}
	return c.events(int(c.request.GetResumeTokens()), 5)
}

// Guards against a request that waits at a dead endpoint process until its deadline although another one could
// serve it, and against a response that is put together from both.
func TestRequestAtADeadEndpointIsServedByAnother(t *testing.T) {
	for name, test := range map[string]struct {
		silent, other script
		body, want    string
	}{
		"stream that has begun": {serveStream(time.Hour), serveStream(0), chatBody, streamText},
		"plain response":        {servePlain(time.Hour), servePlain(0), `{"model":"rota","messages":[]}`, "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := &scriptedEndpoint{script: test.silent}, &scriptedEndpoint{script: test.other}
				response, took := newScriptedEntry(t, map[string]*scriptedEndpoint{"a": a, "b": b}).answer(http.MethodPost, "/v1/chat/completions", test.body)
				if response.Code != http.StatusOK || response.Body.String() != test.want || took > membership.DeadAfter+500*time.Millisecond {
					t.Errorf("after %v: status %d, %q", took, response.Code, response.Body)
				}
				synctest.Wait()
				if _, cancelled := a.counts(); cancelled != 1 {
					t.Errorf("%d calls at the dead one were ended", cancelled)
				}
			})
		})
	}
}
