// Package senders decides which entries send to a worker, and how much. What a cold worker
// bears in a second is a bound on the sum over all entries, none of which sees what the
// others send. Every process that knows the same entries computes the same shares without
// any message.
package senders

import (
	"maps"
	"math"
	"slices"

	"laburnumgw/lib/rendezvous"
)

const (
	// subsetPart is the part of the bound that is handed out when there are more entries
	// than it has requests. The rest covers guests and entries that know of others late.
	subsetPart = 0.75
	// guestPart is the part of the bound that guests use on average.
	guestPart = 0.05
	// nearPart is the part of a subset that lies in the worker's own availability zone,
	// since bytes between zones are dear. The others serve callers of zones whose own
	// workers are gone.
	nearPart = 0.7
	// UnboundedSubsetSize is the size of a subset for workers without a bound.
	UnboundedSubsetSize = 20
)

// Fleet is the entries of a deployment by availability zone.
type Fleet struct {
	zones map[string][]string
	names []string
	total int
}

// NewFleet returns the fleet of entries with their zones.
func NewFleet(zoneOf map[string]string) Fleet {
	f := Fleet{zones: make(map[string][]string), total: len(zoneOf)}
	for _, name := range slices.Sorted(maps.Keys(zoneOf)) {
		f.zones[zoneOf[name]] = append(f.zones[zoneOf[name]], name)
	}
	f.names = slices.Sorted(maps.Keys(f.zones))
	return f
}

// Share is what one entry may send to one worker.
type Share struct {
	// PerSecond is the most in any second; zero for a guest.
	PerSecond int
	// UnassignedProbability is the probability with which a guest may send one request in a second.
	UnassignedProbability float64
	// Senders is the number of entries that send to the worker regularly.
	Senders int
}

// ShareOf returns the share of an entry in a bound on the requests to a worker in a second. The
// shares of all entries sum up to less than the bound. At least assumed entries are counted
// as long as fewer are known.
func (f Fleet) ShareOf(entry, entryZone, worker, workerZone string, bound float64, assumed int) Share {
	total := max(f.total, assumed)
	if float64(total) <= bound {
		return Share{PerSecond: int(bound / float64(total)), Senders: total}
	}
	size := SubsetSize(bound)
	if f.rank(entry, entryZone, worker) < f.quota(worker, workerZone, size)[entryZone] {
		return Share{PerSecond: 1, Senders: size}
	}
	return Share{UnassignedProbability: guestPart * bound / float64(total), Senders: size}
}

// SubsetSize returns the number of entries that send to a worker when there are more of them than
// its bound has requests.
func SubsetSize(bound float64) int {
	if bound <= 0 {
		return UnboundedSubsetSize
	}
	return max(1, int(subsetPart*bound))
}

// Members returns the entries that send to a worker in a subset of a size: those of the
// worker's zone and the others.
func (f Fleet) Members(worker, workerZone string, size int) (near, far []string) {
	quota := f.quota(worker, workerZone, size)
	for _, zone := range f.names {
		members := rendezvous.Rank(worker, f.zones[zone])[:quota[zone]]
		if zone == workerZone {
			near = members
		} else {
			far = append(far, members...)
		}
	}
	return near, far
}

// rank returns how many entries of its zone come before an entry for a worker.
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

// quota returns how many entries of each zone send to a worker.
func (f Fleet) quota(worker, workerZone string, size int) map[string]int {
	quota := make(map[string]int, len(f.names))
	left := min(size, f.total)
	near := min(len(f.zones[workerZone]), int(math.Ceil(nearPart*float64(left))))
	quota[workerZone] = near
	left -= near
	// The zones take turns, each worker's in its own order. What the others cannot use falls
	// to the worker's own zone.
	others := rendezvous.Rank(worker, f.names)
	others = slices.DeleteFunc(others, func(zone string) bool { return zone == workerZone })
	for given := true; left > 0 && given; {
		given = false
		for _, zone := range others {
			if left > 0 && quota[zone] < len(f.zones[zone]) {
				quota[zone]++
				left--
				given = true
			}
		}
	}
	quota[workerZone] += min(left, len(f.zones[workerZone])-near)
	return quota
}
