// Package mirror keeps local copies of the kinds of objects in the platform's store. State
// that a process has acted on never reverts to an older revision, whether an update comes
// from the store itself or from a neighbour that the store still serves.
//
// Kind is a state machine without I/O. Driver feeds it from the store and from neighbours,
// which replace the store while it is unreachable or when they are the preferred source.
package mirror

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// expiryOutage is the shortest outage after which objects may have expired in the
	// store: a worker's object lives for three report intervals of 1.2 s.
	expiryOutage = 2 * time.Second
	// expiryGrace is how long expired objects are retained after an outage. The platform
	// states that objects of live workers are back within about two seconds.
	expiryGrace = 2200 * time.Millisecond
	// removalMargin is how long before the bounds hold again the grace time must be over, so that a removal
	// still reaches those that mirror from this process.
	removalMargin = 2 * tickInterval
	// minReturnNotice is how long the end of an outage may go unnoticed behind a call that hangs and the pause
	// after it.
	minReturnNotice = time.Second
)

// ErrHistoryLost is returned by a watch whose start revision is older than the history that
// the store keeps.
var ErrHistoryLost = errors.New("the store no longer has the history after this revision")

// ErrEarlierEra is returned when the store responds with a state from before it came back from an
// older copy.
var ErrEarlierEra = errors.New("response of the store is of an earlier era")

// Object is one object of a kind.
type Object struct {
	Name string `json:"name"`
	// Revision is that of the object's last change; see NewRevision.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Status is what others than the writer of Value have added to the object; empty for nothing.
	Status json.RawMessage `json:"status,omitempty"`
	// LearnedAt is when this process, or the process that reported the object, learned of
	// the revision while its copy was up to date. For a revision that was missed and found
	// later, it is the last earlier time at which the copy was complete, so that bounds
	// counted from it are not exceeded. What arrived while this process stood still counts from the
	// beginning of the standstill, and a change of a dated kind always from the last time at which the copy was
	// complete. It is zero when its age is not known: it was read at startup, or the
	// copy was never known to be complete.
	LearnedAt time.Time `json:"-"`
}

// sameContents reports whether two states of an object hold the same.
func (o Object) sameContents(other Object) bool {
	return string(o.Value) == string(other.Value) && string(o.Status) == string(other.Status)
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
	// LastCompleteAt is when the copy was last known to be complete before this change: any
	// revision of the object that the copy skipped was made later. It is zero at startup
	// and for deletions.
	LastCompleteAt time.Time
	// Redated is set if the value was known before, and nothing but its revision or LearnedAt has changed.
	Redated bool
	// Origin is what the change was read from.
	Origin Origin
}

// Origin is what a change was read from.
type Origin string

// Values of Origin.
const (
	FromWatch Origin = "watch"
	FromList  Origin = "list"
	// FromCatchUp is the store, asked for what a watch may have missed.
	FromCatchUp   Origin = "changes after a revision"
	FromNeighbour Origin = "neighbour"
)

// Kind mirrors the objects of one kind. It is not safe for concurrent use.
type Kind struct {
	// expires is set for kinds whose objects expire by themselves while the store is down.
	expires  bool
	synced   bool
	revision int64
	objects  map[string]Object
	// retained holds objects that were deleted during or just after an outage and are kept
	// for the grace time.
	retained map[string]Object
	// settle is the time after the end of an outage from which on removals must be in force within their
	// bound; zero for no such time.
	settle time.Duration
	// dated is set for kinds of which older dates are passed on.
	dated bool
	// restore is what is kept after the store came back from an older copy.
	restore restore
	// sequence counts the changes of this copy. changeSequence holds the sequence number of
	// each object's last change, and removals lists the objects that were removed after
	// floorSequence.
	sequence       int64
	changeSequence map[string]int64
	removals       []removal
	floorSequence  int64
	// floorRevision is the store revision after which all removals are in removals.
	floorRevision int64
	// failedAt is the start of the current outage.
	failedAt  time.Time
	failing   bool
	graceEnds time.Time
	// lastFailure is when the last call began to which the store did not respond.
	lastFailure time.Time
	// storeAvailableSince is the time since which the store has responded without
	// interruption, to this process or to the neighbour that it mirrors from. After an outage it is an
	// earlier time if the end was noticed late, see returnedAt.
	storeAvailableSince time.Time
	// completeAt is the latest time at which the copy is known to have held every change, and
	// publishedCompleteAt the same for readers without the lock of the kind.
	completeAt          time.Time
	publishedCompleteAt atomic.Pointer[time.Time]
}

