package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxBegun returns the number of requests with a part that may have begun since the first of a
// number of crashes.
func maxBegun(crashes int) int64 { return maxBegunPerCrash * int64(crashes) }

// candidate is a part that may have caused crashes that nothing else explains.
type candidate struct {
	name          string
	crashes       []*crash
	before, since int64
}

// isCleared reports whether too many requests with the part have begun.
func (c candidate) isCleared() bool { return c.since > maxBegun(len(c.crashes)) }

// isSufficient reports whether the evidence suffices for a block.
func (c candidate) isSufficient() bool {
	needed := minCrashes
	if c.before >= knownPartRequests {
		needed = minCrashesOfKnownPart
	}
	return c.separateCrashes() >= needed && !c.isCleared()
}

// separateCrashes returns the number of crashes, of which those in one availability zone that are
// close together count as one.
func (c candidate) separateCrashes() int {
	crashes := slices.SortedFunc(slices.Values(c.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	count := 0
	last := make(map[string]time.Time)
	for _, crashed := range crashes {
		if before, ok := last[crashed.zone]; !ok || crashed.at.Sub(before) >= sameCauseTime {
			count++
			last[crashed.zone] = crashed.at
		}
	}
	return count
}

// decide blocks the parts against which the evidence suffices. It starts from all crashes each
// time: more evidence may show that one of several parts causes the crashes alone.
func (t *Tracker) decide(now time.Time) {
	if !t.changed && (t.decideAt.IsZero() || now.Before(t.decideAt)) {
		return
	}
	t.changed = false
	crashes := slices.Collect(maps.Values(t.crashes))
	t.updateSufficiency(t.candidates(crashes), now)
	for {
		candidates := t.candidates(crashes)
		best := t.best(candidates, now)
		if best == nil {
			return
		}
		found := Block{Parts: inseparable(*best, candidates), Workspaces: workspacesOf(*best)}
		t.block(found, now)
		crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return c.hasAll(found.Parts) })
	}
}

// candidates returns the parts that are suspects in at least minCrashes of some crashes, by name.
func (t *Tracker) candidates(crashes []*crash) map[string]candidate {
	crashesOf := make(map[string][]*crash)
	for _, c := range crashes {
		for name, s := range c.suspects {
			if !s.released {
				crashesOf[name] = append(crashesOf[name], c)
			}
		}
	}
	list := make(map[string]candidate)
	for name, crashes := range crashesOf {
		if p := t.parts[name]; p != nil && len(crashes) >= minCrashes {
			before, since := p.total(p.own)
			list[name] = candidate{name, crashes, before, since}
		}
	}
	return list
}

// updateSufficiency records since when the evidence against each part suffices, and when to decide
// on the next one.
func (t *Tracker) updateSufficiency(candidates map[string]candidate, now time.Time) {
	t.decideAt = time.Time{}
	for name, p := range t.parts {
		switch sufficient := candidates[name].isSufficient(); {
		case !sufficient:
			p.sufficientSince = time.Time{}
		case p.sufficientSince.IsZero():
			p.sufficientSince = now
		}
		if at := p.sufficientSince.Add(verdictDelay); !p.sufficientSince.IsZero() && at.After(now) && (t.decideAt.IsZero() || at.Before(t.decideAt)) {
			t.decideAt = at
		}
	}
}

// best returns the part that explains most crashes, or nil when the evidence suffices against
// none.
func (t *Tracker) best(candidates map[string]candidate, now time.Time) *candidate {
	var best *candidate
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[name]
		p := t.parts[name]
		if !c.isSufficient() || p.sufficientSince.IsZero() || now.Sub(p.sufficientSince) < verdictDelay {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(best.crashes), len(c.crashes)), cmp.Compare(c.since, best.since), cmp.Compare(c.before, best.before)) < 0 {
			best = &c
		}
	}
	return best
}

// inseparable returns the part and those that were in each of its crashes as well and are not
// cleared, sorted.
func inseparable(best candidate, candidates map[string]candidate) []string {
	parts := []string{best.name}
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		other := candidates[name]
		together := len(other.crashes) >= len(best.crashes) && !slices.ContainsFunc(best.crashes, func(c *crash) bool { return !c.hasAll([]string{name}) })
		if name != best.name && together && !other.isCleared() && len(parts) < maxPartsPerBlock {
			parts = append(parts, name)
		}
	}
	slices.Sort(parts)
	return parts
}

