package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Began records that a request has begun at a worker.
func (t *Tracker) Began(names []string, now time.Time) {
	for _, name := range names {
		t.historyOf(name).add(name, now)
		p := t.tallies[name]
		if p == nil {
			continue
		}
		p.own.Since++
		if IsRequestName(name) && t.crashCount(name) >= minCrashes {
			// It may tell the request apart from another one that was lost in the same crashes.
			t.planAnnouncement(p, now)
			t.changed = true
		}
	}
}

// Lost records a request whose connection to a worker ended before the request had begun.
// That is evidence only if the worker has crashed.
func (t *Tracker) Lost(start Start, names []string, workspace string, now time.Time) {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == memoryCause })
	if len(names) == 0 {
		return
	}
	t.recordParts(names)
	suspects := make([]Suspect, 0, len(names))
	for _, name := range names {
		suspects = append(suspects, Suspect{name, []string{workspace}})
	}
	if _, crashed := t.crashedAt[start]; crashed {
		t.addOwnEvidence(start, suspects, now)
		return
	}
	lost := t.lost[start]
	if lost == nil {
		lost = &lostRequests{at: now}
		t.lost[start] = lost
		t.lostOrder = append(t.lostOrder, start)
		if len(t.lostOrder) > maxLostStarts {
			delete(t.lost, t.lostOrder[0])
			t.lostOrder = t.lostOrder[1:]
		}
	}
	lost.lastAt = now
	for _, suspect := range suspects {
		known := slices.ContainsFunc(lost.suspects, func(s Suspect) bool { return s.Name == suspect.Name && s.Workspaces[0] == workspace })
		if known {
			continue
		}
		isRepeated := t.lostElsewhere(suspect.Name, start)
		switch {
		case len(lost.suspects) < maxPartsPerCrash+maxRequestsPerCrash:
			lost.suspects = append(lost.suspects, suspect)
		case isRepeated:
			if i := slices.IndexFunc(lost.suspects, func(s Suspect) bool { return !t.lostElsewhere(s.Name, start) }); i >= 0 {
				lost.suspects[i] = suspect
			}
		}
	}
}

// recordParts records which parts a lost request holds, whose names stand before its own.
func (t *Tracker) recordParts(names []string) {
	i := slices.IndexFunc(names, IsRequestName)
	if i < 0 {
		return
	}
	if len(t.partsOf) >= maxKnownRequests {
		maps.DeleteFunc(t.partsOf, func(name string, _ []string) bool { return t.tallies[name] == nil })
	}
	if len(t.partsOf) < maxKnownRequests {
		t.partsOf[names[i]] = append(make([]string, 0, len(names)-1), names[:i]...)
	}
}

// Crashed records that a start of a worker has crashed at a time in an availability zone. It
// reports whether that is new.
func (t *Tracker) Crashed(start Start, zone string, at time.Time) bool {
	if _, known := t.crashedAt[start]; known {
		return false
	}
	lost := t.lost[start]
	if lost != nil && lost.lastAt.Before(at) {
		// The connections ended with the worker.
		at = lost.lastAt
	}
	t.crashedAt[start] = crashTime{at, zone}
	if at.After(t.lastCrashAt) {
		t.lastCrashAt = at
	}
	if len(t.crashedAt) > 2*maxCrashes {
		maps.DeleteFunc(t.crashedAt, func(other Start, _ crashTime) bool { return other != start && t.crashes[other] == nil })
	}
	if lost != nil {
		t.forget(start)
		t.addOwnEvidence(start, lost.suspects, at)
	}
	return true
}

// HasCrashed reports whether a start of a worker is known to have crashed.
func (t *Tracker) HasCrashed(start Start) bool {
	_, crashed := t.crashedAt[start]
	return crashed
}

func (t *Tracker) forget(start Start) {
	delete(t.lost, start)
	t.lostOrder = slices.DeleteFunc(t.lostOrder, func(other Start) bool { return other == start })
}

// forgetLost drops the lost requests at workers that did not crash.
func (t *Tracker) forgetLost(now time.Time) {
	for len(t.lostOrder) > 0 && now.Sub(t.lost[t.lostOrder[0]].at) >= lostTime {
		t.forget(t.lostOrder[0])
	}
}

// addOwnEvidence records evidence that this entry has seen, and tells the others.
func (t *Tracker) addOwnEvidence(start Start, suspects []Suspect, now time.Time) {
	if t.addEvidence(start, suspects, now) {
		crashed := t.crashedAt[start]
		t.send(Message{Crashes: []Crash{{Start: start, Zone: crashed.zone, Age: now.Sub(crashed.at), Suspects: suspects}}}, now)
	}
}

