package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a patience for a silent worker that outlasts the time in which a stream needs its first
// event: its request ended with 504 although another worker could have served it.
func TestStreamIsRepeatedBeforeItsCallerGivesUp(t *testing.T) {
	for _, objective := range []string{"100", "150", "200", "400", "500"} {
		t.Run(objective, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.put("config", "main", newerConfig("8", `"target_latency_ms":400`, `"target_latency_ms":`+objective, `"gap_target_ms":300`, `"gap_target_ms":100`))
				d.worker("llm", "w1", 1, func(*workerExchange) { <-time.After(time.Minute) })
				d.worker("llm", "w2", 1, func(e *workerExchange) {
					<-time.After(60 * time.Millisecond)
					e.stream(1)
					e.events(1, 1)
					e.end()
				})
				for range 6 {
					got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
					if got.status != http.StatusOK || got.body != events(1, 1) {
						t.Errorf("response %+v", got)
					}
				}
			})
		})
	}
}
