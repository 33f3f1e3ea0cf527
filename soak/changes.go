package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// annexService is a second plain service, to which routes move.
	annexService = "annex"
	// maxSeriesTime bounds a series of changes or signals.
	maxSeriesTime = 1500 * time.Millisecond
	// minChatTimeout is the shortest time for a stream in a configuration.
	minChatTimeout = 4 * time.Second
	// readyPollInterval is the pause between two checks whether a process is ready.
	readyPollInterval = 20 * time.Millisecond
)

// settings is what changes of the configuration change.
type settings struct {
	// plainRoutes holds the backends of the plain routes, by their names.
	plainRoutes map[string]backends
	// chatTimeout, plainTimeout and idleTimeout are in milliseconds.
	chatTimeout, plainTimeout, idleTimeout int
	// workspaces is the number of workspaces besides that of the callers.
	workspaces int
	// ranks are the ranks of workspaces by their keys; 1 for the others.
	ranks map[string]int
}

// backends are the service of a plain route and the share of its requests that goes to
// annexService instead.
type backends struct {
	service    string
	annexShare float64
}

func newSettings() settings {
	return settings{
		plainRoutes: map[string]backends{kindBook: {service: plainService}, kindView: {service: plainService}},
		chatTimeout: 6000, plainTimeout: 1200, idleTimeout: 15000,
	}
}

// change returns the settings after one random change, and describes it.
func (s settings) change(rng *rand.Rand) (settings, string) {
	s.plainRoutes = maps.Clone(s.plainRoutes)
	route := pick(rng, []string{kindBook, kindView})
	switch rng.IntN(5) {
	case 0:
		s.plainRoutes[route] = backends{service: pick(rng, []string{plainService, annexService})}
		return s, fmt.Sprintf("%s moves to %s", route, s.plainRoutes[route].service)
	case 1:
		s.plainRoutes[route] = backends{plainService, 0.1 + 0.8*rng.Float64()}
		return s, fmt.Sprintf("%.2f of %s to %s", s.plainRoutes[route].annexShare, route, annexService)
	case 2:
		s.chatTimeout, s.plainTimeout = pick(rng, []int{int(minChatTimeout.Milliseconds()), 6000}), pick(rng, []int{1200, 2500})
		return s, fmt.Sprintf("timeouts of %d and %d ms", s.chatTimeout, s.plainTimeout)
	case 3:
		s.workspaces++
		return s, "one more workspace"
	default:
		s.idleTimeout = pick(rng, []int{5000, 15000, 30000})
		return s, fmt.Sprintf("idle timeout of %d ms", s.idleTimeout)
	}
}

// applyTo sets the backends of a plain route.
func (b backends) applyTo(route map[string]any) {
	route["service"] = b.service
	if b.annexShare > 0 {
		route["traffic_split"] = []any{
			map[string]any{"service": annexService, "weight": b.annexShare}, map[string]any{"service": b.service, "weight": 1 - b.annexShare},
		}
	}
}

// tenants returns the workspaces with their keys.
func (s settings) tenants() []any {
	all := []any{
		map[string]any{"name": workspace, "api_keys": []string{APIKey}, "priority": s.rank(APIKey)},
		map[string]any{"name": "other", "api_keys": []string{otherKey}, "priority": s.rank(otherKey)},
	}
	for i := range s.workspaces {
		all = append(all, map[string]any{"name": fmt.Sprintf("ws-%d", i), "api_keys": []string{fmt.Sprintf("%s-%d", APIKey, i)}, "priority": 1})
	}
	return all
}

// rank returns the rank of the workspace of a key.
func (s settings) rank(key string) int {
	if rank, ok := s.ranks[key]; ok {
		return rank
	}
	return 1
}

// changeConfig makes a series of changes of the configuration. Series may overlap.
func (r *run) changeConfig() {
	for after := time.Duration(0); after < maxSeriesTime; after += time.Duration(50+r.rng.IntN(400)) * time.Millisecond {
		next, change := r.settings.change(r.rng)
		r.settings = next
		r.note("configuration in %s: %s", after, change)
		time.AfterFunc(after, func() { r.publish(next) })
		if r.rng.IntN(3) == 0 {
			return
		}
	}
}

// publish writes a new version of the configuration to the store.
func (r *run) publish(next settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	r.fleet.setSettings(next)
	r.fleet.Store.Put("config", "main", r.fleet.Config(r.configVersion, r.fleet.OriginAddress()))
}

func (f *Fleet) setSettings(next settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = next
}

func (f *Fleet) currentSettings() settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// hangUp sends a series of SIGHUP to entries.
func (r *run) hangUp() {
	for after := time.Duration(0); after < maxSeriesTime; after += time.Duration(r.rng.IntN(300)) * time.Millisecond {
		p := pick(r.rng, r.fleet.Entries)
		r.note("SIGHUP for %s in %s", p.Name, after)
		time.AfterFunc(after, func() { p.Signal(syscall.SIGHUP) })
		if r.rng.IntN(3) == 0 {
			return
		}
	}
}

// injectPlanned starts planned work, or silences sound workers. No entry may lose a request by it.
func (r *run) injectPlanned() {
	if r.fleet.SilenceMax > 0 {
		r.silence()
	}
	switch r.rng.IntN(9) {
	case 0, 1:
		r.silence()
	case 2, 3:
		r.changeConfig()
	case 4:
		r.hangUp()
	case 5:
		r.publishVersion()
	case 6:
		r.restart(pick(r.rng, r.fleet.Entries))
	case 7:
		r.leave(pick(r.rng, r.fleet.PlainWorkers))
	case 8:
		r.keepWaiting(0)
	}
}

// awaitStarted records the time until a process that has just started is ready.
func (r *run) awaitStarted(p *Process) {
	started := window{from: time.Now()}
	for end := started.from.Add(settleWindow); !p.Ready() && time.Now().Before(end); {
		time.Sleep(readyPollInterval)
	}
	started.to = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[p.Name] = append(r.starts[p.Name], started)
}

// starting reports whether a request was sent to an entry that was not ready yet after a planned
// restart. The caller holds the lock.
func (r *run) starting(o Outcome) bool {
	return slices.ContainsFunc(r.starts[o.Entry], func(w window) bool { return !o.Sent.Before(w.from) && o.Sent.Before(w.to) })
}
