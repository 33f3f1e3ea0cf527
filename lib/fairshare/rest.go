package fairshare

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
)

// restPrefix begins the name of a workspace that stands for all of its rank which are not told one by one. No key gives access to a
// workspace with such a name.
const restPrefix = "\x00"

// restsPart is the part of the bytes that what stands for several workspaces may take, so that the largest are named.
const restsPart = 0.6

func restName(rank int) string { return restPrefix + strconv.Itoa(rank) }

// restRank returns the rank of the workspaces for which a name stands.
func restRank(name string) (rank int, isRest bool) {
	if !strings.HasPrefix(name, restPrefix) {
		return 0, false
	}
	rank, err := strconv.Atoi(name[len(restPrefix):])
	return rank, err == nil && rank >= 0 && rank <= MaxRank && restName(rank) == name
}

// Offer is what callers ask of a service for one class.
type Offer struct {
	Service string
	Demand
	// WorkspaceRank is the rank of the workspace, and Known its part of what is known of the demand of the service at all entries. The
	// largest by that are named, so that all entries name the same ones, and an offer of nothing takes the place of one.
	WorkspaceRank int
	Known         float64
}

// size is what callers ask for or have usually asked for, whichever is more.
func (d *Demand) size() float64 { return max(d.Offered, d.Usual) }

// restKey is what the offers that are not told one by one are summed by.
type restKey struct {
	service             string
	workspaceRank, rank int
}

func (o *Offer) restKey() restKey { return restKey{o.Service, o.WorkspaceRank, o.Rank} }

func (k restKey) offer() Offer {
	return Offer{Service: k.service, Demand: Demand{Class: Class{restName(k.workspaceRank), k.rank}}, WorkspaceRank: k.workspaceRank}
}

// Fold returns what is told of the offers within some bytes: all of them if they fit, else those of the workspaces that are the largest
// parts of their services one by one, and the sums of the others of each service by rank of workspace and request. A service is told as a whole or not at
// all, so that no class is missing at all entries. The services begin with that at an index, which differs from message to message.
func Fold(offers []Offer, bytes int, sizeOf func(*Offer) int, from int) []Offer {
	if own := slices.DeleteFunc(slices.Clone(offers), func(o Offer) bool { return o.size() == 0 }); fits(own, bytes, sizeOf) {
		return own
	}
	rests := make(map[restKey]bool)
	for i := range offers {
		rests[offers[i].restKey()] = true
	}
	sums, left := chosenRests(rests, bytes, sizeOf, from)
	named := make([]*Offer, 0, len(offers))
	for i := range offers {
		if sums[offers[i].restKey()] != nil {
			named = append(named, &offers[i])
		}
	}
	slices.SortFunc(named, func(a, b *Offer) int {
		return cmp.Or(cmp.Compare(b.Known, a.Known), cmp.Compare(a.Service, b.Service), compareDemands(a.Demand, b.Demand))
	})
	var told []Offer
	for _, o := range named {
		if size := sizeOf(o); size <= left {
			left -= size
			if o.size() > 0 {
				told = append(told, *o)
			}
			continue
		}
		sums[o.restKey()].add(o.Demand)
	}
	all := make([]Offer, 0, len(sums)+len(told))
	for _, sum := range sums {
		if sum.size() > 0 {
			all = append(all, *sum)
		}
	}
	slices.SortFunc(all, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), compareDemands(a.Demand, b.Demand))
	})
	return append(all, told...)
}

func fits(offers []Offer, bytes int, sizeOf func(*Offer) int) bool {
	for i := range offers {
		if bytes -= sizeOf(&offers[i]); bytes < 0 {
			return false
		}
	}
	return true
}

// chosenRests returns the empty sums of the services that are told, and the bytes left for others. If those of the first service do not fit,
// they take turns as well.
func chosenRests(rests map[restKey]bool, bytes int, sizeOf func(*Offer) int, from int) (map[restKey]*Offer, int) {
	keys := make([]restKey, 0, len(rests))
	for key := range rests {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b restKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.workspaceRank, b.workspaceRank), cmp.Compare(a.rank, b.rank))
	})
	byService := make(map[string][]restKey)
	var services []string
	for _, key := range keys {
		if byService[key.service] == nil {
			services = append(services, key.service)
		}
		byService[key.service] = append(byService[key.service], key)
	}
	sums, forRests := make(map[restKey]*Offer), int(restsPart*float64(bytes))
	choose := func(keys []restKey, size int) {
		forRests -= size
		bytes -= size
		for _, key := range keys {
			sum := key.offer()
			sums[key] = &sum
		}
	}
	for i := range services {
		keys := byService[services[(i+from)%len(services)]]
		if size := sizeOfAll(keys, sizeOf); size <= forRests {
			choose(keys, size)
			continue
		}
		for j := range keys {
			key := keys[(j+from)%len(keys)]
			if size := widestRest(key, sizeOf); i == 0 && size <= bytes {
				choose([]restKey{key}, size)
			}
		}
	}
	return sums, bytes
}

func sizeOfAll(keys []restKey, sizeOf func(*Offer) int) (size int) {
	for _, key := range keys {
		size += widestRest(key, sizeOf)
	}
	return size
}

// widestRest returns the most bytes that a sum takes.
func widestRest(key restKey, sizeOf func(*Offer) int) int {
	widest := key.offer()
	widest.Offered, widest.Admitted, widest.TurnedAway, widest.Usual = math.MaxFloat64, math.MaxFloat64, math.MaxFloat64, math.MaxFloat64
	return sizeOf(&widest)
}

// Told records what of this entry's demands the others were told. The classes that are missing are counted with the others of
// their rank, as the other entries do. Nothing told means that all are counted one by one.
func (s *Service) Told(told []Offer) {
	s.named = nil
	for i := range told {
		if _, isRest := restRank(told[i].Workspace); isRest && s.named == nil {
			s.named = make(map[Class]bool, len(told))
		}
	}
	if s.named == nil {
		return
	}
	for i := range told {
		s.named[told[i].Class] = true
	}
}

// toldAs returns the class with which one of this entry counts, given the classes that are named.
func (s *Service) toldAs(key Class, isNamed bool) Class {
	if s.named == nil || isNamed || s.named[key] {
		return key
	}
	return s.restOf(key)
}

// restOf returns the class of those that are not named and ask for the same.
func (s *Service) restOf(key Class) Class {
	return Class{restName(s.settings.workspace(key.Workspace).Rank), key.Rank}
}

// crowd is how many workspaces of a rank there are, and the sum of their weights.
type crowd struct{ count, weight float64 }

// crowds returns the workspaces of the settings by rank.
func (s *Settings) crowds() map[int]crowd {
	crowds := make(map[int]crowd)
	for name := range s.Workspaces {
		w := s.workspace(name)
		c := crowds[w.Rank]
		crowds[w.Rank] = crowd{c.count + 1, c.weight + w.Weight}
	}
	return crowds
}
