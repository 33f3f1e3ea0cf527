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

// streams starts long chats at each entry and returns a function that collects them.
func (w *system) streams(perEntry, tokens int, entries []*fleet.Process) func() []fleet.Response {
	var mu sync.Mutex
	var answers []fleet.Response
	var wait sync.WaitGroup
	for _, entry := range entries {
		for i := range perEntry {
			wait.Go(func() {
				answer, err := fleet.Chat(w.context(), entry, model, fmt.Sprintf("prompt %d", i), tokens)
				if err != nil {
					answer.ErrorKind = err.Error()
				}
				mu.Lock()
				answers = append(answers, answer)
				mu.Unlock()
			})
		}
	}
	return func() []fleet.Response {
		wait.Wait()
		return answers
	}
}

func cutOff(answers []fleet.Response) []string {
	var kinds []string
	for _, answer := range answers {
		if !answer.Done || len(answer.Fingerprints) != 1 {
			kinds = append(kinds, fmt.Sprintf("status %d kind %q fingerprints %d", answer.Status, answer.ErrorKind, len(answer.Fingerprints)))
		}
	}
	return kinds
}

// Guards against planned stops that cut off a stream, and against kills, freezes and
// platform outages that lose answers or run a booking twice.
func TestFaultsOfProcesses(t *testing.T) {
	w := startSystem(t, 3, 6, 3, 20*time.Millisecond)

	Convey("A planned stop of an endpoint process cuts off no stream", t, func() {
		collect := w.streams(4, 100, w.Entries)
		w.until("streams run", func() bool { return w.inFlight() >= 8 })
		So(w.Endpoints[0].Terminate(), ShouldBeNil)
		So(cutOff(collect()), ShouldBeEmpty)
		So(w.Endpoints[0].Start(), ShouldBeNil)
	})
	Convey("A planned stop of an entry cuts off no stream", t, func() {
		collect := w.streams(4, 100, w.Entries)
		w.until("streams run", func() bool { return w.inFlight() >= 8 })
		So(w.Entries[2].Terminate(), ShouldBeNil)
		So(cutOff(collect()), ShouldBeEmpty)
		So(w.Entries[2].Start(), ShouldBeNil)
	})
	Convey("Streams of a killed endpoint process are resumed with the same text", t, func() {
		w.awaitServing("v1")
		whole, err := fleet.Chat(w.context(), w.Entries[0], model, "prompt 0", 100)
		So(err, ShouldBeNil)
		So(whole.Done, ShouldBeTrue)
		collect := w.streams(6, 100, w.Entries[:1])
		w.until("streams run", func() bool { return w.inFlight() >= 6 })
		So(w.Endpoints[1].Kill(), ShouldBeNil)
		answers := collect()
		So(cutOff(answers), ShouldBeEmpty)
		same := 0
		for _, answer := range answers {
			if answer.Text == whole.Text {
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
			w.until("repeat is answered", func() bool {
				repeat, err := fleet.Book(w.context(), entry, service, "killed-owner", "monday")
				return err == nil && (repeat.Status == http.StatusCreated && repeat.Body == first.Body || repeat.ErrorKind == "outcome_unknown")
			})
		}
		So(w.runs()["killed-owner"], ShouldEqual, 1)
		So(owner.Start(), ShouldBeNil)
	})
	Convey("A frozen endpoint process loses no idempotent request", t, func() {
		w.awaitServing("v1")
		So(w.Endpoints[2].Signal(syscall.SIGSTOP), ShouldBeNil)
		answers := w.streams(4, 10, w.Entries)()
		So(w.Endpoints[2].Signal(syscall.SIGCONT), ShouldBeNil)
		So(cutOff(answers), ShouldBeEmpty)
	})
	Convey("During a platform outage chats go on, new bookings are truly not run, and known ones are replayed", t, func() {
		w.awaitServing("v1")
		first := w.book("before-outage", "tuesday")
		w.platformDown(true)
		chats := w.streams(2, 5, w.Entries)()
		fresh, freshErr := fleet.Do(w.context(), http.MethodPost, w.Entries[0].HTTP+"/bookings", `{"shift":"x"}`,
			map[string]string{"Idempotency-Key": "in-outage", "X-Request-Deadline-Ms": "3000", "X-Workspace": "demo"})
		known, knownErr := fleet.Book(w.context(), w.Entries[0], service, "before-outage", "tuesday")
		w.platformDown(false)
		So(cutOff(chats), ShouldBeEmpty)
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

// Guards against bookings that wait for a zone that operators have taken out, and
// against a second run when another zone takes over.
func TestBookingsMoveWhenAZoneGoesOut(t *testing.T) {
	w := startSystem(t, 3, 3, 3, time.Millisecond)
	Convey("Shards of the zone are taken over and keys stay answered", t, func() {
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

// book repeats a booking until it is accepted. Refusals must say that it did not run:
// after the death of a shard's owner they are expected for some seconds.
func (w *system) book(key, shift string) fleet.Response {
	w.t.Helper()
	var answer fleet.Response
	w.until("booking "+key, func() bool {
		var err error
		answer, err = fleet.Book(w.context(), w.Entries[0], service, key, shift)
		if err == nil && answer.Status != http.StatusCreated && answer.ErrorKind != "not_run" {
			w.t.Fatalf("booking %s: status %d kind %q", key, answer.Status, answer.ErrorKind)
		}
		return err == nil && answer.Status == http.StatusCreated
	})
	return answer
}

// inFlight returns the requests that run on all engines.
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

// ownerOf returns the endpoint process beside the service that ran a key.
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
