package routing

import (
	"slices"
	"time"
)

// candidate is one endpoint during a decision. It fills one cache line.
type candidate struct {
	endpoint *endpoint
	// own counts this entry's running attempts.
	own float64
	// load estimates the requests on the endpoint.
	load float64
	// others is the average of the load that other entries cause.
	others float64
	// capacity is the endpoint's limit, at least one.
	capacity float64
	// loadScore is the score of the load alone.
	loadScore float64
	// score orders the candidates; lower is better.
	score float64
}

// query holds the state of one decision. The table reuses it, so that a decision
// allocates nothing.
type query struct {
	id      uint64
	request *Request
	now     time.Time
	elapsed time.Duration
	bound   float64
	// maxArrivals is the limit of requests to one endpoint in a second; zero for none.
	maxArrivals int
	salt        uint64
	// maxWaitingPromptTokens is the limit of prompt tokens that wait at one endpoint.
	maxWaitingPromptTokens int64
	queueLength            float64
	members                []member
	candidates             []candidate
	counts                 FilterCounts
	detail                 []Candidate
	// asked is set for the candidates whose expected wait is part of the score.
	asked []bool
	// inRegion is set for the regions of the table that may run the request.
	inRegion []bool
	// near holds the indices of the candidates with a score near the best one.
	near []int
	// onlyLimited names the endpoints to which only the limit that they have stated allows no
	// request.
	onlyLimited []string
	// suspect, ejected, failing, closing, paused and limited count the candidates in these states,
	// and full those that may have no free capacity. A filter or scorer that concerns none is
	// skipped.
	suspect int
	ejected int
	failing int
	full    int
	closing int
	paused  int
	limited int
	// sourced counts the candidates with a source of their load, and shared those of which the senders share a bound.
	sourced int
	shared  int
	// leaves is set if the request leaves the entry's zone.
	leaves bool

	// Sums and means over the candidates that are scored.
	totalLoad     float64
	ownShare      float64
	totalCapacity float64
	meanCapacity  float64
	meanTokens    float64
	meanScore     float64
	matched       bool
}

// begin makes candidates of the pool's endpoints that pass the state filters and serve
// the required version.
func (q *query) begin(t *Table, r *Request, p *pool, now time.Time) {
	q.id++
	q.request = r
	q.now = now
	q.elapsed = t.elapsed(now)
	q.bound = t.settings.AffinityBound
	q.maxArrivals = t.settings.ArrivalsPerSecond
	q.salt = t.salt
	q.maxWaitingPromptTokens = t.settings.MaxWaitingPromptTokens
	q.queueLength = float64(t.settings.QueueLength)
	if r.LeavesPlaces {
		q.queueLength *= openPart
	}
	q.members = nil
	q.candidates = q.candidates[:0]
	q.counts = FilterCounts{}
	q.detail = nil
	q.suspect = 0
	q.ejected = 0
	q.failing = 0
	q.full = 0
	q.closing = 0
	q.paused = 0
	q.limited = 0
	q.sourced = 0
	q.shared = 0
	q.onlyLimited = nil
	q.matched = false
	if p == nil {
		return
	}
	q.addMembers(p.members, q.elapsed)
}

func (q *query) addMembers(members []member, now time.Duration) {
	q.members = members
	q.candidates = slices.Grow(q.candidates, len(members))[:len(members)]
	version := q.request.VersionDigest
	n, current := 0, 0
	sum := 0.0
	for i := range members {
		e := members[i].endpoint
		if e.impaired() && !q.passesState(e) {
			continue
		}
		if version != "" && members[i].digest != version {
			q.recordRemoval(FilterVersion, e)
			continue
		}
		if e.sendUntil != 0 && now >= e.sendUntil {
			q.recordRemoval(FilterLateStart, e)
			continue
		}
		if e.current(now) {
			sum += e.othersLoad
			current++
		}
		if e.health.consecutive > 0 {
			q.failing++
		}
		if e.closesAt != 0 {
			q.closing++
		}
		if e.pausedUntil != 0 {
			q.paused++
		}
		if e.source != nil {
			q.sourced++
		}
		if e.shared {
			q.shared++
		}
		if e.stated != nil {
			q.limited++
			if e.stated.returned(now) {
				e.stated = nil
			}
		}
		// The fields are written in place; appending a literal copies it twice.
		c := &q.candidates[n]
		n++
		c.endpoint = e
		c.own = float64(e.ownAttempts)
		c.load = c.own + e.othersLoad
		c.others = e.othersLoadAverage
		c.capacity = e.capacity()
		c.score = 0
		if !hasCapacity(q, e, c) {
			q.full++
		}
	}
	q.candidates = q.candidates[:n]
	if current < n {
		q.raiseStaleLoads(now, sum/float64(max(current, 1)))
	}
}

