package hosted

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fleetEvents is the number of events of a stream, and fleetStep the time of an event, and of each half of a
	// plain response.
	fleetEvents = 12
	fleetStep   = 100 * time.Millisecond
	// callersWait is how long callers of testConfig wait for an event. An entry ends a stream firstEventReserve
	// before that without a first event, and firstEventReserve later without a further one.
	callersWait = 2400 * time.Millisecond
)

// silentFleet is a number of entries before the same sound workers, each of which may be silent for some time.
type silentFleet struct {
	*limitFleet
	rng     *rand.Rand
	workers []*pausingWorker
	asked   sync.WaitGroup

	mu       sync.Mutex
	requests []*fleetRequest
	runs     int
}

// fleetRequest is a request of a caller, its arrivals at workers and its response.
type fleetRequest struct {
	id, route string
	sentAt    time.Time
	arrivals  []*fleetRun
	got       callerResponse
}

// fleetRun is an arrival of a request at a worker.
type fleetRun struct {
	name    string
	worker  *pausingWorker
	at      time.Time
	refused bool
	// after is the event behind which a stream goes on. first is when the worker writes the first event, and
	// gap the longest time between two events, if the connection stays open.
	after int
	first time.Time
	gap   time.Duration
}

// pausingWorker is a sound worker that writes nothing between two times, and refuses requests from some time on, if one is
// set.
type pausingWorker struct {
	id, service              string
	version                  int
	silent, goesOn, fullFrom time.Time
}