// removal is an object that was removed. The revision is that of the kind at the removal.
type removal struct {
	name     string
	sequence int64
	revision int64
}

// maxRemovals bounds the removals that are remembered. A neighbour that has missed more of
// them gets all objects.
const maxRemovals = 512

// NewKind returns an empty mirror of a kind. expires states whether its objects expire by
// themselves while the store is down.
func NewKind(expires bool) *Kind {
	return &Kind{expires: expires, restore: newRestore(), objects: make(map[string]Object), retained: make(map[string]Object), changeSequence: make(map[string]int64)}
}

// HasSynced reports whether the kind was listed at least once.
func (k *Kind) HasSynced() bool { return k.synced }

// Revision returns the revision up to which changes are known.
func (k *Kind) Revision() int64 { return k.revision }

// Len returns the number of objects, without the retained ones.
func (k *Kind) Len() int { return len(k.objects) }

// Objects returns the objects sorted by name, retained ones included.
func (k *Kind) Objects() []Object {
	all := maps.Clone(k.objects)
	maps.Copy(all, k.retained)
	maps.Copy(all, k.restore.missing)
	return slices.SortedFunc(maps.Values(all), func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
}

// Get returns an object, which may be a retained one.
func (k *Kind) Get(name string) (Object, bool) {
	if object, ok := k.objects[name]; ok {
		return object, true
	}
	if object, ok := k.retained[name]; ok {
		return object, true
	}
	object, ok := k.restore.missing[name]
	return object, ok
}

// Sequence returns the number of changes of this copy.
func (k *Kind) Sequence() int64 { return k.sequence }

// ChangesSince returns what has changed after a sequence number of this copy. It returns
// all objects when the number is negative or older than the remembered removals.
func (k *Kind) ChangesSince(sequence int64) (objects []Object, removed []string, full bool) {
	if sequence < k.floorSequence || sequence < 0 {
		return k.Objects(), nil, true
	}
	for _, object := range k.Objects() {
		if k.changeSequence[object.Name] > sequence {
			objects = append(objects, object)
		}
	}
	for _, r := range k.removals {
		if _, back := k.changeSequence[r.name]; r.sequence > sequence && !back {
			removed = append(removed, r.name)
		}
	}
	return objects, removed, false
}

// ChangesAfterRevision returns what has changed after a revision of the store, for a copy
// that was made from another source. It returns all objects when the removals since that
// revision are not known. Removals are returned whatever their revision: the copy may hold an
// object that its source retained, and that was removed here at an earlier revision.
func (k *Kind) ChangesAfterRevision(revision int64) (objects []Object, removed []string, full bool) {
	if revision < k.floorRevision {
		return k.Objects(), nil, true
	}
	for _, object := range k.Objects() {
		if object.Revision > revision {
			objects = append(objects, object)
		}
	}
	for _, r := range k.removals {
		if _, back := k.changeSequence[r.name]; !back {
			removed = append(removed, r.name)
		}
	}
	return objects, removed, false
}

func (k *Kind) recordChange(name string) {
	k.sequence++
	k.changeSequence[name] = k.sequence
}

func (k *Kind) recordRemoval(name string) {
	k.sequence++
	delete(k.changeSequence, name)
	k.removals = append(k.removals, removal{name, k.sequence, k.revision})
	if len(k.removals) > maxRemovals {
		k.floorSequence = k.removals[0].sequence
		k.floorRevision = k.removals[0].revision
		k.removals = k.removals[1:]
	}
}

// MarkComplete records that the copy held every change at a time.
func (k *Kind) MarkComplete(at time.Time) {
	if at.After(k.completeAt) {
		k.setCompleteAt(at)
	}
}

func (k *Kind) setCompleteAt(at time.Time) {
	k.completeAt = at
	k.publishedCompleteAt.Store(&at)
}

// EarliestChange returns the earliest time at which a change that is found now can have
// been made, or the zero time when the copy was never known to be complete.
func (k *Kind) EarliestChange(now time.Time) time.Time {
	if k.completeAt.After(now) {
		return now
	}
	return k.completeAt
}

// ShiftForSuspension moves completeAt, lastFailure and the objects' LearnedAt back by a
// suspension of the machine, which the monotonic clock has not counted.
func (k *Kind) ShiftForSuspension(length time.Duration) {
	k.setCompleteAt(k.completeAt.Add(-length))
	k.lastFailure = k.lastFailure.Add(-length)
	for _, objects := range []map[string]Object{k.objects, k.retained, k.restore.missing} {
		for name, object := range objects {
			if !object.LearnedAt.IsZero() {
				object.LearnedAt = object.LearnedAt.Add(-length)
				objects[name] = object
			}
		}
	}
}

// MarkFailed records that no source responded.
func (k *Kind) MarkFailed(now time.Time) { k.markFailed(now, now) }

// markFailed records that a call that began at a time has failed. The store may have recovered while it
// ran.
func (k *Kind) markFailed(now, began time.Time) {
	if began.After(k.lastFailure) {
		k.lastFailure = began
	}
	if !k.failing {
		k.failing = true
		k.failedAt = now
	}
}

// OutageDuration returns how long no source has responded, or 0 outside an outage.
func (k *Kind) OutageDuration(now time.Time) time.Duration {
	if !k.failing {
		return 0
	}
	return now.Sub(k.failedAt)
}

// Recovering reports whether the grace time after an outage is running.
func (k *Kind) Recovering(now time.Time) bool { return now.Before(k.graceEnds) }

// StoreAvailableFor returns how long the store has responded without interruption, to this
// process or to the neighbour that this copy comes from. It is 0 before the first list and
// during an outage.
func (k *Kind) StoreAvailableFor(now time.Time) time.Duration {
	if !k.synced || k.failing {
		return 0
	}
	return now.Sub(k.storeAvailableSince)
}

// MarkAvailable ends an outage, given how long the store has been available to the source
// that responded; zero for the store itself. After a long outage, deletions in a kind that
// expires take effect only when the grace time is over. It starts when the store became
// available to the source, so that copies of copies end it together. A kind that was never
// read holds nothing that could be deleted.
func (k *Kind) MarkAvailable(availableFor time.Duration, now time.Time) {
	if k.synced && !k.failing {
		return
	}
	back := now.Add(-availableFor)
	k.storeAvailableSince = back
	if k.failing && availableFor == 0 {
		k.storeAvailableSince = k.returnedAt(now)
	}
	if k.synced && k.expires && now.Sub(k.failedAt) >= expiryOutage {
		k.graceEnds = k.storeAvailableSince.Add(expiryGrace)
	}
	if k.failing && k.lastFailure.Sub(k.failedAt) >= expiryOutage && k.lastFailure.Before(back) {
		// Nothing is changed while the store responds to nobody, so the copy was still
		// complete at the last failure. The store may have recovered right after it. A
		// short failure does not count, since it may be that of one call or connection.
		k.MarkComplete(k.lastFailure)
	}
	k.failing = false
}

// returnedAt returns when the store counts as back after an outage whose end is noticed now. It may have been
// back since the last call that failed, and removals made since then must be in force in time. Where the settle
// time leaves less than minReturnNotice for that, the whole grace time counts from now: an earlier end would drop
// workers that live and are about to be back.
func (k *Kind) returnedAt(now time.Time) time.Time {
	allowed := k.settle - removalMargin - expiryGrace
	if latest := k.lastFailure.Add(allowed); allowed >= minReturnNotice && latest.Before(now) {
		return latest
	}
	return now
}

// ApplyList applies the full list of a revision that the store, or a source that receives its
// state, has sent. A list older than the known revision is ignored.
func (k *Kind) ApplyList(objects []Object, revision int64, now time.Time) []Change {
	k.MarkAvailable(0, now)
	return k.mergeList(objects, revision, now)
}

// mergeList applies a full list without ending an outage: its source may have lost the store as well.
func (k *Kind) mergeList(objects []Object, revision int64, now time.Time) []Change {
	earliest := k.EarliestChange(now)
	if revision < k.revision {
		return nil
	}
	first := !k.synced
	if first {
		k.floorRevision = revision
	}
	isRestored := k.isRestored(revision)
	if isRestored {
		k.beginRestore(now)
	}
	k.synced = true
	k.revision = revision
	var changes []Change
	present := make(map[string]bool, len(objects))
	for _, object := range objects {
		present[object.Name] = true
		if k.defers(object) {
			continue
		}
		if !first && object.LearnedAt.IsZero() {
			object.LearnedAt = earliest
		}
		changes = k.set(changes, object)
	}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		switch {
		case present[name]:
		case isRestored:
			k.keepMissing(name)
		default:
			changes = k.remove(changes, name, now)
		}
	}
	k.dropDeferred(present)
	return changes
}

