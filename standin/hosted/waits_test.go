package hosted

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stand-in that drops requests whose callers leave while they wait, although it is to run
// them, and against one that begins them on weights that were loaded later.
func TestRequestsBeginAfterTheirWait(t *testing.T) {
	for _, runsClosed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &Worker{ID: "w", Model: Model{Name: "m", Chunks: 1, ChunkBytes: 1, Layers: 1}, Events: 1}
			w.Load(1)
			w.SetWaits(Waits{Lasts: time.Second, RunsClosed: runsClosed})
			ask := func(id string, stays time.Duration) {
				ctx, leave := context.WithTimeout(t.Context(), stays)
				defer leave()
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/chat/x", nil)
				r.Header.Set("X-Laburnumgw-Expect-Instance", "w")
				r.Header.Set("X-Laburnumgw-Request-Id", id)
				defer func() { _ = recover() }() // the server of net/http ends the connection
				w.ServeHTTP(httptest.NewRecorder(), r)
			}
			sent := time.Now()
			go ask("stays", time.Minute)
			go ask("leaves", 500*time.Millisecond)
			synctest.Wait()
			w.Load(2)
			<-time.After(2 * time.Second)
			begun := make(map[string]Start)
			for _, s := range w.Starts() {
				begun[s.ID] = s
			}
			if _, ok := begun["leaves"]; ok != runsClosed {
				t.Errorf("run after its caller had left: %v, want %v", ok, runsClosed)
			}
			for id, s := range begun {
				if s.Version != 1 || s.At.Sub(sent) != time.Second {
					t.Errorf("%s began on version %d after %v", id, s.Version, s.At.Sub(sent))
				}
			}
			if len(begun) == 0 {
				t.Error("nothing began")
			}
		})
	}
}
