// Package config reads the operators' folder of small YAML files, merges the files
// in byte order of their names, checks the result against the schema and yields an
// immutable Snapshot. Every effective value keeps the file and line that set it.
package config

import "time"

// Snapshot is one checked configuration. It is shared between goroutines; callers
// must not modify it or anything that it refers to.
type Snapshot struct {
	Zones        map[string]Zone
	Workspaces   map[string]Workspace
	Models       map[string]Model
	Services     map[string]Service
	Limits       Limits
	Distribution Distribution
	Retries      Retries
	Routing      Routing

	values map[string]Value
}

// ZoneState says whether an availability zone receives work.
type ZoneState string

// States of an availability zone.
const (
	ZoneInService    ZoneState = "in"
	ZoneOutOfService ZoneState = "out"
)

// Zone is one availability zone.
type Zone struct {
	Region string
	State  ZoneState
}

// Workspace is one customer's share of the capacity.
type Workspace struct {
	// Weight is the share relative to the other workspaces.
	Weight int
	// Priority orders queued requests; a higher one goes first.
	Priority int
	// MaxInFlight bounds the requests in flight; zero means no bound.
	MaxInFlight int
}

// Model is a model that the fleet serves.
type Model struct {
	// Version is the name of a published version.
	Version string
	// Zones are sorted; an omitted list stands for all zones.
	Zones []string
	// ReplicasPerZone is zero when All is set.
	ReplicasPerZone int
	// All places the model on every endpoint that accepts it.
	All bool
	// MemoryMB is the memory for the weights and adapters of one replica; zero means
	// the size of the published version.
	MemoryMB int
	Adapters []string
	Limits   Limits
}

// Service is an HTTP service that is not a model.
type Service struct {
	// Path is the prefix of the request paths; the longest matching prefix wins.
	Path string
	// Zones are sorted; an omitted list stands for all zones.
	Zones []string
	// Idempotent lists the methods that may be repeated, sorted.
	Idempotent []string
	// RequireIdempotencyKey refuses a non-idempotent request without an idempotency key.
	RequireIdempotencyKey   bool
	ResponseRetention       time.Duration
	IdempotencyKeyRetention time.Duration
	Shards                  int
	// MaxInFlight bounds the requests in flight per endpoint; zero means that
	// only Limits apply.
	MaxInFlight int
	Limits      Limits
}

// IsIdempotent reports whether requests of a method may be repeated.
func (s Service) IsIdempotent(method string) bool {
	for _, idempotent := range s.Idempotent {
		if method == idempotent {
			return true
		}
	}
	return false
}

// Limits bounds the work of one endpoint.
type Limits struct {
	ColdInFlight int
	WarmInFlight int
	// Ramp is the duration of successful work after which the limit doubles.
	Ramp        time.Duration
	QueueLength int
	QueueWait   time.Duration
}

// Distribution bounds the transfer of weights.
type Distribution struct {
	// LinkShare is the largest share of a VM's link.
	LinkShare float64
	// OriginShare is the largest share of the origin's link.
	OriginShare       float64
	UploadSlots       int
	ChunkKB           int
	MaxParallelModels int
}

// Retries bounds the repeated attempts of an entry.
type Retries struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// PerSecond is the number of retries per second allowed in addition to those that
	// Ratio allows.
	PerSecond   float64
	MaxAttempts int
}

// Routing configures how the endpoint of a request is chosen.
type Routing struct {
	Policy string
	// AffinityBound is the multiple of the mean load above which an endpoint gets no
	// request for its cached prefix.
	AffinityBound float64
}

// Names of the routing policies. PolicyScored is the default, the others are baselines.
const (
	PolicyScored        = "scored"
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastReported = "least-reported"
	PolicyPowerOfTwo    = "power-of-two"
)

// Policies lists the names of the routing policies.
func Policies() []string {
	return []string{PolicyScored, PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyPowerOfTwo}
}

// Default returns the configuration of an empty folder.
func Default() *Snapshot {
	snapshot, err := Parse(nil)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func defaultLimits() Limits {
	return Limits{
		ColdInFlight: 2,
		WarmInFlight: 16,
		Ramp:         5 * time.Second,
		QueueLength:  64,
		QueueWait:    2 * time.Second,
	}
}

func defaultDistribution() Distribution {
	return Distribution{LinkShare: 0.5, OriginShare: 1, UploadSlots: 4, ChunkKB: 1024, MaxParallelModels: 2}
}

func defaultRetries() Retries {
	return Retries{Ratio: 0.1, PerSecond: 3, MaxAttempts: 3}
}

func defaultRouting() Routing {
	return Routing{Policy: PolicyScored, AffinityBound: 1.2}
}

func defaultService() Service {
	return Service{
		Idempotent:              []string{"GET", "HEAD"},
		RequireIdempotencyKey:   true,
		ResponseRetention:       24 * time.Hour,
		IdempotencyKeyRetention: 168 * time.Hour,
		Shards:                  4,
	}
}