// raiseStaleLoads raises the load of endpoints without a current observation to at least
// the mean of the others, so that an endpoint attracts no requests because its reports stop.
func (q *query) raiseStaleLoads(now time.Duration, mean float64) {
	for i := range q.candidates {
		c := &q.candidates[i]
		if c.endpoint.current(now) {
			continue
		}
		c.load = c.own + max(c.endpoint.othersLoad, mean)
		c.others = max(c.others, mean)
		q.full++
	}
}

func (q *query) passesState(e *endpoint) bool {
	for i := range stateFilters {
		f := &stateFilters[i]
		if !f.keep(q, e, nil) {
			q.recordRemoval(f.name, e)
			return false
		}
	}
	if e.liveness == Suspect {
		q.suspect++
	}
	if e.health.ejected {
		q.ejected++
	}
	return true
}

// apply removes the candidates that a filter does not keep. The last candidate takes
// the place of a removed one, because few are removed and copies are expensive.
func (q *query) apply(f *filter) {
	last := len(q.candidates) - 1
	for i := 0; i <= last; {
		c := &q.candidates[i]
		if f.keep(q, c.endpoint, c) {
			i++
			continue
		}
		q.recordRemoval(f.name, c.endpoint)
		*c = q.candidates[last]
		last--
	}
	q.candidates = q.candidates[:last+1]
}

// applyUnlessLast applies a filter unless it would remove every candidate. It
// reports whether the filter applied.
func (q *query) applyUnlessLast(f *filter) bool {
	for i := range q.candidates {
		c := &q.candidates[i]
		if f.keep(q, c.endpoint, c) {
			q.apply(f)
			return true
		}
	}
	return len(q.candidates) == 0
}

func (q *query) recordRemoval(by Filter, e *endpoint) {
	q.counts.add(by)
	if q.request.Detail {
		q.detail = append(q.detail, Candidate{VM: e.vm, Zone: e.zone, FilteredBy: by})
	}
}

// excludesRegions finds out which of all regions may run the request. It reports whether one may not.
func (q *query) excludesRegions(regions []string) bool {
	q.inRegion = q.inRegion[:0]
	for _, region := range regions {
		q.inRegion = append(q.inRegion, slices.Contains(q.request.Regions, region))
	}
	return slices.Contains(q.inRegion, false)
}

// find returns the index of the candidate of an endpoint, or -1.
func (q *query) find(e *endpoint) int {
	for i := range q.candidates {
		if q.candidates[i].endpoint == e {
			return i
		}
	}
	return -1
}

// findProbe returns the index of an ejected endpoint that is due for a probe, or -1.
// Retries do not probe, because their remaining time is short.
func (q *query) findProbe() int {
	if q.ejected == 0 {
		return -1
	}
	if q.request.Attempt > 1 || len(q.request.TriedVMs) > 0 || q.request.VersionDigest != "" {
		return -1
	}
	for i := range q.candidates {
		e := q.candidates[i].endpoint
		if e.liveness == Alive && e.health.probeDue(q.request.Idempotent, q.now) {
			return i
		}
	}
	return -1
}

func (q *query) decide(t *Table, i int, reason Reason) Decision {
	c := &q.candidates[i]
	d := Decision{
		RequestID:     q.request.ID,
		Attempt:       q.request.Attempt,
		VM:            c.endpoint.vm,
		Address:       c.endpoint.address,
		Zone:          c.endpoint.zone,
		VersionDigest: q.digest(c.endpoint),
		Reason:        reason,
		Policy:        t.settings.Policy,
		Score:         c.score,
		Load:          c.load,
		EligibleCount: len(q.candidates),
		PoolSize:      len(q.members),
	}
	if q.request.Detail {
		d.Candidates = q.details()
	}
	return d
}

// digest returns the version digest that an endpoint serves.
func (q *query) digest(e *endpoint) string {
	for i := range q.members {
		if q.members[i].endpoint == e {
			return q.members[i].digest
		}
	}
	return ""
}

func (q *query) details() []Candidate {
	for i := range q.candidates {
		c := &q.candidates[i]
		q.detail = append(q.detail, Candidate{VM: c.endpoint.vm, Zone: c.endpoint.zone, Score: c.score})
	}
	return q.detail
}
