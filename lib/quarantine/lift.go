package quarantine

import (
	"maps"
	"slices"
	"time"
)

// liftCleared ends the blocks that crashes have led to and that would not be put in force on the counts that are known
// by now: those of an entry that was silent may arrive after the verdict. Counts only grow, so that such a block is not
// found again by an entry that knows them.
func (t *Tracker) liftCleared(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.found)) {
		b, known := t.blocks[name]
		if !known {
			delete(t.found, name)
			continue
		}
		if !b.Released && !slices.ContainsFunc(b.Names, func(name string) bool { return !t.isCleared(name) }) {
			t.Release(name, now)
		}
	}
}

// isCleared reports whether too many requests with a name have begun for all crashes in which it is a suspect, whether
// or not they still count against it.
func (t *Tracker) isCleared(name string) bool {
	p, crashes := t.tallies[name], 0
	if p == nil {
		return false
	}
	for _, c := range t.crashes {
		if c.suspects[name] != nil {
			crashes++
		}
	}
	_, since := p.total(p.own)
	return crashes > 0 && since > maxBegun(crashes)
}

// SetFoundBlock is SetBlock for a block that an entry has written, because of crashes. Unlike that of an operator it ends
// when it turns out that too many requests have begun.
func (t *Tracker) SetFoundBlock(names, workspaces []string, now time.Time) bool {
	changed := t.SetBlock(names, workspaces, now)
	t.found[Block{Names: slices.Sorted(slices.Values(names))}.Name()] = true
	t.changed = true
	return changed
}