// withSilentFleet runs a test in virtual time against a number of entries and workers of both services, and
// requires that nothing is left of any request.
func withSilentFleet(t *testing.T, seed uint64, entries, workers int, run func(t *testing.T, f *silentFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &silentFleet{limitFleet: newLimitFleet(t, entries), rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(t.Name())))}
		for _, d := range f.entries {
			// Unsafe requests have attempts left too, so that nothing but their kind keeps them from a second worker.
			d.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`, `"service":"desk","attempts":1`, `"service":"desk","attempts":2`))
		}
		for i := range workers {
			f.addPausing("llm", fmt.Sprint("w", i+1), 1+i%4/3)
			f.addPausing("desk", fmt.Sprint("d", i+1), 0)
		}
		run(t, f)
		<-time.After(30 * time.Second)
		f.requireNothingLeft(t)
		for _, d := range f.entries {
			for id := range d.scripts {
				d.front.conns.Forget(workerAddress(id))
			}
		}
	})
}

// addPausing adds a worker to all entries.
func (f *silentFleet) addPausing(service, id string, version int) {
	w := &pausingWorker{id: id, service: service, version: version}
	f.workers = append(f.workers, w)
	for _, d := range f.entries {
		d.mu.Lock()
		d.scripts[id] = func(e *workerExchange) { f.respond(w, e) }
		d.mu.Unlock()
		zone := string(rune('a' + len(f.workers)/2%2))
		d.put("servers", id, strings.Replace(workerEntry(service, id, "ready", version), `"zone":"a"`, fmt.Sprintf(`"zone":%q`, zone), 1))
	}
}

// sound returns when a worker can write what it has at a time.
func (w *pausingWorker) sound(at time.Time) time.Time {
	if !at.Before(w.silent) && at.Before(w.goesOn) {
		return w.goesOn
	}
	return at
}

// begin records the arrival of a request at a worker. times are those of its events or of the halves of its response.
func (f *silentFleet) begin(w *pausingWorker, e *workerExchange) (run *fleetRun, times []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	run = &fleetRun{name: fmt.Sprintf("%s-%d", w.id, f.runs), worker: w, at: time.Now()}
	run.refused = !w.fullFrom.IsZero() && !run.at.Before(w.fullFrom)
	id := e.request.Header.Get(idHeader)
	at := slices.IndexFunc(f.requests, func(r *fleetRequest) bool { return r.id == id })
	f.requests[at].arrivals = append(f.requests[at].arrivals, run)
	if run.refused {
		return run, nil
	}
	run.after, _ = strconv.Atoi(e.request.Header.Get("Last-Event-Id"))
	count := 2
	if w.service == "llm" {
		count = fleetEvents - run.after
	}
	last := run.at
	for i := range count {
		next := w.sound(last.Add(fleetStep))
		if i == 0 {
			run.first = next
		} else {
			run.gap = max(run.gap, next.Sub(last))
		}
		last = next
		times = append(times, next)
	}
	return run, times
}

// respond writes a response, as far as its connection stays open.
func (f *silentFleet) respond(w *pausingWorker, e *workerExchange) {
	run, times := f.begin(w, e)
	if run.refused {
		<-time.After(time.Until(w.sound(time.Now())))
		e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
		return
	}
	<-time.After(time.Until(w.sound(time.Now())))
	half := strings.Repeat(run.name+" ", 40)
	if w.service == "llm" {
		e.stream(w.version)
	} else {
		e.head(http.StatusOK, sealHeader, "seal", "Content-Length", fmt.Sprint(2*len(half)))
	}
	for i, at := range times {
		<-time.After(time.Until(at))
		text := half
		if w.service == "llm" {
			text = fmt.Sprintf("id: %d\ndata: %s\n\n", run.after+i+1, run.name)
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := e.Write([]byte(text)); err != nil {
			return
		}
	}
	if w.service == "llm" {
		e.end()
	}
}

// ask sends a request on a route through an entry after some time.
func (f *silentFleet) ask(d *deployment, route string, after time.Duration) {
	f.mu.Lock()
	r := &fleetRequest{id: fmt.Sprint("q", len(f.requests)), route: route}
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	f.asked.Go(func() {
		<-time.After(after)
		r.sentAt = time.Now()
		method := http.MethodPost
		if route == "view" {
			method = http.MethodGet
		}
		r.got = d.ask(f.t.Context(), method, "/"+route+"/x", "", deadlineHeader, "6000", idHeader, r.id)
	})
}

// drawn returns a time between two, by the seed.
func (f *silentFleet) drawn(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

// ran returns the arrivals that a worker has run.
func (r *fleetRequest) ran() []*fleetRun {
	return slices.DeleteFunc(slices.Clone(r.arrivals), func(run *fleetRun) bool { return run.refused })
}

// served reports whether the caller has got the whole answer.
func (r *fleetRequest) served() bool { return r.got.status == http.StatusOK && !r.got.cut }

// mayFail reports whether a worker that ran the request sent nothing for longer than the entry waits.
func (r *fleetRequest) mayFail() bool {
	ran := r.ran()
	if len(ran) == 0 || r.route != "chat" {
		return len(ran) == 0
	}
	if !ran[0].first.Before(r.sentAt.Add(callersWait - firstEventReserve)) {
		return true
	}
	return slices.ContainsFunc(ran, func(run *fleetRun) bool { return run.gap >= callersWait+firstEventReserve })
}

var eventOfRun = regexp.MustCompile(`id: (\d+)\ndata: (\S+)\n\n`)

// check returns what is wrong with the answer of a request, empty for nothing.
func (r *fleetRequest) check() string {
	workers := make(map[*pausingWorker]bool)
	for _, run := range r.ran() {
		workers[run.worker] = true
	}
	switch {
	case r.route == "book" && len(r.arrivals) > 1:
		return "sent twice though it must run once"
	case len(workers) > 2:
		return "runs on more workers than the attempts of its route"
	case !r.served() && !r.mayFail():
		return "lost"
	case r.got.status == http.StatusServiceUnavailable && len(r.ran()) > 0:
		return "refused although it has run"
	case r.route != "chat" && r.served():
		return r.checkPlain()
	case r.route == "chat" && r.got.status == http.StatusOK:
		return r.checkStream()
	}
	return ""
}

// checkPlain requires that the response is the whole one of one run.
func (r *fleetRequest) checkPlain() string {
	for _, run := range r.ran() {
		if r.got.body == strings.Repeat(run.name+" ", 80) {
			return ""
		}
	}
	return "the body is not that of one run"
}

// checkStream requires that a stream has each event once and in order, and that another run goes on only behind the
// last event of the one before, on the same weights.
func (r *fleetRequest) checkStream() string {
	found := eventOfRun.FindAllStringSubmatch(r.got.body, -1)
	var current *fleetRun
	for i, event := range found {
		if event[1] != fmt.Sprint(i+1) {
			return fmt.Sprintf("event %s in place of %d", event[1], i+1)
		}
		if current != nil && current.name == event[2] {
			continue
		}
		at := slices.IndexFunc(r.arrivals, func(run *fleetRun) bool { return run.name == event[2] })
		next := r.arrivals[at]
		if next.after != i || (current != nil && current.worker.version != next.worker.version) {
			return fmt.Sprintf("event %d is of another run, which began after %d", i+1, next.after)
		}
		current = next
	}
	length := 0
	for _, event := range found {
		length += len(event[0])
	}
	if length != len(r.got.body) || (!r.got.cut && len(found) != fleetEvents) {
		return fmt.Sprintf("%d events, %d bytes of %d", len(found), length, len(r.got.body))
	}
	return ""
}

// silenceCounts tells what the requests of a fleet have met.
type silenceCounts struct {
	served, refused, mayFail, failed, repeated, refusedRepeats int
}

// repeatsIn returns the most arrivals beyond the first of their requests on a route within ten seconds, over the
// retry budget for the requests that callers sent on it within the same time.
func (f *silentFleet) repeatsIn(route string, ratio, slack float64) (repeats int, allowed float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sent, repeated []time.Time
	for _, r := range f.requests {
		if r.route != route {
			continue
		}
		sent = append(sent, r.sentAt)
		for _, run := range r.arrivals[min(1, len(r.arrivals)):] {
			repeated = append(repeated, run.at)
		}
	}
	within := func(times []time.Time, from time.Time) (count int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
				count++
			}
		}
		return count
	}
	worst := math.Inf(-1)
	for _, from := range repeated {
		n, limit := within(repeated, from), ratio*float64(within(sent, from))+slack
		if over := float64(n) - limit; over > worst {
			worst, repeats, allowed = over, n, limit
		}
	}
	return repeats, allowed
}

// checkAnswers fails the test for each answer that is lost or wrong.
func (f *silentFleet) checkAnswers(t *testing.T) silenceCounts {
	t.Helper()
	f.asked.Wait()
	f.mu.Lock() // an attempt that was ended may arrive even now
	defer f.mu.Unlock()
	var counts silenceCounts
	for _, r := range f.requests {
		if wrong := r.check(); wrong != "" {
			var arrivals []string
			for _, run := range r.arrivals {
				arrivals = append(arrivals, fmt.Sprintf("%s at %v after %d, refused %v, first %v, gap %v", run.name, run.at.Sub(r.sentAt), run.after, run.refused, run.first.Sub(r.sentAt), run.gap))
			}
			t.Errorf("%s %s: %s: status %d, cut %v, took %v, %d bytes; arrivals %s", r.route, r.id, wrong, r.got.status, r.got.cut, r.got.took, len(r.got.body), strings.Join(arrivals, "; "))
		}
		switch {
		case r.served():
			counts.served++
		case len(r.ran()) == 0:
			counts.refused++
		default:
			counts.failed++
		}
		if len(r.ran()) > 0 && r.mayFail() {
			counts.mayFail++
		}
		for i, run := range r.arrivals {
			if i == 0 {
				continue
			}
			counts.repeated++
			if run.refused {
				counts.refusedRepeats++
			}
		}
	}
	return counts
}

// requireNothingLeft fails the test if an entry still counts an attempt, a wait for a start or memory of a response.
func (f *silentFleet) requireNothingLeft(t *testing.T) {
	t.Helper()
	for _, d := range f.entries {
		if used := d.held(); used != 0 {
			t.Errorf("%s: %d bytes of responses in use", d.front.view.settings.VM, used)
		}
		v := d.front.view
		v.mu.Lock()
		for name, state := range v.services {
			for _, status := range state.table.Status() {
				if status.OwnAttempts != 0 {
					t.Errorf("%s: %d attempts at %s of %s", v.settings.VM, status.OwnAttempts, status.VM, name)
				}
			}
		}
		for id, w := range v.workers {
			// A request that still waits counts for as long as it does, and others for a few seconds.
			if expected := w.waits.Expected(time.Now()); expected != 0 {
				t.Errorf("%s: requests are expected to wait %v at %s", v.settings.VM, expected, id)
			}
		}
		v.mu.Unlock()
	}
}
