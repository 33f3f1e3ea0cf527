package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/standin/hosted"
)

// Guards against a check of the deadly part that passes on every run.
func TestDeadlyPartCheckFails(t *testing.T) {
	for name, c := range map[string]struct {
		late  int
		fault bool
		want  int
	}{
		"three late requests are allowed":    {3, false, 0},
		"four are not":                       {4, false, 1},
		"four sent amid a fault are allowed": {4, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &hosted.Worker{ID: "m-0", Model: SmallModel(), Events: 1}
				w.SetDeadlyPart(deadlyPart, func() {})
				ask := func() {
					request := httptest.NewRequest(http.MethodPost, "/chat/x", nil)
					hosted.SetRequestHeaders(request.Header, "r", "key", "1000", "1,1", systemPart, deadlyPart)
					request.Header.Set("X-Laburnumgw-Expect-Instance", "m-0")
					defer func() {
						if recover() == nil {
							t.Error("worker does not crash on the part")
						}
					}()
					w.ServeHTTP(httptest.NewRecorder(), request)
				}
				for range minCrashes {
					ask()
				}
				<-time.After(settleWindow + time.Second)
				r := &run{fleet: &Fleet{ModelWorkers: []*ProxiedWorker{{Worker: w}}}}
				if c.fault {
					r.faultWindows = []window{{time.Now().Add(-time.Second), time.Now()}}
				}
				for range c.late {
					ask()
				}
				r.checkDeadlyPart(func(string, ...any) { r.result.Violations = append(r.result.Violations, http.ErrAbortHandler) })
				if got := len(r.result.Violations); got != c.want {
					t.Errorf("%d violations, want %d", got, c.want)
				}
			})
		})
	}
}
