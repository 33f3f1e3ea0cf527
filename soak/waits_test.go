package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/standin/hosted"
)

// Guards against a check of old weights that passes on every run, or that counts what a fault explains.
func TestVersionCheckFails(t *testing.T) {
	w := &hosted.Worker{ID: "m-0", Model: SmallModel()}
	w.Load(2)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/chat/x", nil)
	request.Header.Set("X-Laburnumgw-Expect-Instance", "m-0")
	w.ServeHTTP(httptest.NewRecorder(), request)
	if len(w.Starts()) != 1 {
		t.Fatalf("%d requests began", len(w.Starts()))
	}
	at := w.Starts()[0].At
	for name, c := range map[string]struct {
		named  naming
		faults []window
		want   int
	}{
		"after the bound":              {naming{3, at.Add(-versionBound - time.Millisecond)}, nil, 1},
		"at the bound":                 {naming{3, at.Add(-versionBound)}, nil, 0},
		"the same version":             {naming{2, at.Add(-time.Minute)}, nil, 0},
		"a fault since":                {naming{3, at.Add(-time.Minute)}, []window{{at.Add(-time.Second), at}}, 0},
		"a fault long before":          {naming{3, at.Add(-time.Minute)}, []window{{at.Add(-2 * time.Minute), at.Add(-time.Minute - settleWindow)}}, 1},
		"named after it, two versions": {naming{4, at.Add(time.Second)}, nil, 0},
	} {
		r := &run{fleet: &Fleet{ModelWorkers: []*ProxiedWorker{{Worker: w}}}, namings: []naming{c.named}, faultWindows: c.faults}
		violations := 0
		r.checkVersions(func(string, ...any) { violations++ })
		if violations != c.want {
			t.Errorf("%s: %d violations, want %d", name, violations, c.want)
		}
	}
}

// Guards against silences, waits and slow requests that add up, so that a worker sends nothing for longer than
// entries wait: streams would run twice without a fault of an entry.
func TestPausesStayWithinThePatience(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := &Fleet{}
			for i := range 4 {
				f.ModelWorkers = append(f.ModelWorkers, &ProxiedWorker{Worker: &hosted.Worker{ID: fmt.Sprintf("m-%d", i), Service: modelService, Model: SmallModel(), Events: streamEvents, EventGap: 60 * time.Millisecond}})
			}
			r := &run{fleet: f, rng: rand.New(rand.NewPCG(seed, 7)), silencedAt: make(map[string]time.Time)}
			var callers sync.WaitGroup
			end := time.Now().Add(2 * time.Minute)
			for _, m := range f.ModelWorkers {
				m.Load(1)
				for _, extra := range []time.Duration{0, maxExtraTime(kindChat)} {
					callers.Go(func() {
						for n := 0; time.Now().Before(end); n++ {
							request := httptest.NewRequest(http.MethodPost, hosted.SlowPath("/chat/", extra)+"x", nil)
							request.Header.Set("X-Laburnumgw-Request-Id", fmt.Sprintf("%s slow by %s, %d", m.ID, extra, n))
							request.Header.Set("X-Laburnumgw-Expect-Instance", m.ID)
							m.ServeHTTP(httptest.NewRecorder(), request)
							time.Sleep(callerPause)
						}
					})
				}
			}
			for time.Now().Before(end) {
				if r.rng.IntN(20) > 0 {
					r.silence()
				} else {
					r.keepWaiting(time.Duration(r.rng.Int64N(int64(versionBound))) * time.Duration(r.rng.IntN(2)))
				}
				time.Sleep(time.Duration(200+r.rng.IntN(1200)) * time.Millisecond)
			}
			callers.Wait()
			time.Sleep(versionBound + maxWaitTime)
			r.collectPauses()
			for id, p := range r.pauses {
				if p.Observed > patience {
					t.Errorf("seed %d, %s: paused for %s", seed, id, p.Observed)
				}
			}
			longest = max(longest, r.result.Silent)
		})
	}
	if longest < maxSilence-100*time.Millisecond {
		t.Errorf("the longest pause was %s", longest)
	}
}
