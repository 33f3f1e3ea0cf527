package routing

import (
	"math"
	"time"
)

const (
	// contentionThreshold is the mean occupancy of the slots up to which an entry does not
	// count the other entries as competitors for free ones.
	contentionThreshold = 0.5
	// occupancySmoothing is the weight of one report in the average occupancy. An entry
	// receives 50 to 200 reports a second.
	occupancySmoothing = 0.05
)

// ShareFreeCapacity computes this entry's part of the free capacity in the last report of an
// endpoint. The report reaches all entries that send to the endpoint, and each sees the same
// free slots; if each took one, the endpoint would get as many requests as it has senders.
// The part is rounded at random, so that the parts of all entries are right on average.
func (t *Table) ShareFreeCapacity(vm string, now time.Time) {
	e := t.endpoints[vm]
	if e == nil || e.limit <= 0 {
		return
	}
	occupancy := min(e.reportedLoad/e.capacity(), 1)
	t.occupancy += occupancySmoothing * (occupancy - t.occupancy)
	free := max(e.capacity()+float64(t.settings.QueueLength)-e.reportedLoad, 0)
	if t.settings.FreeCapacityLimit > 0 {
		free = min(free, t.settings.FreeCapacityLimit)
	}
	part := free / t.competitors(e)
	whole := math.Floor(part)
	e.freeSlots = int32(whole)
	if t.rng.Float64() < part-whole {
		e.freeSlots++
	}
	e.freeSlotsKnown = true
	e.freeSlotsAt = t.elapsed(now)
}

// competitors estimates how many of the entries that send to an endpoint would take a free
// slot: this one alone while at least half of the slots of the endpoints are free on average,
// all of them when none is, and in between a number that grows with the occupancy.
func (t *Table) competitors(e *endpoint) float64 {
	senders := t.settings.Senders
	if e.shared && e.senders > 0 {
		senders = int(e.senders)
	}
	return 1 + float64(max(senders, 1)-1)*max(t.occupancy-contentionThreshold, 0)/(1-contentionThreshold)
}

// hasFreeSlot reports whether this entry's part of the free capacity that was reported last
// allows one more request. Without further reports nothing renews a part that is used up, although the requests end.
func hasFreeSlot(q *query, e *endpoint, _ *candidate) bool {
	return !e.freeSlotsKnown || e.freeSlots > 0 || q.elapsed-e.freeSlotsAt >= maxLoadAge
}
