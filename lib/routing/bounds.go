package routing

import "time"

// boundedUntil returns the table time from which on the bounds on the requests of this entry to
// an endpoint allow one more, and the filter of the bound that lasts longest. The bounds are this
// entry's share of what a cold endpoint sustains, the pause that the endpoint has asked for, and
// this entry's part of the limit that it has stated. The time is zero if all of them allow a
// request now. When a share of arrivals allows the next request is not known. onlyLimited is set
// if the limit alone allows none.
func (q *query) boundedUntil(e *endpoint) (at time.Duration, by Filter, onlyLimited bool) {
	if q.maxArrivals > 0 && !q.mayTakeArrival(e) {
		at, by = q.elapsed+1, FilterArrivals
	}
	if e.pausedUntil != 0 && e.paused(q.elapsed) {
		at, by = max(e.pausedUntil, q.elapsed+1), FilterPaused
	}
	if e.stated != nil {
		if next := e.stated.nextAt(q.elapsed); next > max(at, q.elapsed) {
			return next, FilterLimit, at == 0
		}
	}
	return at, by, false
}

// applyBounds removes the candidates to which a bound allows no request now.
func (q *query) applyBounds() {
	last := len(q.candidates) - 1
	for i := 0; i <= last; {
		e := q.candidates[i].endpoint
		at, by, onlyLimited := q.boundedUntil(e)
		if at == 0 {
			i++
			continue
		}
		if onlyLimited && q.hasRoom(e, &q.candidates[i]) {
			q.onlyLimited = append(q.onlyLimited, e.vm)
		}
		q.recordRemoval(by, e)
		q.candidates[i] = q.candidates[last]
		last--
	}
	q.candidates = q.candidates[:last+1]
}

// hasRoom reports whether an endpoint has capacity for the request, so that a request that another
// entry lends is not wasted on a full one.
func (q *query) hasRoom(e *endpoint, c *candidate) bool {
	return hasCapacity(q, e, c) && hasFreeSlot(q, e, c) && (q.maxWaitingPromptTokens == 0 || promptTokensFit(q, e, c))
}

// boundsLeft returns the time until the bounds on the first unimpaired endpoint allow a request,
// and that endpoint. It returns zero if they allow one now.
func (q *query) boundsLeft(members []member) (left time.Duration, first *endpoint) {
	for i := range members {
		e := members[i].endpoint
		if e.impaired() {
			continue
		}
		at, _, _ := q.boundedUntil(e)
		if at == 0 {
			return 0, nil
		}
		if wait := at - q.elapsed; first == nil || wait < left {
			left, first = wait, e
		}
	}
	return left, first
}
