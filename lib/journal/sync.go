package journal

import (
	"encoding/json"
	"errors"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// OpKind is a call of the platform.
type OpKind int

// Kinds of platform calls.
const (
	OpGet OpKind = iota + 1
	OpList
	OpCreate
	OpUpdate
	OpDelete
)

// Op is one platform call to perform. A shard has at most one open call.
type Op struct {
	Kind    OpKind
	Key     string
	Value   []byte
	Version int64
}

// Result is the outcome of an Op.
type Result struct {
	Object  platform.Object
	Objects []platform.Object
	Err     error
}

// step is the purpose of the open call.
type step int

const (
	stepNone step = iota
	// stepPoll reads the head of a shard that the process does not own.
	stepPoll
	// stepListSegments reads the segments before a takeover.
	stepListSegments
	// stepResolve reads the head after a write that did not succeed.
	stepResolve
	// stepVerify reads the head of an owned shard that is idle.
	stepVerify
	// stepWrite writes the open batch to the head.
	stepWrite
	// stepRoll creates a segment of the open records of the head.
	stepRoll
	// stepRewrite creates a segment of the records in memory for a rewrite of the log.
	stepRewrite
	stepDelete
	// stepCheckSegment reads a segment that the head names since the last batch.
	stepCheckSegment
)

// observation is what a process has observed of a head that it does not own.
type observation struct {
	head   head
	exists bool
	since  time.Time
	last   time.Time
}

// syncState is what a Shard knows about its objects and its open call on the platform.
type syncState struct {
	step step
	// head and version are the last confirmed write of an owner.
	head    head
	version int64
	// openBatch is the batch whose outcome is not known yet.
	openBatch   *batch
	mustResolve bool
	observed    observation
	takeover    *takeover
	// highestEpoch keeps epochs growing when a restore has reverted the head.
	highestEpoch uint64
	// wantedUntil is the time until which the process wants to own the shard.
	wantedUntil time.Time
	lastContact time.Time
	nextWrite   time.Time
	retryAt     time.Time
	failures    int

	segments []closedSegment
	// garbage lists the segments to delete. A busy shard alternates between a deletion
	// and other writes, so segments are deleted at least as fast as they are created.
	garbage       []closedSegment
	lastWasDelete bool
	// rolledSegment is the segment that replaces the open records in the next batch.
	rolledSegment *closedSegment
	// rewriteParts holds the parts of the log that are still to be written, and
	// rewrittenSegments the segments that were created from the others.
	rewriting         bool
	rewriteParts      [][]logEntry
	rewrittenSegments []closedSegment
	// uncheckedSegments lists segments that were created before the head named them. A
	// restore between the two writes can remove them without changing the head.
	uncheckedSegments []closedSegment
	// unconfirmedEntries holds the entries of batches that a restore replaced.
	unconfirmedEntries []logEntry
	headMissing        bool
}

// NextOp returns the platform call to perform now, or the time at which to ask again. A
// zero time means that an event must come first.
func (s *Shard) NextOp(now time.Time) (*Op, time.Time) {
	state := &s.sync
	if state.step != stepNone || s.status == statusReleased {
		return nil, time.Time{}
	}
	if now.Before(state.retryAt) {
		return nil, state.retryAt
	}
	if state.mustResolve {
		return s.call(stepResolve, &Op{Kind: OpGet, Key: s.headKey()}), time.Time{}
	}
	if len(state.uncheckedSegments) > 0 && state.openBatch == nil {
		return s.call(stepCheckSegment, &Op{Kind: OpGet, Key: state.uncheckedSegments[0].key}), time.Time{}
	}
	if s.wantsWrite() {
		if now.Before(state.nextWrite) {
			return nil, state.nextWrite
		}
		state.nextWrite = now.Add(commitInterval)
		return s.write(now), time.Time{}
	}
	if s.status == statusOwned {
		return s.verify(now)
	}
	return s.poll(now)
}

func (s *Shard) headKey() string { return s.prefix + "head" }

func (s *Shard) call(purpose step, op *Op) *Op {
	s.sync.step = purpose
	return op
}

// verify reads the head of an idle owner, which shows a restore or a new owner.
func (s *Shard) verify(now time.Time) (*Op, time.Time) {
	if due := s.sync.lastContact.Add(verifyInterval); now.Before(due) {
		return nil, due
	}
	return s.call(stepVerify, &Op{Kind: OpGet, Key: s.headKey()}), time.Time{}
}

// poll reads the head of a shard that the process wants, and its segments when the
// process may take it over.
func (s *Shard) poll(now time.Time) (*Op, time.Time) {
	if s.sync.takeover != nil {
		return s.call(stepListSegments, &Op{Kind: OpList, Key: s.prefix + "segment/"}), time.Time{}
	}
	if len(s.waitingCalls) == 0 && !now.Before(s.sync.wantedUntil) {
		return nil, time.Time{}
	}
	if due := s.nextPoll(); now.Before(due) {
		return nil, due
	}
	return s.call(stepPoll, &Op{Kind: OpGet, Key: s.headKey()}), time.Time{}
}

// nextPoll returns the time of the next poll, or the earlier one of a possible takeover.
func (s *Shard) nextPoll() time.Time {
	last := s.sync.observed.last
	due := last.Add(pollInterval)
	if at := s.eligibleAt(); at.After(last) && at.Before(due) {
		return at
	}
	return due
}

// sentEntries returns the entries that were sent to the platform and are not confirmed.
func (state *syncState) sentEntries() []logEntry {
	if state.openBatch == nil || state.openBatch.rewrite {
		return state.unconfirmedEntries
	}
	return state.openBatch.entries
}

func (s *Shard) wantsWrite() bool {
	state := &s.sync
	if state.openBatch != nil {
		return true
	}
	if s.status != statusOwned {
		return false
	}
	if len(state.segments) > maxSegments && state.rolledSegment == nil && !state.rewriting {
		s.startRewrite()
	}
	return !s.onlyDeletionsLeft() || len(state.garbage) > 0
}

// onlyDeletionsLeft reports whether an owner without an open batch has only deletions to do.
func (s *Shard) onlyDeletionsLeft() bool {
	state := &s.sync
	return !state.rewriting && !s.mustRoll() && state.rolledSegment == nil && len(s.pending) == 0 && !s.mayRelease()
}

func (s *Shard) mustRoll() bool {
	if s.sync.rolledSegment != nil {
		return false
	}
	size := 0
	for _, e := range s.sync.head.Open {
		size += e.estimatedSize()
	}
	return size > s.openBytes
}

func (s *Shard) mayRelease() bool { return s.releasing && s.running == 0 }

// write returns the next write of the shard.
func (s *Shard) write(now time.Time) *Op {
	state := &s.sync
	deletes := !state.lastWasDelete || s.onlyDeletionsLeft()
	state.lastWasDelete = false
	switch {
	case state.openBatch != nil:
		return s.writeOpenBatch()
	case len(state.garbage) > 0 && deletes:
		state.lastWasDelete = true
		next := state.garbage[0]
		return s.call(stepDelete, &Op{Kind: OpDelete, Key: next.key, Version: next.version})
	case len(state.rewriteParts) > 0:
		value := encode(segment{Entries: state.rewriteParts[0]})
		return s.call(stepRewrite, &Op{Kind: OpCreate, Key: segmentKey(s.prefix, state.head.Next), Value: value})
	case !state.rewriting && s.mustRoll():
		value := encode(segment{Entries: state.head.Open})
		return s.call(stepRoll, &Op{Kind: OpCreate, Key: segmentKey(s.prefix, state.head.Next), Value: value})
	default:
		s.createBatch(now)
		return s.writeOpenBatch()
	}
}

func (s *Shard) writeOpenBatch() *Op {
	state := &s.sync
	op := &Op{Kind: OpUpdate, Key: s.headKey(), Value: state.openBatch.value, Version: state.version}
	if state.openBatch.create {
		op.Kind = OpCreate
	}
	return s.call(stepWrite, op)
}

// createBatch moves the pending entries into the next write of the head. Its content
// stays the same until its outcome is known, so a repeated write is the same write.
func (s *Shard) createBatch(now time.Time) {
	state := &s.sync
	b := &batch{head: state.head, create: state.headMissing, rewrite: state.rewriting}
	b.head.Batch++
	if b.rewrite {
		b.entries = state.unconfirmedEntries
		b.head.Segments = nil
		b.head.Open = nil
		for _, c := range state.rewrittenSegments {
			b.head.Segments = appendSegmentNumber(b.head.Segments, c.number)
		}
	} else {
		b.entries = s.takeBatchEntries()
		s.applyRoll(b)
		s.dropExpired(b, now)
		b.head.Open = append(append([]logEntry(nil), b.head.Open...), b.entries...)
	}
	if s.mayRelease() && len(s.pending) == 0 && !b.rewrite {
		b.release = true
		b.head.Owner = ""
		b.head.Incarnation = ""
	}
	b.value = encode(b.head)
	state.openBatch = b
}

func (s *Shard) applyRoll(b *batch) {
	if rolled := s.sync.rolledSegment; rolled != nil {
		b.head.Segments = appendSegmentNumber(b.head.Segments, rolled.number)
		b.head.Open = nil
	}
}

// dropExpired removes segments from the head whose keys are all past their retention.
func (s *Shard) dropExpired(b *batch, now time.Time) {
	for _, c := range s.sync.segments {
		if !keyExpired(c.newestAt, now) {
			return
		}
		b.head.Segments = removeFirstSegment(b.head.Segments)
		b.expiredSegments = append(b.expiredSegments, c)
	}
}

// takeBatchEntries removes the entries of one batch from the pending ones and updates the
// states of their records.
func (s *Shard) takeBatchEntries() []logEntry {
	size := 0
	n := 0
	for n < len(s.pending) && size < s.batchBytes {
		size += s.pending[n].estimatedSize()
		n++
	}
	taken := append([]logEntry(nil), s.pending[:n]...)
	s.pending = append([]logEntry(nil), s.pending[n:]...)
	for _, e := range taken {
		rec := s.records.byKey[e.Key]
		switch {
		case rec == nil:
		case e.Kind == entryIntent && rec.state == stateQueued:
			rec.state = stateCommitting
		case e.Kind == entryVoid && rec.state == stateIdle:
			s.records.forget(rec)
		}
	}
	return taken
}

// HandleResult processes the result of the open call.
func (s *Shard) HandleResult(result Result, now time.Time) []Reply {
	purpose := s.sync.step
	s.sync.step = stepNone
	switch purpose {
	case stepPoll:
		return s.handlePolledHead(result, now)
	case stepListSegments:
		return s.prepareTakeover(result, now)
	case stepResolve, stepVerify:
		return s.compareHead(result, now)
	case stepWrite:
		return s.handleHeadWrite(result, now)
	case stepRoll, stepRewrite:
		return s.handleCreatedSegment(purpose, result, now)
	case stepCheckSegment:
		return s.handleCheckedSegment(result, now)
	case stepDelete:
		if responded(result.Err) {
			s.sync.garbage = s.sync.garbage[1:]
		}
		return s.noteContact(result.Err, now)
	default:
		return nil
	}
}

// noteContact records whether the platform responded. After a failure the shard waits
// with backoff and refuses the waiting callers, except after a first failure whose outcome
// is unknown.
func (s *Shard) noteContact(err error, now time.Time) []Reply {
	state := &s.sync
	if responded(err) {
		state.failures = 0
		state.lastContact = now
		return nil
	}
	wait := min(commitInterval<<min(state.failures, 10), maxBackoff)
	state.failures++
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		wait = min(max(wait, limited.RetryAfter), maxRetryAfter)
	}
	state.retryAt = now.Add(wait)
	if platform.IsUnknown(err) && state.failures == 1 {
		return nil
	}
	return s.refuseWaiting(notRun(wait, "the platform is unavailable"))
}

// responded reports whether the platform processed a call and returned its outcome.
func responded(err error) bool {
	return err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrExists)
}

// hadNoEffect reports whether a write certainly did not take effect.
func hadNoEffect(err error) bool {
	var limited *platform.RateLimitError
	var unavailable *platform.UnavailableError
	return errors.As(err, &limited) || errors.As(err, &unavailable)
}

func decodeHead(object platform.Object) (head, error) {
	var h head
	if err := json.Unmarshal(object.Value, &h); err != nil {
		return head{}, errkind.Wrap(err, errkind.Corrupt, "restore the object", "decode %s", object.Key)
	}
	return h, nil
}
