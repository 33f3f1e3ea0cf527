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

// Result is the result of a run.
type Result struct {
	Seed uint64
	// Requests counts the requests of all callers, Served the complete success responses.
	Requests int
	Served   int
	// Repeated counts the requests outside faults that ran more than once, in RunVersions all that did, and Silent the longest pause of a stream.
	Repeated int
	Silent   time.Duration
	// Cut counts the streams that ended before their last event, and Unanswered the requests that ran and got no
	// answer. Only RunVersions counts them.
	Cut, Unanswered int
	Bounds          Bounds
	// Faults lists the faults with their times, in the order in which they started.
	Faults []string
	// Violations lists the violated guarantees.
	Violations []error
}

// String summarises a run.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d of %d requests served, %d ran again, longest pause %s, %d faults, %d promises broken",
		r.Seed, r.Served, r.Requests, r.Repeated, r.Silent.Round(time.Millisecond), len(r.Faults), len(r.Violations))
}

// window is the time in which a fault or its effects last.
type window struct{ from, to time.Time }

// run is a run in progress.
type run struct {
	fleet        *Fleet
	rng          *rand.Rand
	result       Result
	faultWindows []window
	// plannedRestarts holds the planned restarts by the name of the entry.
	plannedRestarts    map[string][]window
	version            int
	configVersion      int
	versionPublishedAt time.Time
	namings            []naming
	// starts holds the time from each start after a planned restart until the entry is ready, by its
	// name. mu guards it.
	starts map[string][]window
	// settings are those of the configuration that was drawn last, and silencedAt holds the start of
	// the last silence of each worker, or the end of a time in which it keeps requests waiting.
	settings   settings
	silencedAt map[string]time.Time
	// workerFaults holds the faults of the network before a worker, by its name.
	workerFaults map[string][]window
	callers      *Callers
	// pauses holds the pauses of each stream: the longest that was observed, and the shortest that any of its
	// workers meant, any of which would have gone on.
	pauses map[string]hosted.Pause
	// giveUps holds the requests that entries have given up at the bound of their weights, and arrivals their arrivals at the
	// workers that ran them, both by their ids.
	giveUps  map[string][]giveUp
	arrivals map[string][]arrival

	// noteMu guards the list of faults in result.
	noteMu sync.Mutex
	// mu also guards version and configVersion, which timers read.
	mu sync.Mutex
	// restoring is set while the store is to come back from a copy.
	restoring        bool
	departurePending bool
	departures       []departure
	// stops are the ends of planned stops.
	stops []stop
	// disturbed holds, by the name of the entry, the times in which it is not in touch without those that are in
	// faultWindows, and senders the name of the entry of each request by its id.
	disturbed map[string][]window
	senders   map[string]string
	// refusedLarge are the large bookings that were refused.
	refusedLarge []Outcome
	// stalls are those of this process, as far as they are watched.
	stalls stalls
	// limited is the worker that states a limit, or nil.
	limited *ProxiedWorker
	// startErrors lists the errors of processes that could not be started again.
	startErrors []error
}

// departure records when a worker reported that it leaves, and its last request.
type departure struct {
	worker        string
	reportedAt    time.Time
	lastRequestAt time.Time
}

const (
	readyTimeout = 20 * time.Second
	// drainBound is the time after which a leaving worker must receive no requests.
	drainBound = 2 * time.Second
	// maxRequestDuration is how long a request may take: the 6 s deadline of the callers and
	// 500 ms for the response to reach them.
	maxRequestDuration = 6500 * time.Millisecond
	// minServedShare is the share of the requests outside all faults that must be served,
	// as on the users' sites without faults.
	minServedShare = 0.98
	// limitSettle is the time after a fault of the network before a worker in which requests that
	// it held back may arrive.
	limitSettle = time.Second
	// plannedEvery is the number of disruptions of which one is planned work or a silence.
	plannedEvery = 4
	// unmarkedEvery is the number of responses of a worker of which one ends with its connection.
	unmarkedEvery = 5
	// No faults are injected during faultFreeStart and faultFreeEnd, so that requests are
	// served at the start and at the end of a run.
	faultFreeStart = time.Second
	faultFreeEnd   = 4 * time.Second
)

