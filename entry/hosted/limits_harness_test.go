package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/workerlimit"
	"laburnumgw/platform"
)

const (
	limitHeader = "Server-Limit"
	// ruleWindow is the length of the windows in which the platform counts the requests to a
	// worker with a limit, and ruleSettleTime the time after which they count.
	ruleWindow     = 4 * time.Second
	ruleSettleTime = 500 * time.Millisecond
)

// allowedByRule returns the requests in ruleWindow that the platform allows for a limit.
func allowedByRule(perSecond float64) float64 { return 1.5*perSecond*ruleWindow.Seconds() + 5 }

// limitFleet is a number of entries before the same workers. Messages between the entries are
// function calls with a delay.
type limitFleet struct {
	t       *testing.T
	entries []*deployment
	rng     *rand.Rand
	workers []*limitWorker

	mu sync.Mutex
	// reachable reports whether a message from one entry reaches another.
	reachable func(from, to *deployment) bool
	// announced reports whether an announcement arrives.
	announced func() bool
	messages  int
	statuses  map[int]int
}

// peerDelay is the time of a message between two entries.
const peerDelay = time.Millisecond

var errUnreachable = errors.New("entry is unreachable")

func newLimitFleet(t *testing.T, count int) *limitFleet {
	f := &limitFleet{
		t: t, rng: rand.New(rand.NewPCG(1, uint64(count))), statuses: make(map[int]int),
		reachable: func(*deployment, *deployment) bool { return true }, announced: func() bool { return true },
	}
	for range count {
		f.join()
	}
	f.listEntries(f.entries...)
	return f
}

func entryName(i int) string { return fmt.Sprintf("front-%03d", i) }

// join adds an entry. It knows the workers, and itself of the entries.
func (f *limitFleet) join() *deployment {
	i := len(f.entries)
	d := newEntryDeployment(f.t, entryName(i), string(rune('a'+i%2)))
	d.front.view.limitPeers = &fleetPeers{f, d}
	go d.front.view.refreshLimits(f.t.Context())
	f.mu.Lock()
	f.entries = append(f.entries, d)
	f.mu.Unlock()
	for _, w := range f.workers {
		w.list(d)
	}
	return d
}

// restart replaces an entry by one that knows only what the store lists and what the other
// entries tell it at its start.
func (f *limitFleet) restart(i int) {
	old := f.entries[i].front
	d := newEntryDeployment(f.t, entryName(i), old.view.settings.Zone)
	d.front.view.limitPeers = &fleetPeers{f, d}
	for _, w := range f.workers {
		w.list(d)
	}
	f.listEntries(d)
	go d.front.view.refreshLimits(f.t.Context())
	for _, address := range d.front.view.otherAddresses()[:min(limitsEntries, len(f.entries)-1)] {
		d.front.view.fetchLimits(f.t.Context(), address)
	}
	// Requests of the callers reach the new process from here on.
	f.entries[i].mu.Lock()
	f.entries[i].front = d.front
	f.entries[i].mu.Unlock()
}

// listEntries tells some entries of all entries.
func (f *limitFleet) listEntries(known ...*deployment) {
	var changes []mirror.Change
	for i, d := range f.entries {
		value := fmt.Sprintf(`{"zone":%q,"address":%q}`, d.front.view.settings.Zone, workerAddress(entryName(i)))
		changes = append(changes, mirror.Change{Object: mirror.Object{Name: entryName(i), Revision: int64(i + 1), Value: []byte(value)}})
	}
	for _, d := range known {
		d.front.view.applyChanges(platform.KindEntries, changes)
	}
}

// fleetPeers implements limitPeers.
type fleetPeers struct {
	fleet *limitFleet
	own   *deployment
}

func (p *fleetPeers) reach(address string) *deployment {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.messages++
	for i, d := range p.fleet.entries {
		if workerAddress(entryName(i)) == address && p.fleet.reachable(p.own, d) {
			return d
		}
	}
	return nil
}

func (p *fleetPeers) Announce(limit workerlimit.Limit) {
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Limit: limitMessage(limit)})
	if err != nil {
		p.fleet.t.Error(err)
	}
	for _, address := range p.own.front.view.otherAddresses() {
		if d := p.reach(address); d != nil && p.fleet.announced() {
			time.AfterFunc(peerDelay, func() { d.front.view.applyDatagram(data) })
		}
	}
}

func (p *fleetPeers) Lend(ctx context.Context, address, vm string, startedAtMs int64) (*laburnumgwv1.LendResponse, error) {
	d := p.reach(address)
	if d == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(peerDelay)
	response := d.front.view.lendRequest(vm, startedAtMs)
	time.Sleep(peerDelay)
	return response, nil
}

func (p *fleetPeers) ListLimits(ctx context.Context, address string) (*laburnumgwv1.ListLimitsResponse, error) {
	d := p.reach(address)
	if d == nil {
		return nil, errUnreachable
	}
	select {
	case <-ctx.Done():
		return nil, errUnreachable
	case <-time.After(peerDelay):
	}
	return (&limitsServer{view: d.front.view}).ListLimits(ctx, new(laburnumgwv1.ListLimitsRequest))
}

