package journal

import (
	"errors"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// takeover is a planned takeover whose segments have not been read yet.
type takeover struct {
	head    head
	version int64
	exists  bool
}

// handlePolledHead processes a read of the head of a shard that the process does not own.
func (s *Shard) handlePolledHead(result Result, now time.Time) []Reply {
	if result.Err != nil && !errors.Is(result.Err, platform.ErrNotFound) {
		return s.noteContact(result.Err, now)
	}
	s.noteContact(nil, now)
	exists := result.Err == nil
	var h head
	if exists {
		var err error
		if h, err = decodeHead(result.Object); err != nil {
			return s.abandonTakeover(now, "the head of the shard is corrupt")
		}
	}
	s.observe(h, exists, now)
	if s.mayTakeOver(now) {
		s.sync.takeover = &takeover{h, result.Object.Version, exists}
		return nil
	}
	if s.vacant() {
		return nil
	}
	return s.refuseWaiting(s.notEligible(now))
}

// observe records the head of a shard that this process does not own. The observation
// restarts when the owner changes, when the head appears or disappears, when the batch
// number decreases, as after a restore, and when more than two poll intervals lie between
// two reads.
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

// mayTakeOver reports whether the process may take over the observed shard now. A shard
// with an owner is taken only for a caller that waits: entries send requests to another
// process only when the owner is not usable, while an idle live owner also leaves its
// head unchanged. The shard of an earlier process of the own VM needs no caller: a VM
// runs one endpoint process.
func (s *Shard) mayTakeOver(now time.Time) bool {
	free := s.vacant() || s.sync.observed.head.Owner == s.self.VM
	return s.eligible(now) && (free || len(s.waitingCalls) > 0)
}

// notEligible returns the refusal of a shard that another process owns, or nil when
// the head must be read first or the shard is about to be taken.
func (s *Shard) notEligible(now time.Time) *errkind.Error {
	fresh := now.Sub(s.sync.observed.last) < pollInterval
	if !fresh || s.sync.openBatch != nil || s.sync.takeover != nil || s.vacant() || s.eligible(now) {
		return nil
	}
	wait := min(s.eligibleAt().Sub(now), pollInterval)
	return notRun(wait, "another process owns the journal shard or took it recently")
}

// prepareTakeover prepares the takeover from the head and its segments. If either
// changed since the head was read, the conditional update of the head fails.
func (s *Shard) prepareTakeover(result Result, now time.Time) []Reply {
	state := &s.sync
	from := state.takeover
	state.takeover = nil
	if result.Err != nil {
		return s.noteContact(result.Err, now)
	}
	s.noteContact(nil, now)
	entries, segments, orphans, err := readLog(s.prefix, from.head, result.Objects)
	if err != nil {
		return s.abandonTakeover(now, "the segments of the shard do not match its head")
	}
	h := from.head
	h.Owner = s.self.VM
	h.Incarnation = s.self.Incarnation
	h.Epoch = max(h.Epoch, state.highestEpoch) + 1
	h.Batch++
	state.version = from.version
	state.openBatch = &batch{
		head: h, value: encode(h), loadedRecords: replayLog(entries, now),
		segments: segments, orphans: orphans, create: !from.exists,
	}
	return nil
}

// abandonTakeover ends a takeover that failed and refuses the callers that wait for it.
func (s *Shard) abandonTakeover(now time.Time, reason string) []Reply {
	state := &s.sync
	state.openBatch = nil
	state.takeover = nil
	if s.releasing {
		s.status = statusReleased
	}
	state.retryAt = now.Add(pollInterval)
	return s.refuseWaiting(notRun(pollInterval, reason))
}

// handleHeadWrite processes the result of writing the open batch.
func (s *Shard) handleHeadWrite(result Result, now time.Time) []Reply {
	state := &s.sync
	b := state.openBatch
	switch {
	case result.Err == nil:
		s.noteContact(nil, now)
		return s.confirmBatch(b, result.Object.Version, now)
	case responded(result.Err):
		state.mustResolve = true
		return s.noteContact(result.Err, now)
	case hadNoEffect(result.Err) && !b.unknown:
		s.undoBatch(b)
	default:
		b.unknown = true
	}
	return s.noteContact(result.Err, now)
}

// undoBatch returns the entries of a batch that had no effect to the pending entries.
// Intents without a caller are forgotten. Takeovers and rewrites took none from there.
func (s *Shard) undoBatch(b *batch) {
	s.sync.openBatch = nil
	if b.loadedRecords != nil || b.rewrite {
		return
	}
	var returned []logEntry
	for _, e := range b.entries {
		rec := s.records.byKey[e.Key]
		if e.Kind == entryIntent && rec != nil && rec.state == stateCommitting {
			if rec.waiter == 0 {
				s.records.forget(rec)
				continue
			}
			rec.state = stateQueued
		}
		returned = append(returned, e)
	}
	s.pending = append(returned, s.pending...)
}

// confirmBatch applies a batch that is known to be written.
func (s *Shard) confirmBatch(b *batch, version int64, now time.Time) []Reply {
	state := &s.sync
	state.openBatch = nil
	state.version = version
	state.head = b.head
	state.headMissing = false
	state.highestEpoch = max(state.highestEpoch, b.head.Epoch)
	switch {
	case b.loadedRecords != nil:
		return s.completeTakeover(b, now)
	case b.release:
		s.status = statusReleased
		return nil
	case b.rewrite:
		state.garbage = append(state.garbage, state.segments...)
		state.segments = state.rewrittenSegments
		state.uncheckedSegments = state.rewrittenSegments
		state.rewrittenSegments = nil
		state.unconfirmedEntries = nil
		state.rewriting = false
	default:
		s.confirmSegments(b)
	}
	return s.confirmIntents(b.entries, now)
}

func (s *Shard) confirmSegments(b *batch) {
	state := &s.sync
	if state.rolledSegment != nil {
		state.segments = append(state.segments, *state.rolledSegment)
		state.uncheckedSegments = append(state.uncheckedSegments, *state.rolledSegment)
		state.rolledSegment = nil
	}
	state.segments = state.segments[len(b.expiredSegments):]
	state.garbage = append(state.garbage, b.expiredSegments...)
}

// confirmIntents grants the callers whose intents are written. Intents without a
// caller are voided.
func (s *Shard) confirmIntents(entries []logEntry, now time.Time) []Reply {
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

// completeTakeover completes a takeover and decides about the callers that waited for it.
func (s *Shard) completeTakeover(b *batch, now time.Time) []Reply {
	state := &s.sync
	s.status = statusOwned
	s.pending = b.loadedRecords.merge(s.records)
	s.records = b.loadedRecords
	state.segments = b.segments
	state.garbage = b.orphans
	calls := s.waitingCalls
	s.waitingCalls = nil
	var replies []Reply
	for _, call := range calls {
		if reply := s.Begin(call, now); reply.Kind != Waiting {
			replies = append(replies, reply)
		}
	}
	return replies
}

// compareHead compares the head with the last write of the process.
func (s *Shard) compareHead(result Result, now time.Time) []Reply {
	state := &s.sync
	missing := errors.Is(result.Err, platform.ErrNotFound)
	if result.Err != nil && !missing {
		return s.noteContact(result.Err, now)
	}
	var h head
	if !missing {
		var err error
		if h, err = decodeHead(result.Object); err != nil {
			return s.noteContact(err, now)
		}
	}
	s.noteContact(nil, now)
	state.mustResolve = false
	b := state.openBatch
	version := result.Object.Version
	switch {
	case b != nil && !missing && h.sameWrite(b.head):
		return s.confirmBatch(b, version, now)
	case b != nil && b.loadedRecords != nil:
		s.observe(h, !missing, now)
		return s.abandonTakeover(now, "another process took the journal shard")
	case !missing && h.sameOwner(state.head) && h.Batch == state.head.Batch:
		state.version = version
		state.headMissing = false
		if b != nil {
			b.create = false
		}
		return nil
	case !missing && h.Epoch >= state.head.Epoch && !h.sameOwner(state.head):
		return s.loseOwnership(h, now)
	default:
		s.startWriteBack(h, version, missing)
		return nil
	}
}

// loseOwnership ends the ownership. Requests that were granted keep their records, so that
// their callers still get responses; all other intents are forgotten, because the new
// owner has read those that were written as unknown outcomes.
func (s *Shard) loseOwnership(h head, now time.Time) []Reply {
	replies := s.refuseWaiting(notRun(pollInterval, "another process took the journal shard"))
	for _, rec := range s.records.byKey {
		if !rec.mayHaveRun() {
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

// startWriteBack prepares to write the records in memory back to a platform that shows an
// older state. The new segments get numbers that neither state has used.
func (s *Shard) startWriteBack(h head, version int64, missing bool) {
	state := &s.sync
	if b := state.openBatch; b != nil {
		state.head.Batch = b.head.Batch
		if !b.rewrite {
			state.unconfirmedEntries = append(state.unconfirmedEntries, b.entries...)
		}
	}
	state.openBatch = nil
	state.version = version
	state.headMissing = missing
	state.head.Batch = max(state.head.Batch, h.Batch)
	state.head.Next = max(state.head.Next, h.Next)
	state.rolledSegment = nil
	state.segments = nil
	state.garbage = nil
	state.uncheckedSegments = nil
	s.startRewrite()
}

// handleCheckedSegment processes a read of a segment that the head names. When the segment
// is missing or has another version, the platform was restored between the creation of
// the segment and the update of the head.
func (s *Shard) handleCheckedSegment(result Result, now time.Time) []Reply {
	state := &s.sync
	missing := errors.Is(result.Err, platform.ErrNotFound)
	if result.Err != nil && !missing {
		return s.noteContact(result.Err, now)
	}
	s.noteContact(nil, now)
	if missing || result.Object.Version != state.uncheckedSegments[0].version {
		s.startWriteBack(state.head, state.version, false)
		return nil
	}
	state.uncheckedSegments = state.uncheckedSegments[1:]
	return nil
}

// startRewrite starts to replace the log by the records in memory. This also keeps the
// log of requests that were not run from growing without bound.
func (s *Shard) startRewrite() {
	s.sync.rewriting = true
	s.sync.rewriteParts = s.records.dump(s.batchBytes)
	s.sync.rewrittenSegments = nil
}

// handleCreatedSegment processes the result of creating a segment. A number that exists
// already was used by an owner whose update of the head failed, or by a write of this
// process whose response was lost; it is skipped.
func (s *Shard) handleCreatedSegment(purpose step, result Result, now time.Time) []Reply {
	state := &s.sync
	if errors.Is(result.Err, platform.ErrExists) {
		state.head.Next++
		return s.noteContact(result.Err, now)
	}
	if result.Err != nil {
		return s.noteContact(result.Err, now)
	}
	c := closedSegment{number: state.head.Next, key: result.Object.Key, version: result.Object.Version}
	state.head.Next++
	if purpose == stepRoll {
		c.newestAt = newestTime(state.head.Open)
		state.rolledSegment = &c
	} else {
		c.newestAt = newestTime(state.rewriteParts[0])
		state.rewrittenSegments = append(state.rewrittenSegments, c)
		state.rewriteParts = state.rewriteParts[1:]
	}
	return s.noteContact(nil, now)
}
