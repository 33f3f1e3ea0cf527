package fleetload

import "time"

// HeldByOthers returns the bytes that a start of a worker holds for other entries, by their facts: for all of them and, where that
// is more than some bytes, for the one that tells of most, with its name.
func (v *View) HeldByOthers(vm string, startedAtMs, above int64, now time.Time) (all, most int64, by string) {
	v.expire(now)
	w := v.workers[vm]
	switch {
	case w == nil || w.startedAtMs != startedAtMs:
		return 0, 0, ""
	case w.told.heldBytes <= above:
		return w.told.heldBytes, 0, ""
	}
	for name, s := range v.senders {
		if f, tells := s.facts[w]; tells && f.isCurrent() && f.part.heldBytes > most {
			most, by = f.part.heldBytes, name
		}
	}
	return w.told.heldBytes, most, by
}
