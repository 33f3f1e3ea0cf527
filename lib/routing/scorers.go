package routing

import "math"

const (
	// tokenWeight is the share of the own load that is measured in tokens. Counting
	// only tokens would make the load as wrong as the estimates of the tokens.
	tokenWeight = 0.25
	// Penalties and bonuses are multiples of the mean score, so that they mean the
	// same at any load.
	otherZonePenalty   = 0.25
	otherRegionPenalty = 1.0
	// minDistancePenalty exceeds bestMargin, so that idle endpoints are chosen by distance.
	// A penalty equal to bestMargin would mix the effects of distance and of stale loads.
	minDistancePenalty = 3 * bestMargin
	failurePenalty     = 1.0
	// spilloverPenalty is that of the zone that a request leaves. No expected time outweighs it; a much fuller zone does.
	spilloverPenalty = maxPenalty
	limitBonus       = 0.5
	// roundingSlack keeps a floating-point error from rounding up to one more request.
	roundingSlack = 1e-9
)

// scorer adds one signal to the scores of all candidates; lower is better.
type scorer func(*query)

// scorers run in this order: the first two measure the load, and the mean load score is
// the unit of the others.
var scorers = []scorer{scoreTokens, scoreInFlight, scoreFailures, scoreDistance, scoreUnassigned, scoreLimited, scorePrefix, scoreExpected}

// score fills the scores of all candidates.
func (t *Table) score(q *query) {
	q.summarise()
	q.matched = t.prefixes.match(q)
	q.leaves = t.leavesZone(q)
	for _, add := range scorers {
		add(q)
	}
}

// summarise computes the sums and means that the scorers use.
func (q *query) summarise() {
	var tokens int64
	var own, load, capacity float64
	for i := range q.candidates {
		c := &q.candidates[i]
		own += c.own
		tokens += c.endpoint.ownTokens
		load += c.load
		capacity += c.capacity
	}
	q.totalLoad = load
	q.ownShare = 1
	if load > 0 {
		q.ownShare = own / load
	}
	q.totalCapacity = capacity
	q.meanCapacity = capacity / float64(len(q.candidates))
	q.meanTokens = 0
	if own > 0 {
		q.meanTokens = float64(tokens) / own
	}
}

// scoreInFlight adds the own in-flight load plus the entry's share of the load of the
// others, and relates the sum to the limit. The request itself counts as one whatever
// the limit, so that an idle cold endpoint is as good as an idle warm one. All entries see
// the same imbalance of the others' load, with a delay; if each corrected all of it, the
// corrections together would overshoot.
func scoreInFlight(q *query) {
	sum := 0.0
	for i := range q.candidates {
		c := &q.candidates[i]
		c.score = (c.score+c.own+q.ownShare*c.others)*q.meanCapacity/c.capacity + 1
		c.loadScore = c.score
		sum += c.score
	}
	q.meanScore = sum / float64(len(q.candidates))
}

// scoreTokens corrects the own load for requests that are larger or smaller than the
// mean request.
func scoreTokens(q *query) {
	if q.meanTokens == 0 {
		return
	}
	perToken := tokenWeight / q.meanTokens
	for i := range q.candidates {
		c := &q.candidates[i]
		c.score += perToken*float64(c.endpoint.ownTokens) - tokenWeight*c.own
	}
}

// scoreFailures penalises an endpoint from its first failure on, before ejection. A
// failing endpoint responds fast and would otherwise appear idle.
func scoreFailures(q *query) {
	if q.failing == 0 {
		return
	}
	for i := range q.candidates {
		c := &q.candidates[i]
		h := &c.endpoint.health
		if h.consecutive > 0 && q.now.Sub(h.lastFailure) <= failureWindow {
			c.score += failurePenalty * float64(h.consecutive) * q.meanScore
		}
	}
}

// scoreDistance prefers the entry's zone, then its region. A request that leaves the zone goes back only if there is no room
// elsewhere, or a much fuller one.
func scoreDistance(q *query) {
	penalty := [...]float64{
		sameZone:    0,
		sameRegion:  max(otherZonePenalty*q.meanScore, minDistancePenalty),
		otherRegion: max(otherRegionPenalty*q.meanScore, 2*minDistancePenalty),
	}
	if q.leaves {
		penalty[sameZone] = penalty[otherRegion] + spilloverPenalty
	}
	for i := range q.candidates {
		c := &q.candidates[i]
		c.score += penalty[c.endpoint.distance]
	}
}

// scoreLimited prefers the endpoints whose stated limit allows a request of this entry. Only few
// entries may send to them, so that they would otherwise get less than their limit.
func scoreLimited(q *query) {
	if q.limited == 0 {
		return
	}
	bonus := max(limitBonus*q.meanScore, minDistancePenalty)
	for i := range q.candidates {
		if l := q.candidates[i].endpoint.stated; l != nil && l.endedAt == 0 {
			q.candidates[i].score -= bonus
		}
	}
}

// scorePrefix prefers endpoints that hold the prompt's prefix in their cache, as long as
// they exceed the best alternative by less than the bound allows.
func scorePrefix(q *query) {
	if !q.matched {
		return
	}
	for i := range q.candidates {
		c := &q.candidates[i]
		if c.hasAffinity(q) {
			c.score -= (q.bound - 1) * c.endpoint.affinity * q.meanScore
		}
	}
}

// hasAffinity reports whether the endpoint holds a prefix of the prompt and stays
// within the bound with one more request. The bound is rounded up to whole requests,
// since with a mean load below one request no choice is within it. The estimated load is
// stale and the same for all entries, so the entry's own part of the load must be within
// the bound as well.
func (c *candidate) hasAffinity(q *query) bool {
	if !q.matched || c.endpoint.affinityIn != q.id || c.loadScore > q.bound*q.meanScore {
		return false
	}
	share := c.capacity / q.totalCapacity
	return c.load+1 <= math.Ceil(q.bound*(q.totalLoad+1)*share-roundingSlack)
}
