package admission

import (
	"slices"
	"strings"
	"time"
)

// queued is a request that waits. A zero expires means that it may wait forever.
type queued struct {
	request  Request
	expires  time.Time
	sequence uint64
}

// compare orders the requests of one workspace by priority, deadline and arrival.
func (q *queued) compare(other *queued) int {
	if q.request.Priority != other.request.Priority {
		if q.request.Priority > other.request.Priority {
			return -1
		}
		return 1
	}
	if order := compareDeadlines(q.request.Deadline, other.request.Deadline); order != 0 {
		return order
	}
	if q.sequence < other.sequence {
		return -1
	}
	return 1
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	default:
		return a.Compare(b)
	}
}

// lane is the queue of one workspace. It exists while the workspace has queued or
// running requests.
type lane struct {
	name     string
	waiting  []*queued
	inFlight int
	deficit  int
	settings Workspace
}

func (l *lane) weight() int { return min(max(1, l.settings.Weight), maxWeight) }

func (l *lane) belowMax() bool {
	return l.settings.MaxInFlight <= 0 || l.inFlight < l.settings.MaxInFlight
}

// fairQueue holds the waiting requests and serves workspaces by deficit round robin.
// Each request costs the highest weight of the competing workspaces, and a visit adds
// the workspace's own weight, so a large weight does not cause long bursts.
type fairQueue struct {
	settings map[string]Workspace
	lanes    map[string]*lane
	// ring holds the lanes with queued requests in the order of their visits.
	ring     []*lane
	length   int
	sequence uint64
}

func newFairQueue() fairQueue { return fairQueue{lanes: make(map[string]*lane)} }

func (f *fairQueue) configure(settings map[string]Workspace) {
	f.settings = settings
	for name, l := range f.lanes {
		l.settings = settings[name]
	}
}

func (f *fairQueue) lane(name string) *lane {
	l, ok := f.lanes[name]
	if !ok {
		l = &lane{name: name, settings: f.settings[name]}
		f.lanes[name] = l
	}
	return l
}

// release deletes a lane without requests, so that the map stays bounded.
func (f *fairQueue) release(l *lane) {
	if len(l.waiting) == 0 && l.inFlight == 0 {
		delete(f.lanes, l.name)
	}
}

func (f *fairQueue) started(workspace string) { f.lane(workspace).inFlight++ }

func (f *fairQueue) finished(workspace string) {
	l := f.lane(workspace)
	l.inFlight--
	f.release(l)
}

// eligible reports whether the workspace may start one more request.
func (f *fairQueue) eligible(workspace string) bool {
	if l, ok := f.lanes[workspace]; ok {
		return l.belowMax()
	}
	return true
}

func (f *fairQueue) waiting(workspace string) bool {
	l, ok := f.lanes[workspace]
	return ok && len(l.waiting) > 0
}

func (f *fairQueue) has(id string) bool {
	_, index := f.find(id)
	return index >= 0
}

func (f *fairQueue) find(id string) (*lane, int) {
	for _, l := range f.ring {
		for i, waiting := range l.waiting {
			if waiting.request.ID == id {
				return l, i
			}
		}
	}
	return nil, -1
}

func (f *fairQueue) push(waiting *queued) {
	f.sequence++
	waiting.sequence = f.sequence
	l := f.lane(waiting.request.Workspace)
	if len(l.waiting) == 0 {
		f.ring = append(f.ring, l)
	}
	index, _ := slices.BinarySearchFunc(l.waiting, waiting, (*queued).compare)
	l.waiting = slices.Insert(l.waiting, index, waiting)
	f.length++
}

// take removes and returns one request of a lane. A lane that becomes empty loses its deficit.
func (f *fairQueue) take(l *lane, index int) *queued {
	waiting := l.waiting[index]
	l.waiting = slices.Delete(l.waiting, index, index+1)
	f.length--
	if len(l.waiting) == 0 {
		l.deficit = 0
		f.ring = slices.DeleteFunc(f.ring, func(other *lane) bool { return other == l })
		f.release(l)
	}
	return waiting
}

func (f *fairQueue) remove(id string) bool {
	l, index := f.find(id)
	if index < 0 {
		return false
	}
	f.take(l, index)
	return true
}