// addEvidence adds suspects to a crash. It reports whether any of that is new.
func (t *Tracker) addEvidence(start Start, suspects []Suspect, now time.Time) bool {
	c := t.crashes[start]
	if c == nil {
		c = &crash{crashTime: t.crashedAt[start], suspects: make(map[string]*suspicion)}
		t.crashes[start] = c
		t.crashOrder = append(t.crashOrder, start)
		t.dropOldCrashes()
	}
	isNew := false
	for _, suspect := range suspects {
		if suspect.Name == memoryCause {
			isNew = isNew || !c.excused
			c.excused = true
			continue
		}
		if t.lostElsewhere(suspect.Name, start) && c.isFull(suspect.Name) {
			t.dropSingle(c, start, IsRequestName(suspect.Name))
		}
		if c.add(suspect) {
			isNew = true
			t.suspected(suspect.Name, now)
		}
	}
	t.changed = t.changed || isNew
	return isNew
}

// add adds a suspect and reports whether that is new.
func (c *crash) add(suspect Suspect) bool {
	known := c.suspects[suspect.Name]
	if known == nil {
		if suspect.Name == "" || c.isFull(suspect.Name) {
			return false
		}
		if IsRequestName(suspect.Name) {
			c.requests++
		}
		known = &suspicion{}
		c.suspects[suspect.Name] = known
	}
	before := len(known.workspaces)
	for _, workspace := range suspect.Workspaces {
		if len(known.workspaces) < maxWorkspacesPerName && !slices.Contains(known.workspaces, workspace) {
			known.workspaces = append(known.workspaces, workspace)
		}
	}
	return len(known.workspaces) > before
}

// isFull reports whether the crash has no place for another name of the kind.
func (c *crash) isFull(name string) bool {
	switch {
	case c.suspects[name] != nil:
		return false
	case IsRequestName(name):
		return c.requests >= maxRequestsPerCrash
	}
	return len(c.suspects)-c.requests >= maxPartsPerCrash
}

// lostElsewhere records that a request with a name was lost at a start of a worker, and reports whether
// one was lost at another start lately. Such names are kept when a crash has too many suspects.
func (t *Tracker) lostElsewhere(name string, start Start) bool {
	if known, ok := t.lostAt[name]; ok {
		return known != start
	}
	if known, ok := t.lastLostAt[name]; ok {
		return known != start
	}
	if len(t.lostAt) >= historyNamesPerPeriod {
		t.lostAt, t.lastLostAt = make(map[string]Start), t.lostAt
	}
	t.lostAt[name] = start
	return false
}

// dropSingle forgets a suspect of a crash that is in no other one.
func (t *Tracker) dropSingle(c *crash, start Start, isRequest bool) {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		if IsRequestName(name) != isRequest || t.crashCount(name) > 1 || t.lostElsewhere(name, start) {
			continue
		}
		delete(c.suspects, name)
		delete(t.tallies, name)
		delete(t.partsOf, name)
		if isRequest {
			c.requests--
		}
		return
	}
}

func (c *crash) message(start Start, now time.Time) Crash {
	message := Crash{Start: start, Zone: c.zone, Age: now.Sub(c.at)}
	if c.excused {
		message.Suspects = append(message.Suspects, Suspect{Name: memoryCause})
	}
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		if s := c.suspects[name]; !s.released {
			message.Suspects = append(message.Suspects, Suspect{name, slices.Clone(s.workspaces)})
		}
	}
	return message
}

// dropOldCrashes forgets the oldest crash beyond the bound, and the names that are suspected for
// no other one.
func (t *Tracker) dropOldCrashes() {
	if len(t.crashOrder) <= maxCrashes {
		return
	}
	oldest := t.crashOrder[0]
	t.crashOrder = t.crashOrder[1:]
	dropped := t.crashes[oldest]
	delete(t.crashes, oldest)
	delete(t.crashedAt, oldest)
	for name := range dropped.suspects {
		if t.crashCount(name) == 0 {
			delete(t.tallies, name)
			delete(t.partsOf, name)
		}
	}
}

// crashCount returns the number of crashes in which a name is a suspect.
func (t *Tracker) crashCount(name string) int {
	count := 0
	for _, c := range t.crashes {
		if s := c.suspects[name]; s != nil && !s.released && !t.excuses(c, name) {
			count++
		}
	}
	return count
}

// SuspectedElsewhere reports whether a name is a suspect of the crash of another start.
func (t *Tracker) SuspectedElsewhere(start Start, name string) bool {
	for other, c := range t.crashes {
		if s := c.suspects[name]; s != nil && !s.released && other != start && !t.excuses(c, name) {
			return true
		}
	}
	return false
}

