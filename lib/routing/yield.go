package routing

const (
	// yieldSmoothing is the weight of one request in the average of refused first attempts.
	yieldSmoothing = 0.02
	// yieldGain is the probability that a possible repeat is refused for each part of the first
	// attempts that are refused, up to maxYield.
	yieldGain = 2.0
	// maxYield leaves callers that open a connection for each request at least half of the chance
	// of the others.
	maxYield = 0.5
)

// yield gives first attempts precedence over possible repeats while capacity is scarce. Without it,
// repeats of refused requests take part of the capacity, so that more first attempts are refused and
// more requests are repeated.
type yield struct {
	// refused is the share of the first attempts that were refused lately.
	refused float64
}

// firstAttempt records whether a request that is no repeat was refused.
func (y *yield) firstAttempt(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	y.refused += yieldSmoothing * (value - y.refused)
}

// probability returns the probability with which a possible repeat is refused although an endpoint
// could take it.
func (y *yield) probability() float64 { return min(yieldGain*y.refused, maxYield) }

// applyYield removes all candidates of a possible repeat that yields to first attempts.
func (t *Table) applyYield(q *query) {
	if t.settings.Senders == 0 {
		return
	}
	if !q.request.MayRepeat {
		t.yield.firstAttempt(len(q.candidates) == 0)
		return
	}
	if t.rng.Float64() >= t.yield.probability() {
		return
	}
	for i := range q.candidates {
		q.recordRemoval(FilterYield, q.candidates[i].endpoint)
	}
	q.candidates = q.candidates[:0]
}
