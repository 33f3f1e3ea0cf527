// Package mirror keeps copies of the kinds of objects in the platform's store. What a
// process has acted on never goes back to an older revision, whichever source it hears
// from: the store itself, or a neighbour that the store still serves.
//
// Kind is a state machine without I/O. Driver feeds it from the store and, while the
// store is out of reach, from neighbours.
package mirror

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lapseOutage is the shortest outage in which entries may lapse: a worker's entry
	// lives for three report intervals of 1.2 s.
	lapseOutage = 2 * time.Second
	// lapseGrace is how long lapsed entries are kept after an outage. The platform
	// states that entries of live workers are back within about two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// ErrHistoryLost is returned by a watch whose revision is too old.
var ErrHistoryLost = errors.New("the store no longer has the history after this revision")

// Object is one object of a kind.
type Object struct {
	Name string `json:"name"`
	// Revision is that of the object's last change.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// LearnedAt is when this process, or the one that it was heard from, learnt of the revision
	// while it was kept up to date. For a revision that was missed and found later it is the
	// last time before at which the copy was complete, so that bounds that count from it are
	// not overrun. It is zero when the revision was read at a start and its age is not known.
	LearnedAt time.Time `json:"-"`
}

// Event is one change that a watch reports.
type Event struct {
	Object  Object
	Deleted bool
}

// Change is a change of the mirrored state. Deleted objects keep their last value.
type Change struct {
	Object  Object
	Deleted bool
	// LastCompleteAt is when the copy was last known to be complete before: a revision of the object
	// between its last one and this was made later. It is zero at a start.
	LastCompleteAt time.Time
}

// Kind mirrors the objects of one kind. It is not safe for concurrent use.
type Kind struct {
	// lapses is set for kinds whose objects disappear by themselves while the store is
	// down.
	lapses   bool
	known    bool
	revision int64
	objects  map[string]Object
	// held are objects that were deleted during or just after an outage.
	held map[string]Object
	// sequence counts the changes of this copy, changed holds that of each object's last
	// change, and gone those of the objects that were removed since floor.
	sequence int64
	changed  map[string]int64
	gone     []departure
	floor    int64
	// floorRevision is the revision of the store since which all removals are in gone.
	floorRevision int64
	// failedAt is the start of the outage that is going on.
	failedAt  time.Time
	failing   bool
	graceEnds time.Time
	// lastFailure is when the store was last found not to answer.
	lastFailure time.Time
	// soundSince is when the store began to answer without a break, here or at the source.
	soundSince time.Time
	// completeAt is the last time at which the copy is known to have held every change.
	completeAt time.Time
}

// departure is an object that was removed. The revision is that of the kind when it was.
type departure struct {
	name     string
	sequence int64
	revision int64
}

// maxGone bounds the removals that are remembered. A neighbour that has missed more of
// them gets all objects.
const maxGone = 512

// NewKind returns an empty mirror.
func NewKind(lapses bool) *Kind {
	return &Kind{lapses: lapses, objects: make(map[string]Object), held: make(map[string]Object), changed: make(map[string]int64)}
}

// HasSynced reports whether the kind was listed once.
func (k *Kind) HasSynced() bool { return k.known }

// Revision returns the revision up to which changes are known.
func (k *Kind) Revision() int64 { return k.revision }

// Len returns the number of objects, without held ones.
func (k *Kind) Len() int { return len(k.objects) }