// pop removes the next request, or returns nil when no workspace with queued requests
// may start one. Workspaces whose running requests are within their share of the limit
// come before those above it; deficit round robin decides among equals.
func (f *fairQueue) pop(limit int) *queued {
	canStart := f.withinShare(limit)
	cost := f.cost(canStart)
	if cost == 0 {
		canStart = (*lane).belowMax
		cost = f.cost(canStart)
	}
	if cost == 0 {
		return nil
	}
	for {
		l := f.ring[0]
		f.ring = append(f.ring[1:], l)
		if !canStart(l) {
			continue
		}
		l.deficit = min(l.deficit+l.weight(), 2*cost)
		if l.deficit >= cost {
			l.deficit -= cost
			return f.take(l, 0)
		}
	}
}

// withinShare returns whether a workspace may start a request and stays within its
// share of the limit among the workspaces with queued or running requests.
func (f *fairQueue) withinShare(limit int) func(*lane) bool {
	total := 0
	for _, l := range f.lanes {
		total += l.weight()
	}
	return func(l *lane) bool { return l.belowMax() && (l.inFlight+1)*total <= limit*l.weight() }
}

// cost returns the highest weight of the workspaces that may start a request, or zero
// when there are none.
func (f *fairQueue) cost(canStart func(*lane) bool) int {
	cost := 0
	for _, l := range f.ring {
		if canStart(l) {
			cost = max(cost, l.weight())
		}
	}
	return cost
}

// ahead estimates how many requests start before a new one: those of its own
// workspace that precede it, and the requests of other workspaces that the round robin
// serves until the own workspace's visit for the new one.
func (f *fairQueue) ahead(waiting *queued) int {
	own, ok := f.lanes[waiting.request.Workspace]
	if !ok {
		own = &lane{settings: f.settings[waiting.request.Workspace]}
	}
	before := 0
	for _, other := range own.waiting {
		if other.compare(&queued{request: waiting.request, sequence: f.sequence + 1}) < 0 {
			before++
		}
	}
	ahead := before
	for _, l := range f.ring {
		if l != own {
			ahead += min(len(l.waiting), (before+1)*l.weight()/own.weight()+1)
		}
	}
	return ahead
}

// largestBacklog returns the workspace with the most queued requests relative to its weight.
func (f *fairQueue) largestBacklog() string {
	best := f.ring[0]
	for _, l := range f.ring[1:] {
		left := len(l.waiting) * best.weight()
		right := len(best.waiting) * l.weight()
		if left > right || (left == right && strings.Compare(l.name, best.name) < 0) {
			best = l
		}
	}
	return best.name
}

// backlogStaysBelow reports whether a workspace with one more queued request still has
// fewer queued requests relative to its weight than another one. When the queue is full,
// this holds for each workspace within its share against the largest backlog.
func (f *fairQueue) backlogStaysBelow(workspace, other string) bool {
	count := 0
	if l, ok := f.lanes[workspace]; ok {
		count = len(l.waiting)
	}
	weight := (&lane{settings: f.settings[workspace]}).weight()
	larger := f.lanes[other]
	return workspace != other && (count+1)*larger.weight() < len(larger.waiting)*weight
}

// evictionCandidate returns the newest request of the lowest priority of a workspace.
func (f *fairQueue) evictionCandidate(workspace string) *queued {
	l, ok := f.lanes[workspace]
	if !ok || len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[l.evictionIndex()]
}

func (l *lane) evictionIndex() int {
	worst := 0
	for i, waiting := range l.waiting {
		current := l.waiting[worst]
		lower := waiting.request.Priority < current.request.Priority
		newer := waiting.request.Priority == current.request.Priority && waiting.sequence > current.sequence
		if lower || newer {
			worst = i
		}
	}
	return worst
}

func (f *fairQueue) evict(workspace string) *queued {
	l := f.lanes[workspace]
	return f.take(l, l.evictionIndex())
}

// removeWhere removes and returns the requests that match.
func (f *fairQueue) removeWhere(match func(*queued) bool) []*queued {
	var removed []*queued
	for _, l := range slices.Clone(f.ring) {
		for i := len(l.waiting) - 1; i >= 0; i-- {
			if match(l.waiting[i]) {
				removed = append(removed, f.take(l, i))
			}
		}
	}
	return removed
}

func (f *fairQueue) removeAll() []*queued {
	return f.removeWhere(func(*queued) bool { return true })
}

func (f *fairQueue) expired(now time.Time) []*queued {
	return f.removeWhere(func(waiting *queued) bool {
		return !waiting.expires.IsZero() && !waiting.expires.After(now)
	})
}

func (f *fairQueue) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, l := range f.ring {
		for _, waiting := range l.waiting {
			if !waiting.expires.IsZero() && (first.IsZero() || waiting.expires.Before(first)) {
				first = waiting.expires
			}
		}
	}
	return first, !first.IsZero()
}
