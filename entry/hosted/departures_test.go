package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/departure"
	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

const leavingHeader = "Server-Leaving"

// requestCount returns the number of requests that a worker received.
func (d *deployment) requestCount(worker string) int {
	n := 0
	for _, a := range d.arrived() {
		if a.worker == worker {
			n++
		}
	}
	return n
}

// leavingWorker responds to lookups and states that it is leaving.
func leavingWorker(e *workerExchange) {
	e.head(http.StatusOK, sealHeader, "seal", leavingHeader, "1", "Content-Length", "0")
}

// Guards against requests to a worker whose response has stated that it is leaving, while the
// list still says "ready": the statement must survive new lists, settings and configurations,
// and a suspension.
func TestWorkerThatStatesItsLeavingGetsNoMoreRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		announced := 0
		d.front.view.announceDeparture = func(departure.Departure) { announced++ }
		d.worker("desk", "w1", 0, leavingWorker)
		view := func() callerResponse {
			return d.ask(t.Context(), http.MethodGet, "/view/x", "", deadlineHeader, "2500")
		}
		if got := view(); got.status != http.StatusOK || got.header.Get(leavingHeader) != "1" {
			t.Fatalf("first response %+v", got)
		}
		for name, change := range map[string]func(){
			"at once":          func() {},
			"listed again":     func() { d.put(platform.KindWorkers, "w1", workerEntry("desk", "w1", "ready", 0)) },
			"removed and back": func() { d.removeWorker("w1"); d.put(platform.KindWorkers, "w1", workerEntry("desk", "w1", "ready", 0)) },
			"settings read":    func() { d.front.view.reconfigure(d.front.view.settings) },
			"configured again": func() { d.put(platform.KindConfig, "main", testConfig) },
			"suspended":        func() { d.front.view.handleSuspension(time.Minute) },
		} {
			change()
			if got := view(); got.status != http.StatusServiceUnavailable || d.requestCount("w1") != 1 {
				t.Errorf("%s: response %+v, %d requests", name, got, d.requestCount("w1"))
			}
		}
		if announced != 1 {
			t.Errorf("departure announced %d times", announced)
		}
		d.put(platform.KindWorkers, "w1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":16,"state":"ready","born":2,"sequence":4}`, workerAddress("w1")))
		if got := view(); got.status != http.StatusOK {
			t.Errorf("a restarted worker gets no requests: %+v", got)
		}
	})
}

// removeWorker removes a worker from the list.
func (d *deployment) removeWorker(id string) {
	d.rev++
	d.front.view.applyChanges(platform.KindWorkers, []mirror.Change{{Object: mirror.Object{Name: id, Revision: d.rev}, Deleted: true}})
}

// Guards against entries that learn of a leaving worker only from its response to them: they
// must also learn it from its endpoint process, from the datagram of another entry,
// and from an entry that is asked at a start.
func TestDeparturesAreLearntFromOthers(t *testing.T) {
	learned := map[string]func(t *testing.T, d *deployment){
		"report": func(_ *testing.T, d *deployment) {
			d.front.view.applyReport(workerAddress("w1"), 1, catalog.Report{StartedAtMs: 1, Leaving: true, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
			d.front.view.applyReport(workerAddress("w1"), 2, catalog.Report{StartedAtMs: 1, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
		},
		"datagram": func(t *testing.T, d *deployment) {
			data, err := proto.Marshal(&laburnumgwv1.WorkerReport{LeavingVm: "w1", Born: 1})
			if err != nil {
				t.Fatal(err)
			}
			d.front.view.applyDatagram(data)
		},
		"other entry": func(t *testing.T, d *deployment) {
			other := newView(d.front.view.settings, newEntryMetrics(), d.front.log)
			other.addDeparture(departure.Departure{VM: "w1", StartedAtMs: 1}, "test")
			response, err := (&departuresServer{view: other}).ListDepartures(t.Context(), nil)
			if err != nil {
				t.Fatal(err)
			}
			d.front.view.addDepartures(response, "other")
		},
	}
	for name, learn := range learned {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("llm", "w1", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
				learn(t, d)
				got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
				if got.status != http.StatusServiceUnavailable || len(d.arrived()) != 0 {
					t.Fatalf("response %+v", got)
				}
			})
		})
	}
}

// Guards against requests to a worker that has asked this entry for a pause, and against callers
// that are told to retry before the pause has ended.
func TestWorkerThatAsksForAPauseGetsNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("desk", "w1", 0, func(e *workerExchange) {
			e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Retry-After", "1.5", "Content-Length", "0")
		})
		began := time.Now()
		for time.Since(began) < 1400*time.Millisecond {
			got := d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "2500")
			left := 1500*time.Millisecond - time.Since(began)
			after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
			if got.status != http.StatusServiceUnavailable || err != nil || after < left-10*time.Millisecond {
				t.Fatalf("response %+v, %v left", got, left)
			}
			<-time.After(100 * time.Millisecond)
		}
		if n := d.requestCount("w1"); n != 1 {
			t.Errorf("%d requests in the pause", n)
		}
		<-time.After(200 * time.Millisecond)
		d.ask(t.Context(), http.MethodPost, "/book/x", "b", deadlineHeader, "2500")
		if n := d.requestCount("w1"); n != 2 {
			t.Errorf("%d requests after the pause, want a trial", n)
		}
	})
}
