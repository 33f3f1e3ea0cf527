package routing

import "math"

const (
	// contentionThreshold is the part of the places up to which those taken leave room for all entries.
	contentionThreshold = 0.5
	// occupancySmoothing is the weight of one report in the average of the places taken. An entry
	// hears 50 to 200 reports a second.
	occupancySmoothing = 0.05
)

// ShareFreeCapacity gives this entry its part of the room that the last report of an endpoint has
// shown. The report reaches all entries that send to the endpoint, and each sees the same
// places free; if each took one, the endpoint would get as many requests as it has senders.
// The parts are drawn, so that they sum up to the room on average.
func (t *Table) ShareFreeCapacity(vm string) {
	e := t.endpoints[vm]
	if e == nil || e.limit <= 0 {
		return
	}
	taken := min(e.reportedLoad/e.capacity(), 1)
	t.occupancy += occupancySmoothing * (taken - t.occupancy)
	room := max(e.capacity()+float64(t.settings.QueueLength)-e.reportedLoad, 0)
	if t.settings.FreeCapacityLimit > 0 {
		room = min(room, t.settings.FreeCapacityLimit)
	}
	part := room / t.competitors(e)
	whole := math.Floor(part)
	e.freeSlots = int32(whole)
	if t.rng.Float64() < part-whole {
		e.freeSlots++
	}
	e.freeSlotsKnown = true
}

// competitors estimates how many of the entries that send to an endpoint would take a place
// that is free: this one alone while half of all places are free, and all of them once none
// is.
func (t *Table) competitors(e *endpoint) float64 {
	senders := t.settings.Senders
	if e.shared && e.senders > 0 {
		senders = int(e.senders)
	}
	return 1 + float64(max(senders, 1)-1)*max(t.occupancy-contentionThreshold, 0)/(1-contentionThreshold)
}

// hasFreeSlot holds this entry's part of the room that was reported last.
func hasFreeSlot(_ *query, e *endpoint, _ *candidate) bool {
	return !e.freeSlotsKnown || e.freeSlots > 0
}
