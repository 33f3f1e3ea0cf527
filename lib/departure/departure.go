// Package departure remembers the workers that have stated that they are leaving. The
// platform's list may say so later, or not at all.
package departure

import (
	"maps"
	"slices"
)

// maxKept bounds the departures that are remembered. It exceeds the workers of the largest
// fleet aimed at several times, so that a departure is forgotten long after the worker.
const maxKept = 4096

// Departure is a worker that is leaving. A worker that starts again under its name is
// another one.
type Departure struct {
	VM string
	// Born is the start of the worker in milliseconds since 1970.
	Born int64
}

// Set holds departures. It is not safe for concurrent use.
type Set struct {
	born map[string]int64
	// order holds the names, the longest known first.
	order []string
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{born: make(map[string]int64)} }

// Add notes a departure. It returns false when that, or a later one of the same name, is
// known.
func (s *Set) Add(d Departure) bool {
	known, ok := s.born[d.VM]
	if ok && d.Born <= known {
		return false
	}
	if !ok {
		s.order = append(s.order, d.VM)
	}
	s.born[d.VM] = d.Born
	if len(s.order) > maxKept {
		delete(s.born, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// Contains reports whether a start of a worker, or a later one, is leaving.
func (s *Set) Contains(vm string, born int64) bool {
	known, ok := s.born[vm]
	return ok && born <= known
}

// All returns the departures in the order of their names.
func (s *Set) All() []Departure {
	list := make([]Departure, 0, len(s.born))
	for _, vm := range slices.Sorted(maps.Keys(s.born)) {
		list = append(list, Departure{vm, s.born[vm]})
	}
	return list
}