// workspacesOf returns the workspaces whose requests were lost with a part, or none for all when
// there is more than one.
func workspacesOf(c candidate) []string {
	var workspaces []string
	for _, crashed := range c.crashes {
		for _, workspace := range crashed.suspects[c.name].workspaces {
			if !slices.Contains(workspaces, workspace) {
				workspaces = append(workspaces, workspace)
			}
		}
	}
	if len(workspaces) > 1 {
		return nil
	}
	return workspaces
}

// hasAll reports whether all parts are suspects in the crash.
func (c *crash) hasAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(name string) bool {
		s := c.suspects[name]
		return s == nil || s.released
	})
}

// block puts a block in force, unless another one refuses the same requests, and tells the other
// entries.
func (t *Tracker) block(found Block, now time.Time) {
	for _, b := range t.blocks {
		if b.covers(found) {
			return
		}
	}
	known, ok := t.blocks[found.Name()]
	switch {
	case ok && known.Released:
		found.Epoch = known.Epoch + 1
	case ok:
		found.Epoch = known.Epoch
	default:
		found.Epoch = 1
	}
	if t.MergeBlock(found) {
		t.send(Message{Blocks: []Block{t.blocks[found.Name()]}}, now)
	}
}

// MergeBlock applies a block or a release that another entry knows. It reports whether that
// changes anything.
func (t *Tracker) MergeBlock(b Block) bool {
	if !b.valid() || b.Epoch > maxEpoch {
		return false
	}
	known, ok := t.blocks[b.Name()]
	switch {
	case !ok || b.Epoch > known.Epoch:
	case b.Epoch < known.Epoch || known.Released:
		return false
	case b.Released:
	case len(known.Workspaces) == 0 || (len(b.Workspaces) > 0 && containsAll(known.Workspaces, b.Workspaces)):
		return false
	default:
		// Both are in force. Together they refuse the requests of more than one workspace.
		b.Workspaces = nil
	}
	t.blocks[b.Name()] = b
	if b.Released {
		t.releaseEvidence(b.Parts)
	}
	t.dropBlocks(b.Name())
	return true
}

// maxEpoch bounds the epochs that other processes send, so that there is always a next one.
const maxEpoch = 1 << 62

// SetBlock puts the block that an operator has written in force, for all workspaces when none is
// named.
func (t *Tracker) SetBlock(parts, workspaces []string, now time.Time) bool {
	b := Block{Parts: slices.Sorted(slices.Values(parts)), Workspaces: workspaces, Epoch: 1}
	if known, ok := t.blocks[b.Name()]; ok {
		b.Epoch = known.Epoch
		if known.Released {
			b.Epoch++
		}
	}
	changed := t.MergeBlock(b)
	if changed {
		t.send(Message{Blocks: []Block{b}}, now)
	}
	return changed
}

// Release ends a block. The crashes that are known so far do not count against its parts any
// more.
func (t *Tracker) Release(name string, now time.Time) bool {
	b, ok := t.blocks[name]
	if !ok || b.Released {
		return false
	}
	b.Released = true
	b.Epoch++
	t.MergeBlock(b)
	t.send(Message{Blocks: []Block{b}}, now)
	return true
}

func (t *Tracker) releaseEvidence(parts []string) {
	for _, c := range t.crashes {
		for _, name := range parts {
			if s := c.suspects[name]; s != nil {
				s.released = true
			}
		}
	}
	t.changed = true
}

// dropBlocks keeps the blocks within their bound. Releases go first, then blocks in the order of
// their names.
func (t *Tracker) dropBlocks(newest string) {
	if len(t.blocks) <= maxBlocks {
		return
	}
	dropped := ""
	for name, b := range t.blocks {
		known := t.blocks[dropped]
		if name != newest && (dropped == "" || (b.Released && !known.Released) || (b.Released == known.Released && name < dropped)) {
			dropped = name
		}
	}
	delete(t.blocks, dropped)
	delete(t.trials, dropped)
}