// ApplyEvents applies the events up to a revision that the store, or a source that receives its
// state, has sent.
func (k *Kind) ApplyEvents(events []Event, revision int64, now time.Time) []Change {
	k.MarkAvailable(0, now)
	return k.mergeEvents(events, revision, now)
}

// mergeEvents applies events without ending an outage: their source may have lost the store as well.
func (k *Kind) mergeEvents(events []Event, revision int64, now time.Time) []Change {
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
		changes = k.set(changes, event.Object)
	}
	return changes
}

// Tick removes the retained objects once the grace time is over, and ends what is kept after a
// restore.
func (k *Kind) Tick(now time.Time) []Change {
	changes := k.endRestore(now)
	if len(k.retained) == 0 || k.Recovering(now) {
		return changes
	}
	for _, name := range slices.Sorted(maps.Keys(k.retained)) {
		changes = append(changes, Change{Object: k.retained[name], Deleted: true})
		k.recordRemoval(name)
	}
	clear(k.retained)
	return changes
}

// set stores an object unless the same or a newer revision of it is known. In a later era it may be
// as it was, or as the older copy has it.
func (k *Kind) set(changes []Change, object Object) []Change {
	old, ok := k.objects[object.Name]
	if !ok {
		old, ok = k.restore.missing[object.Name]
	}
	if ok && old.Revision >= object.Revision {
		return changes
	}
	kept, wasRetained := k.retained[object.Name]
	if !ok {
		old, ok = kept, wasRetained
	}
	isSame := ok && EraOf(old.Revision) < EraOf(object.Revision) && old.sameContents(object)
	mayBeOlder := ok && (EraOf(old.Revision) < EraOf(object.Revision) || !k.restore.until.IsZero())
	if isSame || (mayBeOlder && k.restore.isOlder(object.Value, old.Value)) {
		object.Value, object.Status, object.LearnedAt = old.Value, old.Status, old.LearnedAt
		isSame = true
	}
	delete(k.retained, object.Name)
	delete(k.restore.missing, object.Name)
	delete(k.restore.deferred, object.Name)
	k.objects[object.Name] = object
	k.recordChange(object.Name)
	if isSame && k.dated {
		return append(changes, Change{Object: object, LastCompleteAt: k.completeAt, Redated: true})
	}
	if isSame || (wasRetained && kept.sameContents(object)) {
		return changes
	}
	return append(changes, Change{Object: object, LastCompleteAt: k.completeAt})
}

func (k *Kind) remove(changes []Change, name string, now time.Time) []Change {
	delete(k.restore.deferred, name)
	if missing, ok := k.restore.missing[name]; ok {
		delete(k.restore.missing, name)
		k.recordRemoval(name)
		return append(changes, Change{Object: missing, Deleted: true})
	}
	object, ok := k.objects[name]
	if !ok {
		return changes
	}
	delete(k.objects, name)
	if k.Recovering(now) {
		k.retained[name] = object
		return changes
	}
	k.recordRemoval(name)
	return append(changes, Change{Object: object, Deleted: true})
}
