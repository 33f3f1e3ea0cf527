package swarm

import (
	"slices"
	"strconv"
	"strings"

	"laburnumgw/lib/rendezvous"
	"laburnumgw/lib/weights"
)

// fetcherRanks is the number of VMs of a region that may fetch a chunk from the region's
// source. The others only take over when those of lower rank fail.
const fetcherRanks = 8

// treeArity is the number of children of a VM in the fixed tree.
const treeArity = 2

// relayHopChunkTimes is about the time in chunk times that a chunk takes from one region through another.
const relayHopChunkTimes = 4

// Plan is the assignment of chunks to VMs that follows from a list of members. Every VM that
// knows the same members computes the same plan. A Plan is immutable.
type Plan struct {
	home             string
	regions          []string
	members          map[string]Member
	vmsByRegion      map[string][]string
	fetchersByRegion map[string][][]string
	// remote lists the regions other than the home region. With relayed set, they pass chunks on to each other.
	remote    []string
	relayed   bool
	treeOrder []string
}

// NewPlan ranks the members of each region for each chunk. When the home region has no
// member, the first region by name replaces it.
func NewPlan(digest weights.Digest, chunks int, home string, members []Member) *Plan {
	p := &Plan{
		home:             home,
		members:          make(map[string]Member, len(members)),
		vmsByRegion:      make(map[string][]string),
		fetchersByRegion: make(map[string][][]string),
	}
	var all []string
	for _, member := range members {
		if _, ok := p.members[member.VM]; ok {
			continue
		}
		p.members[member.VM] = member
		p.vmsByRegion[member.Region] = append(p.vmsByRegion[member.Region], member.VM)
		all = append(all, member.VM)
	}
	for region := range p.vmsByRegion {
		p.regions = append(p.regions, region)
	}
	slices.Sort(p.regions)
	if len(p.vmsByRegion[home]) == 0 && len(p.regions) > 0 {
		p.home = p.regions[0]
	}
	for _, region := range p.regions {
		if region != p.home {
			p.remote = append(p.remote, region)
		}
	}
	// Beside the first copy, each further one that the home region sends to another region costs its VMs
	// this many chunk times of their links.
	p.relayed = (len(p.remote)-1)*chunks > relayHopChunkTimes*len(p.vmsByRegion[p.home])
	name := digest.String()
	for _, region := range p.regions {
		ranks := make([][]string, chunks)
		for chunk := range ranks {
			ranks[chunk] = topRanked(name+"/"+strconv.Itoa(chunk), p.vmsByRegion[region], fetcherRanks)
		}
		p.fetchersByRegion[region] = ranks
	}
	p.treeOrder = rendezvous.Rank(name, all)
	return p
}

// Fetchers returns the VMs of a region that fetch a chunk from the region's source,
// in order of rank.
func (p *Plan) Fetchers(region string, chunk int) []string {
	ranks := p.fetchersByRegion[region]
	if chunk < 0 || chunk >= len(ranks) {
		return nil
	}
	return ranks[chunk]
}

// earlyFetchers returns those of the fetchers that take chunks over at any time.
func (p *Plan) earlyFetchers(region string, chunk int) []string {
	fetchers := p.Fetchers(region, chunk)
	return fetchers[:min(len(fetchers), earlyRanks)]
}

// Source returns the region from which the fetchers of another region than the home fetch a chunk. The
// home region sends each chunk to every region, or to one that passes it on, if the home region has
// too few VMs to send all these copies beside its own.
func (p *Plan) Source(region string, chunk int) string {
	index := slices.Index(p.remote, region)
	if !p.relayed || index < 0 {
		return p.home
	}
	position := (index + chunk) % len(p.remote)
	if position == 0 {
		return p.home
	}
	// Each region passes a chunk on to two others, and its place changes from one chunk to the next.
	parent := (position - 1) / 2
	return p.remote[(parent+len(p.remote)-chunk%len(p.remote))%len(p.remote)]
}

// Home returns the region whose VMs fetch from the weight store.
func (p *Plan) Home() string { return p.home }

// neighbours returns the peers that a VM selects: a third from its own zone, so that the VMs
// of a partitioned zone stay connected to each other, and the others from its entire region.
func (p *Plan) neighbours(self Member, count int) []string {
	var zone, rest []string
	for _, vm := range p.vmsByRegion[self.Region] {
		if vm == self.VM {
			continue
		}
		rest = append(rest, vm)
		if p.members[vm].Zone == self.Zone {
			zone = append(zone, vm)
		}
	}
	selected := topRanked(self.VM, zone, (count+2)/3)
	for _, vm := range topRanked(self.VM, rest, count) {
		if len(selected) < count && !slices.Contains(selected, vm) {
			selected = append(selected, vm)
		}
	}
	return selected
}

// treeLinks returns the parent and the children of a VM in the fixed tree.
func (p *Plan) treeLinks(vm string) (parent string, children []string) {
	index := slices.Index(p.treeOrder, vm)
	if index < 0 {
		return "", nil
	}
	if index > 0 {
		parent = p.treeOrder[(index-1)/treeArity]
	}
	first := treeArity*index + 1
	for i := first; i < first+treeArity && i < len(p.treeOrder); i++ {
		children = append(children, p.treeOrder[i])
	}
	return parent, children
}

// topRanked returns the count members with the highest rendezvous scores, in descending
// order. It avoids sorting all members, since it runs for each chunk.
func topRanked(key string, members []string, count int) []string {
	type scored struct {
		vm    string
		score uint64
	}
	best := make([]scored, 0, count+1)
	for _, vm := range members {
		candidate := scored{vm, rendezvous.Score(key, vm)}
		if len(best) == count && candidate.score < best[count-1].score {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, candidate, func(a, b scored) int {
			if a.score != b.score {
				if a.score > b.score {
					return -1
				}
				return 1
			}
			return strings.Compare(a.vm, b.vm)
		})
		best = slices.Insert(best, index, candidate)
		if len(best) > count {
			best = best[:count]
		}
	}
	names := make([]string, len(best))
	for i, candidate := range best {
		names[i] = candidate.vm
	}
	return names
}
