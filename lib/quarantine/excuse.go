package quarantine

import (
	"slices"
	"time"
)

// memoryCause stands among the suspects of a crash whose cause was the sum of what the worker held. It is not the name of a
// part, which holds no colon.
const memoryCause = "cause:memory"

// ExcuseForMemory records that a start of a worker that has crashed held more than its memory, so that the requests that were
// lost there are not suspected for it, and tells the other entries. A name is excused once: one that was in several such
// crashes may have caused them.
func (t *Tracker) ExcuseForMemory(start Start, now time.Time) {
	if _, crashed := t.crashedAt[start]; crashed {
		t.addOwnEvidence(start, []Suspect{{Name: memoryCause}}, now)
	}
}

// IsExcused reports whether the crash of a start is likely to have another cause than a request with some names.
func (t *Tracker) IsExcused(start Start, names ...string) bool {
	c := t.crashes[start]
	return c != nil && c.excused && !slices.ContainsFunc(names, func(name string) bool { return c.suspects[name] != nil && !t.excuses(c, name) })
}

// AreDisjoint reports whether it is known that two crashes have no suspect in common.
func (t *Tracker) AreDisjoint(a, b Start) bool {
	one, other := t.crashes[a], t.crashes[b]
	if one == nil || other == nil || len(one.suspects) == 0 || len(other.suspects) == 0 {
		return false
	}
	for name := range one.suspects {
		if other.suspects[name] != nil {
			return false
		}
	}
	return true
}

// excuses reports whether a crash is no evidence against a name that is a suspect of it.
func (t *Tracker) excuses(c *crash, name string) bool {
	if !c.excused {
		return false
	}
	for _, start := range t.crashOrder {
		if first := t.crashes[start]; first.excused && first.suspects[name] != nil {
			return first == c
		}
	}
	return false
}