// Run starts a fleet and runs one seed on it for about the duration.
func Run(options Options, seed uint64, duration time.Duration) (result Result, err error) {
	options.UnmarkedEvery = unmarkedEvery
	if options.Staging {
		options.StoreTime, options.LoadTime = storeTime, loadTime
	}
	fleet, err := Start(options)
	if err != nil {
		return Result{Seed: seed}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	r := &run{fleet: fleet, rng: rand.New(rand.NewPCG(seed, 7)), result: Result{Seed: seed}, plannedRestarts: make(map[string][]window), workerFaults: make(map[string][]window), starts: make(map[string][]window), settings: newSettings(), silencedAt: make(map[string]time.Time), version: 1, configVersion: 1}
	if err := fleet.AwaitReady(readyTimeout); err != nil {
		return r.result, err
	}
	if options.Staging {
		// Entries offer no weights before they are proven, so that requests at the start would be refused.
		if err := fleet.awaitServing(readyTimeout); err != nil {
			return r.result, err
		}
	}
	callers := fleet.StartCallers(seed)
	r.callers = callers
	time.Sleep(faultFreeStart)
	var weights *weightsRun
	if options.Staging {
		weights = r.startWeights(seed, duration)
	}
	for end := time.Now().Add(duration - faultFreeStart - faultFreeEnd); time.Now().Before(end); {
		if weights != nil {
			weights.inject()
		} else if options.PlannedOnly || r.rng.IntN(plannedEvery) == 0 {
			r.injectPlanned()
		} else {
			r.injectFault()
		}
		time.Sleep(time.Duration(200+r.rng.IntN(1200)) * time.Millisecond)
	}
	r.endFaults()
	if weights != nil {
		weights.end()
	}
	time.Sleep(faultFreeEnd)
	outcomes := callers.Stop()
	r.awaitRestore()
	r.checkChanges()
	r.check(outcomes)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result, errors.Join(r.startErrors...)
}

// AwaitReady waits until every entry is ready.
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

// recordFault records a fault that starts now and lasts for the given time.
func (r *run) recordFault(lasts time.Duration, format string, args ...any) {
	now := time.Now()
	r.faultWindows = append(r.faultWindows, window{now, now.Add(lasts)})
	r.note(format, args...)
}

// note adds a line to the list of faults, with the time as in the logs.
func (r *run) note(format string, args ...any) {
	r.noteMu.Lock()
	defer r.noteMu.Unlock()
	r.result.Faults = append(r.result.Faults, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// injectFault injects one random fault. Faults overlap, since timers end them later.
func (r *run) injectFault() {
	lasts := time.Duration(500+r.rng.IntN(2500)) * time.Millisecond
	all := append(append([]*Process{}, r.fleet.Entries...), r.fleet.Endpoints...)
	switch r.rng.IntN(16) {
	case 0:
		p := pick(r.rng, all)
		r.recordFault(lasts, "kill %s for %s", p.Name, lasts)
		p.Kill()
		time.AfterFunc(lasts, func() { r.start(p) })
	case 1:
		p := pick(r.rng, all)
		r.recordFault(lasts, "pause %s for %s", p.Name, lasts)
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(lasts, func() { p.Signal(syscall.SIGCONT) })
	case 2:
		r.restart(pick(r.rng, r.fleet.Entries))
	case 3:
		proxy := pick(r.rng, r.fleet.storeProxies)
		r.injectProxyFault(proxy, "store of one process", lasts)
	case 4:
		m := pick(r.rng, r.fleet.workers())
		now := time.Now()
		r.workerFaults[m.ID] = append(r.workerFaults[m.ID], window{now, now.Add(lasts + limitSettle)})
		r.injectProxyFault(m.Proxy, "worker "+m.ID, lasts)
	case 5:
		r.recordFault(lasts, "store down for %s", lasts)
		r.fleet.Store.SetDown(true)
		time.AfterFunc(lasts, func() { r.fleet.Store.SetDown(false) })
	case 6:
		r.recordFault(0, "history of the store is dropped")
		r.fleet.Store.Compact()
	case 7:
		r.publishVersion()
	case 8:
		r.changeConfig()
	case 10:
		r.leave(pick(r.rng, r.fleet.PlainWorkers))
	case 11:
		r.limit(pick(r.rng, r.fleet.workers()), pick(r.rng, []string{"0", "0.4", "1", "2.5", "6", "NaN"}), 2*lasts)
	case 13:
		r.restoreStore(2 * lasts)
	case 12:
		r.makeDeadly()
	case 14:
		r.breakHeads(pick(r.rng, r.fleet.workers()), lasts)
	case 15:
		r.burden(lasts)
	case 9:
		proxy := pick(r.rng, r.fleet.workers()).Proxy
		r.recordFault(0, "connections of a worker are reset")
		proxy.Reset()
	}
}

// publishVersion names a new version of the weights, unless the last one may not be in force yet.
func (r *run) publishVersion() {
	if time.Since(r.versionPublishedAt) <= versionBound+settleWindow {
		return
	}
	r.mu.Lock()
	r.version++
	r.mu.Unlock()
	r.versionPublishedAt = time.Now()
	r.note("version %d is named", r.version)
	r.fleet.Origin.SetNewest(r.version)
	r.fleet.PublishVersion(r.version)
	r.namings = append(r.namings, naming{r.version, time.Now()})
	if r.rng.IntN(2) == 0 {
		r.keepWaiting(time.Duration(r.rng.Int64N(int64(versionBound))))
	}
}

func (r *run) injectProxyFault(proxy *Proxy, what string, lasts time.Duration) {
	mode := pick(r.rng, []Mode{Delay, Silence, OneWay, Refuse})
	r.recordFault(lasts, "%s: %s for %s", what, mode, lasts)
	proxy.Set(mode)
	time.AfterFunc(lasts, func() { proxy.Set(Pass) })
}

// restart asks an entry to stop, as in a planned restart, and starts it again after stopGracePeriod.
func (r *run) restart(p *Process) {
	r.note("planned restart of %s", p.Name)
	asked := p.Running()
	now := time.Now()
	r.plannedRestarts[p.Name] = append(r.plannedRestarts[p.Name], window{now, now.Add(stopGracePeriod + settleWindow)})
	r.sendLate(p)
	begun := time.Now()
	p.Signal(syscall.SIGTERM)
	time.AfterFunc(stopGracePeriod, func() {
		r.recordStop(p, asked, begun)
		r.replace(p, asked)
		r.awaitStarted(p)
	})
}

// replace kills the instance that was asked to stop and starts the process again, unless
// another fault has done so already.
func (r *run) replace(p *Process, asked *Instance) {
	asked.Kill()
	r.start(p)
}

// start starts a process again, unless the fleet has stopped or another fault has started it.
func (r *run) start(p *Process) {
	err := p.Start()
	if err != nil && !errors.Is(err, ErrStopped) && !errors.Is(err, ErrRunning) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.startErrors = append(r.startErrors, err)
	}
}

// leave makes a worker report that it leaves, and start again later. Unless another fault is
// near, the worker must receive no requests after drainBound.
func (r *run) leave(m *ProxiedWorker) {
	r.mu.Lock()
	pending := r.departurePending || (r.limited != nil && r.limited.Service == m.Service)
	r.departurePending = r.departurePending || !pending
	r.mu.Unlock()
	if pending {
		return
	}
	r.note("%s leaves", m.ID)
	reportedAt := time.Now()
	r.fleet.Store.Put("servers", m.ID, m.Entry("draining"))
	time.AfterFunc(drainBound+time.Second, func() {
		last := m.LastRun()
		m.Restart()
		r.fleet.Store.Put("servers", m.ID, m.Entry("ready"))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.departurePending = false
		r.departures = append(r.departures, departure{m.ID, reportedAt, last})
	})
}

// limit makes a worker state a limit for some time, unless another one does, or a worker of its
// service is leaving: the others must have room for the requests that it does not take.
func (r *run) limit(m *ProxiedWorker, header string, lasts time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limited != nil || (r.departurePending && m.Service != modelService) {
		return
	}
	r.limited = m
	r.note("%s states a limit of %s for %s", m.ID, header, lasts)
	m.SetLimit(header)
	time.AfterFunc(lasts, r.endLimit)
}

// endLimit ends the limit of the worker that states one.
func (r *run) endLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limited != nil {
		r.limited.SetLimit("")
		r.limited = nil
	}
}

// endFaults ends the faults of the proxies and the store. Timers end those of processes.
func (r *run) endFaults() {
	for _, proxy := range r.fleet.storeProxies {
		proxy.Set(Pass)
	}
	for _, m := range r.fleet.workers() {
		m.Proxy.Set(Pass)
		endBreaks(m)
	}
	r.fleet.Store.SetDown(false)
	r.endLimit()
}

// faultFree reports whether no fault, extended by settleWindow, overlaps a time span.
func (r *run) faultFree(from, to time.Time) bool {
	for _, w := range r.faultWindows {
		if w.from.Before(to) && w.to.Add(settleWindow).After(from) {
			return false
		}
	}
	return true
}

// refusedByRestart reports whether a request was refused a connection during a planned
// restart of its entry.
func (r *run) refusedByRestart(o Outcome) bool {
	return errors.Is(o.Err, syscall.ECONNREFUSED) && slices.ContainsFunc(r.plannedRestarts[o.Entry], func(w window) bool {
		return w.from.Before(o.Ended) && w.to.After(o.Sent)
	})
}

// check compares what callers and workers saw with the guarantees of the system.
func (r *run) check(outcomes []Outcome) {
	violation := func(format string, args ...any) {
		r.result.Violations = append(r.result.Violations, fmt.Errorf(format, args...))
	}
	runs := func(id string) int {
		total := 0
		for _, m := range r.fleet.workers() {
			total += m.Runs(id)
		}
		return total
	}
	r.collectPauses()
	if err := r.collectGiveUps(); err != nil {
		violation("%w", err)
	}
	for _, at := range r.fleet.Crashes() {
		r.faultWindows = append(r.faultWindows, window{at, at.Add(RestartTime)})
	}
	r.checkDeadly(violation)
	r.checkVersions(violation)
	r.checkAnswers(outcomes, runs, violation)
	r.checkRefusedLarge(runs, violation)
	r.checkLate(outcomes, runs, violation)
	for _, o := range outcomes {
		r.result.Requests++
		if o.Status == http.StatusOK && o.Err == nil {
			r.result.Served++
		}
		if o.Violation != nil {
			violation("%s at %s: %w", o.ID, o.Entry, o.Violation)
		}
		if o.Kind == kindBook && runs(o.ID) > 1 {
			violation("%s ran %d times", o.ID, runs(o.ID))
		}
		if o.Kind == kindBook && (o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests) && runs(o.ID) > 0 {
			violation("%s was answered %d and ran", o.ID, o.Status)
		}
		if (o.Status == http.StatusUnauthorized || o.Status == http.StatusNotFound) && o.Err == nil {
			violation("%s at %s was answered %d", o.ID, o.Entry, o.Status)
		}
		if took := o.Ended.Sub(o.Sent); took > maxRequestDuration && r.faultFree(o.Sent, o.Ended) {
			violation("%s at %s took %s", o.ID, o.Entry, took)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.departures {
		if after := d.lastRequestAt.Sub(d.reportedAt); after > drainBound && r.faultFree(d.reportedAt.Add(-settleWindow), d.lastRequestAt) {
			violation("%s got a request %s after it had said that it leaves", d.worker, after)
		}
	}
	for _, m := range r.fleet.workers() {
		// What a fault of the network holds back arrives at once when it ends.
		err := m.LimitErr(func(from, to time.Time) bool {
			return slices.ContainsFunc(r.workerFaults[m.ID], func(w window) bool { return w.from.Before(to) && w.to.After(from) })
		})
		if err != nil {
			violation("%w", err)
		}
	}
	for _, m := range r.fleet.ModelWorkers {
		if err := m.RunErr(); err != nil {
			violation("%w", err)
		}
	}
	if total, served := r.countFaultFree(outcomes); total == 0 || float64(served) < minServedShare*float64(total) {
		violation("only %d of %d requests that no fault touched were served", served, total)
	}
}

// countFaultFree counts the requests outside all faults, and those of them that were served.
// The requests that end during faultFreeStart are always among them. Requests whose connection
// is refused during a planned restart, or that reach an entry which has just started, do not count:
// the users' platform sends callers to another entry until an entry is ready. Neither do streams whose worker
// paused for longer than the patience, nor refusals under overload.
func (r *run) countFaultFree(outcomes []Outcome) (total, served int) {
	for _, o := range outcomes {
		if o.Deadly || o.Late || !r.faultFree(o.Sent, o.Ended) || r.refusedByRestart(o) || r.starting(o) {
			continue
		}
		refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
		if r.outlastsPatience(r.pauses[o.ID]) || (refused && r.fleet.Overload) {
			continue
		}
		total++
		if o.Status == http.StatusOK && o.Err == nil {
			served++
		}
	}
	return total, served
}

// SmallModel returns the model of the soak. It is small, so that its weights are transferred
// within a second.
func SmallModel() hosted.Model {
	return hosted.Model{Name: "m", Chunks: 16, ChunkBytes: 4096, Layers: 8}
}
