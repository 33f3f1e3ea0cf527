package routing

import (
	"math"
	"slices"
	"time"
)

// LoadSource estimates the load of one endpoint by more than its reports.
type LoadSource interface {
	// FirstByte returns how long a request with a prompt of some tokens is expected to wait for its first byte.
	FirstByte(promptTokens int64, now time.Time) time.Duration
	// AtLeast returns a time that FirstByte does not fall below, for less processor time.
	AtLeast(promptTokens int64, now time.Time) time.Duration
	// HasFreeSlot reports whether a request that is sent now finds a free slot, by what is known.
	HasFreeSlot(now time.Time) bool
	// Known reports whether the load was observed recently.
	Known(now time.Time) bool
}

const (
	// expectedWeight is the number of requests of load that an expected wait as long as the aim weighs as much as.
	expectedWeight = 2.0
	// lateWeight is added for each multiple of the aim beyond the aim itself, up to maxExpected multiples in all.
	lateWeight  = 2.0
	maxExpected = 4.0
	// maxPenalty is the largest penalty. It is that of endpoints that were not asked.
	maxPenalty = expectedWeight*maxExpected + lateWeight*(maxExpected-1)
	// maxAsked bounds the endpoints whose sources are asked for one decision.
	maxAsked = 64
	// offsetMultiplier is odd and spreads consecutive decisions over all endpoints.
	offsetMultiplier = 0x9E3779B1
)

// SetLoadSource sets the source of the load of an endpoint; nil for none, in which case its reports alone describe it.
func (t *Table) SetLoadSource(vm string, source LoadSource) {
	if e := t.endpoints[vm]; e != nil {
		e.source = source
	}
}

// scoreExpected weighs the expected time to the first byte against the aim of the request. It runs last, because it only
// adds to scores. Of many endpoints it asks the sources of maxAsked, others with each decision: first those near the best
// score without it, then those that they do not beat.
func scoreExpected(q *query) {
	if q.sourced == 0 || q.request.Aim <= 0 {
		return
	}
	offset := int(q.id * offsetMultiplier % uint64(len(q.candidates)))
	q.asked = slices.Grow(q.asked[:0], len(q.candidates))[:len(q.candidates)]
	clear(q.asked)
	near := q.candidates[q.best()].score + bestMargin
	left, bound := q.askSources(offset, maxAsked, math.Inf(-1), near, math.Inf(1))
	q.askSources(offset, left, near, bound+bestMargin, bound)
}

// askSources adds the penalties of up to left endpoints with a score above one limit and up to another, and maxPenalty to the
// rest of these. It returns how many more may be asked, and the best score so far.
func (q *query) askSources(offset, left int, above, upTo, best float64) (int, float64) {
	for _, part := range [...][2]int{{offset, len(q.candidates)}, {0, offset}} {
		for i := part[0]; i < part[1]; i++ {
			c := &q.candidates[i]
			if c.score <= above || c.score > upTo || q.asked[i] {
				continue
			}
			q.asked[i] = true
			if left == 0 {
				c.score += maxPenalty
				continue
			}
			left--
			c.score += q.expectedPenalty(c.endpoint)
			best = min(best, c.score)
		}
	}
	return left, best
}

// expectedPenalty returns the penalty of an endpoint. One without a source is taken to use half of the aim, so that it
// attracts no requests because nothing is known of it.
func (q *query) expectedPenalty(e *endpoint) float64 {
	share := 0.5
	if e.source != nil {
		share = min(max(float64(e.source.FirstByte(q.request.PromptTokens, q.now))/float64(q.request.Aim), 0), maxExpected)
	}
	return expectedWeight*share + lateWeight*max(share-1, 0)
}

// inTime returns a chosen candidate if it is expected to begin within the request's MaxWait, else the one that is expected to
// begin first. If that is late as well, and none has a free slot, it returns its wait: how long work takes is only estimated, so
// that it is no reason to leave a slot free. Nothing is expected of endpoints without a source. Only the sources of those are
// asked that may begin before the ones so far.
func (q *query) inTime(chosen int) (index int, leastWait time.Duration) {
	if q.sourced == 0 || q.request.MaxWait <= 0 {
		return chosen, 0
	}
	least := q.expectedWait(chosen)
	if least <= q.request.MaxWait {
		return chosen, 0
	}
	for i := range q.candidates {
		source := q.candidates[i].endpoint.source
		if source != nil && source.AtLeast(q.request.PromptTokens, q.now) >= least {
			continue
		}
		if wait := q.expectedWait(i); wait < least {
			chosen, least = i, wait
		}
	}
	if least <= q.request.MaxWait || q.hasFreeSlot() {
		return chosen, 0
	}
	return chosen, least
}

// hasFreeSlot reports whether a candidate is known to have a free slot.
func (q *query) hasFreeSlot() bool {
	return slices.ContainsFunc(q.candidates, func(c candidate) bool {
		return c.endpoint.source != nil && c.endpoint.source.HasFreeSlot(q.now)
	})
}

func (q *query) expectedWait(i int) time.Duration {
	source := q.candidates[i].endpoint.source
	if source == nil {
		return 0
	}
	return source.FirstByte(q.request.PromptTokens, q.now)
}
