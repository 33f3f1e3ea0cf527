package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"laburnumgw/lib/catalog"
	"laburnumgw/platform"
)

// Guards against state that requests and changes of the configuration share without a lock: two writers
// of one map end the process and with it every connection, and a random source that two locks guard
// is no source. The race detector reports both; without it, the test still fails on the former.
func TestRequestsAndChangesShareNoStateUnlocked(t *testing.T) {
	const callers, requests = 8, 60
	d := newDeployment(t)
	d.front.view.settings.Bounds.RetryRatio = 10
	// The changes hold the lock most of the time, and must not use up the time of a request.
	patient := []string{`"timeout_ms":1200`, `"timeout_ms":20000`, `"timeout_ms":6000`, `"timeout_ms":20000`}
	d.put(platform.KindConfig, "main", newerConfig("8", patient...))
	respond := func(e *workerExchange) {
		if id, _ := strconv.Atoi(e.request.Header.Get("X-Number")); id%3 == 0 {
			e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
			return
		}
		done(e)
	}
	for _, id := range []string{"d1", "d2", "d3"} {
		d.worker("desk", id, 0, respond)
	}
	for _, id := range []string{"w1", "w2"} {
		d.worker("llm", id, 1, func(e *workerExchange) { e.stream(1); e.events(1, 2); e.end() })
	}
	var group, changes sync.WaitGroup
	ended := make(chan struct{})
	change := func(apply func(number int)) {
		changes.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-ended:
					return
				default:
					apply(number)
				}
			}
		})
	}
	var applying sync.Mutex // of the store, whose changes come one after the other
	put := func(kind, name, value string) {
		applying.Lock()
		defer applying.Unlock()
		d.put(kind, name, value)
	}
	change(func(number int) {
		put(platform.KindConfig, "main", newerConfig(strconv.Itoa(9+number), append([]string{`"attempts":2`, `"attempts":` + strconv.Itoa(1+number%3)}, patient...)...))
	})
	change(func(number int) {
		put(platform.KindWorkers, "d3", workerEntry("desk", "d3", []string{"ready", "draining"}[number%2], 0))
		put(platform.KindEntries, "front-"+strconv.Itoa(number%5), `{"zone":"a","address":"10.0.0.9:1"}`)
	})
	change(func(int) {
		next := platform.Settings{Bounds: d.front.view.settingsBounds(), Zones: map[string]string{"a": "r1", "b": "r2"}}
		d.front.view.reconfigure(&next)
	})
	change(func(number int) {
		d.front.view.applyReport(workerAddress("w1"), uint64(number), catalog.Report{StartedAtMs: 1, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
		d.front.view.staleAfter()
		d.front.view.limitedWorkers()
	})
	for caller := range callers {
		group.Go(func() {
			for request := range requests {
				target, number := []string{"/view/x", "/book/x", "/chat/x"}[request%3], fmt.Sprint(caller*requests+request)
				got := d.ask(context.Background(), http.MethodPost, target, "b", deadlineHeader, "20000", "X-Number", number)
				if got.cut || (got.status != http.StatusOK && got.status != http.StatusServiceUnavailable) {
					t.Errorf("%s: %+v", target, got)
				}
			}
		})
	}
	group.Wait()
	close(ended)
	changes.Wait()
}

// settingsBounds returns the bounds in force.
func (v *view) settingsBounds() platform.Bounds {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings.Bounds
}
