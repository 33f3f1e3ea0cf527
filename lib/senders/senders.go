// Package senders decides which entries send to a worker, and how many requests each. The
// number of requests that a cold worker sustains in a second bounds the sum over all entries,
// and no entry sees what the others send. Every process that knows the same entries computes
// the same shares without exchanging messages.
package senders

import (
	"maps"
	"math"
	"slices"

	"laburnumgw/lib/rendezvous"
)

const (
	// assignedFraction is the part of the bound that is assigned to senders when there are more
	// entries than the bound has requests. The rest covers unassigned senders, and entries
	// that learn late of others and until then use a share computed from fewer entries.
	assignedFraction = 0.75
	// unassignedFraction is the part of the bound that all unassigned senders together use on
	// average.
	unassignedFraction = 0.05
	// sameZoneFraction is the part of the assigned senders in the worker's own availability zone,
	// since traffic between zones is expensive. The others serve callers of zones whose own
	// workers have terminated.
	sameZoneFraction = 0.7
	// AssignedCountWithoutBound is the number of entries that send to a worker without a bound.
	AssignedCountWithoutBound = 20
)

// Fleet holds the entries of a deployment by availability zone.
type Fleet struct {
	zones     map[string][]string
	zoneNames []string
	total     int
}

// NewFleet returns the fleet of the entries in zoneOf, which maps each entry to its zone.
func NewFleet(zoneOf map[string]string) Fleet {
	f := Fleet{zones: make(map[string][]string), total: len(zoneOf)}
	for _, name := range slices.Sorted(maps.Keys(zoneOf)) {
		f.zones[zoneOf[name]] = append(f.zones[zoneOf[name]], name)
	}
	f.zoneNames = slices.Sorted(maps.Keys(f.zones))
	return f
}

// Share is what one entry may send to one worker.
type Share struct {
	// PerSecond is the maximum number of requests in any second; zero for an unassigned sender.
	PerSecond int
	// UnassignedProbability is the probability with which an unassigned sender may send one
	// request in a second.
	UnassignedProbability float64
	// Senders is the number of assigned senders of the worker.
	Senders int
}

// ShareOf returns the share of an entry in a bound on the requests to a worker in a second.
// For a bound of 2 or more, the shares of all entries sum up to at most the bound; a smaller
// one still has an assigned sender. The number of entries counts as assumed while fewer are
// known.
func (f Fleet) ShareOf(entry, entryZone, worker, workerZone string, bound float64, assumed int) Share {
	total := max(f.total, assumed)
	if float64(total) <= bound {
		return Share{PerSecond: int(bound / float64(total)), Senders: total}
	}
	size := AssignedCount(bound)
	if f.rank(entry, entryZone, worker) < f.quota(worker, workerZone, size)[entryZone] {
		return Share{PerSecond: 1, Senders: size}
	}
	return Share{UnassignedProbability: unassignedFraction * bound / float64(total), Senders: size}
}

// AssignedCount returns the number of assigned senders of a worker when there are more entries
// than its bound has requests.
func AssignedCount(bound float64) int {
	if bound <= 0 {
		return AssignedCountWithoutBound
	}
	return max(1, int(assignedFraction*bound))
}

// AssignedSenders returns the assigned senders of a worker, of which there are up to size:
// those of the worker's zone and those of the other zones.
func (f Fleet) AssignedSenders(worker, workerZone string, size int) (sameZone, otherZones []string) {
	quota := f.quota(worker, workerZone, size)
	for _, zone := range f.zoneNames {
		members := rendezvous.Rank(worker, f.zones[zone])[:quota[zone]]
		if zone == workerZone {
			sameZone = members
		} else {
			otherZones = append(otherZones, members...)
		}
	}
	return sameZone, otherZones
}

// rank returns the number of entries of the zone that rank before the entry for a worker.
func (f Fleet) rank(entry, zone, worker string) int {
	own := rendezvous.Score(worker, entry)
	before := 0
	for _, other := range f.zones[zone] {
		score := rendezvous.Score(worker, other)
		if score > own || (score == own && other < entry) {
			before++
		}
	}
	return before
}

// quota returns the number of assigned senders of a worker in each zone.
func (f Fleet) quota(worker, workerZone string, size int) map[string]int {
	quota := make(map[string]int, len(f.zoneNames))
	remaining := min(size, f.total)
	sameZone := min(len(f.zones[workerZone]), int(math.Ceil(sameZoneFraction*float64(remaining))))
	quota[workerZone] = sameZone
	remaining -= sameZone
	// The other zones get senders round-robin, in an order that depends on the worker. What
	// they cannot use goes to the worker's own zone.
	others := rendezvous.Rank(worker, f.zoneNames)
	others = slices.DeleteFunc(others, func(zone string) bool { return zone == workerZone })
	for assigned := true; remaining > 0 && assigned; {
		assigned = false
		for _, zone := range others {
			if remaining > 0 && quota[zone] < len(f.zones[zone]) {
				quota[zone]++
				remaining--
				assigned = true
			}
		}
	}
	quota[workerZone] += min(remaining, len(f.zones[workerZone])-sameZone)
	return quota
}
