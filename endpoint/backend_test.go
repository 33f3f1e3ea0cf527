package endpoint

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

func runAgainst(handler http.HandlerFunc, c call) (result, *bufferedResponse) {
	server := httptest.NewServer(handler)
	defer server.Close()
	var out bufferedResponse
	return newBackend(server.URL).run(context.Background(), c, &out), &out
}

func breakConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// Guards against a second run of a booking: net/http repeats a request with an
// Idempotency-Key when a reused connection breaks before the response.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	Convey("Given a service that breaks the connection after it ran the second booking", t, func() {
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) > 1 {
				breakConnection(w)
			}
		}))
		defer server.Close()
		client := newBackend(server.URL)
		booking := call{requestID: "1", method: "POST", path: "/", idempotencyKey: "k", body: []byte("{}")}
		So(client.run(context.Background(), booking, &bufferedResponse{}).outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_COMPLETE)
		r := client.run(context.Background(), booking, &bufferedResponse{})
		Convey("the outcome is unknown and the service ran it once", func() {
			So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_UNKNOWN)
			So(runs.Load(), ShouldEqual, 2)
		})
	})
}

// Guards against the outcome "not run" for a request that may have run, and against an unknown
// outcome for a request that did not run.
func TestOutcomeOfFailures(t *testing.T) {
	Convey("No connection means not run", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		listener.Close()
		r := newBackend("http://"+address).run(context.Background(), call{method: "POST", path: "/"}, &bufferedResponse{})
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_NOT_RUN)
	})
	Convey("A connection that breaks in the response leaves the outcome unknown", t, func() {
		r, _ := runAgainst(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "half")
			breakConnection(w)
		}, call{method: "POST", path: "/"})
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_UNKNOWN)
	})
	Convey("A response to another request is not relayed", t, func() {
		r, out := runAgainst(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
			fmt.Fprint(w, "answer of another caller")
		}, call{requestID: "mine", method: "POST", path: "/"})
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_UNKNOWN)
		So(out.body, ShouldBeEmpty)
	})
	Convey("An event stream without its last event is not complete", t, func() {
		r, out := runAgainst(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {}\n\ndata: {\"half")
		}, call{method: "POST", path: "/", engine: true})
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_UNKNOWN)
		So(string(out.body), ShouldEqual, "data: {}\n\n")
		So(r.tokens, ShouldEqual, 1)
	})
	Convey("A response from other weights is not relayed", t, func() {
		r, out := runAgainst(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"system_fingerprint\":\"new\"}\n\ndata: {\"system_fingerprint\":\"old\"}\n\ndata: [DONE]\n\n")
		}, call{method: "POST", path: "/", engine: true, fingerprint: "new"})
		So(r.outcome, ShouldEqual, laburnumgwv1.Outcome_OUTCOME_FAILED)
		So(r.kind, ShouldEqual, errkind.Corrupt)
		So(string(out.body), ShouldEqual, "data: {\"system_fingerprint\":\"new\"}\n\n")
	})
}
