// Package departure records the workers that have stated that they are leaving. The
// platform's list may show it later, or not at all.
package departure

import (
	"maps"
	"slices"
)

// maxDepartures bounds the departures that are kept. It is several times the number of workers
// in the largest intended fleet, so that a departure is dropped long after its worker ended.
const maxDepartures = 4096

// Departure is a worker that is leaving. A worker that starts again under the same name
// counts as another one.
type Departure struct {
	VM string
	// StartedAtMs is the start time of the worker in milliseconds since 1970 UTC.
	StartedAtMs int64
}

// Set holds departures. It is not safe for concurrent use.
type Set struct {
	startedAtMs map[string]int64
	// order holds the names in the order in which they were first added.
	order []string
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{startedAtMs: make(map[string]int64)} }

// Add records a departure. It returns false when this one, or a later one of the same name,
// is already recorded.
func (s *Set) Add(d Departure) bool {
	known, ok := s.startedAtMs[d.VM]
	if ok && d.StartedAtMs <= known {
		return false
	}
	if !ok {
		s.order = append(s.order, d.VM)
	}
	s.startedAtMs[d.VM] = d.StartedAtMs
	if len(s.order) > maxDepartures {
		delete(s.startedAtMs, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// Contains reports whether the worker with this start time, or a later start of it, is
// leaving.
func (s *Set) Contains(vm string, startedAtMs int64) bool {
	known, ok := s.startedAtMs[vm]
	return ok && startedAtMs <= known
}

// All returns the departures in the order of their names.
func (s *Set) All() []Departure {
	list := make([]Departure, 0, len(s.startedAtMs))
	for _, vm := range slices.Sorted(maps.Keys(s.startedAtMs)) {
		list = append(list, Departure{vm, s.startedAtMs[vm]})
	}
	return list
}
