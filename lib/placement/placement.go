// Package placement decides which VM serves which model version. The decision is
// a pure function of the configuration, the known endpoints and the previous
// placement; a change of version proceeds in waves. A zone that is out of service
// keeps its replicas, so that it serves as soon as it returns.
package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	v1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
)

// Version is a published version of a model. A withdrawn one is left out.
type Version struct {
	Model  string
	Name   string
	Digest string
	// SizeMB is the memory for the weights, rounded up.
	SizeMB int
}

// Endpoint is a VM that runs a model engine.
type Endpoint struct {
	VM   string
	Zone string
	// Models are the names that the engine accepts.
	Models []string
	// MemoryMB is the memory for weights.
	MemoryMB int
	// Serving is the version digest that the engine serves, by model.
	Serving map[string]string
	// CompleteDigests are the version digests whose chunks are complete on the VM.
	CompleteDigests []string
	// Alive is false for VMs that are dead or leaving. The caller applies a grace
	// period, because moving a replica transfers its weights again.
	Alive bool
}

// Assignment is one replica.
type Assignment struct {
	VM     string
	Digest string
	// Wave is the number of the wave in which the replica switched, counted from 1; 0 for
	// replicas that did not have to switch.
	Wave int
}

// Plan is the placement of one model, with its assignments in order of VM names.
type Plan struct {
	Model       string
	Fencing     uint64
	Generation  uint64
	Assignments []Assignment
}

// Input is everything that a decision depends on.
type Input struct {
	Config    *config.Snapshot
	Versions  []Version
	Endpoints []Endpoint
	Previous  []Plan
	// Fencing is the fencing number of the caller's placement lease.
	Fencing uint64
}

// Reason says why replicas are missing or held back.
type Reason string

// Reasons for missing replicas.
const (
	ReasonVersion  Reason = "version_not_published"
	ReasonEndpoint Reason = "no_endpoint_accepts_model"
	ReasonMemory   Reason = "memory_full"
)

// Shortfall is a number of replicas of one zone that cannot be placed or updated.
type Shortfall struct {
	Model   string
	Zone    string
	Missing int
	Reason  Reason
}

// Remedy tells the operator what to do.
func (s Shortfall) Remedy() string {
	switch s.Reason {
	case ReasonVersion:
		return "publish the version, or name a published one in the configuration"
	case ReasonMemory:
		return "add VMs with free memory for weights, or lower replicas or memory_mb"
	default:
		return "start endpoints that accept the model in the zone, or lower replicas_per_zone"
	}
}

// Decision is the result of Decide.
type Decision struct {
	// Plans are in order of model names, unchanged ones included.
	Plans []Plan
	// Changed names the models whose plan differs from the previous one.
	Changed      []string
	Shortfalls   []Shortfall
	Explanations []Explanation
}

// Action is what a decision does in one zone.
type Action string

// Actions of a decision.
const (
	ActionKeep   Action = "keep"
	ActionPlace  Action = "place"
	ActionSwitch Action = "switch"
	ActionWait   Action = "wait"
	ActionHold   Action = "hold"
)

// Explanation states the decision for one model in one zone.
type Explanation struct {
	Model    string
	Zone     string
	Target   string
	Desired  int
	Replicas int
	// Updated is the number of replicas assigned to the target version.
	Updated int
	// Pending is the number of replicas that do not serve their assigned version yet.
	Pending   int
	WaveLimit int
	Wave      int
	Action    Action
	Reason    string
}

// String returns the explanation as one log line.
func (e Explanation) String() string {
	return fmt.Sprintf("placement model=%s zone=%s target=%s replicas=%d/%d updated=%d pending=%d wave=%d limit=%d action=%s reason=%q",
		e.Model, e.Zone, shorten(e.Target), e.Replicas, e.Desired, e.Updated, e.Pending, e.Wave, e.WaveLimit, e.Action, e.Reason)
}

// digestPrefixLength is the number of digits of a digest that log lines show.
const digestPrefixLength = 12

func shorten(digest string) string { return digest[:min(digestPrefixLength, len(digest))] }

// Decide returns the placement that follows the previous one. It fails with the kind
// Stale when the previous placement has a higher fencing number than the caller.
func Decide(in Input) (Decision, error) {
	for _, plan := range in.Previous {
		if plan.Fencing > in.Fencing {
			return Decision{}, errkind.New(errkind.Stale, "stop deciding; another process holds the placement lease",
				"placement of %q has fencing number %d, the caller's is %d", plan.Model, plan.Fencing, in.Fencing)
		}
	}
	p := newPlanner(in)
	p.keepPrevious()
	p.reserveGrowth()
	p.placeMissing()
	p.switchVersions()
	return p.decision(), nil
}

// decision collects the plans of all models, and empty ones for removed models.
func (p *planner) decision() Decision {
	assignments := make(map[string][]Assignment)
	for _, g := range p.groups {
		for _, r := range g.replicas {
			assignments[g.model] = append(assignments[g.model], Assignment{VM: r.vm, Digest: r.digest, Wave: r.wave})
		}
	}
	names := make(map[string]bool)
	for name := range p.in.Config.Models {
		names[name] = true
	}
	for name := range p.previous {
		names[name] = true
	}
	d := Decision{Shortfalls: p.shortfalls, Explanations: p.explanations}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		plan, changed := p.nextPlan(name, assignments[name])
		d.Plans = append(d.Plans, plan)
		if changed {
			d.Changed = append(d.Changed, name)
		}
	}
	return d
}

// nextPlan raises the generation when the assignments or the fencing number changed.
// A new lease holder writes every plan once, so that a late update of the former holder
// is refused as stale.
func (p *planner) nextPlan(name string, assignments []Assignment) (Plan, bool) {
	slices.SortFunc(assignments, func(a, b Assignment) int { return strings.Compare(a.VM, b.VM) })
	previous, existed := p.previous[name]
	if existed && previous.Fencing == p.in.Fencing && slices.Equal(previous.Assignments, assignments) {
		return previous, false
	}
	return Plan{Model: name, Fencing: p.in.Fencing, Generation: previous.Generation + 1, Assignments: assignments}, true
}

// Proto returns the message that is stored and sent.
func (p Plan) Proto() *v1.Placement {
	message := &v1.Placement{Model: p.Model, Fencing: p.Fencing, Generation: p.Generation}
	for _, a := range p.Assignments {
		message.Assignments = append(message.Assignments, &v1.Assignment{Vm: a.VM, VersionDigest: a.Digest, Wave: int32(a.Wave)})
	}
	return message
}

// FromProto returns the plan of a message.
func FromProto(message *v1.Placement) Plan {
	plan := Plan{Model: message.GetModel(), Fencing: message.GetFencing(), Generation: message.GetGeneration()}
	for _, a := range message.GetAssignments() {
		plan.Assignments = append(plan.Assignments, Assignment{VM: a.GetVm(), Digest: a.GetVersionDigest(), Wave: int(a.GetWave())})
	}
	return plan
}

// bytesPerMB converts sizes of versions.
const bytesPerMB = 1 << 20

// VersionOf returns the version of a published manifest.
func VersionOf(m *v1.ModelVersion) Version {
	size := (m.GetSize() + bytesPerMB - 1) / bytesPerMB
	return Version{Model: m.GetModel(), Name: m.GetVersion(), Digest: m.GetManifestDigest(), SizeMB: int(size)}
}