// suspected records that there is new evidence against a name, and plans to announce the
// requests with it that began at this entry.
func (t *Tracker) suspected(name string, now time.Time) {
	p := t.tallies[name]
	if p == nil {
		p = &tally{counts: make(map[uint64]Counts), own: Counts{Name: name, Entry: t.entry, Before: t.historyOf(name).count(name, now)}}
		t.tallies[name] = p
	}
	if t.crashCount(name) >= minCrashes-1 {
		t.planAnnouncement(p, now)
	}
}

func (t *Tracker) planAnnouncement(p *tally, now time.Time) {
	if p.announceAt.IsZero() {
		p.announceAt = now.Add(time.Duration(t.rng.Int64N(int64(maxAnnounceDelay))))
	}
}

// planAnnouncements announces the requests with suspected names that began at this entry, unless
// the others have told of enough.
func (t *Tracker) planAnnouncements(now time.Time) {
	var counts []Counts
	for name, p := range t.tallies {
		if p.announceAt.IsZero() || p.announceAt.After(now) {
			continue
		}
		p.announceAt = time.Time{}
		before, since := p.total(p.announced)
		tellsSince := p.own.Since > p.announced.Since && since <= announceFactor*maxBegun(t.crashCount(name))
		tellsBefore := p.own.Before > p.announced.Before && before < announceFactor*knownRequests
		if tellsSince || tellsBefore {
			p.announced = p.own
			counts = append(counts, p.own)
		}
	}
	if len(counts) > 0 {
		slices.SortFunc(counts, func(a, b Counts) int { return cmp.Compare(a.Name, b.Name) })
		t.send(Message{Counts: counts}, now)
	}
}

// total returns the requests with the name that began at all entries, with the given ones for
// this entry.
func (p *tally) total(own Counts) (before, since int64) {
	before, since = own.Before, own.Since
	for _, counts := range p.counts {
		before += counts.Before
		since += counts.Since
	}
	return before, since
}

// Merge applies what another entry knows.
func (t *Tracker) Merge(message Message, now time.Time) {
	for _, c := range message.Crashes {
		if c.Start.Address == "" {
			continue
		}
		t.Crashed(c.Start, c.Zone, now.Add(-min(max(c.Age, 0), maxAge)))
		t.addEvidence(c.Start, c.Suspects, now)
	}
	for _, counts := range message.Counts {
		t.mergeCounts(counts)
	}
	for _, b := range message.Blocks {
		t.MergeBlock(b)
	}
}

// maxAge bounds the age of a crash that another entry states.
const maxAge = 24 * time.Hour

// mergeCounts applies the counts of another entry, which only grow.
func (t *Tracker) mergeCounts(counts Counts) {
	p := t.tallies[counts.Name]
	if p == nil || counts.Entry == t.entry || min(counts.Before, counts.Since) < 0 {
		return
	}
	known, ok := p.counts[counts.Entry]
	if !ok && len(p.counts) >= maxCountingEntries {
		return
	}
	known.Name, known.Entry = counts.Name, counts.Entry
	known.Before = min(max(known.Before, counts.Before), maxCount)
	known.Since = min(max(known.Since, counts.Since), maxCount)
	p.counts[counts.Entry] = known
	t.changed = true
}

// maxCount bounds a count of another entry, so that sums do not overflow.
const maxCount = 1 << 40

// Cleared reports whether requests with each of these names have begun lately, so that one that
// was lost in a crash did not cause it.
func (t *Tracker) Cleared(names []string, now time.Time) bool {
	for _, name := range names {
		crashes, begun := t.crashCount(name), t.historyOf(name).count(name, now)
		if p := t.tallies[name]; p != nil && crashes > 0 {
			_, begun = p.total(p.own)
			crashes++
		}
		if begun < max(knownRequests, maxBegun(crashes)) {
			return false
		}
	}
	return true
}

// historyOf returns the history of the kind of a name.
func (t *Tracker) historyOf(name string) *history {
	if IsRequestName(name) {
		return &t.requests
	}
	return &t.parts
}

// history counts the requests with each name that began in the current and the last period.
type history struct {
	current, last map[string]int64
	periodStart   time.Time
}

func newHistory() history {
	return history{current: make(map[string]int64), last: make(map[string]int64)}
}

func (h *history) rotate(now time.Time) {
	if elapsed := now.Sub(h.periodStart); elapsed >= historyPeriod || len(h.current) >= historyNamesPerPeriod {
		h.last, h.current, h.periodStart = h.current, make(map[string]int64), now
		if elapsed >= 2*historyPeriod {
			clear(h.last)
		}
	}
}

func (h *history) add(name string, now time.Time) {
	h.rotate(now)
	h.current[name]++
}

func (h *history) count(name string, now time.Time) int64 {
	h.rotate(now)
	return h.current[name] + h.last[name]
}
