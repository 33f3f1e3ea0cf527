package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// maxRouteInterval bounds the time between two changes of the configuration, each of which adds a
	// route, and routesKept is the number of routes that it keeps.
	maxRouteInterval = 600 * time.Millisecond
	routesKept       = 16
	// askTime bounds how long an entry may take to respond before it counts as not asked.
	askTime = 500 * time.Millisecond
)

// configurationsRun changes the configuration all the time while sources fail, and asks each entry
// without a fault of its own for each route once the route must be in force.
type configurationsRun struct {
	*run
	asking sync.WaitGroup

	// mu guards what follows. disturbed holds the times in which each entry has a fault of its own or
	// restarts, routes the routes in force, and versions the number of configurations.
	mu        sync.Mutex
	disturbed map[*Process][]window
	routes    []string
	versions  int
	// asked and unconfirmed count the requests on added routes, and those that were refused because
	// the entry could not tell.
	asked, unconfirmed int
	// settled is when the fault of one place ends that began last.
	settled time.Time
}

// RunConfigurations starts a fleet and changes its configuration under faults for about the
// duration. At any time at most one process or store connection has an unplanned fault, beside
// restarts, signals and discarded histories, which overlap.
func RunConfigurations(options Options, seed uint64, duration time.Duration) (result Result, err error) {
	fleet, err := Start(options)
	if err != nil {
		return Result{Seed: seed}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	if err := fleet.AwaitReady(readyTimeout); err != nil {
		return Result{Seed: seed}, err
	}
	time.Sleep(settleWindow)
	r := &configurationsRun{
		run: &run{
			fleet: fleet, rng: rand.New(rand.NewPCG(seed, 17)), result: Result{Seed: seed}, plannedRestarts: make(map[string][]window),
			starts: make(map[string][]window), settings: newSettings(),
		},
		disturbed: make(map[*Process][]window), versions: 1,
	}
	r.callers = fleet.StartCallers(seed)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		r.addRoute()
		if r.rng.IntN(3) == 0 {
			r.disturb()
		}
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxRouteInterval))))
	}
	r.asking.Wait()
	outcomes := r.callers.Stop()
	for _, proxy := range fleet.storeProxies {
		proxy.Set(Pass)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range outcomes {
		if o.Err == nil && (o.Status == http.StatusNotFound || o.Status == http.StatusUnauthorized) {
			r.result.Violations = append(r.result.Violations, fmt.Errorf("%s at %s was answered %d on a route of all configurations", o.ID, o.Entry, o.Status))
		}
	}
	r.result.Requests, r.result.Served = r.asked, r.asked-r.unconfirmed-len(r.result.Violations)
	r.note("%d requests on added routes, %d refused because the entry could not tell", r.asked, r.unconfirmed)
	return r.result, errors.Join(r.startErrors...)
}

// addRoute writes a configuration with one more route, and has all entries asked for it when it must
// be in force.
func (r *configurationsRun) addRoute() {
	r.mu.Lock()
	r.versions++
	route := fmt.Sprintf("added-%d", r.versions)
	r.routes = append(r.routes, route)
	if len(r.routes) > routesKept {
		r.routes = r.routes[1:]
	}
	config := r.fleet.ConfigWithRoutes(r.versions, r.routes...)
	r.mu.Unlock()
	r.fleet.Store.Put("config", "main", config)
	acked := time.Now()
	r.asking.Go(func() {
		time.Sleep(changeBound)
		var each sync.WaitGroup
		for _, p := range r.fleet.Entries {
			each.Go(func() { r.askFor(p, route, acked) })
		}
		each.Wait()
	})
}

// askFor asks an entry for a route that must be in force.
func (r *configurationsRun) askFor(p *Process, route string, acked time.Time) {
	asked := time.Now()
	status := r.fleet.Ask(p, route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == 0 || time.Since(asked) > askTime || r.isDisturbed(p, acked) {
		return
	}
	r.asked++
	switch status {
	case http.StatusServiceUnavailable:
		r.unconfirmed++
	case http.StatusNotFound, http.StatusUnauthorized:
		r.result.Violations = append(r.result.Violations, fmt.Errorf("%s answers %d on %s, which was added at %s, %s after the request may be sent",
			p.Name, status, route, acked.UTC().Format("15:04:05.000"), time.Since(acked)-changeBound))
	}
}

// isDisturbed reports whether an entry had a fault of its own since a time. The caller holds the lock.
func (r *configurationsRun) isDisturbed(p *Process, since time.Time) bool {
	for _, w := range r.disturbed[p] {
		if w.to.Add(settleWindow).After(since) {
			return true
		}
	}
	return false
}

// excuse records that an entry has a fault of its own for some time from now on.
func (r *configurationsRun) excuse(p *Process, lasts time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.disturbed[p] = append(r.disturbed[p], window{now, now.Add(lasts)})
}

// disturb begins planned work, or a fault of one place unless the last one has not settled yet.
func (r *configurationsRun) disturb() {
	i := r.rng.IntN(len(r.fleet.Entries))
	p, proxy := r.fleet.Entries[i], r.fleet.storeProxies[i]
	lasts := time.Duration(500+r.rng.IntN(5500)) * time.Millisecond
	planned := r.rng.IntN(2) == 0
	switch fault := r.rng.IntN(3); {
	case planned && fault == 0:
		r.note("history of the store is dropped")
		r.fleet.Store.Compact()
	case planned && fault == 1:
		r.hangUp()
	case planned:
		r.excuse(p, stopGracePeriod+settleWindow)
		r.restart(p)
	case time.Now().Before(r.settled):
	case fault == 0:
		r.begin(p, lasts, "kill")
		p.Kill()
		time.AfterFunc(lasts, func() { r.start(p) })
	case fault == 1:
		r.begin(p, lasts, "pause")
		p.Signal(syscall.SIGSTOP)
		time.AfterFunc(lasts, func() { p.Signal(syscall.SIGCONT) })
	default:
		mode := pick(r.rng, []Mode{Delay, Silence, OneWay, Refuse})
		r.begin(p, lasts, "store of "+mode.String())
		proxy.Set(mode)
		time.AfterFunc(lasts, func() { proxy.Set(Pass) })
	}
}

// begin records a fault of one place.
func (r *configurationsRun) begin(p *Process, lasts time.Duration, what string) {
	r.note("%s: %s for %s", p.Name, what, lasts)
	r.excuse(p, lasts)
	r.settled = time.Now().Add(lasts + settleWindow)
}