// Objects returns the objects in the order of their names, held ones included.
func (k *Kind) Objects() []Object {
	all := maps.Clone(k.objects)
	for name, object := range k.held {
		all[name] = object
	}
	return slices.SortedFunc(maps.Values(all), func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
}

// Get returns an object.
func (k *Kind) Get(name string) (Object, bool) {
	if object, ok := k.objects[name]; ok {
		return object, true
	}
	object, ok := k.held[name]
	return object, ok
}

// Sequence returns the number of changes of this copy.
func (k *Kind) Sequence() int64 { return k.sequence }

// ChangesSince returns what has changed after a sequence number of this copy. It returns all
// objects when that is negative or too old.
func (k *Kind) ChangesSince(sequence int64) (objects []Object, removed []string, full bool) {
	if sequence < k.floor || sequence < 0 {
		return k.Objects(), nil, true
	}
	for _, object := range k.Objects() {
		if k.changed[object.Name] > sequence {
			objects = append(objects, object)
		}
	}
	for _, g := range k.gone {
		if _, back := k.changed[g.name]; g.sequence > sequence && !back {
			removed = append(removed, g.name)
		}
	}
	return objects, removed, false
}

// ChangesAfterRevision returns what has changed after a revision of the store, for a copy that was made
// from another source. It returns all objects when the removals since are not known.
func (k *Kind) ChangesAfterRevision(revision int64) (objects []Object, removed []string, full bool) {
	if revision < k.floorRevision {
		return k.Objects(), nil, true
	}
	for _, object := range k.Objects() {
		if object.Revision > revision {
			objects = append(objects, object)
		}
	}
	for _, g := range k.gone {
		if _, back := k.changed[g.name]; g.revision > revision && !back {
			removed = append(removed, g.name)
		}
	}
	return objects, removed, false
}

func (k *Kind) touch(name string) {
	k.sequence++
	k.changed[name] = k.sequence
}

func (k *Kind) bury(name string) {
	k.sequence++
	delete(k.changed, name)
	k.gone = append(k.gone, departure{name, k.sequence, k.revision})
	if len(k.gone) > maxGone {
		k.floor = k.gone[0].sequence
		k.floorRevision = k.gone[0].revision
		k.gone = k.gone[1:]
	}
}

// MarkComplete notes that the copy held every change at a time.
func (k *Kind) MarkComplete(at time.Time) {
	if at.After(k.completeAt) {
		k.completeAt = at
	}
}

// EarliestChange returns the earliest time at which a change that is found now can have been made.
func (k *Kind) EarliestChange(now time.Time) time.Time {
	if k.completeAt.IsZero() || k.completeAt.After(now) {
		return now
	}
	return k.completeAt
}

// ShiftForSuspension moves what is dated back by a suspension of the machine, which the monotonic
// clock has not counted.
func (k *Kind) ShiftForSuspension(length time.Duration) {
	k.completeAt = k.completeAt.Add(-length)
	k.lastFailure = k.lastFailure.Add(-length)
	for _, objects := range []map[string]Object{k.objects, k.held} {
		for name, object := range objects {
			if !object.LearnedAt.IsZero() {
				object.LearnedAt = object.LearnedAt.Add(-length)
				objects[name] = object
			}
		}
	}
}

// MarkFailed notes that no source answered.
func (k *Kind) MarkFailed(now time.Time) {
	k.lastFailure = now
	if !k.failing {
		k.failing = true
		k.failedAt = now
	}
}

// OutageDuration returns how long no source has answered.
func (k *Kind) OutageDuration(now time.Time) time.Duration {
	if !k.failing {
		return 0
	}
	return now.Sub(k.failedAt)
}

// Recovering reports whether the grace time after an outage runs.
func (k *Kind) Recovering(now time.Time) bool { return now.Before(k.graceEnds) }

// StoreAvailableFor returns how long the store has answered without a break, here or at the neighbour
// that this copy comes from.
func (k *Kind) StoreAvailableFor(now time.Time) time.Duration {
	if !k.known || k.failing {
		return 0
	}
	return now.Sub(k.soundSince)
}

// MarkAvailable ends an outage of a source that has been sound for some time; zero for the store
// itself. After a long outage, deletions are believed only when the grace time is over. It
// began when the source became sound, so that copies of copies end it together. A kind that
// was never read holds nothing that could be deleted.
func (k *Kind) MarkAvailable(sound time.Duration, now time.Time) {
	if k.known && !k.failing {
		return
	}
	if k.known && k.lapses && now.Sub(k.failedAt) >= lapseOutage {
		k.graceEnds = now.Add(lapseGrace - sound)
	}
	k.soundSince = now.Add(-sound)
	if k.failing && k.lastFailure.Sub(k.failedAt) >= lapseOutage && k.lastFailure.Before(k.soundSince) {
		// Nothing is changed while the store answers nobody. It may have been back since it was
		// last asked, and a short failure may be that of one call or connection.
		k.MarkComplete(k.lastFailure)
	}
	k.failing = false
}

// ApplyList applies the full list of a revision. A list that is older than what is known
// is ignored.
func (k *Kind) ApplyList(objects []Object, revision int64, now time.Time) []Change {
	k.MarkAvailable(0, now)
	missed := k.EarliestChange(now)
	if revision < k.revision {
		return nil
	}
	first := !k.known
	if first {
		k.floorRevision = revision
	}
	k.known = true
	k.revision = revision
	var changes []Change
	present := make(map[string]bool, len(objects))
	for _, object := range objects {
		present[object.Name] = true
		if !first && object.LearnedAt.IsZero() {
			object.LearnedAt = missed
		}
		changes = k.set(changes, object)
	}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		if !present[name] {
			changes = k.remove(changes, name, now)
		}
	}
	return changes
}

// ApplyEvents applies the events up to a revision. Those that do not say when they were learnt
// have just been made.
func (k *Kind) ApplyEvents(events []Event, revision int64, now time.Time) []Change {
	k.MarkAvailable(0, now)
	if revision < k.revision {
		return nil
	}
	k.revision = revision
	var changes []Change
	for _, event := range events {
		if event.Deleted {
			changes = k.remove(changes, event.Object.Name, now)
			continue
		}
		if event.Object.LearnedAt.IsZero() {
			event.Object.LearnedAt = now
		}
		changes = k.set(changes, event.Object)
	}
	return changes
}

// Tick ends the grace time of held objects.
func (k *Kind) Tick(now time.Time) []Change {
	if len(k.held) == 0 || k.Recovering(now) {
		return nil
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(k.held)) {
		changes = append(changes, Change{Object: k.held[name], Deleted: true})
		k.bury(name)
	}
	clear(k.held)
	return changes
}

// set stores an object unless a newer revision of it is known.
func (k *Kind) set(changes []Change, object Object) []Change {
	old, ok := k.objects[object.Name]
	if ok && old.Revision >= object.Revision {
		return changes
	}
	held, wasHeld := k.held[object.Name]
	delete(k.held, object.Name)
	k.objects[object.Name] = object
	k.touch(object.Name)
	if wasHeld && string(held.Value) == string(object.Value) {
		return changes
	}
	return append(changes, Change{Object: object, LastCompleteAt: k.completeAt})
}

func (k *Kind) remove(changes []Change, name string, now time.Time) []Change {
	object, ok := k.objects[name]
	if !ok {
		return changes
	}
	delete(k.objects, name)
	if k.Recovering(now) {
		k.held[name] = object
		return changes
	}
	k.bury(name)
	return append(changes, Change{Object: object, Deleted: true})
}
