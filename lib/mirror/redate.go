package mirror

import "time"

// MinRedate is by how much a date must be earlier to replace another one. Each process on the way adds
// roundings.
const MinRedate = 20 * time.Millisecond

// Redate takes over that a revision of an object was learned at an earlier time. Those that mirror from this
// process receive it as well.
func (d *Driver) Redate(name string, dated Object) {
	if kind := d.kinds[name]; kind != nil {
		d.apply(name, kind, FromNeighbour, func(time.Time) []Change { return kind.applyDates([]Object{dated}) })
	}
}

// isRevisionOf reports whether an object is the revision that is known, or was written again as it was after the store
// came back from an older copy.
func isRevisionOf(stated, known Object) bool {
	return stated.Revision == known.Revision || (EraOf(stated.Revision) != EraOf(known.Revision) && stated.sameContents(known))
}

// applyDates takes over when known revisions of objects were learned, where that is earlier than known here or
// not known here. What is learned otherwise has no date of its own, and must not be passed.
func (k *Kind) applyDates(objects []Object) []Change {
	if !k.dated || !k.synced {
		return nil
	}
	var changes []Change
	for _, stated := range objects {
		known, ok := k.objects[stated.Name]
		if !ok || !isRevisionOf(stated, known) || stated.LearnedAt.IsZero() ||
			(!known.LearnedAt.IsZero() && known.LearnedAt.Sub(stated.LearnedAt) < MinRedate) {
			continue
		}
		known.LearnedAt = stated.LearnedAt
		k.objects[known.Name] = known
		k.recordChange(known.Name)
		changes = append(changes, Change{Object: known, LastCompleteAt: k.completeAt, Redated: true})
	}
	return changes
}
