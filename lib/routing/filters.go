package routing

import "slices"

// Filter names a filter; the name states the condition that removes an endpoint.
type Filter string

// Filters in the order of their application.
const (
	FilterZoneOut  Filter = "zone_out_of_service"
	FilterDead     Filter = "dead"
	FilterLeaving  Filter = "leaving"
	FilterVersion  Filter = "other_version"
	FilterAdapter  Filter = "adapter_not_loaded"
	FilterNotOwner Filter = "not_shard_owner"
	FilterEjected  Filter = "ejected"
	FilterTried    Filter = "already_tried"
	FilterNoRoom   Filter = "no_room"
	FilterSuspect  Filter = "suspect"
)

// filter removes candidates. A filter that is not active for a request costs nothing.
type filter struct {
	name   Filter
	active func(*query) bool
	keep   func(*query, *candidate) bool
}

// hardFilters remove endpoints that must not receive the request whatever the state
// of the others is.
var hardFilters = []filter{
	{FilterZoneOut, always, zoneInService},
	{FilterDead, always, notDead},
	{FilterLeaving, always, notLeaving},
	{FilterVersion, versionRequired, servesVersion},
	{FilterAdapter, adapterRequired, hasAdapter},
}

// ownerFilter leaves only the owner of the request's journal shard.
var ownerFilter = filter{FilterNotOwner, ownerRequired, isOwner}

// ejectedFilter applies while at least one endpoint is not ejected.
var ejectedFilter = filter{FilterEjected, always, notEjected}

// roomFilters remove endpoints that cannot take this attempt now.
var roomFilters = []filter{
	{FilterTried, triedBefore, notTried},
	{FilterNoRoom, always, hasRoom},
}

// suspectFilter applies while at least one endpoint is not suspect.
var suspectFilter = filter{FilterSuspect, always, notSuspect}

func always(*query) bool            { return true }
func versionRequired(q *query) bool { return q.request.VersionDigest != "" }
func adapterRequired(q *query) bool { return q.request.Adapter != "" }
func ownerRequired(q *query) bool   { return q.request.OwnerOnly }
func triedBefore(q *query) bool     { return len(q.request.Tried) > 0 }

func zoneInService(_ *query, c *candidate) bool { return !c.endpoint.zoneOut }
func notDead(_ *query, c *candidate) bool       { return c.endpoint.liveness != Dead }
func notLeaving(_ *query, c *candidate) bool    { return !c.endpoint.leaving }
func notEjected(_ *query, c *candidate) bool    { return !c.endpoint.health.ejected }
func notSuspect(_ *query, c *candidate) bool    { return c.endpoint.liveness != Suspect }

func servesVersion(q *query, c *candidate) bool {
	return c.digest == q.request.VersionDigest
}

func hasAdapter(q *query, c *candidate) bool {
	return slices.Contains(c.endpoint.adapters, q.request.Adapter)
}

func isOwner(q *query, c *candidate) bool {
	return c.endpoint.vm == q.request.PreferredVM
}

func notTried(q *query, c *candidate) bool {
	return !slices.Contains(q.request.Tried, c.endpoint.vm)
}

// hasRoom counts the queue of a warm endpoint as room. A cold endpoint's limit grows
// slowly, so its queue would hold requests past their deadlines.
func hasRoom(q *query, c *candidate) bool {
	room := c.endpoint.capacity()
	if !c.endpoint.cold {
		room += q.queueLength
	}
	return c.load+1 <= room
}
