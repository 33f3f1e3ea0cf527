package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds of settings.
const (
	maxInFlight         = 100000
	maxQueueLength      = 1000000
	maxWeight           = 1000
	maxPriority         = 100
	maxReplicas         = 10000
	maxMemoryMB         = 16 << 20
	maxShards           = 256
	minDuration         = time.Millisecond
	maxRamp             = time.Hour
	maxQueueWait        = 10 * time.Minute
	maxRetention        = 90 * 24 * time.Hour
	minShare            = 0.01
	maxUploadSlots      = 256
	minChunkKB          = 16
	maxChunkKB          = 64 << 10
	maxParallelModels   = 64
	maxRetryRatio       = 1
	maxRetriesPerSecond = 10000
	maxAttempts         = 16
	maxAffinityBound    = 100
	minAffinityBound    = 1
	minAttempts         = 1
	noInFlightBound     = 0
)

// allowedMethods are the HTTP methods that a service may declare idempotent. POST and
// PATCH are among them, because an operator may know that a service's calls can be
// repeated.
var allowedMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// Parse merges files in byte order of their names and checks the result. It returns
// an *InvalidError with all problems when there is any, and no snapshot then.
func Parse(files []File) (*Snapshot, error) {
	files = slices.Clone(files)
	SortFiles(files)
	problems := checkFiles(files)
	if len(problems) > 0 {
		sortProblems(problems)
		return nil, &InvalidError{Problems: problems}
	}
	var root *node
	partial := false
	for _, file := range files {
		tree, found := parseFile(file)
		problems = append(problems, found...)
		partial = partial || len(found) > 0
		root = merge(root, tree)
	}
	d := &decoder{problems: problems, partial: partial, values: make(map[string]Value)}
	snapshot := d.snapshot(root)
	if len(d.problems) > 0 {
		sortProblems(d.problems)
		return nil, &InvalidError{Problems: d.problems}
	}
	return snapshot, nil
}

func (d *decoder) snapshot(root *node) *Snapshot {
	top := d.section(root, "", "zones", "workspaces", "models", "services", "limits", "distribution", "retries", "routing")
	fields := top.node.fields
	s := &Snapshot{values: d.values}
	s.Zones = d.zones(fields["zones"])
	s.Workspaces = d.workspaces(fields["workspaces"])
	s.Limits = d.limits(fields["limits"], "limits", "", defaultLimits())
	s.Distribution = d.distribution(fields["distribution"])
	s.Retries = d.retries(fields["retries"])
	s.Routing = d.routing(fields["routing"])
	s.Models = d.models(fields["models"], s)
	s.Services = d.services(fields["services"], s)
	return s
}

func (d *decoder) zones(n *node) map[string]Zone {
	zones := make(map[string]Zone)
	d.forEachNamed(n, "zones", func(name string, n *node) {
		f := d.section(n, join("zones", name), "region", "state")
		zones[name] = Zone{
			Region: f.name("region", "name the region of the zone"),
			State:  ZoneState(f.choice("state", string(ZoneInService), []string{string(ZoneInService), string(ZoneOutOfService)})),
		}
	})
	return zones
}

func (d *decoder) workspaces(n *node) map[string]Workspace {
	workspaces := make(map[string]Workspace)
	d.forEachNamed(n, "workspaces", func(name string, n *node) {
		f := d.section(n, join("workspaces", name), "weight", "priority", "max_in_flight")
		workspaces[name] = Workspace{
			Weight:      f.integer("weight", 1, 1, maxWeight),
			Priority:    f.integer("priority", 0, -maxPriority, maxPriority),
			MaxInFlight: f.integer("max_in_flight", noInFlightBound, noInFlightBound, maxInFlight),
		}
	})
	return workspaces
}