// limitWorker is a worker that may state a limit.
type limitWorker struct {
	fleet   *limitFleet
	id      string
	service string
	zone    string
	// duration is the time of a response, and delay an additional one of single responses.
	duration time.Duration
	delay    func() time.Duration

	// next returns the limit to state in a response, by the number of requests so far; nil for
	// the one that was set last.
	next func(arrived int) string
	// cutEvery is the number of requests of which one is cut off; zero for none.
	cutEvery int

	mu       sync.Mutex
	startMs  int64
	header   string
	toldAt   time.Time
	arrivals []time.Time
	// told holds the time at which each entry was first told, and fromTold whether each arrival
	// came from one that had been told ruleSettleTime before.
	told     map[string]time.Time
	fromTold []bool
}

// addWorker adds a worker to all entries.
func (f *limitFleet) addWorker(service, id string) *limitWorker {
	w := &limitWorker{fleet: f, id: id, service: service, zone: string(rune('a' + len(f.workers)%2)), startMs: 1, told: make(map[string]time.Time), duration: 20 * time.Millisecond, delay: func() time.Duration { return 0 }}
	f.workers = append(f.workers, w)
	for _, d := range f.entries {
		w.list(d)
	}
	return w
}

func (w *limitWorker) list(d *deployment) {
	d.mu.Lock()
	d.scripts[w.id] = func(e *workerExchange) { w.respond(d.front.view.settings.VM, e) }
	d.mu.Unlock()
	w.mu.Lock()
	startMs := w.startMs
	w.mu.Unlock()
	d.put(platform.KindWorkers, w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":64,"state":"ready","cold_remaining_ms":0,"born":%d,`+
		`"models":[{"name":"m","version":1}],"layers":{"from":0,"target":16,"version":1},"sequence":4}`, w.service, workerAddress(w.id), w.zone, startMs))
}

// restart starts the worker anew, without a limit.
func (w *limitWorker) restart() {
	w.mu.Lock()
	w.startMs++
	w.header = ""
	w.mu.Unlock()
	for _, d := range w.fleet.entries {
		w.list(d)
	}
}

func (w *limitWorker) state(header string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.header = header
	w.toldAt = time.Time{}
}

func (w *limitWorker) respond(entry string, e *workerExchange) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, time.Now())
	told := w.told[entry]
	w.fromTold = append(w.fromTold, !told.IsZero() && time.Since(told) >= ruleSettleTime)
	cut := w.cutEvery > 0 && len(w.arrivals)%w.cutEvery == 0
	header := w.header
	if w.next != nil {
		header = w.next(len(w.arrivals))
	}
	delay := w.duration + w.delay()
	w.mu.Unlock()
	time.Sleep(delay)
	defer e.Close()
	fields := []string{sealHeader, "seal", "Connection", "close"}
	if header != "" {
		w.mu.Lock()
		if w.toldAt.IsZero() {
			w.toldAt = time.Now()
		}
		if w.told[entry].IsZero() {
			w.told[entry] = time.Now()
		}
		w.mu.Unlock()
		fields = append(fields, limitHeader, header)
	}
	if w.service == "llm" {
		e.head(http.StatusOK, append(fields, versionHeader, "1", "Content-Type", "text/event-stream", "Transfer-Encoding", "chunked")...)
		e.events(1, 1)
		if !cut {
			e.events(2, 2)
			e.end()
		}
		return
	}
	if cut {
		return
	}
	e.head(http.StatusOK, append(fields, "Content-Length", "0")...)
}

// arrived returns the number of requests that arrived within a time span.
func (w *limitWorker) arrived(from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(w.arrivals), func(at time.Time) bool { return at.Before(from) || !at.Before(to) }))
}

// most returns the largest number of requests that arrived within ruleWindow from a time on, of
// all entries or only of those that had been told.
func (w *limitWorker) most(from time.Time, toldOnly bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for i, at := range w.arrivals {
		count := 0
		for j, next := range w.arrivals[i:] {
			if !at.Before(from) && next.Sub(at) < ruleWindow && (w.fromTold[i+j] || !toldOnly) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// settled returns the time from which on the requests to the worker count.
func (w *limitWorker) settled() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.toldAt.Add(ruleSettleTime)
}

// demand sends requests to some entries, each at a mean rate with random pauses, until the time
// has passed.
func (f *limitFleet) demand(entries []*deployment, method, target string, perSecond float64, length time.Duration) *sync.WaitGroup {
	running := new(sync.WaitGroup)
	end := time.Now().Add(length)
	for _, d := range entries {
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 1))
		running.Go(func() {
			var requests sync.WaitGroup
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				requests.Go(func() {
					response := d.ask(f.t.Context(), method, target, "", deadlineHeader, "1000")
					f.mu.Lock()
					f.statuses[response.status]++
					f.mu.Unlock()
				})
			}
			requests.Wait()
		})
	}
	return running
}
