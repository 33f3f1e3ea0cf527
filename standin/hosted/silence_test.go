package hosted

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// timedWriter records when the parts of a response are written.
type timedWriter struct {
	start  time.Time
	header http.Header

	mu    sync.Mutex
	body  strings.Builder
	times []time.Duration
}

func (t *timedWriter) Header() http.Header { return t.header }
func (t *timedWriter) WriteHeader(int)     {}
func (t *timedWriter) Flush()              {}
func (t *timedWriter) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, time.Since(t.start))
	return t.body.Write(p)
}

// askWorker sends a request to a worker without a network and returns its response, which may still
// be written.
func askWorker(ctx context.Context, w *Worker, path string) *timedWriter {
	request := httptest.NewRequest(http.MethodGet, path, nil).WithContext(ctx)
	request.Header.Set("X-Laburnumgw-Request-Id", "r")
	request.Header.Set("X-Laburnumgw-Expect-Instance", w.ID)
	out := &timedWriter{start: time.Now(), header: make(http.Header)}
	go func() {
		// As the server of net/http does.
		defer func() {
			cause := recover()
			if err, _ := cause.(error); cause != nil && !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
		}()
		w.ServeHTTP(out, request)
	}()
	return out
}

// Guards against a stand-in whose silence ends its response, loses a part of it, or is none: the
// soak would then miss entries that give up a sound worker.
func TestSilentWorkerGoesOnWhereItStopped(t *testing.T) {
	const ms = time.Millisecond
	model := Model{Name: "m", Chunks: 1, ChunkBytes: 8, Layers: 1}
	stream := "id: 1\ndata: version 1\n\nid: 2\ndata: version 1\n\nid: 3\ndata: version 1\n\n"
	for name, c := range map[string]struct {
		model       Model
		path        string
		silentAfter time.Duration
		body        string
		times       []time.Duration
	}{
		"before the head of a stream": {model, "/chat/x", 0, stream, []time.Duration{1000 * ms, 1100 * ms, 1200 * ms}},
		"between events":              {model, "/chat/x", 150 * ms, stream, []time.Duration{0, 100 * ms, 1150 * ms}},
		"before a plain response":     {Model{}, "/view/x", 0, "GET /view/x ", []time.Duration{1000 * ms, 1100 * ms}},
		"amid a plain body":           {Model{}, "/view/x", 50 * ms, "GET /view/x ", []time.Duration{0, 1050 * ms}},
		"before a report":             {Model{}, "/-/report", 0, "", []time.Duration{1000 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &Worker{ID: "w", Model: c.model, Events: 3, EventGap: 100 * ms}
				w.Load(1)
				if c.silentAfter == 0 {
					w.Silence(time.Second)
				}
				out := askWorker(t.Context(), w, c.path)
				<-time.After(c.silentAfter)
				if c.silentAfter > 0 {
					w.Silence(time.Second)
				}
				<-time.After(3 * time.Second)
				synctest.Wait()
				if got := out.body.String(); c.body != "" && got != c.body {
					t.Errorf("body %q, want %q", got, c.body)
				}
				if len(out.times) != len(c.times) {
					t.Fatalf("parts at %v, want %v", out.times, c.times)
				}
				for i, at := range out.times {
					if at != c.times[i] {
						t.Errorf("parts at %v, want %v", out.times, c.times)
						break
					}
				}
			})
		})
	}
}

// Guards against a silent stand-in that works on for a caller who has left.
func TestSilentWorkerEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Worker{ID: "w"}
		w.Silence(time.Second)
		ctx, leave := context.WithCancel(t.Context())
		out := askWorker(ctx, w, "/view/x")
		leave()
		<-time.After(2 * time.Second)
		if len(out.times) > 0 {
			t.Errorf("response %q to a caller who has left", out.body.String())
		}
	})
}

// Guards against a stand-in that marks the end of each response, or omits a part of those that it
// does not mark.
func TestUnmarkedResponses(t *testing.T) {
	w := &Worker{ID: "w", UnmarkedEvery: 2}
	server := httptest.NewServer(w)
	defer server.Close()
	for _, unmarked := range []bool{false, true, false, true} {
		request, err := http.NewRequest(http.MethodGet, server.URL+"/view/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Laburnumgw-Expect-Instance", "w")
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || string(body) != "GET /view/x " {
			t.Errorf("body %q: %v", body, err)
		}
		if got := response.ContentLength < 0 && len(response.TransferEncoding) == 0; got != unmarked {
			t.Errorf("unmarked end: %t, want %t", got, unmarked)
		}
	}
}