func (d *decoder) limits(n *node, path, inherit string, base Limits) Limits {
	f := d.section(n, path, "cold_in_flight", "warm_in_flight", "ramp", "queue_length", "queue_wait")
	f.inherit = inherit
	limits := Limits{
		ColdInFlight: f.integer("cold_in_flight", base.ColdInFlight, 1, maxInFlight),
		WarmInFlight: f.integer("warm_in_flight", base.WarmInFlight, 1, maxInFlight),
		Ramp:         f.duration("ramp", base.Ramp, maxRamp),
		QueueLength:  f.integer("queue_length", base.QueueLength, 0, maxQueueLength),
		QueueWait:    f.duration("queue_wait", base.QueueWait, maxQueueWait),
	}
	if limits.ColdInFlight > limits.WarmInFlight {
		d.addProblem(ProblemContradictory, f.originOf("cold_in_flight", "warm_in_flight"), join(path, "cold_in_flight"),
			fmt.Sprintf("%d is above warm_in_flight %d", limits.ColdInFlight, limits.WarmInFlight),
			"set cold_in_flight to at most warm_in_flight")
	}
	return limits
}

// originOf returns the origin of the first of the keys that a file sets in this section,
// else in the section from which it inherits, else the origin of the section itself.
func (s *section) originOf(keys ...string) Origin {
	for _, key := range keys {
		if n, ok := s.node.fields[key]; ok {
			return n.origin
		}
	}
	if s.inherit != "" {
		for _, key := range keys {
			if origin := s.d.values[join(s.inherit, key)].Origin; !origin.IsDefault() {
				return origin
			}
		}
	}
	return s.node.origin
}

func (d *decoder) distribution(n *node) Distribution {
	f := d.section(n, "distribution", "link_share", "origin_share", "upload_slots", "chunk_kb", "max_parallel_models")
	base := defaultDistribution()
	return Distribution{
		LinkShare:         f.number("link_share", base.LinkShare, minShare, 1),
		OriginShare:       f.number("origin_share", base.OriginShare, minShare, 1),
		UploadSlots:       f.integer("upload_slots", base.UploadSlots, 1, maxUploadSlots),
		ChunkKB:           f.integer("chunk_kb", base.ChunkKB, minChunkKB, maxChunkKB),
		MaxParallelModels: f.integer("max_parallel_models", base.MaxParallelModels, 1, maxParallelModels),
	}
}

func (d *decoder) retries(n *node) Retries {
	f := d.section(n, "retries", "ratio", "per_second", "max_attempts")
	base := defaultRetries()
	return Retries{
		Ratio:       f.number("ratio", base.Ratio, 0, maxRetryRatio),
		PerSecond:   f.number("per_second", base.PerSecond, 0, maxRetriesPerSecond),
		MaxAttempts: f.integer("max_attempts", base.MaxAttempts, minAttempts, maxAttempts),
	}
}

func (d *decoder) routing(n *node) Routing {
	f := d.section(n, "routing", "policy", "affinity_bound")
	base := defaultRouting()
	return Routing{
		Policy:        f.choice("policy", base.Policy, Policies()),
		AffinityBound: f.number("affinity_bound", base.AffinityBound, minAffinityBound, maxAffinityBound),
	}
}

func (d *decoder) models(n *node, s *Snapshot) map[string]Model {
	models := make(map[string]Model)
	d.forEachNamed(n, "models", func(name string, n *node) {
		path := join("models", name)
		f := d.section(n, path, "version", "zones", "replicas_per_zone", "all", "memory_mb", "adapters", "limits")
		model := Model{
			Version:  f.name("version", "name a published version"),
			Zones:    f.zoneList(s.Zones),
			MemoryMB: f.integer("memory_mb", 0, 0, maxMemoryMB),
			Adapters: f.list("adapters", []string{}, f.checkName),
			Limits:   d.limits(f.node.fields["limits"], join(path, "limits"), "limits", s.Limits),
		}
		model.ReplicasPerZone, model.All = f.replicas()
		models[name] = model
	})
	return models
}

// replicas decodes replicas_per_zone and all, of which exactly one applies.
func (s *section) replicas() (int, bool) {
	_, counted := s.node.fields["replicas_per_zone"]
	all := s.boolean("all", false)
	if counted && all {
		s.d.addProblem(ProblemContradictory, s.node.fields["all"].origin, join(s.path, "all"),
			"all: true contradicts replicas_per_zone", "remove one of the two; null removes a key of an earlier file")
	}
	if all {
		return 0, true
	}
	if !counted {
		s.addMissing("replicas_per_zone", "set replicas_per_zone or all: true")
		return 0, false
	}
	return s.integer("replicas_per_zone", 1, 0, maxReplicas), false
}

