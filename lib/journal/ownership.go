package journal

import (
	"errors"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// load is a takeover whose segments are not read yet.
type load struct {
	head    head
	version int64
	exists  bool
}

// looked takes the head of a shard that the process does not own.
func (s *Shard) looked(result Result, now time.Time) []Reply {
	if result.Err != nil && !errors.Is(result.Err, platform.ErrNotFound) {
		return s.contact(result.Err, now)
	}
	s.contact(nil, now)
	exists := result.Err == nil
	var h head
	if exists {
		var err error
		if h, err = decodeHead(result.Object); err != nil {
			return s.abandon(now, "the head of the shard is corrupt")
		}
	}
	s.observe(h, exists, now)
	if s.mayTake(now) {
		s.sync.load = &load{h, result.Object.Version, exists}
		return nil
	}
	if s.vacant() {
		return nil
	}
	return s.refuseWaiting(s.notEligible(now))
}

// observe notes a head that another process owns. The observation starts anew when
// the owner changes, when the head goes back, as after a restore, and after a gap.
func (s *Shard) observe(h head, exists bool, now time.Time) {
	o := &s.sync.observed
	continued := now.Sub(o.last) <= 2*pollInterval && o.exists == exists &&
		o.head.sameOwner(h) && h.Batch >= o.head.Batch
	if o.last.IsZero() || !continued {
		o.since = now
	}
	o.head = h
	o.exists = exists
	o.last = now
	s.sync.highestEpoch = max(s.sync.highestEpoch, h.Epoch)
}

// vacant reports whether the observed shard has no owner.
func (s *Shard) vacant() bool {
	o := &s.sync.observed
	return !o.exists || o.head.Owner == ""
}

// eligibleAt returns the time at which the process may take over the shard. A shard
// is therefore not taken from a live owner more often than every takeoverWait.
func (s *Shard) eligibleAt() time.Time {
	if s.vacant() {
		return s.sync.observed.since.Add(vacantWait)
	}
	return s.sync.observed.since.Add(takeoverWait)
}

func (s *Shard) eligible(now time.Time) bool { return !now.Before(s.eligibleAt()) }

// mayTake reports whether the process may take over the observed shard now. A shard
// with an owner is taken only for a caller that waits: entries send requests to another
// process only when the owner is not usable, while an idle live owner also leaves its
// head unchanged. The shard of an earlier process of the own VM needs no caller: a VM
// runs one endpoint process.
func (s *Shard) mayTake(now time.Time) bool {
	free := s.vacant() || s.sync.observed.head.Owner == s.self.VM
	return s.eligible(now) && (free || len(s.arrivals) > 0)
}

// notEligible returns the refusal of a shard that another process owns, or nil when
// the head must be read first or the shard is about to be taken.
func (s *Shard) notEligible(now time.Time) *errkind.Error {
	fresh := now.Sub(s.sync.observed.last) < pollInterval
	if !fresh || s.sync.open != nil || s.sync.load != nil || s.vacant() || s.eligible(now) {
		return nil
	}
	wait := min(s.eligibleAt().Sub(now), pollInterval)
	return notRun(wait, "another process owns the journal shard or took it recently")
}

// loadedSegments prepares the takeover from the head and its segments. If either
// changed since the head was read, the conditional update of the head fails.
func (s *Shard) loadedSegments(result Result, now time.Time) []Reply {
	y := &s.sync
	from := y.load
	y.load = nil
	if result.Err != nil {
		return s.contact(result.Err, now)
	}
	s.contact(nil, now)
	entries, segments, orphans, err := readLog(s.prefix, from.head, result.Objects)
	if err != nil {
		return s.abandon(now, "the segments of the shard do not match its head")
	}
	h := from.head
	h.Owner = s.self.VM
	h.Incarnation = s.self.Incarnation
	h.Epoch = max(h.Epoch, y.highestEpoch) + 1
	h.Batch++
	y.version = from.version
	y.open = &batch{
		head: h, value: encode(h), loaded: replay(entries, now),
		segments: segments, orphans: orphans, create: !from.exists,
	}
	return nil
}

// abandon gives up a takeover and refuses the callers that wait for it.
func (s *Shard) abandon(now time.Time, reason string) []Reply {
	y := &s.sync
	y.open = nil
	y.load = nil
	if s.releasing {
		s.status = statusReleased
	}
	y.retryAt = now.Add(pollInterval)
	return s.refuseWaiting(notRun(pollInterval, reason))
}

// written takes the result of writing the open batch.
func (s *Shard) written(result Result, now time.Time) []Reply {
	y := &s.sync
	b := y.open
	switch {
	case result.Err == nil:
		s.contact(nil, now)
		return s.confirm(b, result.Object.Version, now)
	case answered(result.Err):
		y.resolve = true
		return s.contact(result.Err, now)
	case hadNoEffect(result.Err) && !b.unknown:
		s.thaw(b)
	default:
		b.unknown = true
	}
	return s.contact(result.Err, now)
}

// thaw takes back a batch that had no effect.
func (s *Shard) thaw(b *batch) {
	s.sync.open = nil
	if b.loaded != nil || b.rewrite {
		return
	}
	var back []entry
	for _, e := range b.entries {
		rec := s.records.byKey[e.Key]
		if e.Kind == entryIntent && rec != nil && rec.state == stateCommitting {
			if rec.waiter == 0 {
				s.records.forget(rec)
				continue
			}
			rec.state = stateQueued
		}
		back = append(back, e)
	}
	s.pending = append(back, s.pending...)
}

// confirm applies a batch that is known to be written.
func (s *Shard) confirm(b *batch, version int64, now time.Time) []Reply {
	y := &s.sync
	y.open = nil
	y.version = version
	y.head = b.head
	y.headMissing = false
	y.highestEpoch = max(y.highestEpoch, b.head.Epoch)
	switch {
	case b.loaded != nil:
		return s.own(b, now)
	case b.release:
		s.status = statusReleased
		return nil
	case b.rewrite:
		y.garbage = append(y.garbage, y.segments...)
		y.segments = y.rewritten
		y.unchecked = y.rewritten
		y.rewritten = nil
		y.unconfirmed = nil
		y.rewriting = false
	default:
		s.confirmSegments(b)
	}
	return s.confirmIntents(b.entries, now)
}

func (s *Shard) confirmSegments(b *batch) {
	y := &s.sync
	if y.rolled != nil {
		y.segments = append(y.segments, *y.rolled)
		y.unchecked = append(y.unchecked, *y.rolled)
		y.rolled = nil
	}
	y.segments = y.segments[len(b.expired):]
	y.garbage = append(y.garbage, b.expired...)
}

// confirmIntents grants the callers whose intents are written. Intents without a
// caller are voided.
func (s *Shard) confirmIntents(entries []entry, now time.Time) []Reply {
	var replies []Reply
	for _, e := range entries {
		rec := s.records.byKey[e.Key]
		if e.Kind != entryIntent || rec == nil || rec.state != stateCommitting {
			continue
		}
		if rec.waiter != 0 && !s.releasing {
			replies = append(replies, s.grant(rec, rec.waiter))
			continue
		}
		if rec.waiter != 0 {
			replies = append(replies, refused(rec.waiter, notRun(time.Second, "the process is leaving")))
		}
		s.makeIdle(rec, now)
	}
	return replies
}

// own completes a takeover and decides about the callers that waited for it.
func (s *Shard) own(b *batch, now time.Time) []Reply {
	y := &s.sync
	s.status = statusOwned
	s.pending = b.loaded.merge(s.records)
	s.records = b.loaded
	y.segments = b.segments
	y.garbage = b.orphans
	calls := s.arrivals
	s.arrivals = nil
	var replies []Reply
	for _, call := range calls {
		if reply := s.Begin(call, now); reply.Kind != Waiting {
			replies = append(replies, reply)
		}
	}
	return replies
}

// readBack compares the head with the last write of the process.
func (s *Shard) readBack(result Result, now time.Time) []Reply {
	y := &s.sync
	missing := errors.Is(result.Err, platform.ErrNotFound)
	if result.Err != nil && !missing {
		return s.contact(result.Err, now)
	}
	var h head
	if !missing {
		var err error
		if h, err = decodeHead(result.Object); err != nil {
			return s.contact(err, now)
		}
	}
	s.contact(nil, now)
	y.resolve = false
	b := y.open
	version := result.Object.Version
	switch {
	case b != nil && !missing && h.sameWrite(b.head):
		return s.confirm(b, version, now)
	case b != nil && b.loaded != nil:
		s.observe(h, !missing, now)
		return s.abandon(now, "another process took the journal shard")
	case !missing && h.sameOwner(y.head) && h.Batch == y.head.Batch:
		y.version = version
		y.headMissing = false
		if b != nil {
			b.create = false
		}
		return nil
	case !missing && h.Epoch >= y.head.Epoch && !h.sameOwner(y.head):
		return s.lose(h, now)
	default:
		s.restore(h, version, missing)
		return nil
	}
}

// lose ends the ownership. Requests that were granted keep their records, so that
// their callers still get answers; all other intents are forgotten, because the new
// owner has read those that were written as unknown outcomes.
func (s *Shard) lose(h head, now time.Time) []Reply {
	replies := s.refuseWaiting(notRun(pollInterval, "another process took the journal shard"))
	for _, rec := range s.records.byKey {
		if !rec.ran() {
			s.records.forget(rec)
		}
	}
	s.pending = nil
	s.status = statusUnowned
	if s.releasing {
		s.status = statusReleased
	}
	old := &s.sync
	s.sync = syncState{
		wantedUntil:  old.wantedUntil,
		lastContact:  old.lastContact,
		nextWrite:    old.nextWrite,
		highestEpoch: old.highestEpoch,
	}
	s.observe(h, true, now)
	return replies
}

// restore prepares to write the records in memory back to a platform that shows an
// older state. The new segments get numbers that neither state has used.
func (s *Shard) restore(h head, version int64, missing bool) {
	y := &s.sync
	if b := y.open; b != nil {
		y.head.Batch = b.head.Batch
		if !b.rewrite {
			y.unconfirmed = append(y.unconfirmed, b.entries...)
		}
	}
	y.open = nil
	y.version = version
	y.headMissing = missing
	y.head.Batch = max(y.head.Batch, h.Batch)
	y.head.Next = max(y.head.Next, h.Next)
	y.rolled = nil
	y.segments = nil
	y.garbage = nil
	y.unchecked = nil
	s.startRewrite()
}

// checked takes a segment that the head names. When it is missing, the platform was
// restored between the creation of the segment and the update of the head.
func (s *Shard) checked(result Result, now time.Time) []Reply {
	y := &s.sync
	missing := errors.Is(result.Err, platform.ErrNotFound)
	if result.Err != nil && !missing {
		return s.contact(result.Err, now)
	}
	s.contact(nil, now)
	if missing || result.Object.Version != y.unchecked[0].version {
		s.restore(y.head, y.version, false)
		return nil
	}
	y.unchecked = y.unchecked[1:]
	return nil
}

// startRewrite replaces the log by the records in memory. It also keeps the log of
// requests that were not run from growing without bound.
func (s *Shard) startRewrite() {
	s.sync.rewriting = true
	s.sync.rewrite = s.records.dump(s.batchBytes)
	s.sync.rewritten = nil
}

// created takes the result of creating a segment. A number that exists already was
// used by an owner whose update of the head failed, or by a write of this process
// whose response was lost; it is skipped.
func (s *Shard) created(purpose step, result Result, now time.Time) []Reply {
	y := &s.sync
	if errors.Is(result.Err, platform.ErrExists) {
		y.head.Next++
		return s.contact(result.Err, now)
	}
	if result.Err != nil {
		return s.contact(result.Err, now)
	}
	c := closed{number: y.head.Next, key: result.Object.Key, version: result.Object.Version}
	y.head.Next++
	if purpose == stepRoll {
		c.newest = newestOf(y.head.Open)
		y.rolled = &c
	} else {
		c.newest = newestOf(y.rewrite[0])
		y.rewritten = append(y.rewritten, c)
		y.rewrite = y.rewrite[1:]
	}
	return s.contact(nil, now)
}
