// Package topology decides which entry of a deployment mirrors the platform's store from which
// other one. Every entry that knows the same entries computes the same tree: one entry, the reader,
// reads the store; the first entry of each other availability zone mirrors from the first one of a
// zone that ranks above; the other entries mirror from entries of their zone that rank above them.
package topology

import (
	"maps"
	"slices"
	"time"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rendezvous"
)

const (
	// Fanout is the number of entries that have the same upstream, so that the work of the reader
	// does not grow with its zone.
	Fanout = 8
	// staleAgePerLevel is added to the probe interval of the reader for each entry on the way to
	// it. A response of the store that is older than the sum is not relied on.
	staleAgePerLevel = 350 * time.Millisecond
	// rankKey is the key of the rendezvous ranking of entries, and of availability zones.
	rankKey = "mirror"
)

// Entry is an entry of the deployment.
type Entry struct {
	Zone    string
	Address string
}

// Tree is the tree of mirrors as one entry sees it.
type Tree struct {
	self    string
	entries map[string]Entry
	// zoneRanked holds the entries of this entry's zone, the highest rank first, and rank is the
	// rank of this entry. An entry that is not listed counts as the first one.
	zoneRanked []string
	rank       int
	// zoneFirsts are the first entries of the zones that rank above this entry's zone.
	zoneFirsts []string
}

// New returns the tree as an entry of a zone sees it.
func New(self, zone string, entries map[string]Entry) *Tree {
	byZone := make(map[string][]string)
	for name, entry := range entries {
		byZone[entry.Zone] = append(byZone[entry.Zone], name)
	}
	t := &Tree{self: self, entries: entries, zoneRanked: rendezvous.Rank(rankKey, byZone[zone])}
	t.rank = max(0, slices.Index(t.zoneRanked, self))
	zones := rendezvous.Rank(rankKey, slices.Sorted(maps.Keys(byZone)))
	for _, above := range zones[:max(0, slices.Index(zones, zone))] {
		t.zoneFirsts = append(t.zoneFirsts, rendezvous.Best(rankKey, byZone[above]))
	}
	return t
}

// ZoneSize returns the number of listed entries of this entry's zone.
func (t *Tree) ZoneSize() int { return len(t.zoneRanked) }

// IsFirstOfZone reports whether this entry is the first one of its zone.
func (t *Tree) IsFirstOfZone() bool { return t.rank == 0 }

// Upstreams returns the entries that this one may mirror from: those of its zone that rank above
// it, or, for the first of a zone, the first ones of the zones that rank above. The reader has none.
func (t *Tree) Upstreams() []string {
	if t.rank > 0 {
		return t.zoneRanked[:t.rank]
	}
	return t.zoneFirsts
}

// Source states whether this entry reads the store itself. One entry of the deployment does, so
// that the calls of the store do not grow with the number of entries.
func (t *Tree) Source() mirror.Source {
	if len(t.Upstreams()) == 0 {
		return mirror.StoreFirst
	}
	return mirror.NeighboursFirst
}

// upstreamRank returns the rank of the upstream of the entry of a rank above 0.
func upstreamRank(rank int) int { return (rank - 1) / Fanout }

// Addresses returns the addresses of the entries to mirror from: the preferred upstream, then the
// other ones in the order of their rank. All other entries follow if there is no upstream, or if
// the caller does not know all kinds yet and any other entry may.
func (t *Tree) Addresses(knowsAll bool) []string {
	var addresses []string
	if upstreams := t.Upstreams(); len(upstreams) > 0 {
		preferred := 0
		if !t.IsFirstOfZone() {
			preferred = upstreamRank(t.rank)
		}
		addresses = append(addresses, t.entries[upstreams[preferred]].Address)
		for i, upstream := range upstreams {
			if i != preferred {
				addresses = append(addresses, t.entries[upstream].Address)
			}
		}
		if knowsAll {
			return addresses
		}
	}
	known := make(map[string]bool, len(t.entries))
	for _, address := range addresses {
		known[address] = true
	}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if address := t.entries[name].Address; name != t.self && !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// StaleAfter returns the age of the last response of the store from which on the upstream is not
// relied on, if the reader probes the store at an interval. It grows with each level between this
// entry and the reader.
func (t *Tree) StaleAfter(probeInterval time.Duration) time.Duration {
	limit := probeInterval + staleAgePerLevel
	if t.IsFirstOfZone() {
		return limit
	}
	if len(t.zoneFirsts) > 0 {
		limit += staleAgePerLevel
	}
	for rank := t.rank; rank > 0; rank = upstreamRank(rank) {
		if upstreamRank(rank) > 0 {
			limit += staleAgePerLevel
		}
	}
	return limit
}

// HoldOff returns the age of the last response of the store from which on this entry reads the
// store itself when its upstream does not respond. The first entry of a zone does so at once; the
// others first give it the time to fail over.
func (t *Tree) HoldOff(probeInterval time.Duration) time.Duration {
	if t.IsFirstOfZone() {
		return 0
	}
	return t.StaleAfter(probeInterval)
}
