package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumgw/lib/senders"
)

// SetShare sets this entry's share of the requests to one endpoint in a second. It replaces
// Settings.ArrivalsPerSecond for the endpoint. It has no effect while
// Settings.ArrivalsPerSecond is zero.
func (t *Table) SetShare(vm string, share senders.Share) {
	if t.salt == 0 {
		t.salt = t.rng.Uint64()
	}
	if e := t.endpoints[vm]; e != nil {
		e.shared = true
		e.share = int32(share.PerSecond)
		e.unassignedProbability = share.UnassignedProbability
		e.senders = int32(share.Senders)
	}
}

// isUnassigned reports whether this entry is not an assigned sender of the endpoint.
func (e *endpoint) isUnassigned() bool { return e.shared && e.share == 0 }

// mayTakeArrival reports whether this entry's share of the requests to the endpoint in a second
// allows one more.
func (q *query) mayTakeArrival(e *endpoint) bool {
	switch {
	case !e.shared:
		return e.arrivals.count(q.elapsed) < q.maxArrivals
	case e.isUnassigned():
		return e.unassignedMaySend(q.elapsed, q.salt) && e.arrivals.count(q.elapsed) == 0
	}
	return e.arrivals.count(q.elapsed) < int(e.share)
}

// unassignedMaySend reports whether an unassigned sender may send in the second of a table
// time. Each entry draws independently, so that few unassigned senders send to an endpoint in
// the same second.
func (e *endpoint) unassignedMaySend(now time.Duration, salt uint64) bool {
	if e.unassignedProbability <= 0 {
		return false
	}
	second := uint64(now / time.Second)
	// The multipliers are the increment and the first multiplier of SplitMix64. They spread
	// consecutive seconds over all bits of the draw.
	draw := xxhash.Sum64String(e.vm) ^ salt ^ second*0x9E3779B97F4A7C15
	draw ^= draw >> 29
	draw *= 0xBF58476D1CE4E5B9
	draw ^= draw >> 32
	return float64(draw>>11)/(1<<53) < e.unassignedProbability
}

// scoreUnassigned prefers the endpoints of which this entry is an assigned sender: it receives
// their reports, and their bound includes a share for it.
func scoreUnassigned(q *query) {
	if q.shared == 0 {
		return
	}
	penalty := max(otherRegionPenalty*q.meanScore, 2*minDistancePenalty)
	for i := range q.candidates {
		if c := &q.candidates[i]; c.endpoint.isUnassigned() {
			c.score += penalty
		}
	}
}
