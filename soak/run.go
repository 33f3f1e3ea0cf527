package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumgw/standin/hosted"
)

// Result is what a run showed.
type Result struct {
	Seed uint64
	// Requests and Served count what callers sent and got.
	Requests int
	Served   int
	// Faults lists the faults in the order in which they began.
	Faults []string
	// Violations lists the promises that were broken.
	Violations []error
}

// String summarises a run.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d of %d requests served, %d faults, %d promises broken", r.Seed, r.Served, r.Requests, len(r.Faults), len(r.Violations))
}

// window is a time in which a fault or its effects last.
type window struct{ from, to time.Time }

// run is a run in progress.
type run struct {
	fleet   *Fleet
	rng     *rand.Rand
	result  Result
	windows []window
	// stops are the planned restarts of each entry, by its name.
	stops   map[string][]window
	version int
	config  int
	named   time.Time

	mu      sync.Mutex
	leaving bool
	left    []departure
	// failed lists processes that could not be started again.
	failed []error
}

// departure is a worker that left, with the last request that it got.
type departure struct {
	worker string
	told   time.Time
	last   time.Time
}

const (
	readyLimit = 20 * time.Second
	// drainBound is the time after which a leaving worker must get no requests.
	drainBound = 2 * time.Second
	// longestAnswer is how long a request may take: the 6 s that callers allow, and the
	// time in which an answer reaches them.
	longestAnswer = 6500 * time.Millisecond
	// calmShare is the part of the requests that must be served while no fault is near, as
	// on a quiet day of the users' sites.
	calmShare = 0.98
	// calmStart and calmEnd are without faults, so that the start and the end are served.
	calmStart = time.Second
	calmEnd   = 4 * time.Second
)

// Run plays one seed on a fresh fleet for about a duration.
func Run(options Options, seed uint64, duration time.Duration) (result Result, err error) {
	fleet, err := Start(options)
	if err != nil {
		return Result{Seed: seed}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	r := &run{fleet: fleet, rng: rand.New(rand.NewPCG(seed, 7)), result: Result{Seed: seed}, stops: make(map[string][]window), version: 1, config: 1}
	if err := fleet.AwaitReady(readyLimit); err != nil {
		return r.result, err
	}
	callers := fleet.StartCallers(seed)
	time.Sleep(calmStart)
	for end := time.Now().Add(duration - calmStart - calmEnd); time.Now().Before(end); {
		r.fault()
		time.Sleep(time.Duration(200+r.rng.IntN(1200)) * time.Millisecond)
	}
	r.heal()
	time.Sleep(calmEnd)
	outcomes := callers.Stop()
	r.check(outcomes)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result, errors.Join(r.failed...)
}

// AwaitReady waits until every entry is ready and some worker serves.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.Entries {
			if p.Ready() {
				ready++
			}
		}
		if ready == len(f.Entries) {
			return nil
		}
	}
	return fmt.Errorf("not every entry is ready after %s", limit)
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// mark records a fault that lasts for a time.
func (r *run) mark(lasts time.Duration, format string, args ...any) {
	now := time.Now()
	r.windows = append(r.windows, window{now, now.Add(lasts)})
	r.result.Faults = append(r.result.Faults, fmt.Sprintf(format, args...))
}

// fault draws one fault. Faults overlap, because they are undone later.
func (r *run) fault() {
	lasts := time.Duration(500+r.rng.IntN(2500)) * time.Millisecond
	all := append(append([]*Process{}, r.fleet.Entries...), r.fleet.Endpoints...)
	switch r.rng.IntN(11) {
	case 0:
		p := pick(r.rng, all)
		r.mark(lasts, "kill %s for %s", p.Name, lasts)
		p.Kill()
		time.AfterFunc(lasts, func() { r.start(p) })
	case 1:
		p := pick(r.rng, all)
		r.mark(lasts, "pause %s for %s", p.Name, lasts)
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(lasts, func() { p.Signal(syscall.SIGCONT) })
	case 2:
		r.restart(pick(r.rng, r.fleet.Entries))
	case 3:
		proxy := pick(r.rng, r.fleet.storeProxies)
		r.harm(proxy, "store of one process", lasts)
	case 4:
		m := pick(r.rng, append(append([]*ProxiedWorker{}, r.fleet.ModelWorkers...), r.fleet.PlainWorkers...))
		r.harm(m.Proxy, "worker "+m.ID, lasts)
	case 5:
		r.mark(lasts, "store down for %s", lasts)
		r.fleet.Store.SetDown(true)
		time.AfterFunc(lasts, func() { r.fleet.Store.SetDown(false) })
	case 6:
		r.mark(0, "history of the store is dropped")
		r.fleet.Store.Compact()
	case 7:
		if time.Since(r.named) > versionBound+settle {
			r.version++
			r.named = time.Now()
			r.result.Faults = append(r.result.Faults, fmt.Sprintf("version %d is named", r.version))
			r.fleet.Origin.SetNewest(r.version)
			r.fleet.PublishVersion(r.version)
		}
	case 8:
		r.config++
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("configuration %d", r.config))
		r.fleet.Store.Put("config", "main", r.fleet.Config(r.config, r.fleet.OriginAddress()))
	case 10:
		r.leave(pick(r.rng, r.fleet.PlainWorkers))
	case 9:
		proxy := pick(r.rng, append(append([]*ProxiedWorker{}, r.fleet.ModelWorkers...), r.fleet.PlainWorkers...)).Proxy
		r.mark(0, "connections of a worker are reset")
		proxy.Reset()
	}
}

