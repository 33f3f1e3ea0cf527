package hosted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/quarantine"
)

func answers(e *workerExchange) { e.complete(http.StatusOK, "ok") }

// sentTo counts the requests that reached each worker.
func (d *deployment) sentTo() map[string]int {
	counts := make(map[string]int)
	for _, a := range d.arrived() {
		counts[a.worker]++
	}
	return counts
}

// knowsCrash reports whether the entry knows that the first start of a worker has crashed.
func (d *deployment) knowsCrash(worker string) bool {
	d.front.view.mu.Lock()
	defer d.front.view.mu.Unlock()
	return d.front.view.quarantine.HasCrashed(quarantine.Start{Address: workerAddress(worker), StartedAtMs: 1})
}

// Guards against crashes of workers without a process beside them of which nobody learns: a refused
// connection, or a lost one and a refused one after it, tell of them.
func TestCrashOfAPlainWorkerIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		// respond is what the worker does with a request, and refuses is set when it accepts no
		// connections, from the beginning or from the request on.
		respond                workerScript
		refuses, refusesBefore bool
		state                  string
		crashed                bool
	}{
		"refused at first":                     {respond: answers, refusesBefore: true, crashed: true},
		"lost, then refused":                   {respond: func(e *workerExchange) { e.Close() }, refuses: true, crashed: true},
		"lost amid the response, then refused": {respond: func(e *workerExchange) { e.head(http.StatusOK, sealHeader, "seal", "Content-Length", "9"); e.Close() }, refuses: true, crashed: true},
		"lost, and accepted again":             {respond: func(e *workerExchange) { e.Close() }},
		"failed":                               {respond: func(e *workerExchange) { e.complete(http.StatusInternalServerError, "no") }, refuses: true},
		"silent":                               {respond: func(*workerExchange) { <-time.After(time.Second) }, refuses: true},
		"draining":                             {respond: func(e *workerExchange) { e.Close() }, refuses: true, state: "draining"},
	} {
		for kind, target := range map[string]string{"unsafe": "/book/x", "safe": "/view/x"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, d *deployment) {
					d.refused["w1"] = c.refusesBefore
					d.worker("desk", "w1", 0, func(e *workerExchange) {
						if c.state != "" {
							d.put("servers", "w1", workerEntry("desk", "w1", c.state, 0))
						}
						d.mu.Lock()
						d.refused["w1"] = c.refuses
						d.mu.Unlock()
						c.respond(e)
					})
					got := d.ask(t.Context(), http.MethodPost, target, "b", deadlineHeader, "900")
					<-time.After(50 * time.Millisecond)
					if d.knowsCrash("w1") != c.crashed {
						t.Errorf("crash known: %t after %+v", !c.crashed, got)
					}
					d.mu.Lock()
					d.refused["w1"] = false
					d.mu.Unlock()
				})
			})
		}
	}
}

// Guards against requests of plain services that go on to a worker that has crashed, each of which
// costs an attempt, and against a sound worker that a wrong notice keeps from its requests for long.
func TestCrashedPlainWorkerGetsNoRequests(t *testing.T) {
	told := func(d *deployment, age time.Duration) {
		d.front.view.mu.Lock()
		defer d.front.view.mu.Unlock()
		d.front.view.mergeEvidence(&laburnumgwv1.PartEvidence{Crashes: []*laburnumgwv1.WorkerCrash{{Address: workerAddress("w1"), Born: 1, AgeMs: age.Milliseconds()}}})
	}
	for name, c := range map[string]struct {
		before    func(d *deployment)
		most      int64
		isCrashed bool
	}{
		"refused connections":     {func(*deployment) {}, 3, true},
		"told by another entry":   {func(d *deployment) { told(d, 0) }, 0, true},
		"told of long ago":        {func(d *deployment) { told(d, time.Hour) }, 3, true},
		"told wrongly by another": {func(d *deployment) { told(d, 0) }, 0, false},
		"told wrongly by a refusal": {func(d *deployment) {
			d.front.view.workerCrashed(quarantine.Start{Address: workerAddress("w1"), StartedAtMs: 1}, "test")
		}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("desk", "w1", 0, answers)
				d.worker("desk", "w2", 0, answers)
				d.refused["w1"] = c.isCrashed
				c.before(d)
				retries := d.front.metrics.retries.Get()
				for range 30 {
					<-time.After(100 * time.Millisecond)
					if got := d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "900"); got.status != http.StatusOK {
						t.Errorf("response %+v", got)
					}
				}
				if more := int64(d.front.metrics.retries.Get() - retries); more > c.most {
					t.Errorf("%d attempts at the worker", more)
				}
				if served := d.sentTo()["w1"]; (served > 0) == c.isCrashed {
					t.Errorf("%d requests at the worker", served)
				}
			})
		})
	}
}

// Guards against taking a worker that resets connections beyond its limit for a crashed one, and
// against one check for each of the requests that it loses at once.
func TestResetConnectionIsNoCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		release := make(chan struct{})
		d.worker("desk", "w1", 0, func(e *workerExchange) {
			<-release
			e.Close()
		})
		var checks int
		d.front.view.checks.connect = func(context.Context, string) error {
			<-time.After(time.Millisecond)
			d.mu.Lock()
			defer d.mu.Unlock()
			checks++
			return fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: syscall.ECONNRESET})
		}
		time.AfterFunc(100*time.Millisecond, func() { close(release) })
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() { d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "900") })
		}
		callers.Wait()
		<-time.After(time.Second)
		d.mu.Lock()
		defer d.mu.Unlock()
		if checks != 1 || d.knowsCrash("w1") {
			t.Errorf("%d checks, crash known: %t", checks, d.knowsCrash("w1"))
		}
	})
}
