package routing

import "time"

// Pick chooses an endpoint for one attempt. It changes no endpoint state; the caller
// reports the attempt with AttemptSent. The error is an *errkind.Error of kind NotRun
// with RetryAfter that wraps a *NoEndpointError; it describes this attempt only.
func (t *Table) Pick(r *Request, now time.Time) (Decision, error) {
	q := &t.query
	p := t.pools[poolKey{model: r.Model, service: r.Service}]
	q.begin(t, r, p, now)
	q.applyAll(hardFilters)
	if r.PreferredVM != "" {
		if i, reason := q.pickOwner(); i >= 0 {
			return q.decide(t, i, reason), nil
		}
	}
	q.apply(&ownerFilter)
	if i := q.findProbe(); i >= 0 {
		return q.decide(t, i, ReasonProbe), nil
	}
	reason := ReasonScore
	if r.OwnerOnly {
		q.apply(&ejectedFilter)
	} else if !q.applyUnlessLast(&ejectedFilter) {
		reason = ReasonEjected
	}
	q.applyAll(roomFilters)
	if !q.applyUnlessLast(&suspectFilter) {
		reason = ReasonSuspect
	}
	if len(q.candidates) == 0 {
		return Decision{}, t.noEndpoint(q)
	}
	i := t.policy.pick(t, q, p)
	if reason == ReasonScore && t.policy.scored() && q.candidates[i].hasAffinity(q) {
		reason = ReasonPrefix
	}
	return q.decide(t, i, reason), nil
}

// pickOwner returns the owner of the request's journal shard. The owner decides about
// room itself, because any other endpoint would have to take the shard over first.
func (q *query) pickOwner() (int, Reason) {
	i := q.find(q.request.PreferredVM)
	if i < 0 {
		return -1, ""
	}
	e := q.candidates[i].endpoint
	if !e.health.ejected {
		if !q.request.OwnerOnly && !notTried(q, &q.candidates[i]) {
			return -1, ""
		}
		return i, ReasonOwner
	}
	if q.request.OwnerOnly && e.health.probeDue(true, q.now) {
		return i, ReasonProbe
	}
	return -1, ""
}
