package hosted

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a wait at a worker that is lost from the estimate, because a request from before the worker was
// removed from the list and added again has the same number.
func TestWaitsOfAWorkerThatIsListedAgainAreKept(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.put("config", "main", patientConfig)
		waits := 2 * time.Second
		respond := func(e *workerExchange) {
			<-time.After(waits)
			streamScript(1)(e)
		}
		d.worker("llm", "w1", 1, respond)
		done := make(chan struct{}, 2)
		ask := func() {
			d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "20000")
			done <- struct{}{}
		}
		go ask()
		<-time.After(time.Second)
		d.remove("servers", "w1")
		waits = 10 * time.Second
		d.worker("llm", "w1", 1, respond)
		go ask()
		<-time.After(4 * time.Second)
		v := d.front.view
		v.mu.Lock()
		expected := v.workers["w1"].waits.Expected(time.Now())
		v.mu.Unlock()
		if expected < 5*time.Second {
			t.Errorf("%v expected at a worker where a request has waited for 4 s", expected)
		}
		<-done
		<-done
	})
}
