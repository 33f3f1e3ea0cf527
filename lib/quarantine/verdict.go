package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxBegun returns the number of requests with a name that may have begun since the first of a
// number of crashes.
func maxBegun(crashes int) int64 { return maxBegunPerCrash * int64(crashes) }

// candidate is a name whose requests may have caused crashes that nothing else explains.
type candidate struct {
	name          string
	crashes       []*crash
	before, since int64
}

// isCleared reports whether too many requests with the name have begun.
func (c candidate) isCleared() bool { return c.since > maxBegun(len(c.crashes)) }

// isKnown reports whether requests with the name had begun before the crashes.
func (c candidate) isKnown() bool { return c.before >= knownRequests }

// isSufficient reports whether the evidence suffices for a block.
func (c candidate) isSufficient() bool {
	needed := minCrashes
	if c.isKnown() {
		needed = minCrashesOfKnown
	}
	return c.separateCrashes() >= needed && !c.isCleared()
}

// separateCrashes returns the number of crashes, of which those in one availability zone that are
// close together count as one. All of them count for a whole request that is new: such a request is
// hardly at several workers at the moment when a zone is lost.
func (c candidate) separateCrashes() int {
	crashes := slices.SortedFunc(slices.Values(c.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	if IsRequestName(c.name) && !c.isKnown() {
		return len(c.crashes)
	}
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

// decide blocks the names against which the evidence suffices. It starts from all crashes each
// time: more evidence may show that one of several names causes the crashes alone.
func (t *Tracker) decide(now time.Time) {
	if !t.changed && (t.decideAt.IsZero() || now.Before(t.decideAt)) {
		return
	}
	t.changed = false
	t.liftCleared(now)
	crashes := slices.Collect(maps.Values(t.crashes))
	all := t.candidates(crashes)
	t.updateSufficiency(all, now)
	var explained []string
	for {
		candidates := t.candidates(crashes)
		best := t.best(candidates, now)
		if best == nil {
			t.awaitCounts(all, explained, now)
			return
		}
		isUnclear := false
		if cause := t.requestBehind(*best, candidates, now); cause != nil {
			best, isUnclear = cause, !t.knowsParts(cause.name)
		}
		found := Block{Names: inseparable(*best, candidates), Workspaces: workspacesOf(*best)}
		if !isUnclear && !t.isTied(*best, candidates) {
			t.block(found, now)
		}
		explained = append(explained, found.Names...)
		crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return c.hasAll(found.Names) })
	}
}

// awaitCounts has the delay begin anew for parts whose crashes other names explain. Entries announce the requests
// with a part only when it is suspected again, so that after the next crash the counts are old.
func (t *Tracker) awaitCounts(candidates map[string]candidate, explained []string, now time.Time) {
	for name, c := range candidates {
		if !IsRequestName(name) && t.isDue(c, now) && !slices.Contains(explained, name) {
			t.tallies[name].sufficientSince = time.Time{}
		}
	}
}

// candidates returns the names that are suspects in at least minCrashes of some crashes, by name.
func (t *Tracker) candidates(crashes []*crash) map[string]candidate {
	crashesOf := make(map[string][]*crash)
	for _, c := range crashes {
		for name, s := range c.suspects {
			if !s.released && !t.excuses(c, name) {
				crashesOf[name] = append(crashesOf[name], c)
			}
		}
	}
	list := make(map[string]candidate)
	for name, crashes := range crashesOf {
		if p := t.tallies[name]; p != nil && len(crashes) >= minCrashes {
			before, since := p.total(p.own)
			list[name] = candidate{name, crashes, before, since}
		}
	}
	return list
}

// updateSufficiency records since when the evidence against each name suffices, and when to decide
// on the next one.
func (t *Tracker) updateSufficiency(candidates map[string]candidate, now time.Time) {
	t.decideAt = time.Time{}
	for name, p := range t.tallies {
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

// best returns the name that explains most crashes, or nil when the evidence suffices against
// none. A whole request goes before the parts of its prompt that explain no more: it refuses less.
func (t *Tracker) best(candidates map[string]candidate, now time.Time) *candidate {
	var best *candidate
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[name]
		if !t.isDue(c, now) {
			continue
		}
		if best == nil || c.compare(*best) > 0 {
			best = &c
		}
	}
	return best
}

// compare orders candidates by how well they explain the crashes.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(len(c.crashes), len(other.crashes)), cmp.Compare(other.since, c.since), cmp.Compare(other.before, c.before),
		compareBool(IsRequestName(c.name), IsRequestName(other.name)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// isDue reports whether the evidence against a name has sufficed for verdictDelay.
func (t *Tracker) isDue(c candidate, now time.Time) bool {
	since := t.tallies[c.name].sufficientSince
	return c.isSufficient() && !since.IsZero() && now.Sub(since) >= verdictDelay
}

// requestBehind returns the whole request because of which a part may be suspected that sound requests
// hold as well: some have begun, and the crashes without the request do not suffice against the part.
// An entry at which the request was not lost leaves the decision to those that know its parts.
func (t *Tracker) requestBehind(part candidate, candidates map[string]candidate, now time.Time) *candidate {
	if IsRequestName(part.name) || part.since == 0 {
		return nil
	}
	var behind *candidate
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[name]
		if !IsRequestName(name) || !t.isDue(c, now) || !c.alwaysWith(part.name) || (t.knowsParts(name) && !t.holds(name, part.name)) {
			continue
		}
		rest := part
		rest.crashes = slices.DeleteFunc(slices.Clone(part.crashes), func(crashed *crash) bool { return crashed.hasAll([]string{name}) })
		if !rest.isSufficient() && (behind == nil || c.compare(*behind) > 0) {
			behind = &c
		}
	}
	return behind
}

// holds reports whether a whole request that was lost at this entry holds a part.
func (t *Tracker) holds(request, part string) bool { return slices.Contains(t.partsOf[request], part) }

// knowsParts reports whether a whole request was lost at this entry, so that its parts are known.
func (t *Tracker) knowsParts(request string) bool { return t.partsOf[request] != nil }

// isTied reports whether a whole request explains the crashes no better than another one that was
// lost in all of them, or than a part that it is not known to hold. The next crash, or a response, will tell them
// apart.
func (t *Tracker) isTied(best candidate, candidates map[string]candidate) bool {
	if !IsRequestName(best.name) {
		return false
	}
	for name, other := range candidates {
		if name == best.name || t.holds(best.name, name) || !best.alwaysWith(name) {
			continue
		}
		other.name = best.name // of a request and a part neither goes before
		if other.isSufficient() && other.compare(best) >= 0 {
			return true
		}
	}
	return false
}

// alwaysWith reports whether another name is a suspect in each of the crashes.
func (c candidate) alwaysWith(name string) bool {
	return !slices.ContainsFunc(c.crashes, func(crashed *crash) bool { return !crashed.hasAll([]string{name}) })
}

// inseparable returns the name and, if it is a part, the parts that were in each of its crashes as
// well and are not cleared, sorted. No request has the names of two whole requests.
func inseparable(best candidate, candidates map[string]candidate) []string {
	names := []string{best.name}
	if IsRequestName(best.name) {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(candidates)) {
		other := candidates[name]
		if name != best.name && !IsRequestName(name) && best.alwaysWith(name) && !other.isCleared() && len(names) < maxNamesPerBlock {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// workspacesOf returns the workspaces whose requests were lost with a name, or none for all when
// there is more than one, or when the whole request came without a workspace.
func workspacesOf(c candidate) []string {
	var workspaces []string
	for _, crashed := range c.crashes {
		for _, workspace := range crashed.suspects[c.name].workspaces {
			if !slices.Contains(workspaces, workspace) {
				workspaces = append(workspaces, workspace)
			}
		}
	}
	if len(workspaces) > 1 || (IsRequestName(c.name) && slices.Contains(workspaces, "")) {
		return nil
	}
	return workspaces
}

// hasAll reports whether all names are suspects in the crash.
func (c *crash) hasAll(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
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
		if !ok || known.Released {
			t.found[found.Name()] = true
		}
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
	if b.Epoch > known.Epoch {
		delete(t.found, b.Name()) // an operator may have written it
	}
	if b.Released {
		t.releaseEvidence(b.Names)
	}
	t.dropBlocks(b.Name())
	return true
}

// maxEpoch bounds the epochs that other processes send, so that there is always a next one.
const maxEpoch = 1 << 62

// SetBlock puts the block that an operator has written in force, for all workspaces when none is
// named.
func (t *Tracker) SetBlock(names, workspaces []string, now time.Time) bool {
	b := Block{Names: slices.Sorted(slices.Values(names)), Workspaces: workspaces, Epoch: 1}
	if known, ok := t.blocks[b.Name()]; ok {
		b.Epoch = known.Epoch
		if known.Released {
			b.Epoch++
		}
	}
	delete(t.found, b.Name())
	changed := t.MergeBlock(b)
	if changed {
		t.send(Message{Blocks: []Block{b}}, now)
	}
	return changed
}

// Release ends a block. The crashes that are known so far do not count against its names any
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

func (t *Tracker) releaseEvidence(names []string) {
	for _, c := range t.crashes {
		for _, name := range names {
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
	delete(t.found, dropped)
}
