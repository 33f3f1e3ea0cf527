package routetest

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumgw/lib/errkind"
)

// loadWindow is the time over which an endpoint's load is averaged for the ratio of
// the highest to the mean load; it equals the lag of the reports in the tests.
const loadWindow = time.Second

// Result holds the figures of a run. Loads during the warm-up and requests that
// ended in it are not counted.
type Result struct {
	Scenario Scenario
	// Ratios of the highest to the mean load over the endpoints: the worst window of
	// 1 s, and the mean and 99th percentile of the samples taken every 10 ms.
	WorstWindow float64
	MeanRatio   float64
	P99Ratio    float64
	// Latencies of the answered requests.
	P50, P99 time.Duration
	Requests int
	Answered int
	// IdempotentRequests and IdempotentFailed count idempotent requests, and those
	// that failed.
	IdempotentRequests int
	IdempotentFailed   int
	Errors             map[errkind.Kind]int
	Retries            int
	// BudgetUse is the highest ratio of retries to 10% of the first attempts plus 3/s,
	// over all windows of 10 s and all entries together; the bound is 1.
	BudgetUse float64
	// CacheHits counts attempts whose prefix was in the endpoint's cache, and
	// SameZone those sent within the entry's zone.
	Attempts  int
	CacheHits int
	SameZone  int
	// OutOfServicePicks counts decisions for a zone that the entry knew to be out of service.
	OutOfServicePicks int
	// OverLimit counts requests that ran above an endpoint's limit.
	OverLimit int
	// QueuedCold counts attempts that a cold endpoint had to queue.
	QueuedCold int

	latencies *hdrhistogram.Histogram
	ratios    []float64
	window    []float64
	windowEnd time.Duration
	attempts  []attemptTime
}

type attemptTime struct {
	at    time.Duration
	retry bool
}

func newResult(s Scenario) *Result {
	return &Result{
		Scenario:  s,
		Errors:    map[errkind.Kind]int{},
		latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		window:    make([]float64, s.Endpoints),
		windowEnd: s.Warmup + loadWindow,
	}
}

func (r *Result) sample(now time.Duration, loads []float64) {
	r.ratios = append(r.ratios, ratio(loads))
	for i, load := range loads {
		r.window[i] += load
	}
	if now+sampleInterval < r.windowEnd {
		return
	}
	r.WorstWindow = max(r.WorstWindow, ratio(r.window))
	clear(r.window)
	r.windowEnd += loadWindow
}

// ratio returns the highest value divided by the mean.
func ratio(loads []float64) float64 {
	highest, sum := 0.0, 0.0
	for _, load := range loads {
		highest = max(highest, load)
		sum += load
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(len(loads)) / sum
}

func (r *Result) attemptStarted(now time.Duration, _ int, retry bool) {
	r.attempts = append(r.attempts, attemptTime{now, retry})
	if retry {
		r.Retries++
	}
}

func (r *Result) picked(from *entry, target *endpoint) {
	r.Attempts++
	if zoneOf(from.index) == target.zone {
		r.SameZone++
	}
	if from.outOfService[target.zone] {
		r.OutOfServicePicks++
	}
}

func (r *Result) checkLimit(e *endpoint) {
	if e.running > e.limit {
		r.OverLimit++
	}
}

func (r *Result) answered(now time.Duration, request *request, kind errkind.Kind) {
	if now < r.Scenario.Warmup {
		return
	}
	r.Requests++
	if request.routing.Idempotent {
		r.IdempotentRequests++
	}
	if kind == "" {
		r.Answered++
		_ = r.latencies.RecordValue((now - request.arrived).Microseconds())
		return
	}
	r.Errors[kind]++
	if request.routing.Idempotent {
		r.IdempotentFailed++
	}
}

func (r *Result) finish(*Sim) {
	r.P50 = time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.BudgetUse = r.budgetUse()
	if len(r.ratios) == 0 {
		return
	}
	sum := 0.0
	for _, value := range r.ratios {
		sum += value
	}
	r.MeanRatio = sum / float64(len(r.ratios))
	slices.Sort(r.ratios)
	r.P99Ratio = r.ratios[len(r.ratios)*99/100]
}

// budgetUse slides a window of 10 s over the attempts.
func (r *Result) budgetUse() float64 {
	const span = 10 * time.Second
	worst, firsts, retries, end := 0.0, 0.0, 0.0, 0
	for _, first := range r.attempts {
		for end < len(r.attempts) && r.attempts[end].at < first.at+span {
			if r.attempts[end].retry {
				retries++
			} else {
				firsts++
			}
			end++
		}
		worst = max(worst, retries/(0.1*firsts+3*span.Seconds()))
		if first.retry {
			retries--
		} else {
			firsts--
		}
	}
	return worst
}
