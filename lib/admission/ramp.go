package admission

import (
	"slices"
	"time"
)

const (
	// coldLatencyFactor is the ratio of recent to warm median latency above which an
	// endpoint counts as cold.
	coldLatencyFactor = 3
	// recentSamples is the number of latencies whose median is compared. With a
	// median, single long responses do not make an endpoint look cold.
	recentSamples = 9
	// baselineSamples is the number of latencies that form the warm median.
	baselineSamples = 65
	// minBaselineSamples is the number of latencies required before a comparison.
	minBaselineSamples = 17
	// minSuccessesPerFailure is the least number of successes per failure in a ramp period
	// for which the limit grows.
	minSuccessesPerFailure = 10
)

// ramp is the slow start of one endpoint: the current limit, and the counters and
// latencies that show whether the endpoint is warm or has become cold again.
type ramp struct {
	limits      Limits
	limit       int
	periodStart time.Time
	successes   int
	failures    int
	recent      []time.Duration
	baseline    []time.Duration
}

// reset returns to the cold limit and discards the warm median, so that a lasting
// change of latency causes one slow start and not a series of them.
func (r *ramp) reset(limits Limits, now time.Time) {
	*r = ramp{limits: limits, limit: coldLimit(limits), periodStart: now}
}

func (r *ramp) configure(limits Limits) {
	wasCold := r.cold()
	r.limits = limits
	if !wasCold {
		r.limit = warmLimit(limits)
		return
	}
	r.limit = min(max(r.limit, coldLimit(limits)), warmLimit(limits))
}

func (r *ramp) cold() bool { return r.limit < warmLimit(r.limits) }

// finish records the end of one request and adjusts the limit.
func (r *ramp) finish(result Result, latency time.Duration, now time.Time) {
	switch result {
	case Succeeded:
		r.successes++
	case Failed:
		r.failures++
		return
	default:
		return
	}
	if r.cold() {
		r.grow(now)
		return
	}
	r.observe(latency)
	if r.slow() {
		r.reset(r.limits, now)
	}
}

// grow doubles the limit when a period of successful work is complete. The period
// needs as many successes as the limit allows at once, so an idle endpoint stays cold.
func (r *ramp) grow(now time.Time) {
	if now.Sub(r.periodStart) < r.limits.Ramp || r.successes < r.limit {
		return
	}
	if r.failures*minSuccessesPerFailure <= r.successes {
		r.limit = min(r.limit*2, warmLimit(r.limits))
	}
	r.periodStart = now
	r.successes = 0
	r.failures = 0
}

// observe adds a warm latency. Latencies enter the baseline only after they leave the
// recent window, so a slow phase is compared with the time before it.
func (r *ramp) observe(latency time.Duration) {
	r.recent = append(r.recent, latency)
	if len(r.recent) <= recentSamples {
		return
	}
	r.baseline = append(r.baseline, r.recent[0])
	r.recent = slices.Delete(r.recent, 0, 1)
	if len(r.baseline) > baselineSamples {
		r.baseline = slices.Delete(r.baseline, 0, 1)
	}
}

func (r *ramp) slow() bool {
	if len(r.recent) < recentSamples || len(r.baseline) < minBaselineSamples {
		return false
	}
	return median(r.recent) > coldLatencyFactor*median(r.baseline)
}

func median(samples []time.Duration) time.Duration {
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func warmLimit(limits Limits) int { return max(1, limits.WarmInFlight) }

func coldLimit(limits Limits) int { return min(max(1, limits.ColdInFlight), warmLimit(limits)) }
