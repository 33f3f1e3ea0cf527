package hosted

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request that begins on old weights after their bound, because it waits longer at
// an overloaded worker than the entries stop before the bound, and the worker runs what was closed meanwhile.
func TestNoRequestBeginsOnOldWeightsAfterALongWait(t *testing.T) {
	for _, c := range []struct {
		latency            time.Duration
		startsPerSecond    int
		perSecond, entries int
		reporting          int
	}{
		{1 * time.Second, 0, 20, 1, 0},
		{1500 * time.Millisecond, 0, 20, 1, 0},
		{2 * time.Second, 0, 20, 1, 0},
		{2 * time.Second, 0, 4, 3, 3},
		{1800 * time.Millisecond, 0, 40, 8, 8},
		{20 * time.Millisecond, 40, 50, 3, 3},
		{20 * time.Millisecond, 40, 50, 8, 8},
		{20 * time.Millisecond, 40, 60, 30, 20},
		{1500 * time.Millisecond, 0, 60, 149, 20},
		{20 * time.Millisecond, 40, 60, 149, 20},
	} {
		t.Run(fmt.Sprintf("wait %v, %d of %d a second, %d entries", c.latency, c.startsPerSecond, c.perSecond, c.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var entries []*deployment
				for i := range c.entries {
					entries = append(entries, newEntryDeployment(t, entryName(i), "a"))
				}
				w := &stubbornWorker{latency: c.latency}
				if c.startsPerSecond > 0 {
					w.interval = time.Second / time.Duration(c.startsPerSecond)
				}
				named := askUntilBound(t, w, c.perSecond, c.reporting, nil, entries...)
				requireStartsWithinBound(t, w, named)
				<-time.After(2 * time.Minute)
				for _, d := range entries {
					d.front.conns.Forget(workerAddress("w1"))
				}
			})
		})
	}
}

// Guards against a request that is sent to a worker of which nothing is known as if it would begin at once,
// although requests wait long at all the others.
func TestWaitsAtOtherWorkersCountForAnUnknownOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		w := &stubbornWorker{latency: 1800 * time.Millisecond}
		d.version(2)
		named := time.Now()
		for i := range 4 {
			id := fmt.Sprint("w", i)
			d.worker("llm", id, 1, func(e *workerExchange) {
				// The next requests go to the others.
				d.put("servers", id, workerEntry("llm", id, "draining", 1))
				w.respond(e)
			})
		}
		var asking sync.WaitGroup
		for _, before := range []time.Duration{4 * time.Second, 2 * time.Second, 1600 * time.Millisecond} {
			<-time.After(time.Until(named.Add(8*time.Second - before)))
			asking.Go(func() { d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000") })
		}
		asking.Wait()
		<-time.After(10 * time.Second)
		requireStartsWithinBound(t, w, named)
	})
}

// Guards against a worker that counts as one at which requests begin soon, because callers gave up
// what waited there for a short time only.
func TestRequestsThatWereGivenUpSoonSayNoWaitIsShort(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		w := &stubbornWorker{latency: 1800 * time.Millisecond}
		d.version(2)
		named := time.Now()
		d.worker("llm", "w1", 1, w.respond)
		var asking sync.WaitGroup
		ask := func(before, stays time.Duration) {
			<-time.After(time.Until(named.Add(8*time.Second - before)))
			asking.Go(func() {
				ctx, leave := context.WithTimeout(t.Context(), stays)
				defer leave()
				d.ask(ctx, http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
			})
		}
		ask(6*time.Second, time.Minute)
		asking.Wait()
		d.put("servers", "w1", workerEntry("llm", "w1", "draining", 1))
		d.worker("llm", "w2", 1, w.respond)
		ask(3500*time.Millisecond, 300*time.Millisecond)
		ask(1600*time.Millisecond, time.Minute)
		asking.Wait()
		<-time.After(10 * time.Second)
		requireStartsWithinBound(t, w, named)
	})
}
