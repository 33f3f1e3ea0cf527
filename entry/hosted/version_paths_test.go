package hosted

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"laburnumgw/lib/retry"
)

// Guards against a request that is sent to old weights later than first sends are, because it asked for
// the bound when it was accepted: one that is repeated, resumed, or waits for a connection, a silent worker, the
// retry budget or news of a crash.
func TestEveryWayOfSendingKeepsTheBoundOfOldWeights(t *testing.T) {
	closes := func(e *workerExchange) { e.Close() }
	refuses := func(e *workerExchange) {
		e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
	}
	silent := func(*workerExchange) { <-time.After(time.Minute) }
	breaksOff := func(e *workerExchange) {
		e.stream(1)
		if e.request.Header.Get("Last-Event-Id") != "" {
			e.events(2, 2)
			e.end()
			return
		}
		e.events(1, 1)
		<-time.After(700 * time.Millisecond)
		e.Close()
	}
	paths := map[string]struct {
		// current responds on the new weights, and old on the outdated ones of two workers.
		current, old workerScript
		prepare      func(d *deployment)
		fields       []string
	}{
		"repeated":          {closes, streamScript(1), nil, nil},
		"repeated, crashed": {closes, streamScript(1), nil, []string{prefixHeader, "aa:9,cc:1"}},
		"refused":           {refuses, streamScript(1), nil, nil},
		"silent":            {silent, streamScript(1), nil, nil},
		"resumed":           {refuses, breaksOff, nil, nil},
		"connecting":        {closes, func(e *workerExchange) { streamScript(1)(e); e.Close() }, func(d *deployment) { d.connecting = 450 * time.Millisecond }, nil},
		"retry budget": {closes, streamScript(1), func(d *deployment) {
			d.front.view.services["llm"].loop.Configure(0, retry.BudgetSettings{Ratio: 0.001, PerSecond: 1})
		}, nil},
	}
	for name, path := range paths {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("llm", "new", 2, path.current)
				d.worker("llm", "old1", 1, path.old)
				d.worker("llm", "old2", 1, path.old)
				if path.prepare != nil {
					path.prepare(d)
				}
				d.version(2)
				named := time.Now()
				bound := d.front.view.settings.Bounds.VersionApply
				var asking sync.WaitGroup
				for time.Since(named) < bound+time.Second {
					asking.Go(func() {
						d.ask(t.Context(), http.MethodPost, "/chat/x", "p", append([]string{deadlineHeader, "6000"}, path.fields...)...)
					})
					<-time.After(50 * time.Millisecond)
				}
				asking.Wait()
				sent, latest := 0, time.Duration(0)
				for _, a := range d.arrived() {
					if a.worker != "new" {
						sent++
						latest = max(latest, a.at.Sub(named))
					}
				}
				if latest > bound-versionMargin || sent == 0 {
					t.Errorf("%d requests sent to old weights, the last one %v before their bound", sent, bound-latest)
				}
			})
		})
	}
}

// Guards against a sound worker that is ejected because requests were not sent to it in time: opening
// connections had taken until its weights were out of time.
func TestWorkerIsNotEjectedForRequestsThatWereNotSent(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		workers := []string{"w1", "w2", "w3", "w4"}
		for _, id := range workers {
			d.worker("llm", id, 1, streamScript(1))
		}
		d.version(2)
		d.connecting = 400 * time.Millisecond
		<-time.After(d.front.view.settings.Bounds.VersionApply - versionMargin - 200*time.Millisecond)
		var asking sync.WaitGroup
		for range 40 {
			asking.Go(func() { d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000") })
		}
		asking.Wait()
		if sent := len(d.arrived()); sent != 0 {
			t.Errorf("%d requests sent", sent)
		}
		v := d.front.view
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, status := range v.services["llm"].table.Status() {
			if status.Ejected {
				t.Errorf("%s is ejected", status.VM)
			}
		}
	})
}
