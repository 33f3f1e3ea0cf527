package routing

import (
	"laburnumgw/lib/errkind"
)

// policy chooses one of the candidates that passed the filters.
type policy interface {
	pick(t *Table, q *query, p *pool) int
	// scored reports whether the policy uses the scorers.
	scored() bool
}

// Policies lists the names of all policies, the default first.
func Policies() []string {
	return []string{"least-estimated", "power-of-two", "least-reported", "round-robin", "random"}
}

func newPolicy(name string) (policy, error) {
	switch name {
	case "least-estimated":
		return leastEstimated{}, nil
	case "power-of-two":
		return powerOfTwo{}, nil
	case "least-reported":
		return leastReported{}, nil
	case "round-robin":
		return roundRobin{}, nil
	case "random":
		return uniform{}, nil
	}
	return nil, errkind.New(errkind.Invalid,
		"set routing.policy to least-estimated, power-of-two, least-reported, round-robin or random",
		"routing policy %q is unknown", name)
}

// leastEstimated draws two of the candidates whose score is near the best one and chooses
// the better of them with a probability that rises with their difference. It takes the best
// one directly if that holds the prompt's prefix, because few endpoints do and the affinity
// bound limits herding.
type leastEstimated struct{}

// bestMargin is the distance to the best score, in requests, within which candidates
// are drawn. Always taking the best makes all entries with equal own counts follow the
// same stale reports; a larger margin makes the choice less accurate.
const bestMargin = 0.25

func (leastEstimated) scored() bool { return true }

func (leastEstimated) pick(t *Table, q *query, _ *pool) int {
	t.score(q)
	best := q.best()
	if q.candidates[best].hasAffinity(q) {
		return best
	}
	q.collectNear(q.candidates[best].score + bestMargin)
	a := q.near[t.rng.IntN(len(q.near))]
	b := q.near[t.rng.IntN(len(q.near))]
	advantage := (q.candidates[b].score - q.candidates[a].score) / bestMargin
	if t.rng.Float64() < (1+advantage)/2 {
		return a
	}
	return b
}

// best returns the index of the lowest score.
func (q *query) best() int {
	best := 0
	for i := range q.candidates {
		if q.candidates[i].score < q.candidates[best].score {
			best = i
		}
	}
	return best
}

// collectNear lists the candidates with at most the given score.
func (q *query) collectNear(highest float64) {
	q.near = q.near[:0]
	for i := range q.candidates {
		if q.candidates[i].score <= highest {
			q.near = append(q.near, i)
		}
	}
}

// leastReported takes the candidate with the lowest load in its last report, without
// corrections.
type leastReported struct{}

func (leastReported) scored() bool { return false }

func (leastReported) pick(t *Table, q *query, _ *pool) int {
	return t.least(q, func(c *candidate) float64 { return c.endpoint.reportedLoad })
}

// least returns the candidate with the lowest value; ties are broken at random.
func (t *Table) least(q *query, value func(*candidate) float64) int {
	best, ties := 0, 1
	lowest := value(&q.candidates[0])
	for i := 1; i < len(q.candidates); i++ {
		v := value(&q.candidates[i])
		switch {
		case v < lowest:
			best, ties, lowest = i, 1, v
		case v == lowest:
			ties++
			if t.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// powerOfTwo takes the candidate with the lower estimated load of two drawn at random.
type powerOfTwo struct{}

func (powerOfTwo) scored() bool { return false }

func (powerOfTwo) pick(t *Table, q *query, _ *pool) int {
	a := t.rng.IntN(len(q.candidates))
	b := t.rng.IntN(len(q.candidates))
	if q.candidates[b].load < q.candidates[a].load {
		return b
	}
	return a
}

// roundRobin takes the candidates one after the other.
type roundRobin struct{}

func (roundRobin) scored() bool { return false }

func (roundRobin) pick(_ *Table, q *query, p *pool) int {
	p.cursor++
	return p.cursor % len(q.candidates)
}

// uniform takes any candidate with equal probability.
type uniform struct{}

func (uniform) scored() bool { return false }

func (uniform) pick(t *Table, q *query, _ *pool) int {
	return t.rng.IntN(len(q.candidates))
}
