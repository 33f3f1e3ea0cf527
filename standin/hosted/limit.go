package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Figures of the platform's rule on limits.
const (
	// limitWindow is the length of the windows in which requests are counted.
	limitWindow = 4 * time.Second
	// limitSettleTime is the time from the first response that states a limit until it must hold.
	limitSettleTime = 500 * time.Millisecond
	limitFactor     = 1.5
	limitSlack      = 5
)

// limitChange is the start of the time in which a worker states a limit, or none.
type limitChange struct {
	at     time.Time
	header string
	// perSecond is the value of the header, and stated whether there is one that is a number.
	perSecond float64
	stated    bool
	// firstToldAt is the time of the first response that states it.
	firstToldAt time.Time
}

// SetLimit makes the worker state a limit in its responses, as the text of the header, until the
// next call. An empty text ends the limit.
func (w *Worker) SetLimit(header string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, err := strconv.ParseFloat(header, 64)
	w.limits = append(w.limits, limitChange{at: time.Now(), header: header, perSecond: value, stated: err == nil && value >= 0})
}

// limitHeader returns the limit to state in a response that is sent now. The caller holds the
// lock.
func (w *Worker) limitHeader(now time.Time) string {
	if len(w.limits) == 0 {
		return ""
	}
	current := &w.limits[len(w.limits)-1]
	if current.firstToldAt.IsZero() {
		current.firstToldAt = now
	}
	return current.header
}

// Arrivals returns the number of requests that arrived within a time span.
func (w *Worker) Arrivals(from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, at := range w.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// LimitErr returns the first window in which more requests arrived than the stated limits allow,
// summed over all senders. Windows that excused reports are left out.
func (w *Worker) LimitErr(excused func(from, to time.Time) bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := 0
	for i, at := range w.arrivals {
		for at.Sub(w.arrivals[first]) >= limitWindow {
			first++
		}
		for from := first; from <= i; from++ {
			allowed, limited := w.allowedArrivals(w.arrivals[from], at)
			if got := i - from + 1; limited && float64(got) > allowed && !excused(w.arrivals[from], at) {
				return fmt.Errorf("worker %s got %d requests in %s, allowed %.1f", w.ID, got, at.Sub(w.arrivals[from]), allowed)
			}
			if limited {
				break // a shorter window is allowed as much and has fewer requests
			}
		}
	}
	return nil
}

// allowedArrivals returns the number of requests that the highest limit within a span allows in
// limitWindow. It reports false if the worker stated no limit at any time of the span, or had not
// told anybody limitSettleTime before.
func (w *Worker) allowedArrivals(from, to time.Time) (allowed float64, limited bool) {
	from = from.Add(-limitSettleTime)
	highest := -1.0
	for i, change := range w.limits {
		if change.at.After(to) || (i+1 < len(w.limits) && w.limits[i+1].at.Before(from)) {
			continue
		}
		if !change.stated || change.firstToldAt.IsZero() || (change.firstToldAt.After(from) && !w.limitedBefore(i)) {
			return 0, false
		}
		highest = max(highest, change.perSecond)
	}
	if highest < 0 || w.limits[0].at.After(from) {
		return 0, false
	}
	return limitFactor*highest*limitWindow.Seconds() + limitSlack, true
}

// limitedBefore reports whether the change replaced another limit.
func (w *Worker) limitedBefore(change int) bool { return change > 0 && w.limits[change-1].stated }

// countArrival records the arrival of a request and states the limit in its response.
func (w *Worker) countArrival(response http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.limits) == 0 {
		return
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, now)
	if text := w.limitHeader(now); text != "" {
		response.Set("Server-Limit", text)
	}
}
