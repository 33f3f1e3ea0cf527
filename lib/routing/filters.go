package routing

import "slices"

// Filter is the name of a filter, which states the condition that removes an endpoint.
type Filter string

// Names of the filters. Pick states the order of application.
const (
	FilterZoneOutOfService Filter = "zone_out_of_service"
	FilterDead             Filter = "dead"
	FilterLeaving          Filter = "leaving"
	FilterVersion          Filter = "other_version"
	FilterAdapter          Filter = "adapter_not_loaded"
	FilterNotOwner         Filter = "not_shard_owner"
	FilterEjected          Filter = "ejected"
	FilterTried            Filter = "already_tried"
	FilterAcceptsNothing   Filter = "accepts_nothing"
	FilterNoCapacity       Filter = "no_room"
	FilterSuspect          Filter = "suspect"
	FilterRegion           Filter = "other_region"
	FilterArrivals         Filter = "arrivals_used_up"
	FilterClosing          Filter = "closes_too_soon"
	FilterPaused           Filter = "asked_for_a_pause"
	FilterLimit            Filter = "limit_used_up"
	FilterPrompts          Filter = "prompts_waiting"
	FilterSlots            Filter = "places_used_up"
	FilterLateStart        Filter = "begins_too_late"
	FilterMemory           Filter = "memory_used_up"
)

// filter removes candidates.
type filter struct {
	name Filter
	keep func(*query, *endpoint, *candidate) bool
}

// stateFilters remove endpoints that must not receive any request. They are evaluated
// only for endpoints whose state is impaired.
var stateFilters = []filter{
	{FilterZoneOutOfService, zoneInService},
	{FilterDead, notDead},
	{FilterLeaving, notLeaving},
}

// The other filters apply when the request or the state of the pool needs them.
var (
	adapterFilter = filter{FilterAdapter, hasAdapter}
	// ownerFilter leaves only the owner of the request's journal shard.
	ownerFilter = filter{FilterNotOwner, isOwner}
	// ejectedFilter applies while at least one endpoint is not ejected.
	ejectedFilter = filter{FilterEjected, notEjected}
	triedFilter   = filter{FilterTried, notTried}
	// acceptsFilter removes endpoints that accept nothing, whatever their load, as while they load weights.
	acceptsFilter  = filter{FilterAcceptsNothing, acceptsAny}
	capacityFilter = filter{FilterNoCapacity, hasCapacity}
	// regionFilter leaves the regions that may run the request.
	regionFilter = filter{FilterRegion, inRegion}
	// memoryFilter removes endpoints that have no memory for the request.
	memoryFilter = filter{FilterMemory, hasMemory}
	// closingFilter removes endpoints that stop serving before the request is expected to end.
	closingFilter = filter{FilterClosing, endsBeforeClosing}
	// promptFilter removes endpoints that have too many prompt tokens of this entry to read.
	promptFilter = filter{FilterPrompts, promptTokensFit}
	// slotFilter enforces this entry's part of the free capacity that was reported last.
	slotFilter = filter{FilterSlots, hasFreeSlot}
	// suspectFilter applies while at least one endpoint is not suspect.
	suspectFilter = filter{FilterSuspect, notSuspect}
)

func zoneInService(_ *query, e *endpoint, _ *candidate) bool { return !e.zoneOutOfService }
func notDead(_ *query, e *endpoint, _ *candidate) bool       { return e.liveness != Dead }
func notLeaving(_ *query, e *endpoint, _ *candidate) bool    { return !e.leaving }
func notEjected(_ *query, e *endpoint, _ *candidate) bool    { return !e.health.ejected }
func notSuspect(_ *query, e *endpoint, _ *candidate) bool    { return e.liveness != Suspect }
func notTried(q *query, e *endpoint, _ *candidate) bool      { return e.triedIn != q.id }

func acceptsAny(_ *query, e *endpoint, _ *candidate) bool { return e.limit > 0 }

func inRegion(q *query, e *endpoint, _ *candidate) bool {
	return q.inRegion[e.regionIndex]
}

func hasMemory(q *query, e *endpoint, _ *candidate) bool { return q.request.HasRoom(e.vm) }

func endsBeforeClosing(q *query, e *endpoint, _ *candidate) bool {
	return e.closesAt == 0 || q.elapsed+q.request.Duration <= e.closesAt || q.elapsed >= e.closesUntil
}

func hasAdapter(q *query, e *endpoint, _ *candidate) bool {
	return slices.Contains(e.adapters, q.request.Adapter)
}

func isOwner(q *query, e *endpoint, _ *candidate) bool {
	return e.vm == q.request.PreferredVM
}

// openPart is the part of a queue that requests may take which leave its last places to others.
const openPart = 0.5

// hasCapacity counts the queue of a warm endpoint as free capacity. A cold endpoint's limit
// grows slowly, so its queue would hold requests past their deadlines.
func hasCapacity(q *query, e *endpoint, c *candidate) bool {
	if !acceptsAny(q, e, c) {
		return false
	}
	capacity := c.capacity
	if !e.cold {
		capacity += q.queueLength
	}
	return c.load+1 <= capacity
}
