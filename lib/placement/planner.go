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
	// fits is set when the VM has enough memory for the target version.
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
	// wave is the number of the wave that the decision starts, or 0.
	wave int
}

// planner holds the state of one decision.
type planner struct {
	in       Input
	versions map[string]Version
	previous map[string]Plan
	// freeMB is the memory that is not reserved, in MB by VM.
	freeMB       map[string]int
	groups       []*group
	shortfalls   []Shortfall
	explanations []Explanation
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:       in,
		versions: make(map[string]Version),
		previous: make(map[string]Plan),
		freeMB:   make(map[string]int),
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
		if _, known := p.freeMB[e.VM]; !e.Alive || known {
			continue
		}
		p.freeMB[e.VM] = e.MemoryMB
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
	if p.freeMB[vm] < mb {
		return false
	}
	p.freeMB[vm] -= mb
	return true
}

// keepPrevious keeps previous assignments, so that a VM that joins moves no replica. A
// VM that still serves another version needs the larger memory of the two.
func (p *planner) keepPrevious() {
	for _, g := range p.groups {
		assigned := make(map[string]Assignment)
		for _, a := range p.previous[g.model].Assignments {
			assigned[a.VM] = a
		}
		for _, e := range g.ranked {
			a, ok := assigned[e.VM]
			if !ok || len(g.replicas) >= g.desired {
				continue
			}
			r := &replica{vm: e.VM, digest: a.Digest, wave: a.Wave, serving: e.Serving[g.model]}
			if g.target.Digest != "" && r.switchesFreely(g.target.Digest) && p.memoryNeed(g, r, g.target.Digest) <= p.memoryNeed(g, r, r.digest) {
				r.digest = g.target.Digest
			}
			if p.reserve(e.VM, p.memoryNeed(g, r, r.digest)) {
				g.replicas = append(g.replicas, r)
			}
		}
	}
}

// memoryNeed returns the memory of a replica while it switches to a version: the larger
// of the version that it serves and the new one.
func (p *planner) memoryNeed(g *group, r *replica, digest string) int {
	mb := p.memory(g, digest)
	if r.serving == "" {
		return mb
	}
	return max(mb, p.memory(g, r.serving))
}

// switchesFreely reports whether the target version can be assigned without a loss of capacity:
// the replica serves it already, serves nothing, or is switching to another version.
func (r *replica) switchesFreely(target string) bool {
	return r.serving == "" || r.serving == target || r.serving != r.digest
}

// reserveGrowth reserves the additional memory that a larger target version needs, before
// new replicas can use it.
func (p *planner) reserveGrowth() {
	for _, g := range p.groups {
		for _, r := range g.replicas {
			growth := p.memoryNeed(g, r, g.target.Digest) - p.memoryNeed(g, r, r.digest)
			r.fits = g.target.Digest != "" && p.reserve(r.vm, max(0, growth))
			if r.fits && r.switchesFreely(g.target.Digest) {
				r.digest = g.target.Digest
			}
		}
	}
}

// placeMissing places missing replicas on the VMs that lack the least to serve them, and
// among equals in rendezvous order. A VM that serves another version, because its assignment
// was removed or lost, keeps it until its wave.
func (p *planner) placeMissing() {
	for _, g := range p.groups {
		if g.target.Digest == "" {
			continue
		}
		candidates := slices.Clone(g.ranked)
		slices.SortStableFunc(candidates, func(a, b *Endpoint) int { return g.distance(a) - g.distance(b) })
		for _, e := range candidates {
			if len(g.replicas) >= g.desired {
				break
			}
			if g.has(e.VM) {
				continue
			}
			r := &replica{vm: e.VM, digest: g.target.Digest, serving: e.Serving[g.model], fits: true}
			if !p.reserve(e.VM, p.memoryNeed(g, r, g.target.Digest)) {
				continue
			}
			if r.serving != "" {
				r.digest = r.serving
			}
			g.replicas = append(g.replicas, r)
			g.placed++
		}
	}
}

// distance ranks VMs by what they lack to serve the target version, from 0 for nothing.
func (g *group) distance(e *Endpoint) int {
	switch {
	case e.Serving[g.model] == g.target.Digest:
		return 0
	case slices.Contains(e.CompleteDigests, g.target.Digest):
		return 1
	case e.Serving[g.model] != "":
		return 2
	default:
		return 3
	}
}

func (g *group) has(vm string) bool {
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.vm == vm })
}

// pending returns the number of replicas that do not serve their assigned version,
// whether they switch, start, or keep an old version that they have yet to load.
func (g *group) pending() int {
	n := 0
	for _, r := range g.replicas {
		if r.serving != r.digest {
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
