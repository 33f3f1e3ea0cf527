package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// restoreOutage is how long the store is away before it comes back from an older copy, and
	// rewriteDelay the time after which operators and workers have written again what was lost.
	restoreOutage = 700 * time.Millisecond
	rewriteDelay  = time.Second
	// changeBound is the time within which a change of the configuration must be in force.
	changeBound = 2 * time.Second
	// finalRoute is the route that is added at the end of a run.
	finalRoute = "final"
)

// ConfigWithRoutes returns the configuration object of a version with additional routes to the
// plain service.
func (f *Fleet) ConfigWithRoutes(version int, names ...string) map[string]any {
	config := f.Config(version, f.OriginAddress())
	routes := config["routes"].([]any)
	for _, name := range names {
		routes = append(routes, map[string]any{
			"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 400,
			"priority": 1, "service": plainService, "attempts": 2,
		})
	}
	config["routes"] = routes
	return config
}

// restoreStore copies the store, and later has it come back from that copy. Operators and workers
// write again what was lost; the system must do so itself.
func (r *run) restoreStore(age time.Duration) {
	r.mu.Lock()
	pending := r.restoring
	r.restoring = true
	r.mu.Unlock()
	if pending {
		return
	}
	backup := r.fleet.Store.Backup()
	r.recordFault(age+restoreOutage+rewriteDelay, "store comes back from a copy that is %s old", age)
	time.AfterFunc(age, func() { r.fleet.Store.SetDown(true) })
	time.AfterFunc(age+restoreOutage, func() {
		r.fleet.Store.Restore(backup)
		r.fleet.Store.SetDown(false)
	})
	time.AfterFunc(age+restoreOutage+rewriteDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fleet.Store.Put("config", "main", r.fleet.Config(r.configVersion, r.fleet.OriginAddress()))
		r.fleet.PublishVersion(r.version)
		r.fleet.PublishWorkers()
		r.restoring = false
	})
}

// awaitRestore waits until no restore is pending any more.
func (r *run) awaitRestore() {
	for {
		r.mu.Lock()
		pending := r.restoring
		r.mu.Unlock()
		if !pending {
			return
		}
		time.Sleep(settleWindow)
	}
}

// checkChanges adds a route at the end of a run and reports the ready entries that do not serve it
// in time, and those that the store does not list.
func (r *run) checkChanges() {
	r.mu.Lock()
	r.configVersion++
	version := r.configVersion
	r.mu.Unlock()
	ready := make(map[*Process]*Instance)
	for _, p := range r.fleet.Entries {
		if p.Ready() {
			ready[p] = p.Running()
		}
	}
	r.fleet.Store.Put("config", "main", r.fleet.ConfigWithRoutes(version, finalRoute))
	time.Sleep(changeBound)
	listed := make(map[string]bool)
	for _, name := range r.fleet.Store.Names("entries") {
		listed[name] = true
	}
	for p, instance := range ready {
		if p.Running() != instance || !p.Ready() {
			continue
		}
		if status := r.fleet.Ask(p, finalRoute); status == http.StatusNotFound {
			r.result.Violations = append(r.result.Violations, fmt.Errorf("%s does not serve a route %s after it was added", p.Name, changeBound))
		}
		if !listed[p.Name] {
			r.result.Violations = append(r.result.Violations, fmt.Errorf("the store does not list %s", p.Name))
		}
	}
}
