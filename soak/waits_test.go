package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"
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
