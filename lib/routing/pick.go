package routing

import (
	"slices"
	"time"
)

// Pick chooses an endpoint for one attempt. It changes no endpoint state; the caller
// reports the attempt with AttemptSent. The error is an *errkind.Error of kind NotRun
// with RetryAfter that wraps a *NoEndpointError; it describes this attempt only.
func (t *Table) Pick(r *Request, now time.Time) (Decision, error) {
	q := &t.query
	p := t.pools[poolKey{model: r.Model, service: r.Service}]
	q.begin(t, r, p, now)
	if r.Regions != nil && q.excludesRegions(t.regions) {
		q.apply(&regionFilter)
	}
	if r.HasRoom != nil {
		q.apply(&memoryFilter)
	}
	if q.closing > 0 {
		q.apply(&closingFilter)
	}
	if q.paused > 0 || q.limited > 0 || q.maxArrivals > 0 {
		q.applyBounds()
	}
	if r.Adapter != "" {
		q.apply(&adapterFilter)
	}
	if r.PreferredVM != "" {
		if i, reason := q.pickOwner(t.endpoints[r.PreferredVM]); i >= 0 {
			return q.decide(t, i, reason), nil
		}
	}
	if r.OwnerOnly {
		q.apply(&ownerFilter)
	}
	if i := q.findProbe(); i >= 0 {
		return q.decide(t, i, ReasonProbe), nil
	}
	reason := q.applyPoolFilters(t)
	if len(q.candidates) == 0 {
		return Decision{}, t.noEndpoint(q)
	}
	i := t.policy.pick(t, q, p)
	var leastWait time.Duration
	if reason != ReasonEjected {
		i, leastWait = q.inTime(i)
	}
	if reason == ReasonScore && t.policy.scored() && q.candidates[i].hasAffinity(q) {
		reason = ReasonPrefix
	}
	decision := q.decide(t, i, reason)
	decision.LeastWait = leastWait
	return decision, nil
}

// applyPoolFilters applies the filters on the state of the candidates. Ejected and suspect
// endpoints stay if there are no others, which the reason then states; only an attempt that
// must go to the owner of its shard always excludes ejected ones.
func (q *query) applyPoolFilters(t *Table) Reason {
	reason := ReasonScore
	switch {
	case q.ejected == 0:
	case q.request.OwnerOnly:
		q.apply(&ejectedFilter)
	case !q.applyUnlessLast(&ejectedFilter):
		reason = ReasonEjected
	}
	if len(q.request.TriedVMs) > 0 {
		t.markTried(q)
		q.apply(&triedFilter)
	}
	if q.full > 0 {
		q.apply(&acceptsFilter)
		q.apply(&capacityFilter)
	}
	if t.settings.Senders > 0 {
		q.apply(&slotFilter)
	}
	if t.settings.MaxWaitingPromptTokens > 0 {
		q.apply(&promptFilter)
	}
	if q.suspect > 0 && !q.applyUnlessLast(&suspectFilter) {
		reason = ReasonSuspect
	}
	return reason
}

func (t *Table) markTried(q *query) {
	for _, vm := range q.request.TriedVMs {
		if e := t.endpoints[vm]; e != nil {
			e.triedIn = q.id
		}
	}
}

// pickOwner returns the index of the owner of the request's journal shard, or -1. The
// filters on free capacity do not apply to the owner, which refuses requests itself when it
// is full, because any other endpoint would have to take the shard over first.
func (q *query) pickOwner(owner *endpoint) (int, Reason) {
	i := q.find(owner)
	if i < 0 {
		return -1, ""
	}
	switch {
	case !owner.health.ejected && q.request.OwnerOnly:
		return i, ReasonOwner
	case !owner.health.ejected && !slices.Contains(q.request.TriedVMs, owner.vm):
		return i, ReasonOwner
	case q.request.OwnerOnly && owner.health.probeDue(true, q.now):
		return i, ReasonProbe
	}
	return -1, ""
}
