// Package catalog holds what operators have configured for a deployment on a platform
// (routes, services, workspaces) and what workers say of themselves. Snapshots are never
// changed after they were built, so that requests read them without a lock.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind states what may be repeated on a route.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with events. They run at most once unless the route
	// is resumable.
	Stream
)

// Callers give a stream up, also before its first event, after a pause of the longest of
// leastPause, pauseObjectives times the objective and pauseGaps times the gap.
const (
	leastPause      = 2 * time.Second
	pauseObjectives = 4
	pauseGaps       = 8
)

// CallerEventTimeout returns how long a caller of a stream waits for the next event.
func (r *Route) CallerEventTimeout() time.Duration {
	return max(leastPause, pauseObjectives*r.Objective, pauseGaps*r.EventGapTarget)
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
	// Objective is the latency within which an answer has its full value; for streams
	// up to the first event.
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
	// ColdStart is how long a worker is cold after its start, and ColdPerSecond the
	// requests a second that it bears meanwhile; zero when it is never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
	// Origin is nil unless the service is the origin of weights.
	Origin *Origin
}

// Engine describes the model engines of a service.
type Engine struct {
	Model string
	Slots int
	// Layers is the number of layers of the whole model.
	Layers     int
	Chunks     int
	ChunkBytes int64
	// LoadTime is the time in which staged weights are loaded.
	LoadTime time.Duration
	// Step is the time of one decoding step, StepPerRequest what each running request
	// adds to it, and Stride the steps of one pass.
	Step           time.Duration
	StepPerRequest time.Duration
	Stride         int
	// PromptPerSecond is the rate in tokens at which prompts are read.
	PromptPerSecond float64
	// MeanPromptTokens and UsualAnswer are the mean token counts of a request.
	MeanPromptTokens float64
	MeanOutputTokens float64
}

// prefillShare is the part of an engine's time that reading the prompts of others takes
// from a request that is writing, at the usual load.
const prefillShare = 0.25

// Duration estimates how long a request runs.
func (e *Engine) Duration(promptTokens, answerTokens int) time.Duration {
	if answerTokens <= 0 {
		answerTokens = int(e.MeanOutputTokens)
	}
	if promptTokens <= 0 {
		promptTokens = int(e.MeanPromptTokens)
	}
	write := time.Duration(float64(answerTokens) * float64(e.step()) * (1 + prefillShare))
	return e.begin(promptTokens) + write
}

// step returns the time of one decoding step at the usual load.
func (e *Engine) step() time.Duration { return e.Step + time.Duration(e.Slots)/2*e.StepPerRequest }

// begin estimates the time from a free slot to the first event, which comes at the end of the
// pass that reads the prompt.
func (e *Engine) begin(promptTokens int) time.Duration {
	read := 0.0
	if e.PromptPerSecond > 0 {
		read = float64(promptTokens) / e.PromptPerSecond
	}
	return time.Duration(read*float64(time.Second)) + time.Duration(e.Stride)*e.step()
}

// MaxQueueLength returns how many usual requests may wait for a slot of a full engine so that the last
// begins to be answered within a time.
func (e *Engine) MaxQueueLength(within time.Duration) int {
	if e.Slots <= 0 {
		return 0
	}
	interval := e.Duration(0, 0) / time.Duration(e.Slots)
	return max(0, int((within-e.begin(int(e.MeanPromptTokens)))/max(interval, 1)))
}

// Origin is where weights come from.
type Origin struct {
	Address  string
	Zone     string
	LinkMbit float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name        string
	Priority    int
	HomeRegions []string
}

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version int64
	Limits  Limits

	routes     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	restricted bool
}

// NewSnapshot indexes a configuration. The keys map API keys to workspaces; restricted
// is set when requests need a key.
func NewSnapshot(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace, restricted bool) *Snapshot {
	s := &Snapshot{
		Version: version, Limits: limits, routes: make(map[string][]*Route), services: make(map[string]*Service),
		workspaces: keys, restricted: restricted,
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

// Match returns the route of a host with the longest prefix of a path, or nil.
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

// Workspace returns the workspace of a key. Without restriction every request passes,
// and the workspace is nil.
func (s *Snapshot) Workspace(key string) (*Workspace, bool) {
	workspace, ok := s.workspaces[key]
	return workspace, ok || !s.restricted
}

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Objective returns the shortest objective of the routes to a service, or zero without one.
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

// Services returns all services.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.services))
	for _, service := range s.services {
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Origin returns the service that sends weights, or nil.
func (s *Snapshot) Origin() *Origin {
	for _, service := range s.Services() {
		if service.Origin != nil {
			return service.Origin
		}
	}
	return nil
}

// Choose returns the service of a route for a number in [0, 1). Backends without a
// weight share the requests evenly.
func (r *Route) Choose(at float64) string {
	total := 0.0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	if len(r.Backends) == 0 {
		return ""
	}
	if total <= 0 {
		return r.Backends[min(int(at*float64(len(r.Backends))), len(r.Backends)-1)].Service
	}
	for _, backend := range r.Backends {
		at -= backend.Weight / total
		if at < 0 {
			return backend.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// AllowedRegions returns the regions that may serve a request of a route and a workspace. The
// result is nil when any may, and empty when none may.
func AllowedRegions(route *Route, workspace *Workspace) []string {
	if workspace == nil || len(workspace.HomeRegions) == 0 {
		return homes(route.HomeRegions)
	}
	if len(route.HomeRegions) == 0 {
		return homes(workspace.HomeRegions)
	}
	both := []string{}
	for _, region := range route.HomeRegions {
		if slices.Contains(workspace.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return both
}

func homes(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}
