package e2e

import (
	"testing"
	"time"

	"laburnumgw/standin/hosted"
)

// oldWeightsNetwork is the second byte of the loopback addresses.
const oldWeightsNetwork = 44

// Guards against requests that begin on old weights after their bound, at workers that keep requests
// waiting for almost two seconds and run those whose connections were closed meanwhile. The processes beside them are
// down, so that they keep the old weights and nobody reports.
func TestWorkersThatRunClosedRequestsBeginNoneAfterTheBound(t *testing.T) {
	const bound = 8 * time.Second
	options := soakOptions(t, buildPrograms(t), oldWeightsNetwork)
	options.Entries = 8
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("empty workers are filled", func() bool {
		for _, m := range f.ModelWorkers {
			if m.Version() != 1 {
				return false
			}
		}
		return true
	})
	for _, p := range f.Endpoints {
		p.Kill()
	}
	for _, m := range f.ModelWorkers {
		m.SetWaits(hosted.Waits{Lasts: 1800 * time.Millisecond, RunsClosed: true})
	}
	callers := f.StartCallers(1)
	f.PublishVersion(2)
	named := time.Now()
	w.until("the bound has passed", func() bool { return time.Since(named) > bound+2*time.Second })
	callers.Stop()
	began, latest := 0, time.Duration(0)
	for _, m := range f.ModelWorkers {
		for _, s := range m.Starts() {
			began++
			latest = max(latest, s.At.Sub(named))
		}
	}
	if latest > bound || latest < bound/2 {
		t.Errorf("%d requests began, the last one %v after version 2 was named", began, latest)
	}
}
