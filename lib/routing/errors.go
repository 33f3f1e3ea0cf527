package routing

import (
	"fmt"
	"slices"
	"strings"

	"laburnumgw/lib/errkind"
)

// FilterCount is the number of endpoints that one filter removed.
type FilterCount struct {
	Filter Filter
	Count  int
}

// maxFilters is the number of filters.
const maxFilters = 20

// FilterCounts lists the filters that removed endpoints, in the order of application.
type FilterCounts struct {
	entries [maxFilters]FilterCount
	n       int
}

func (f *FilterCounts) add(name Filter) {
	for i := range f.n {
		if f.entries[i].Filter == name {
			f.entries[i].Count++
			return
		}
	}
	f.entries[f.n] = FilterCount{name, 1}
	f.n++
}

// Entries returns the counts.
func (f *FilterCounts) Entries() []FilterCount { return f.entries[:f.n] }

// NoEndpointError states why no endpoint was eligible.
type NoEndpointError struct {
	RequestID string
	Model     string
	Service   string
	// PoolSize is the number of endpoints of the model or service.
	PoolSize int
	Removed  []FilterCount
	// OnlyLimited names the endpoints to which only the limit that they have stated allows no
	// request. An entry that shares the limit may hand one on.
	OnlyLimited []string
	// Candidates is set only when Request.Detail is set.
	Candidates []Candidate
}

// Error names the model or service and the number of endpoints that each filter
// removed.
func (e *NoEndpointError) Error() string {
	var b strings.Builder
	if e.Model != "" {
		fmt.Fprintf(&b, "no endpoint is eligible for model %q", e.Model)
	} else {
		fmt.Fprintf(&b, "no endpoint is eligible for service %q", e.Service)
	}
	if e.PoolSize == 0 {
		b.WriteString(": none serves it")
		return b.String()
	}
	fmt.Fprintf(&b, " among %d", e.PoolSize)
	separator := ": "
	for _, removed := range e.Removed {
		fmt.Fprintf(&b, "%s%d %s", separator, removed.Count, removed.Filter)
		separator = ", "
	}
	return b.String()
}

// Count returns the number of endpoints that a filter removed.
func (e *NoEndpointError) Count(f Filter) int {
	for _, removed := range e.Removed {
		if removed.Filter == f {
			return removed.Count
		}
	}
	return 0
}

// mostlyFull reports whether more endpoints were removed because they are full or accept nothing, which may
// change at any moment, than because they are still reading prompts, which takes longer.
func (e *NoEndpointError) mostlyFull() bool {
	return e.Count(FilterNoCapacity)+e.Count(FilterAcceptsNothing)+e.Count(FilterSlots) > e.Count(FilterPrompts)
}

func (t *Table) noEndpoint(q *query) error {
	cause := &NoEndpointError{
		RequestID:  q.request.ID,
		Model:      q.request.Model,
		Service:    q.request.Service,
		PoolSize:   len(q.members),
		Removed:    append([]FilterCount(nil), q.counts.Entries()...),
		Candidates: q.detail,
	}
	cause.OnlyLimited = slices.Clone(q.onlyLimited)
	after := t.settings.RetryAfter
	if t.settings.FullRetryAfter > 0 && cause.mostlyFull() {
		after = t.settings.FullRetryAfter
	}
	left, first := q.boundsLeft(q.members)
	if first != nil && first.stated != nil {
		left = max(left, first.stated.promise(q.elapsed))
	}
	after = max(after, left)
	remedy := "repeat the request after the time in Retry-After"
	return errkind.Wrap(cause, errkind.NotRun, remedy, "request %s was not run", q.request.ID).
		WithRetryAfter(after)
}
