package fairshare

import (
	"cmp"
	"slices"
)

// minPart is the part of its proportional share that a less urgent rank keeps however much the more urgent ones ask
// for, so that none of its callers waits for ever. It holds over the ranks of workspaces and of routes together.
const minPart = 0.3

// rounding is how far from what it needs a class may be that gets all of it.
const rounding = 1e-9

// What a workspace asks for fluctuates. It may exceed its share by tolerance if all others that do ask for excess times
// their shares and keep keptPart of them.
const (
	tolerance = 1.3
	excess    = 2.0
	keptPart  = 0.5
)

// tenant is the demand of a workspace.
type tenant struct {
	name string
	rank int
	// demands are in the order of their ranks.
	demands       []Demand
	need, usual   float64
	weight, given float64
	// crowd is the workspaces for which it stands, one or several.
	crowd crowd
	// floor is what the workspace gets at least, and each of its ranks in proportion.
	floor float64
}

// allocate divides room among the demands, which are sorted by workspace and rank. It returns the part of each that passes.
func allocate(room float64, demands []Demand, settings *Settings) map[Class]float64 {
	tenants := tenantsOf(demands, settings)
	setWeights(tenants)
	setFloors(room, tenants)
	groups := groupByRank(tenants)
	needs := make([]float64, len(groups))
	total := 0.0
	for i, group := range groups {
		for _, t := range group {
			needs[i] += t.need
		}
		total += needs[i]
	}
	parts := make(map[Class]float64, len(demands))
	for i, part := range urgentFirst(room, needs, minPart*servedPart(room, total)) {
		setWeights(groups[i])
		fillAboveFloors(part, groups[i])
		for _, t := range groups[i] {
			t.divide(parts)
		}
	}
	return parts
}

func tenantsOf(demands []Demand, settings *Settings) []*tenant {
	var tenants []*tenant
	named := make(map[int]crowd)
	for _, d := range demands {
		if len(tenants) == 0 || tenants[len(tenants)-1].name != d.Workspace {
			t := &tenant{name: d.Workspace}
			if rank, isRest := restRank(d.Workspace); isRest {
				t.rank = rank
			} else {
				w := settings.workspace(d.Workspace)
				t.rank, t.crowd = w.Rank, crowd{1, w.Weight}
				named[w.Rank] = crowd{named[w.Rank].count + 1, named[w.Rank].weight + w.Weight}
			}
			tenants = append(tenants, t)
		}
		t := tenants[len(tenants)-1]
		t.demands = append(t.demands, d)
		t.need += d.need()
		t.usual += d.Usual
	}
	for _, t := range tenants {
		if t.crowd.count > 0 {
			continue
		}
		// Those who are not named.
		all := settings.byRank[t.rank]
		t.crowd = crowd{all.count - named[t.rank].count, all.weight - named[t.rank].weight}
		if t.crowd.count < 1 || t.crowd.weight < MinWeight {
			t.crowd = crowd{1, 1}
		}
	}
	return tenants
}

// groupByRank returns the workspaces of each rank, the most urgent rank first.
func groupByRank(tenants []*tenant) [][]*tenant {
	slices.SortStableFunc(tenants, func(a, b *tenant) int { return cmp.Compare(a.rank, b.rank) })
	var groups [][]*tenant
	for i, t := range tenants {
		if i == 0 || tenants[i-1].rank != t.rank {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], t)
	}
	return groups
}

// servedPart returns the part of a need for which there is room.
func servedPart(room, need float64) float64 {
	if need <= 0 {
		return 0
	}
	return min(1, room/need)
}

// urgentFirst divides room among needs in their order. Of each a part is kept.
func urgentFirst(room float64, needs []float64, keptPart float64) []float64 {
	total := 0.0
	for _, need := range needs {
		total += need
	}
	given := make([]float64, len(needs))
	left := max(0, min(room, total)-keptPart*total)
	for i, need := range needs {
		kept := keptPart * need
		more := min(need-kept, left)
		given[i] = kept + more
		left -= more
	}
	return given
}

// setFloors sets what the workspaces get at least. What one asks for far beyond its share raises its floor no more.
func setFloors(room float64, tenants []*tenant) {
	needs, weights := 0.0, 0.0
	for _, t := range tenants {
		needs += t.need
		weights += t.weight
	}
	for _, t := range tenants {
		t.floor = minPart * servedPart(room, needs) * min(t.need, excess*room*t.weight/weights)
	}
}

// setWeights sets the weights of workspaces among each other.
func setWeights(tenants []*tenant) {
	usual, count := 0.0, 0.0
	for _, t := range tenants {
		usual += t.usual
		count += t.crowd.count
	}
	for _, t := range tenants {
		part := t.crowd.count / count
		if usual > 0 {
			part = max(part, t.usual/usual)
		}
		t.weight = part * t.crowd.weight / t.crowd.count
	}
}

// fillAboveFloors divides room among workspaces by their weights, so that none gets less than its floor.
func fillAboveFloors(room float64, tenants []*tenant) {
	for len(tenants) > 0 {
		fill(room, tenants)
		var above []*tenant
		for _, t := range tenants {
			if t.given >= (1-rounding)*t.floor {
				above = append(above, t)
			}
		}
		if len(above) == len(tenants) {
			return
		}
		for _, t := range tenants {
			if t.given < (1-rounding)*t.floor {
				t.given = t.floor
				room -= t.floor
			}
		}
		tenants = above
	}
}

// fill divides room among workspaces by their weights. None gets more than it asks for, and what it leaves is divided
// among the others.
func fill(room float64, tenants []*tenant) {
	byNeed := slices.Clone(tenants)
	slices.SortStableFunc(byNeed, func(a, b *tenant) int { return cmp.Compare(a.need/a.weight, b.need/b.weight) })
	left := rest{room: room, tenants: byNeed}
	for _, t := range byNeed {
		left.weights += t.weight
	}
	isShort := left.serve(1)
	if tolerated := left; isShort && tolerated.serve(tolerance) && tolerated.tenants[0].need >= excess*left.level()*tolerated.tenants[0].weight &&
		tolerated.level() >= keptPart*left.level() {
		left = tolerated
	}
	for _, t := range byNeed[:len(byNeed)-len(left.tenants)] {
		t.given = t.need
	}
	for _, t := range left.tenants {
		t.given = min(t.need, left.level()*t.weight)
	}
}

// rest is the room that is left for the workspaces that ask for most.
type rest struct {
	room, weights float64
	tenants       []*tenant
}

// level is the room per weight.
func (r *rest) level() float64 { return max(0, r.room) / r.weights }

// serve takes out the workspaces that ask for no more than a multiple of their shares. It reports whether any is left.
func (r *rest) serve(times float64) bool {
	level := r.level()
	for r.tenants[0].need <= times*max(level, r.level())*r.tenants[0].weight {
		r.room -= r.tenants[0].need
		r.weights -= r.tenants[0].weight
		r.tenants = r.tenants[1:]
		if len(r.tenants) == 0 {
			return false
		}
	}
	return true
}

// divide divides what the workspace gets among its ranks.
func (t *tenant) divide(parts map[Class]float64) {
	needs := make([]float64, len(t.demands))
	for i, d := range t.demands {
		needs[i] = d.need()
	}
	for i, given := range urgentFirst(t.given, needs, max(minPart*servedPart(t.given, t.need), servedPart(t.floor, t.need))) {
		switch d := t.demands[i]; {
		case given >= (1-rounding)*needs[i]:
			parts[d.Class] = 1
		default:
			parts[d.Class] = given / d.Offered
		}
	}
}
