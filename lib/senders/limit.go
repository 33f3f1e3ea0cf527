package senders

import "slices"

const (
	// minLimitSenders is the number of senders that share a limit of one request in a second, and
	// sendersPerLimit the number of those that are added for each further one. Each sender may
	// send one request at once, so their number bounds the burst. The bound of cold workers
	// allows each entry of a large deployment one request in a second.
	minLimitSenders = 4
	sendersPerLimit = 0.75
	// lowLimitBurst is the number of requests that a sender of a limit below one may send at once.
	lowLimitBurst = 1.25
	// minTrialsPerSecond is the rate at which an endpoint whose limit is lower or zero is tried,
	// since only a response can end the limit.
	minTrialsPerSecond = 0.2
)

// LimitShare is the part of a worker's limit that one entry may use.
type LimitShare struct {
	// PerSecond is zero for an entry that may only use what a sender hands on to it.
	PerSecond float64
	// Burst is the number of requests that may be sent at once.
	Burst float64
	// Initial is the part of a request that is available when the limit begins. It differs
	// between the senders, so that they send one after the other.
	Initial float64
}

// LimitSenderCount returns the number of entries that share the limit of a worker. The senders of
// a low limit are few: each can always send one request at once, so with all entries of a large
// deployment the sum would exceed any low limit.
func LimitSenderCount(perSecond float64) int {
	if perSecond < 1 {
		return max(1, int(minLimitSenders*perSecond))
	}
	return minLimitSenders + int(sendersPerLimit*perSecond)
}

// LimitShareOf returns the part of an entry in the limit of a worker. With the same known fleet
// the parts of all entries sum up to the limit. Entries that know different fleets differ in few
// senders, see docs/design.md for the sum.
func (f Fleet) LimitShareOf(entry, worker, workerZone string, perSecond float64) LimitShare {
	size := min(LimitSenderCount(perSecond), f.total)
	sameZone, otherZones := f.AssignedSenders(worker, workerZone, size)
	at := slices.Index(slices.Concat(sameZone, otherZones), entry)
	if at < 0 {
		return LimitShare{}
	}
	burst := (minLimitSenders + sendersPerLimit*perSecond) / float64(size)
	if perSecond < 1 {
		burst = lowLimitBurst
	}
	return LimitShare{
		PerSecond: max(perSecond, minTrialsPerSecond) / float64(size),
		Burst:     burst,
		Initial:   float64(size-1-at) / float64(size),
	}
}
