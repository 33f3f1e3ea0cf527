package routing

import (
	"time"
)

// candidate is one endpoint during a decision.
type candidate struct {
	endpoint *endpoint
	digest   string
	// load estimates the requests on the endpoint.
	load float64
	// others is the smoothed load that other entries cause.
	others float64
	// score orders the candidates; lower is better.
	score float64
}

// query holds the state of one decision. The table reuses it, so that a decision
// allocates nothing.
type query struct {
	id          uint64
	request     *Request
	now         time.Time
	zone        string
	region      string
	bound       float64
	queueLength float64
	candidates  []candidate
	counts      FilterCounts
	poolSize    int
	detail      []Candidate

	// Sums and means over the candidates that are scored.
	totalLoad     float64
	ownShare      float64
	totalCapacity float64
	meanCapacity  float64
	meanTokens    float64
	meanScore     float64
	matched       bool
}

func (q *query) begin(t *Table, r *Request, p *pool, now time.Time) {
	q.id++
	q.request = r
	q.now = now
	q.zone = t.settings.Zone
	q.region = t.settings.Region
	q.bound = t.settings.AffinityBound
	q.queueLength = float64(t.settings.QueueLength)
	q.candidates = q.candidates[:0]
	q.counts = FilterCounts{}
	q.poolSize = 0
	q.detail = nil
	q.matched = false
	if p == nil {
		return
	}
	q.poolSize = len(p.members)
	mean := meanOthers(p)
	for i := range p.members {
		m := &p.members[i]
		latest, smooth := m.endpoint.othersAt(now, mean)
		q.candidates = append(q.candidates, candidate{
			endpoint: m.endpoint,
			digest:   m.digest,
			load:     float64(m.endpoint.own) + latest,
			others:   smooth,
		})
	}
}

// meanOthers returns the mean load that other entries cause on available endpoints.
func meanOthers(p *pool) float64 {
	sum, n := 0.0, 0
	for i := range p.members {
		e := p.members[i].endpoint
		if e.othersKnown && e.available() {
			sum += e.others
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (q *query) applyAll(filters []filter) {
	for i := range filters {
		q.apply(&filters[i])
	}
}

func (q *query) apply(f *filter) {
	if !f.active(q) {
		return
	}
	kept := 0
	for i := range q.candidates {
		c := &q.candidates[i]
		if !f.keep(q, c) {
			q.removed(f.name, c)
			continue
		}
		if kept != i {
			q.candidates[kept] = *c
		}
		kept++
	}
	q.counts.add(f.name, len(q.candidates)-kept)
	q.candidates = q.candidates[:kept]
}

// applyUnlessLast applies a filter unless it would remove every candidate. It
// reports whether the filter applied.
func (q *query) applyUnlessLast(f *filter) bool {
	for i := range q.candidates {
		if f.keep(q, &q.candidates[i]) {
			q.apply(f)
			return true
		}
	}
	return len(q.candidates) == 0
}

func (q *query) removed(by Filter, c *candidate) {
	if !q.request.Detail {
		return
	}
	q.detail = append(q.detail, Candidate{VM: c.endpoint.vm, Zone: c.endpoint.zone, FilteredBy: by})
}

// find returns the index of the candidate on a VM, or -1.
func (q *query) find(vm string) int {
	for i := range q.candidates {
		if q.candidates[i].endpoint.vm == vm {
			return i
		}
	}
	return -1
}

// findProbe returns the index of an ejected endpoint that is due for a probe, or -1.
// Retries do not probe, because their remaining time is short.
func (q *query) findProbe() int {
	if q.request.Attempt > 1 || len(q.request.Tried) > 0 || q.request.VersionDigest != "" {
		return -1
	}
	for i := range q.candidates {
		e := q.candidates[i].endpoint
		if e.health.ejected && e.health.probeDue(q.request.Idempotent, q.now) {
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
		VersionDigest: c.digest,
		Reason:        reason,
		Policy:        t.settings.Policy,
		Score:         c.score,
		Load:          c.load,
		Eligible:      len(q.candidates),
		Pool:          q.poolSize,
	}
	if q.request.Detail {
		d.Candidates = q.details()
	}
	return d
}

func (q *query) details() []Candidate {
	for i := range q.candidates {
		c := &q.candidates[i]
		q.detail = append(q.detail, Candidate{VM: c.endpoint.vm, Zone: c.endpoint.zone, Score: c.score})
	}
	return q.detail
}
