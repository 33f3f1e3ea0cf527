package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"laburnumgw/fleet"
)

// startStreams starts chats at each entry and returns a function that waits for their responses.
func (w *system) startStreams(perEntry, tokens int, entries []*fleet.Process) func() []fleet.Response {
	var mu sync.Mutex
	var responses []fleet.Response
	var wait sync.WaitGroup
	for _, entry := range entries {
		for i := range perEntry {
			wait.Go(func() {
				response, err := fleet.Chat(w.context(), entry, model, fmt.Sprintf("prompt %d", i), tokens)
				if err != nil {
					response.ErrorKind = err.Error()
				}
				mu.Lock()
				responses = append(responses, response)
				mu.Unlock()
			})
		}
	}
	return func() []fleet.Response {
		wait.Wait()
		return responses
	}
}

// incompleteStreams describes the responses that are incomplete or not from one version.
func incompleteStreams(responses []fleet.Response) []string {
	var kinds []string
	for _, response := range responses {
		if !response.Done || len(response.Fingerprints) != 1 {
			kinds = append(kinds, fmt.Sprintf("status %d kind %q fingerprints %d", response.Status, response.ErrorKind, len(response.Fingerprints)))
		}
	}
	return kinds
}

// Guards against planned stops that cut off a stream, and against kills, pauses and
// platform outages that lose responses or run a booking twice.
func TestFaultsOfProcesses(t *testing.T) {
	w := startSystem(t, 3, 6, 3, 20*time.Millisecond)

	Convey("A planned stop of an endpoint process cuts off no stream", t, func() {
		collect := w.startStreams(4, 100, w.Entries)
		w.until("streams run", func() bool { return w.inFlight() >= 8 })
		So(w.Endpoints[0].Terminate(), ShouldBeNil)
		So(incompleteStreams(collect()), ShouldBeEmpty)
		So(w.Endpoints[0].Start(), ShouldBeNil)
	})
	Convey("A planned stop of an entry cuts off no stream", t, func() {
		collect := w.startStreams(4, 100, w.Entries)
		w.until("streams run", func() bool { return w.inFlight() >= 8 })
		So(w.Entries[2].Terminate(), ShouldBeNil)
		So(incompleteStreams(collect()), ShouldBeEmpty)
		So(w.Entries[2].Start(), ShouldBeNil)
	})
	Convey("Streams of a killed endpoint process are resumed with the same text", t, func() {
		w.awaitServing("v1")
		complete, err := fleet.Chat(w.context(), w.Entries[0], model, "prompt 0", 100)
		So(err, ShouldBeNil)
		So(complete.Done, ShouldBeTrue)
		collect := w.startStreams(6, 100, w.Entries[:1])
		w.until("streams run", func() bool { return w.inFlight() >= 6 })
		So(w.Endpoints[1].Kill(), ShouldBeNil)
		responses := collect()
		So(incompleteStreams(responses), ShouldBeEmpty)
		same := 0
		for _, response := range responses {
			if response.Text == complete.Text {
				same++
			}
		}
		So(same, ShouldEqual, 1)
		So(w.Endpoints[1].Start(), ShouldBeNil)
	})
	Convey("A booking repeated through all entries while its owner is killed runs once", t, func() {
		w.awaitServing("v1")
		first := w.book("killed-owner", "monday")
		owner := w.ownerOf("killed-owner")
		So(owner, ShouldNotBeNil)
		So(owner.Kill(), ShouldBeNil)
		for _, entry := range w.Entries {
			w.until("repeat gets its response", func() bool {
				repeat, err := fleet.Book(w.context(), entry, service, "killed-owner", "monday")
				return err == nil && (repeat.Status == http.StatusCreated && repeat.Body == first.Body || repeat.ErrorKind == "outcome_unknown")
			})
		}
		So(w.runs()["killed-owner"], ShouldEqual, 1)
		So(owner.Start(), ShouldBeNil)
	})
	Convey("A paused endpoint process loses no idempotent request", t, func() {
		w.awaitServing("v1")
		So(w.Endpoints[2].Signal(syscall.SIGSTOP), ShouldBeNil)
		responses := w.startStreams(4, 10, w.Entries)()
		So(w.Endpoints[2].Signal(syscall.SIGCONT), ShouldBeNil)
		So(incompleteStreams(responses), ShouldBeEmpty)
	})
	Convey("During a platform outage chats succeed, new bookings are reported as not run and do not run, and known ones are replayed", t, func() {
		w.awaitServing("v1")
		first := w.book("before-outage", "tuesday")
		w.platformDown(true)
		chats := w.startStreams(2, 5, w.Entries)()
		fresh, freshErr := fleet.Do(w.context(), http.MethodPost, w.Entries[0].HTTP+"/bookings", `{"shift":"x"}`,
			map[string]string{"Idempotency-Key": "in-outage", "X-Request-Deadline-Ms": "3000", "X-Workspace": "demo"})
		known, knownErr := fleet.Book(w.context(), w.Entries[0], service, "before-outage", "tuesday")
		w.platformDown(false)
		So(incompleteStreams(chats), ShouldBeEmpty)
		So(freshErr, ShouldBeNil)
		So(fresh.ErrorKind, ShouldEqual, "not_run")
		So(fresh.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(w.runs()["in-outage"], ShouldEqual, 0)
		So(knownErr, ShouldBeNil)
		So(known.Body, ShouldEqual, first.Body)
		w.until("the same key runs after the outage", func() bool {
			again, err := fleet.Do(w.context(), http.MethodPost, w.Entries[1].HTTP+"/bookings", `{"shift":"x"}`,
				map[string]string{"Idempotency-Key": "in-outage", "X-Workspace": "demo"})
			return err == nil && again.Status == http.StatusCreated
		})
		So(w.runs()["in-outage"], ShouldEqual, 1)
	})
}

// Guards against bookings that wait for a zone that operators have taken out of service,
// and against a second run when another zone takes over its shards.
func TestBookingsMoveWhenAZoneGoesOut(t *testing.T) {
	w := startSystem(t, 3, 3, 3, time.Millisecond)
	Convey("Other zones take over the shards, and repeated keys do not run again", t, func() {
		var keys []string
		for i := range 8 {
			key := fmt.Sprintf("moved-%d", i)
			keys = append(keys, key)
			w.book(key, "friday")
		}
		owner := w.ownerOf(keys[0])
		So(owner, ShouldNotBeNil)
		w.apply(owner.Zone, "v1")
		started := time.Now()
		for _, key := range keys {
			w.book(key, "friday")
			w.book(key+"-later", "friday")
		}
		t.Logf("all shards answered %s after the change was accepted", time.Since(started).Round(100*time.Millisecond))
		w.apply("", "v1")
		for _, key := range keys {
			w.book(key, "friday")
		}
		for key, n := range w.runs() {
			if n != 1 {
				t.Errorf("%s ran %d times", key, n)
			}
		}
		So(w.runs(), ShouldHaveLength, 2*len(keys)+1)
	})
}

// book repeats a booking until it is accepted. Refusals must report that it did not run.
// They are expected for some seconds after the owner of a shard fails.
func (w *system) book(key, shift string) fleet.Response {
	w.t.Helper()
	var response fleet.Response
	w.until("booking "+key, func() bool {
		var err error
		response, err = fleet.Book(w.context(), w.Entries[0], service, key, shift)
		if err == nil && response.Status != http.StatusCreated && response.ErrorKind != "not_run" {
			w.t.Fatalf("booking %s: status %d kind %q", key, response.Status, response.ErrorKind)
		}
		return err == nil && response.Status == http.StatusCreated
	})
	return response
}

// inFlight returns the number of requests that run on all engines.
func (w *system) inFlight() int {
	total := 0
	for _, engine := range w.Engines {
		var status struct {
			InFlight int `json:"in_flight"`
		}
		if err := fleet.GetJSON(w.context(), engine.HTTP+"/v1/status", &status); err == nil {
			total += status.InFlight
		}
	}
	return total
}

// ownerOf returns the endpoint process of the service that ran a key, or nil.
func (w *system) ownerOf(key string) *fleet.Process {
	for i, backend := range w.Backends {
		var runs map[string]int
		if err := fleet.GetJSON(w.context(), backend.HTTP+"/admin/runs", &runs); err == nil && runs[key] > 0 {
			return w.Endpoints[len(w.Engines)+i]
		}
	}
	return nil
}

func (w *system) platformDown(down bool) {
	response, err := http.Post(fmt.Sprintf("%s/admin/down?value=%t", w.Platform.HTTP, down), "", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	response.Body.Close()
}
