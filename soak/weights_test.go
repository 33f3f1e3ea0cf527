package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/standin/hosted"
)

// Guards against a soak that does not see requests on layers that were not whole, or workers that do not get the
// newest version after the faults.
func TestWeightsCheckFails(t *testing.T) {
	for name, c := range map[string]struct {
		// spoilt is set if a piece was spoilt long before the load, requested if a request runs after it, and
		// newest is the version that was named last.
		spoilt, requested bool
		newest            int
		want              []string
	}{
		"whole":                        {false, true, 2, nil},
		"not whole, and no request":    {true, false, 2, []string{"does not serve version 2"}},
		"not whole, and a request":     {true, true, 2, []string{"does not serve version 2", "made 8 tokens of 1 requests"}},
		"whole, and not the newest":    {false, true, 3, []string{"does not serve version 3"}},
		"whole, and offered to nobody": {false, false, 2, []string{"does not serve version 2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &ProxiedWorker{Worker: &hosted.Worker{ID: "m-0", Model: SmallModel(), Events: streamEvents, LoadTime: weightsBound - time.Second}}
				m.Load(1)
				send(m, http.MethodPut, "/-/stage-put/m?item_count=0", string(m.Model.Chunk(2, 0)))
				if c.spoilt {
					m.Spoil(0)
				}
				<-time.After(4 * time.Second)
				for i := 1; i < m.Model.Chunks; i++ {
					send(m, http.MethodPut, fmt.Sprint("/-/stage-put/m?item_count=", i), string(m.Model.Chunk(2, i)))
				}
				f := &Fleet{ModelWorkers: []*ProxiedWorker{m}, Store: hosted.NewStore()}
				w := &weightsRun{run: &run{fleet: f, version: c.newest}, stopPublishing: func() {}}
				send(m, http.MethodPost, "/-/order", `{"operation":"start","version":2,"switch_mode":"wait"}`)
				if c.requested {
					<-time.After(weightsBound - 500*time.Millisecond)
					send(m, http.MethodPost, "/chat/x", "body")
				}
				w.end()
				w.check([]Outcome{{ID: "r", Kind: kindChat, Status: http.StatusOK}})
				if len(w.result.Violations) != len(c.want) {
					t.Fatalf("violations %v, want %v", w.result.Violations, c.want)
				}
				for i, err := range w.result.Violations {
					if !strings.Contains(err.Error(), c.want[i]) {
						t.Errorf("violation %v, want %s", err, c.want[i])
					}
				}
			})
		})
	}
}

func send(m *ProxiedWorker, method, target, body string) {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.Header.Set("X-Laburnumgw-Request-Id", "r")
	request.Header.Set("X-Laburnumgw-Expect-Instance", m.ID)
	m.ServeHTTP(httptest.NewRecorder(), request)
}
