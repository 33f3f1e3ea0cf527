package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests on weights that are out of time and that no log or metric tells of: those
// that were given up while they waited and may start later, and those that a worker with older weights than
// expected has run.
func TestRequestsThatMayRunOnOldWeightsAreCounted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("llm", "w1", 1, func(*workerExchange) { <-time.After(time.Minute) })
		d.version(2)
		<-time.After(d.front.view.settings.Bounds.VersionApply - versionMargin - time.Millisecond)
		d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
		if got := d.front.metrics.abandonedStarts.Get(); len(d.arrived()) != 1 || got != 1 {
			t.Errorf("%d requests sent, %d counted as given up at the bound", len(d.arrived()), got)
		}
	})
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("llm", "w1", 2, streamScript(1))
		d.version(2)
		if got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"); got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
		if got := d.front.metrics.olderWeights.Get(); got != 1 {
			t.Errorf("%d responses counted as served by older weights", got)
		}
		if got := d.front.metrics.abandonedStarts.Get(); got != 0 {
			t.Errorf("%d requests counted as given up", got)
		}
	})
}
