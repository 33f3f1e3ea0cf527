package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"laburnumgw/lib/config"
	"laburnumgw/lib/rendezvous"
)

// replica is one VM of a group while the decision is made.
type replica struct {
	vm      string
	digest  string
	wave    int
	serving string
	// fits is set when the target version has memory on the VM.
	fits bool
}

// group is one model in one zone.
type group struct {
	model    string
	zone     string
	settings config.Model
	// target is the version to serve; its digest is empty when it is not published.
	target   Version
	desired  int
	ranked   []*Endpoint
	replicas []*replica
	// placed is the number of replicas that the decision added.
	placed int
}

// planner holds the state of one decision.
type planner struct {
	in       Input
	versions map[string]Version
	previous map[string]Plan
	// free is the memory that is not reserved, by VM.
	free         map[string]int
	groups       []*group
	unmet        []Unmet
	explanations []Explanation
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:       in,
		versions: make(map[string]Version),
		previous: make(map[string]Plan),
		free:     make(map[string]int),
	}
	for _, v := range in.Versions {
		p.versions[v.Digest] = v
	}
	for _, plan := range in.Previous {
		p.previous[plan.Model] = plan
	}
	byZone := make(map[string][]*Endpoint)
	for i := range in.Endpoints {
		e := &in.Endpoints[i]
		if _, known := p.free[e.VM]; !e.Alive || known {
			continue
		}
		p.free[e.VM] = e.MemoryMB
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	for _, name := range slices.Sorted(maps.Keys(in.Config.Models)) {
		for _, zone := range in.Config.Models[name].Zones {
			p.groups = append(p.groups, p.newGroup(name, zone, byZone[zone]))
		}
	}
	return p
}

func (p *planner) newGroup(model, zone string, endpoints []*Endpoint) *group {
	g := &group{model: model, zone: zone, settings: p.in.Config.Models[model]}
	for _, v := range p.in.Versions {
		if v.Model == model && v.Name == g.settings.Version {
			g.target = v
		}
	}
	for _, e := range endpoints {
		if slices.Contains(e.Models, model) {
			g.ranked = append(g.ranked, e)
		}
	}
	slices.SortFunc(g.ranked, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(model, b.VM), rendezvous.Score(model, a.VM)), strings.Compare(a.VM, b.VM))
	})
	g.desired = g.settings.ReplicasPerZone
	if g.settings.All {
		g.desired = len(g.ranked)
	}
	return g
}

// memory returns the memory of one replica of a version. A version that is no longer
// known counts as the target.
func (p *planner) memory(g *group, digest string) int {
	if g.settings.MemoryMB > 0 {
		return g.settings.MemoryMB
	}
	if v, ok := p.versions[digest]; ok {
		return v.SizeMB
	}
	return g.target.SizeMB
}

func (p *planner) reserve(vm string, mb int) bool {
	if p.free[vm] < mb {
		return false
	}
	p.free[vm] -= mb
	return true
}

// keep takes over previous assignments, so that a VM that joins moves no replica.
func (p *planner) keep() {
	for _, g := range p.groups {
		assigned := make(map[string]Assignment)
		for _, a := range p.previous[g.model].Assignments {
			assigned[a.VM] = a
		}
		for _, e := range g.ranked {
			a, ok := assigned[e.VM]
			if !ok || len(g.replicas) >= g.desired || !p.reserve(e.VM, p.memory(g, a.Digest)) {
				continue
			}
			g.replicas = append(g.replicas, &replica{vm: e.VM, digest: a.Digest, wave: a.Wave, serving: e.Serving[g.model]})
		}
	}
}

// reserveGrowth reserves the memory that a larger target version needs, before new
// replicas can take it.
func (p *planner) reserveGrowth() {
	for _, g := range p.groups {
		for _, r := range g.replicas {
			growth := p.memory(g, g.target.Digest) - p.memory(g, r.digest)
			r.fits = g.target.Digest != "" && p.reserve(r.vm, max(0, growth))
		}
	}
}

// fill places missing replicas. VMs that hold the version already come first, then
// the others in rendezvous order.
func (p *planner) fill() {
	for _, g := range p.groups {
		if g.target.Digest == "" {
			continue
		}
		candidates := slices.Clone(g.ranked)
		slices.SortStableFunc(candidates, func(a, b *Endpoint) int { return holding(a, g.target.Digest) - holding(b, g.target.Digest) })
		for _, e := range candidates {
			if len(g.replicas) >= g.desired {
				break
			}
			if g.has(e.VM) || !p.reserve(e.VM, p.memory(g, g.target.Digest)) {
				continue
			}
			g.replicas = append(g.replicas, &replica{vm: e.VM, digest: g.target.Digest, serving: e.Serving[g.model], fits: true})
			g.placed++
		}
	}
}

func holding(e *Endpoint, digest string) int {
	if slices.Contains(e.Holds, digest) {
		return 0
	}
	return 1
}

func (g *group) has(vm string) bool {
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.vm == vm })
}

// pending returns the number of replicas assigned to the target that do not serve it.
func (g *group) pending() int {
	n := 0
	for _, r := range g.replicas {
		if r.digest == g.target.Digest && r.serving != r.digest {
			n++
		}
	}
	return n
}

func (g *group) updated() int {
	n := 0
	for _, r := range g.replicas {
		if r.digest == g.target.Digest {
			n++
		}
	}
	return n
}
