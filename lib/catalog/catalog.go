// Package catalog holds the configuration of a deployment on a platform (routes, services,
// workspaces) and the state that workers report. Snapshots are immutable, so that requests
// read them without a lock.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route. It decides whether its requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a response of events. They run at most once unless the route
	// is resumable.
	Stream
)

// A caller disconnects from a stream when no event arrives, the first one included, within
// the longest of minEventTimeout, objectivesPerEventTimeout times the latency objective and
// gapsPerEventTimeout times the event gap target.
const (
	minEventTimeout           = 2 * time.Second
	objectivesPerEventTimeout = 4
	gapsPerEventTimeout       = 8
)

// CallerEventTimeout returns how long a caller of a stream waits for the next event.
func (r *Route) CallerEventTimeout() time.Duration {
	return max(minEventTimeout, objectivesPerEventTimeout*r.Objective, gapsPerEventTimeout*r.EventGapTarget)
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which a response has its full value; for streams
	// it is the latency of the first event.
	Objective time.Duration
	// EventGapTarget is the longest pause between events that is still on time.
	EventGapTarget time.Duration
	Priority       int
	// Attempts is the largest number of workers that one request is sent to.
	Attempts  int
	Public    bool
	Resumable bool
	Backends  []Backend
	// HomeRegions are the only regions that may serve the route; empty for all.
	HomeRegions []string
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service is a group of workers, or the origin of weights.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int
	// ColdStart is how long a worker is cold after its start, and ColdPerSecond the number
	// of requests per second that it can handle meanwhile; zero when it is never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// MemoryBytes is what the requests of one worker may take; zero if it is not stated.
	MemoryBytes int64
	// Engine is nil for a plain service.
	Engine *Engine
	// Origin is nil unless the service is the origin of weights.
	Origin *Origin
}

// Engine describes the model engines of a service.
type Engine struct {
	Model string
	Slots int
	// Layers is the number of layers of the complete model.
	Layers     int
	Chunks     int
	ChunkBytes int64
	// LoadTime is the time that loading staged weights takes.
	LoadTime time.Duration
	// Step is the time of one decoding step, StepPerRequest the time that each running
	// request adds to it, and Stride the number of steps in one pass.
	Step           time.Duration
	StepPerRequest time.Duration
	Stride         int
	// PromptPerSecond is the prefill rate in prompt tokens per second.
	PromptPerSecond float64
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of a request.
	MeanPromptTokens float64
	MeanOutputTokens float64
}

// prefillShare is the fraction by which the prefill of other requests' prompts extends the
// decoding time of a request at typical load.
const prefillShare = 0.25

// Duration estimates how long a request runs.
func (e *Engine) Duration(promptTokens, outputTokens int) time.Duration {
	if outputTokens <= 0 {
		outputTokens = int(e.MeanOutputTokens)
	}
	if promptTokens <= 0 {
		promptTokens = int(e.MeanPromptTokens)
	}
	decode := time.Duration(float64(outputTokens) * float64(e.step()) * (1 + prefillShare))
	return e.timeToFirstEvent(promptTokens) + decode
}

// Pass returns the time from the assignment of a slot to the first event of a request without a prompt.
func (e *Engine) Pass() time.Duration { return e.timeToFirstEvent(0) }

// step returns the time of one decoding step at typical load: half of the slots in use.
func (e *Engine) step() time.Duration { return e.Step + time.Duration(e.Slots)/2*e.StepPerRequest }

// timeToFirstEvent estimates the time from the assignment of a slot to the first event, which
// is sent at the end of the pass that prefills the prompt.
func (e *Engine) timeToFirstEvent(promptTokens int) time.Duration {
	prefill := 0.0
	if e.PromptPerSecond > 0 {
		prefill = float64(promptTokens) / e.PromptPerSecond
	}
	return time.Duration(prefill*float64(time.Second)) + time.Duration(e.Stride)*e.step()
}

// MaxQueueLength returns how many requests of mean size may wait for a slot of a fully used
// engine so that the last of them gets its first event within maxWait.
func (e *Engine) MaxQueueLength(maxWait time.Duration) int {
	if e.Slots <= 0 {
		return 0
	}
	interval := e.Duration(0, 0) / time.Duration(e.Slots)
	return max(0, int((maxWait-e.timeToFirstEvent(int(e.MeanPromptTokens)))/max(interval, 1)))
}

// StartWait estimates how long a request of mean size waits for its first event at an engine with a
// number of waiting and running requests.
func (e *Engine) StartWait(queued, running int) time.Duration {
	first := e.timeToFirstEvent(int(e.MeanPromptTokens))
	if e.Slots <= 0 || queued+running < e.Slots {
		return first
	}
	ahead := queued + running - e.Slots + 1
	return first + time.Duration(ahead)*e.Duration(0, 0)/time.Duration(e.Slots)
}

// Origin is the server from which weights are downloaded.
type Origin struct {
	Address  string
	Zone     string
	LinkMbit float64
}

