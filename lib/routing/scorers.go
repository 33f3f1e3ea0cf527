package routing

import "math"

const (
	// tokenWeight is the share of the own load that is measured in tokens. Counting
	// only tokens would follow errors of the estimate.
	tokenWeight = 0.25
	// Penalties and bonuses are multiples of the mean score, so that they mean the
	// same at any load.
	otherZonePenalty   = 0.05
	otherRegionPenalty = 0.5
	failurePenalty     = 1.0
	prefixBonus        = 2.0
	// roundingSlack keeps a floating-point error from rounding up to one more request.
	roundingSlack = 1e-9
)

// scorer adds one signal to the score of a candidate; lower is better.
type scorer struct {
	active func(*query) bool
	score  func(*query, *candidate) float64
}

// loadScorers run first; the mean of their sum is the unit of signalScorers.
var loadScorers = []scorer{
	{always, inFlightScore},
	{tokensKnown, tokenScore},
}

var signalScorers = []scorer{
	{always, failureScore},
	{always, localityScore},
	{prefixMatched, prefixScore},
}

func tokensKnown(q *query) bool   { return q.meanTokens > 0 }
func prefixMatched(q *query) bool { return q.matched }

// score fills the scores of all candidates.
func (t *Table) score(q *query) {
	q.summarise()
	q.matched = t.prefixes.match(q)
	q.run(loadScorers)
	sum := 0.0
	for i := range q.candidates {
		sum += q.candidates[i].score
	}
	q.meanScore = sum / float64(len(q.candidates))
	q.run(signalScorers)
}

func (q *query) run(scorers []scorer) {
	for i := range scorers {
		s := &scorers[i]
		if !s.active(q) {
			continue
		}
		for j := range q.candidates {
			c := &q.candidates[j]
			c.score += s.score(q, c)
		}
	}
}

// summarise computes the sums and means that the scorers use.
func (q *query) summarise() {
	var own, tokens, load, capacity float64
	for i := range q.candidates {
		c := &q.candidates[i]
		own += float64(c.endpoint.own)
		tokens += float64(c.endpoint.ownTokens)
		load += c.load
		capacity += c.endpoint.capacity()
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
		q.meanTokens = tokens / own
	}
}

// inFlightScore is the own in-flight load plus the entry's share of the load of the
// others, relative to the limit. All entries see the same imbalance of the others'
// load, late; if each corrected all of it, the sum would overshoot.
func inFlightScore(q *query, c *candidate) float64 {
	own := float64(c.endpoint.own)
	return (own + q.ownShare*c.others + 1) * q.meanCapacity / c.endpoint.capacity()
}

// tokenScore corrects the own load for requests that are larger or smaller than the
// mean request.
func tokenScore(q *query, c *candidate) float64 {
	work := float64(c.endpoint.ownTokens)/q.meanTokens - float64(c.endpoint.own)
	return tokenWeight * work * q.meanCapacity / c.endpoint.capacity()
}

// failureScore avoids an endpoint from its first failure on, before ejection. A
// failing endpoint answers fast and would otherwise look idle.
func failureScore(q *query, c *candidate) float64 {
	h := &c.endpoint.health
	if h.consecutive == 0 || q.now.Sub(h.lastFailure) > failureWindow {
		return 0
	}
	return failurePenalty * float64(h.consecutive) * q.meanScore
}

// localityScore prefers the entry's zone, then its region.
func localityScore(q *query, c *candidate) float64 {
	switch {
	case c.endpoint.zone == q.zone:
		return 0
	case c.endpoint.region == q.region:
		return otherZonePenalty * q.meanScore
	}
	return otherRegionPenalty * q.meanScore
}

// prefixScore prefers endpoints that hold the prompt's prefix in their cache.
func prefixScore(q *query, c *candidate) float64 {
	if !c.hasAffinity(q) {
		return 0
	}
	return -prefixBonus * c.endpoint.affinity * q.meanScore
}

// hasAffinity reports whether the endpoint holds a prefix of the prompt and stays
// within the bound with one more request. The bound is rounded up to whole requests,
// since below one request for each endpoint no choice is within it.
func (c *candidate) hasAffinity(q *query) bool {
	if !q.matched || c.endpoint.affinityIn != q.id {
		return false
	}
	share := c.endpoint.capacity() / q.totalCapacity
	return c.load+1 <= math.Ceil(q.bound*(q.totalLoad+1)*share-roundingSlack)
}
