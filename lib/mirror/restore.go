package mirror

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// restoreGrace is how long the state from before a restore stays in force where the store does not
// have it any more. Within it, operators and workers write again what was lost.
const restoreGrace = 10 * time.Second

// restore is what a kind keeps after the store came back from an older copy of its data. What was
// in force stays so, unless it is written again or the grace time passes.
type restore struct {
	// older reports whether the first of two values is known to be older than the second; nil
	// for a kind whose values have no order of their own.
	older func(first, second json.RawMessage) bool
	// keepsMissing is set for kinds that this system writes: missing objects stay until they are
	// written again.
	keepsMissing bool
	// missing holds the objects that the copy lacks, and deferred those that had been removed
	// before and are back in it.
	missing, deferred map[string]Object
	// until is the end of the grace time, and zero outside of it.
	until time.Time
}

func newRestore() restore {
	return restore{missing: make(map[string]Object), deferred: make(map[string]Object)}
}

// isOlder reports whether a value is known to be older than another one.
func (r *restore) isOlder(value, than json.RawMessage) bool {
	return r.older != nil && r.older(value, than)
}

// isRestored reports whether a revision shows that the store came back from an older copy.
func (k *Kind) isRestored(revision int64) bool {
	return k.synced && EraOf(revision) > EraOf(k.revision)
}

func (k *Kind) beginRestore(now time.Time) {
	k.restore.until = now.Add(restoreGrace)
	clear(k.restore.deferred)
}

// keepMissing keeps an object that the copy lacks.
func (k *Kind) keepMissing(name string) {
	k.restore.missing[name] = k.objects[name]
	delete(k.objects, name)
}

// defers reports whether a listed object is not believed for now: it expires by itself, had been
// removed before the restore, and was not written since.
func (k *Kind) defers(object Object) bool {
	if k.restore.until.IsZero() || !k.expires {
		return false
	}
	if deferred, ok := k.restore.deferred[object.Name]; ok {
		return deferred.Revision == object.Revision
	}
	if _, known := k.Get(object.Name); known || !k.wasRemovedBefore(object) {
		return false
	}
	k.restore.deferred[object.Name] = object
	return true
}

// wasRemovedBefore reports whether an object of its name was removed in an earlier era.
func (k *Kind) wasRemovedBefore(object Object) bool {
	return slices.ContainsFunc(k.removals, func(r removal) bool {
		return r.name == object.Name && EraOf(r.revision) < EraOf(object.Revision)
	})
}

// dropDeferred forgets the deferred objects that are not listed any more.
func (k *Kind) dropDeferred(present map[string]bool) {
	maps.DeleteFunc(k.restore.deferred, func(name string, _ Object) bool { return !present[name] })
}

// endRestore believes the store once the grace time is over.
func (k *Kind) endRestore(now time.Time) []Change {
	if k.restore.until.IsZero() || now.Before(k.restore.until) {
		return nil
	}
	k.restore.until = time.Time{}
	var changes []Change
	if !k.restore.keepsMissing {
		for _, name := range slices.Sorted(maps.Keys(k.restore.missing)) {
			changes = k.remove(changes, name, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.restore.deferred)) {
		changes = k.set(changes, k.restore.deferred[name])
	}
	return changes
}

// Adopt takes over the values of another process that are known to be newer than this one's, which
// it may have read from an older copy of the store.
func (k *Kind) Adopt(objects []Object) []Change {
	var changes []Change
	for _, object := range objects {
		known, ok := k.objects[object.Name]
		if !ok || !k.restore.isOlder(known.Value, object.Value) {
			continue
		}
		object.Revision = known.Revision
		k.objects[object.Name] = object
		k.recordChange(object.Name)
		changes = append(changes, Change{Object: object, LastCompleteAt: k.completeAt})
	}
	return changes
}

// checkEra compares the era of a response that tells what has changed after a revision with that of
// the revision. In a later one the history is lost.
func checkEra(revision, after int64) error {
	switch era, known := EraOf(revision), EraOf(after); {
	case era > known:
		return ErrHistoryLost
	case era < known:
		return fmt.Errorf("%w: response at revision %s, copy at %s", ErrEarlierEra, FormatRevision(revision), FormatRevision(after))
	}
	return nil
}

// restored records that the store came back from an older copy. The caller holds the lock.
func (d *Driver) restored(era int64) {
	if era <= d.restoredEra {
		return
	}
	d.restoredEra = era
	d.config.Log.Warn("store came back from an older copy; what was in force stays until it is written again", zap.Int64("era", era))
	if d.config.OnRestore != nil {
		d.config.OnRestore(era)
	}
}