func (r *run) harm(proxy *Proxy, what string, lasts time.Duration) {
	mode := pick(r.rng, []Mode{Delay, Silence, OneWay, Refuse})
	r.mark(lasts, "%s: %s for %s", what, mode, lasts)
	proxy.Set(mode)
	time.AfterFunc(lasts, func() { proxy.Set(Pass) })
}

// restart stops an entry as planned and starts it again.
func (r *run) restart(p *Process) {
	r.result.Faults = append(r.result.Faults, "planned restart of "+p.Name)
	asked := p.Running()
	now := time.Now()
	r.stops[p.Name] = append(r.stops[p.Name], window{now, now.Add(grace + settle)})
	p.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { r.replace(p, asked) })
}

// replace ends an instance that was asked to stop and starts the process again. Another
// fault may have done so already.
func (r *run) replace(p *Process, asked *Instance) {
	asked.Kill()
	r.start(p)
}

// start starts a process again, unless the run is over or another fault has started it.
func (r *run) start(p *Process) {
	err := p.Start()
	if err != nil && !errors.Is(err, ErrStopped) && !errors.Is(err, ErrRunning) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failed = append(r.failed, err)
	}
}

// leave has a worker announce that it leaves, and come back later. Where nothing else
// happened around, it must get no requests after the bound.
func (r *run) leave(m *ProxiedWorker) {
	r.mu.Lock()
	busy := r.leaving
	r.leaving = true
	r.mu.Unlock()
	if busy {
		return
	}
	r.result.Faults = append(r.result.Faults, m.ID+" leaves")
	told := time.Now()
	r.fleet.Store.Put("servers", m.ID, m.Entry("draining"))
	time.AfterFunc(drainBound+time.Second, func() {
		last := m.LastRun()
		r.fleet.Store.Put("servers", m.ID, m.Entry("ready"))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.leaving = false
		r.left = append(r.left, departure{m.ID, told, last})
	})
}

// heal ends all faults that can be ended at once.
func (r *run) heal() {
	for _, proxy := range r.fleet.storeProxies {
		proxy.Set(Pass)
	}
	for _, m := range append(append([]*ProxiedWorker{}, r.fleet.ModelWorkers...), r.fleet.PlainWorkers...) {
		m.Proxy.Set(Pass)
	}
	r.fleet.Store.SetDown(false)
}

// calm reports whether no fault touched a time.
func (r *run) calm(from, to time.Time) bool {
	for _, w := range r.windows {
		if w.from.Before(to) && w.to.Add(settle).After(from) {
			return false
		}
	}
	return true
}

// away reports whether a request found its entry gone for a planned restart.
func (r *run) away(o Outcome) bool {
	return errors.Is(o.Err, syscall.ECONNREFUSED) && slices.ContainsFunc(r.stops[o.Entry], func(w window) bool {
		return w.from.Before(o.Ended) && w.to.After(o.Sent)
	})
}

// check compares what callers and workers saw with what is promised.
func (r *run) check(outcomes []Outcome) {
	broken := func(format string, args ...any) {
		r.result.Violations = append(r.result.Violations, fmt.Errorf(format, args...))
	}
	runs := func(id string) int {
		total := 0
		for _, m := range append(append([]*ProxiedWorker{}, r.fleet.ModelWorkers...), r.fleet.PlainWorkers...) {
			total += m.Runs(id)
		}
		return total
	}
	for _, o := range outcomes {
		r.result.Requests++
		if o.Status == http.StatusOK && o.Err == nil {
			r.result.Served++
		}
		if o.Violation != nil {
			broken("%s at %s: %w", o.ID, o.Entry, o.Violation)
		}
		if o.Kind == "book" && runs(o.ID) > 1 {
			broken("%s ran %d times", o.ID, runs(o.ID))
		}
		if o.Kind == "book" && (o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests) && runs(o.ID) > 0 {
			broken("%s was answered %d and ran", o.ID, o.Status)
		}
		if (o.Status == http.StatusUnauthorized || o.Status == http.StatusNotFound) && o.Err == nil {
			broken("%s at %s was answered %d", o.ID, o.Entry, o.Status)
		}
		if took := o.Ended.Sub(o.Sent); took > longestAnswer && r.calm(o.Sent, o.Ended) {
			broken("%s at %s took %s", o.ID, o.Entry, took)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.left {
		if after := d.last.Sub(d.told); after > drainBound && r.calm(d.told.Add(-settle), d.last) {
			broken("%s got a request %s after it had said that it leaves", d.worker, after)
		}
	}
	for _, m := range r.fleet.ModelWorkers {
		if err := m.Err(); err != nil {
			broken("%w", err)
		}
	}
	if calm, served := r.calmly(outcomes); calm == 0 || float64(served) < calmShare*float64(calm) {
		broken("only %d of %d requests that no fault touched were served", served, calm)
	}
}

// calmly counts the requests that no fault touched, and those of them that were served. The
// end of a run is always among them. Requests that an entry refuses to connect because its
// process is restarted as planned do not count: callers of the users' platform are sent to
// another entry meanwhile.
func (r *run) calmly(outcomes []Outcome) (calm, served int) {
	for _, o := range outcomes {
		if !r.calm(o.Sent, o.Ended) || r.away(o) {
			continue
		}
		calm++
		if o.Status == http.StatusOK && o.Err == nil {
			served++
		}
	}
	return calm, served
}

// SmallModel returns the weights of the soak: small, so that they move within a second.
func SmallModel() hosted.Model {
	return hosted.Model{Name: "m", Chunks: 16, ChunkBytes: 4096, Layers: 8}
}
