package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/membudget"
)

const testConfig = `
zones: {a: {region: north}}
models: {rota: {version: v1, all: true}}
services: {bookings: {path: /bookings}, prices: {path: /bookings/prices}, free: {path: /free, require_key: false}}
workspaces: {shelf: {priority: 3}}
`

func testSnapshot(t testing.TB) *config.Snapshot {
	t.Helper()
	snapshot, err := config.Parse([]config.File{{Name: "10.yaml", Content: []byte(testConfig)}})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// Guards against malformed requests that reach an endpoint, and against non-idempotent
// requests without an idempotency key where the service requires one.
func TestParseRequest(t *testing.T) {
	snapshot := testSnapshot(t)
	now := time.Unix(1000, 0)
	parse := func(method, path, body string, headers ...string) (*request, error) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return parseRequest(r, "id", snapshot, now, acceptAny)
	}
	Convey("A model request is idempotent and carries the workspace's priority", t, func() {
		r, err := parse("POST", "/v1/chat/completions", `{"model":"rota","messages":[]}`, headerWorkspace, "shelf", headerDeadline, "250")
		So(err, ShouldBeNil)
		So(r.model, ShouldEqual, "rota")
		So(r.idempotent, ShouldBeTrue)
		So(r.priority, ShouldEqual, 3)
		So(r.limits.Deadline, ShouldEqual, now.Add(250*time.Millisecond))
	})
	Convey("The service with the longest matching path prefix is chosen", t, func() {
		r, err := parse("GET", "/bookings/prices/1", "")
		So(err, ShouldBeNil)
		So(r.service, ShouldEqual, "prices")
		_, err = parse("GET", "/bookingsx", "")
		So(errkind.Of(err), ShouldEqual, errkind.NotFound)
	})
	Convey("Invalid requests return typed errors", t, func() {
		for _, c := range []struct {
			method, path, body string
			headers            []string
			kind               errkind.Kind
		}{
			{"POST", "/v1/chat/completions", "{", nil, errkind.BadRequest},
			{"POST", "/v1/chat/completions", "{}", nil, errkind.BadRequest},
			{"GET", "/v1/chat/completions", "", nil, errkind.BadRequest},
			{"POST", "/v1/chat/completions", `{"model":"other"}`, nil, errkind.NotFound},
			{"POST", "/bookings", "{}", nil, errkind.KeyMissing},
			{"POST", "/bookings", "{}", []string{headerIdempotencyKey, strings.Repeat("k", maxKeyBytes+1)}, errkind.BadRequest},
			{"GET", "/bookings", "", []string{headerDeadline, "-5"}, errkind.BadRequest},
			{"GET", "/bookings", "", []string{headerPriority, "high"}, errkind.BadRequest},
			{"POST", "/bookings", strings.Repeat("x", maxBodyBytes+1), []string{headerIdempotencyKey, "k"}, errkind.TooLarge},
		} {
			_, err := parse(c.method, c.path, c.body, c.headers...)
			So(errkind.Of(err), ShouldEqual, c.kind)
		}
	})
	Convey("A service may accept non-idempotent requests without a key", t, func() {
		r, err := parse("POST", "/free", "{}")
		So(err, ShouldBeNil)
		So(r.idempotent, ShouldBeFalse)
		So(r.shardCount, ShouldEqual, 0)
	})
}

// Guards against inputs that crash parseRequest or pass it without validation.
func FuzzParseRequest(f *testing.F) {
	f.Add("POST", "/v1/chat/completions", `{"model":"rota","messages":[1]}`, "", "100", "1")
	f.Add("POST", "/bookings/1", `{"shift":"mon"}`, "key-1", "", "")
	f.Add("GET", "/free?x=%zz", "", "", "x", "-101")
	snapshot := testSnapshot(f)
	f.Fuzz(func(t *testing.T, method, path, body, key, deadline, priority string) {
		r := httptest.NewRequest("GET", "/", strings.NewReader(body))
		r.Method = method
		r.URL.Path = path
		r.Header.Set(headerIdempotencyKey, key)
		r.Header.Set(headerDeadline, deadline)
		r.Header.Set(headerPriority, priority)
		parsed, err := parseRequest(r, "id", snapshot, time.Unix(0, 0), acceptAny)
		if err != nil {
			if errkind.Of(err) == "" {
				t.Fatalf("error without a kind: %v", err)
			}
			return
		}
		if (parsed.model == "") == (parsed.service == "") {
			t.Fatalf("request names model %q and service %q", parsed.model, parsed.service)
		}
		if !parsed.idempotent && parsed.shardCount > 0 && parsed.idempotencyKey == "" {
			t.Fatal("journaled request without a key")
		}
	})
}

// Guards against a smuggled request after a body that has both a Content-Length and chunks:
// net/http drops the length, so the connection must not carry another request.
func TestChunkedRequestEndsItsConnection(t *testing.T) {
	Convey("The response to a chunked request has Connection: close", t, func() {
		f := newFrontend(&control{}, nil, membudget.ForProcess(0), newEntryMetrics(), zap.NewNop())
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
		request.TransferEncoding = []string{"chunked"}
		f.serve(recorder, request)
		So(recorder.Header().Get("Connection"), ShouldEqual, "close")
	})
}

func acceptAny(head *request) error {
	head.held = membudget.ForProcess(0).Open()
	return nil
}
