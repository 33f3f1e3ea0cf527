package workerlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxWorkers bounds the workers whose limits are kept. It is several times the number of workers
// in the largest intended fleet.
const maxWorkers = 4096

// Limit is the last known statement of a worker about its limit. Entries exchange limits; the
// newer one wins, so that all entries end up with the same, in whatever order the
// messages arrive.
type Limit struct {
	VM string
	// StartedAtMs is the start time of the worker in milliseconds since 1970 UTC. A limit dies
	// with that start of the worker.
	StartedAtMs int64
	// Revision counts the statements that are known to follow one another.
	Revision uint64
	// Limited is set while the limit is in force, and PerSecond its value. A limit that has
	// ended is kept, so that an older statement does not bring it back.
	Limited   bool
	PerSecond float64
}

// maxRevision bounds the revisions that other processes send, so that there is always a next one.
const maxRevision = math.MaxUint64 / 2

// Valid reports whether a limit that another process has sent makes sense.
func (l Limit) Valid() bool {
	return l.VM != "" && l.Revision <= maxRevision && !math.IsNaN(l.PerSecond) && l.PerSecond >= 0 && l.PerSecond <= maxPerSecond
}

// value returns the requests in a second that the limit allows.
func (l Limit) value() float64 {
	if !l.Limited {
		return math.Inf(1)
	}
	return l.PerSecond
}

// newer reports whether l replaces other: it is of a later start of the worker, or known to
// follow other, or their order is not known and l allows less.
func (l Limit) newer(other Limit) bool {
	order := cmp.Or(cmp.Compare(l.StartedAtMs, other.StartedAtMs), cmp.Compare(l.Revision, other.Revision),
		cmp.Compare(other.value(), l.value()))
	return order > 0
}

// Set holds the limits that an entry knows. It is not safe for concurrent use.
type Set struct {
	known map[string]*record
	// order holds the names in the order in which they were first added.
	order []string
}

type record struct {
	Limit
	// receivedAt is when the limit was last received from the worker, or first from another
	// entry. Requests that are sent later get statements that are not older.
	receivedAt time.Time
	// heardAt is when the limit was last received from anybody.
	heardAt time.Time
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{known: make(map[string]*record)} }

// Observe applies the statement in a response that was received now to a request that was sent
// at sentAt to a start of a worker. It returns the known limit, and whether it has changed.
//
// Responses may arrive late and in any order. A statement replaces the known one only if its
// request was sent after that was received. Otherwise it can only lower the limit.
func (s *Set) Observe(vm string, startedAtMs int64, statement Statement, sentAt, now time.Time) (Limit, bool) {
	known := s.known[vm]
	if known != nil && startedAtMs < known.StartedAtMs {
		return known.Limit, false
	}
	isNewStart := known == nil || startedAtMs > known.StartedAtMs
	if statement.Kind == Unusable || (isNewStart && statement.Kind == Unlimited) {
		return Limit{VM: vm, StartedAtMs: startedAtMs}, false
	}
	next := Limit{VM: vm, StartedAtMs: startedAtMs, Revision: 1, Limited: statement.Kind == Limited, PerSecond: statement.PerSecond}
	if isNewStart {
		s.set(next, now)
		return next, true
	}
	follows := !sentAt.Before(known.receivedAt)
	if next.value() == known.value() {
		if next.Limited {
			known.receivedAt, known.heardAt = now, now
		}
		return known.Limit, false
	}
	next.Revision = known.Revision
	if follows {
		next.Revision++
	}
	if !next.newer(known.Limit) {
		return known.Limit, false
	}
	s.set(next, now)
	return next, true
}

// Merge applies a limit that another entry knows. It reports whether the known limit has changed.
func (s *Set) Merge(l Limit, now time.Time) bool {
	known := s.known[l.VM]
	if known != nil && l == known.Limit {
		known.heardAt = now
		return false
	}
	if known != nil && !l.newer(known.Limit) {
		return false
	}
	s.set(l, now)
	return true
}

func (s *Set) set(l Limit, now time.Time) {
	if known := s.known[l.VM]; known != nil {
		*known = record{l, now, now}
		return
	}
	s.known[l.VM] = &record{l, now, now}
	s.order = append(s.order, l.VM)
	if len(s.order) > maxWorkers {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
}

// Known returns what is known about the limit of a worker, also of one that has ended.
func (s *Set) Known(vm string) (limit Limit, known bool) {
	r := s.known[vm]
	if r == nil {
		return Limit{}, false
	}
	return r.Limit, true
}

// Get returns the limit of a start of a worker if it is in force.
func (s *Set) Get(vm string, startedAtMs int64) (perSecond float64, limited bool) {
	known := s.known[vm]
	if known == nil || known.StartedAtMs != startedAtMs || !known.Limited {
		return 0, false
	}
	return known.PerSecond, true
}

// Stale returns the limits in force that were last heard of before a time, in the order of their
// names.
func (s *Set) Stale(before time.Time) []Limit {
	var list []Limit
	for _, l := range s.All() {
		if l.Limited && s.known[l.VM].heardAt.Before(before) {
			list = append(list, l)
		}
	}
	return list
}

// All returns the limits, those that have ended too, in the order of their names.
func (s *Set) All() []Limit {
	list := make([]Limit, 0, len(s.known))
	for _, vm := range slices.Sorted(maps.Keys(s.known)) {
		list = append(list, s.known[vm].Limit)
	}
	return list
}