func (s *section) checkName(item *node, path string) bool {
	if ValidName(item.text) {
		return true
	}
	s.d.addProblem(ProblemOutOfRange, item.origin, path, fmt.Sprintf("%q cannot be used as a name", item.text),
		"use letters, digits, dots, hyphens and underscores")
	return false
}

func (s *section) zoneList(zones map[string]Zone) []string {
	names := slices.Sorted(maps.Keys(zones))
	if n, ok := s.node.fields["zones"]; ok && n.kind == kindList && len(n.items) == 0 {
		s.d.addProblem(ProblemOutOfRange, n.origin, join(s.path, "zones"), "the list is empty", "remove the key to use all zones")
	}
	return s.list("zones", names, func(item *node, path string) bool {
		if _, ok := zones[item.text]; ok || s.d.partial {
			return true
		}
		s.d.addProblem(ProblemUnknownName, item.origin, path, fmt.Sprintf("zone %q does not exist", item.text), suggestZone(item.text, names))
		return false
	})
}

func suggestZone(name string, zones []string) string {
	if len(zones) == 0 {
		return "add the zone to zones"
	}
	return suggest(name, zones)
}

func (d *decoder) services(n *node, s *Snapshot) map[string]Service {
	services := make(map[string]Service)
	paths := make(map[string]string)
	d.forEachNamed(n, "services", func(name string, n *node) {
		f := d.section(n, join("services", name), "path", "zones", "idempotent", "require_key",
			"answer_retention", "key_retention", "shards", "max_in_flight", "limits")
		service := f.service(s)
		services[name] = service
		if other, ok := paths[service.Path]; ok && service.Path != "" {
			d.addProblem(ProblemContradictory, f.originOf("path"), join(f.path, "path"),
				fmt.Sprintf("%q is already the path of service %q", service.Path, other), "give each service its own path")
		}
		paths[service.Path] = name
	})
	return services
}

func (s *section) service(snapshot *Snapshot) Service {
	base := defaultService()
	service := Service{
		Path:                    s.servicePath(),
		Zones:                   s.zoneList(snapshot.Zones),
		Idempotent:              s.list("idempotent", base.Idempotent, s.checkMethod),
		RequireIdempotencyKey:   s.boolean("require_key", base.RequireIdempotencyKey),
		ResponseRetention:       s.duration("answer_retention", base.ResponseRetention, maxRetention),
		IdempotencyKeyRetention: s.duration("key_retention", base.IdempotencyKeyRetention, maxRetention),
		Shards:                  s.integer("shards", base.Shards, 1, maxShards),
		MaxInFlight:             s.integer("max_in_flight", noInFlightBound, noInFlightBound, maxInFlight),
		Limits:                  s.d.limits(s.node.fields["limits"], join(s.path, "limits"), "limits", snapshot.Limits),
	}
	if service.ResponseRetention > service.IdempotencyKeyRetention {
		s.d.addProblem(ProblemContradictory, s.originOf("answer_retention", "key_retention"), join(s.path, "answer_retention"),
			fmt.Sprintf("%s is longer than key_retention %s", service.ResponseRetention, service.IdempotencyKeyRetention),
			"keep keys at least as long as answers")
	}
	return service
}

func (s *section) checkMethod(item *node, path string) bool {
	if slices.Contains(allowedMethods, item.text) {
		return true
	}
	s.d.addProblem(ProblemOutOfRange, item.origin, path, fmt.Sprintf("%q is not an HTTP method", item.text),
		suggest(strings.ToUpper(item.text), allowedMethods))
	return false
}

func (s *section) servicePath() string {
	if _, ok := s.node.fields["path"]; !ok {
		s.addMissing("path", `set the prefix of the requests' paths, such as "/bookings"`)
		return ""
	}
	path := s.text("path", "")
	if path == "" || (strings.HasPrefix(path, "/") && !strings.ContainsAny(path, "?#% \t\r\n") && len(path) < math.MaxUint8) {
		// An empty path that is not a string was already reported as a wrong type.
		if path != "" || s.node.fields["path"].kind != kindString {
			return path
		}
	}
	s.d.addProblem(ProblemOutOfRange, s.node.fields["path"].origin, join(s.path, "path"),
		fmt.Sprintf("%q is not a path prefix", path), `use a short path that starts with "/" and has no query`)
	return path
}
