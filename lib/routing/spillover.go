package routing

import "time"

// Spillover decides which part of the requests of a table may leave the entry's zone.
type Spillover interface {
	// Part returns the part of the requests that leave whatever their scores; zero for distance alone.
	Part(now time.Time) float64
}

// bestOf is the number of endpoints of which the least expected wait is taken: a request goes to one of the better endpoints.
const bestOf = 4

// ZoneWaits is what requests to a model or service are expected to find in the entry's zone and in the others, by the
// endpoints that may get requests and whose load is known.
type ZoneWaits struct {
	// Near and Far are the expected times to the first byte in the entry's zone and in the best of the others. The way is not
	// part of them.
	Near, Far time.Duration
	// Load counts the requests of the entry's zone, and Free the free places in the others.
	Load, Free float64
	// Known is false if the load is known in one of both only, or in none.
	Known bool
}

// zoneWait sums up the endpoints of one zone.
type zoneWait struct {
	zone   string
	isNear bool
	// count is the number of endpoints, and least the least wait of the current group of them.
	count int
	least time.Duration
	// sum is that of the least waits of complete groups.
	sum    time.Duration
	groups int
}

func (w *zoneWait) add(wait time.Duration) {
	if w.count%bestOf == 0 || wait < w.least {
		w.least = wait
	}
	w.count++
	if w.count%bestOf == 0 {
		w.sum += w.least
		w.groups++
	}
}

// mean returns the mean of the least waits. A last group that is not complete counts if it is the only one.
func (w *zoneWait) mean() time.Duration {
	if w.groups == 0 {
		return w.least
	}
	return w.sum / time.Duration(w.groups)
}

// SetSpillover sets what decides on requests that leave the entry's zone; nil for distance alone.
func (t *Table) SetSpillover(s Spillover) { t.spillover = s }

// ZoneWaits returns what requests to a model or service with a prompt of some tokens are expected to find. It asks up to
// maxAsked endpoints of each zone.
func (t *Table) ZoneWaits(model, service string, promptTokens int64, now time.Time) ZoneWaits {
	p := t.pools[poolKey{model: model, service: service}]
	if p == nil {
		return ZoneWaits{}
	}
	var near, far sideLoad
	var zones []zoneWait
	elapsed := t.elapsed(now)
	for i := range p.members {
		e := p.members[i].endpoint
		if e.impaired() || e.limit <= 0 || (e.sendUntil != 0 && elapsed >= e.sendUntil) || e.source == nil {
			continue
		}
		side := &far
		if e.distance == sameZone {
			side = &near
		}
		side.count++
		if !e.source.Known(now) {
			continue
		}
		side.known++
		load := float64(e.ownAttempts) + e.othersLoad
		side.load += load
		side.free += max(e.capacity()-load, 0)
		zone := zoneIn(&zones, e)
		if zone.count < maxAsked {
			zone.add(e.source.FirstByte(promptTokens, now))
		}
	}
	if near.known == 0 || far.known == 0 {
		return ZoneWaits{}
	}
	waits := ZoneWaits{Near: -1, Far: -1, Load: near.ofAll(near.load), Free: far.ofAll(far.free), Known: true}
	for i := range zones {
		wait := zones[i].mean()
		switch {
		case zones[i].isNear:
			waits.Near = wait
		case waits.Far < 0 || wait < waits.Far:
			waits.Far = wait
		}
	}
	return waits
}

// sideLoad sums up the endpoints of the entry's zone, or those of all others. An entry gets the reports of a part of them.
type sideLoad struct {
	count, known int
	load, free   float64
}

// ofAll returns what a sum over the endpoints whose load is known is for all.
func (s *sideLoad) ofAll(sum float64) float64 { return sum * float64(s.count) / float64(s.known) }

// zoneIn returns the zone of an endpoint in a list, to which it is added where missing.
func zoneIn(zones *[]zoneWait, e *endpoint) *zoneWait {
	for i := range *zones {
		if (*zones)[i].zone == e.zone {
			return &(*zones)[i]
		}
	}
	*zones = append(*zones, zoneWait{zone: e.zone, isNear: e.distance == sameZone})
	return &(*zones)[len(*zones)-1]
}

// leavesZone draws whether a request leaves the zone, so that the requests of all entries that see the same figures are spread.
func (t *Table) leavesZone(q *query) bool {
	if t.spillover == nil || q.sourced == 0 || q.request.Aim <= 0 {
		return false
	}
	part := t.spillover.Part(q.now)
	return part > 0 && t.rng.Float64() < part
}
