package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a request that begins on old weights after their bound at a worker that has started again
// with older weights than are listed, because it was sent before their bound without a name of the weights.
func TestWorkerWithOlderWeightsThanListedBeginsNothingAfterTheirBound(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		var began time.Time
		d.worker("llm", "w1", 2, func(e *workerExchange) {
			if e.request.Header.Get(expectVersionHeader) == "" {
				<-time.After(1900 * time.Millisecond)
				began = time.Now()
			}
			servesVersion(1)(e)
		})
		d.version(2)
		named := time.Now()
		bound := d.front.view.settings.Bounds.VersionApply
		<-time.After(bound - versionMargin - 10*time.Millisecond)
		d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
		<-time.After(5 * time.Second)
		if late := began.Sub(named) - bound; !began.IsZero() && late > 0 {
			t.Errorf("begun %v after the bound", late)
		}
	})
}