// Limits are the bounds on requests and connections of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer. Its requests carry one of its API keys.
type Workspace struct {
	Name string
	// Priority is set if HasPriority is; 0 is the most urgent. See Snapshot.Rank.
	Priority    int
	HasPriority bool
	// Weight is the workspace's share relative to others of its priority; zero for 1.
	Weight      float64
	HomeRegions []string
}

// NewWorkspace returns a workspace; without a priority for nil.
func NewWorkspace(name string, priority *int, weight float64, homeRegions []string) *Workspace {
	w := &Workspace{Name: name, Weight: weight, HomeRegions: homeRegions}
	if priority != nil {
		w.Priority, w.HasPriority = *priority, true
	}
	return w
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version int64
	Limits  Limits

	routes     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	restricted bool
	// leastUrgent is the priority of the least urgent workspace.
	leastUrgent int
}

// NewSnapshot indexes a configuration. The map keys assigns API keys to workspaces;
// restricted is set when requests need a key.
func NewSnapshot(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace, restricted bool) *Snapshot {
	s := &Snapshot{
		Version: version, Limits: limits, routes: make(map[string][]*Route), services: make(map[string]*Service),
		workspaces: keys, restricted: restricted, leastUrgent: leastUrgent(keys),
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		s.routes[host] = append(s.routes[host], route)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range services {
		s.services[service.Name] = service
	}
	return s
}

// Match returns the route of a host whose path prefix is the longest that matches the path,
// or nil.
func (s *Snapshot) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace of an API key and whether a request with this key is
// accepted. Without restriction every request is accepted; the workspace is nil for an
// unknown key.
func (s *Snapshot) Workspace(key string) (*Workspace, bool) {
	workspace, ok := s.workspaces[key]
	return workspace, ok || !s.restricted
}

// Workspaces returns all workspaces by name.
func (s *Snapshot) Workspaces() map[string]*Workspace {
	byName := make(map[string]*Workspace, len(s.workspaces))
	for _, workspace := range s.workspaces {
		byName[workspace.Name] = workspace
	}
	return byName
}

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Objective returns the shortest latency objective of the routes to a service, or zero if
// none has one.
func (s *Snapshot) Objective(service string) time.Duration {
	shortest := time.Duration(0)
	for _, list := range s.routes {
		for _, route := range list {
			if route.Objective <= 0 || (shortest > 0 && route.Objective >= shortest) {
				continue
			}
			if slices.ContainsFunc(route.Backends, func(b Backend) bool { return b.Service == service }) {
				shortest = route.Objective
			}
		}
	}
	return shortest
}

// Services returns all services in the order of their names.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.services))
	for _, service := range s.services {
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Origin returns the origin of weights, or nil if no service is one.
func (s *Snapshot) Origin() *Origin {
	for _, service := range s.Services() {
		if service.Origin != nil {
			return service.Origin
		}
	}
	return nil
}

// Choose returns the service of a route for a random number in [0, 1). If no backend has a
// weight, the backends share the requests evenly.
func (r *Route) Choose(random float64) string {
	total := 0.0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	if total <= 0 {
		return r.Backends[min(int(random*float64(len(r.Backends))), len(r.Backends)-1)].Service
	}
	for _, backend := range r.Backends {
		random -= backend.Weight / total
		if random < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// ShareOf returns the part of the route's requests that a backend gets.
func (r *Route) ShareOf(backend Backend) float64 {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return 1 / float64(len(r.Backends))
	}
	return backend.Weight / total
}

// RoutePaths returns the host and the path prefix of each route.
func (s *Snapshot) RoutePaths() []string {
	var paths []string
	for host, routes := range s.routes {
		for _, route := range routes {
			paths = append(paths, host+route.PathPrefix)
		}
	}
	return paths
}

// WorkspaceNamed returns a workspace by its name.
func (s *Snapshot) WorkspaceNamed(name string) (*Workspace, bool) {
	for _, workspace := range s.workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return nil, false
}

// WorkspaceNames returns the names of the workspaces that have a key.
func (s *Snapshot) WorkspaceNames() []string {
	var names []string
	for _, workspace := range s.workspaces {
		if !slices.Contains(names, workspace.Name) {
			names = append(names, workspace.Name)
		}
	}
	return names
}

// AllowedRegions returns the regions that may serve a request of a route and a workspace:
// those allowed by both. The result is nil when any region may, and empty when none may.
func AllowedRegions(route *Route, workspace *Workspace) []string {
	if workspace == nil || len(workspace.HomeRegions) == 0 {
		return nilIfEmpty(route.HomeRegions)
	}
	if len(route.HomeRegions) == 0 {
		return nilIfEmpty(workspace.HomeRegions)
	}
	allowed := []string{}
	for _, region := range route.HomeRegions {
		if slices.Contains(workspace.HomeRegions, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed
}

func nilIfEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}
