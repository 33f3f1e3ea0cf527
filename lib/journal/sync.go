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
	// stepLook reads the head of a shard that the process does not own.
	stepLook
	// stepLoad reads the segments before a takeover.
	stepLoad
	// stepResolve reads the head after a write that did not succeed.
	stepResolve
	// stepVerify reads the head of an owned shard that is idle.
	stepVerify
	// stepWrite writes the open batch to the head.
	stepWrite
	// stepRoll creates a segment of the open records of the head.
	stepRoll
	// stepRewrite creates a segment of the records in memory after a restore.
	stepRewrite
	stepDelete
	// stepCheck reads a segment that the head has just begun to name.
	stepCheck
)

// observation is what a process has seen of a head that it does not own.
type observation struct {
	head   head
	exists bool
	since  time.Time
	last   time.Time
}

// syncState is the part of a Shard that follows the platform.
type syncState struct {
	step step
	// head and version are the last confirmed write of an owner.
	head    head
	version int64
	// open is the batch whose outcome is not known yet.
	open     *batch
	resolve  bool
	observed observation
	load     *load
	// highestEpoch keeps epochs growing when a restore has taken the head back.
	highestEpoch uint64
	// wantedUntil is the time until which the process wants to own the shard.
	wantedUntil time.Time
	lastContact time.Time
	nextWrite   time.Time
	retryAt     time.Time
	failures    int

	segments []closed
	// garbage lists the segments to delete. A busy shard alternates between a deletion
	// and other writes, so segments are deleted at least as fast as they are created.
	garbage []closed
	deleted bool
	// rolled is the segment that replaces the open records in the next batch.
	rolled *closed
	// rewrite holds the parts of the log to write back after a restore, and rewritten
	// the segments that were created from them.
	rewriting bool
	rewrite   [][]entry
	rewritten []closed
	// unchecked lists segments that were created before the head named them. A restore
	// between the two writes can remove them without changing the head.
	unchecked []closed
	// unconfirmed holds the entries of batches that a restore replaced.
	unconfirmed []entry
	headMissing bool
}

// NextOp returns the platform call to perform now, or the time at which to ask again. A
// zero time means that an event must come first.
func (s *Shard) NextOp(now time.Time) (*Op, time.Time) {
	y := &s.sync
	if y.step != stepNone || s.status == statusReleased {
		return nil, time.Time{}
	}
	if now.Before(y.retryAt) {
		return nil, y.retryAt
	}
	if y.resolve {
		return s.call(stepResolve, &Op{Kind: OpGet, Key: s.headKey()}), time.Time{}
	}
	if len(y.unchecked) > 0 && y.open == nil {
		return s.call(stepCheck, &Op{Kind: OpGet, Key: y.unchecked[0].key}), time.Time{}
	}
	if s.wantsWrite() {
		if now.Before(y.nextWrite) {
			return nil, y.nextWrite
		}
		y.nextWrite = now.Add(commitInterval)
		return s.write(now), time.Time{}
	}
	if s.status == statusOwned {
		return s.verify(now)
	}
	return s.look(now)
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

// look reads the head of a shard that the process wants, and its segments when the
// process may take it over.
func (s *Shard) look(now time.Time) (*Op, time.Time) {
	if s.sync.load != nil {
		return s.call(stepLoad, &Op{Kind: OpList, Key: s.prefix + "segment/"}), time.Time{}
	}
	if len(s.arrivals) == 0 && !now.Before(s.sync.wantedUntil) {
		return nil, time.Time{}
	}
	if due := s.nextLook(); now.Before(due) {
		return nil, due
	}
	return s.call(stepLook, &Op{Kind: OpGet, Key: s.headKey()}), time.Time{}
}

// nextLook returns the time of the next poll, or the earlier one of a possible takeover.
func (s *Shard) nextLook() time.Time {
	last := s.sync.observed.last
	due := last.Add(pollInterval)
	if at := s.eligibleAt(); at.After(last) && at.Before(due) {
		return at
	}
	return due
}

// uncertain returns the entries that were sent to the platform and are not confirmed.
func (y *syncState) uncertain() []entry {
	if y.open == nil || y.open.rewrite {
		return y.unconfirmed
	}
	return y.open.entries
}

func (s *Shard) wantsWrite() bool {
	y := &s.sync
	if y.open != nil {
		return true
	}
	if s.status != statusOwned {
		return false
	}
	if len(y.segments) > maxSegments && y.rolled == nil && !y.rewriting {
		s.startRewrite()
	}
	return !s.nothingElse() || len(y.garbage) > 0
}

// nothingElse reports whether an owner without an open batch has only deletions to do.
func (s *Shard) nothingElse() bool {
	y := &s.sync
	return !y.rewriting && !s.mustRoll() && y.rolled == nil && len(s.pending) == 0 && !s.mayRelease()
}

func (s *Shard) mustRoll() bool {
	if s.sync.rolled != nil {
		return false
	}
	size := 0
	for _, e := range s.sync.head.Open {
		size += e.size()
	}
	return size > s.openBytes
}

func (s *Shard) mayRelease() bool { return s.releasing && s.running == 0 }

// write returns the next write of the shard.
func (s *Shard) write(now time.Time) *Op {
	y := &s.sync
	deletes := !y.deleted || s.nothingElse()
	y.deleted = false
	switch {
	case y.open != nil:
		return s.writeOpen()
	case len(y.garbage) > 0 && deletes:
		y.deleted = true
		next := y.garbage[0]
		return s.call(stepDelete, &Op{Kind: OpDelete, Key: next.key, Version: next.version})
	case len(y.rewrite) > 0:
		value := encode(segment{Entries: y.rewrite[0]})
		return s.call(stepRewrite, &Op{Kind: OpCreate, Key: segmentKey(s.prefix, y.head.Next), Value: value})
	case !y.rewriting && s.mustRoll():
		value := encode(segment{Entries: y.head.Open})
		return s.call(stepRoll, &Op{Kind: OpCreate, Key: segmentKey(s.prefix, y.head.Next), Value: value})
	default:
		s.openBatch(now)
		return s.writeOpen()
	}
}

func (s *Shard) writeOpen() *Op {
	y := &s.sync
	op := &Op{Kind: OpUpdate, Key: s.headKey(), Value: y.open.value, Version: y.version}
	if y.open.create {
		op.Kind = OpCreate
	}
	return s.call(stepWrite, op)
}

// openBatch freezes the pending entries into the next write of the head. Its content
// stays the same until its outcome is known, so a repeated write is the same write.
func (s *Shard) openBatch(now time.Time) {
	y := &s.sync
	b := &batch{head: y.head, create: y.headMissing, rewrite: y.rewriting}
	b.head.Batch++
	if b.rewrite {
		b.entries = y.unconfirmed
		b.head.Segments = nil
		b.head.Open = nil
		for _, c := range y.rewritten {
			b.head.Segments = appendRun(b.head.Segments, c.number)
		}
	} else {
		b.entries = s.cutPending()
		s.applyRoll(b)
		s.dropExpired(b, now)
		b.head.Open = append(append([]entry(nil), b.head.Open...), b.entries...)
	}
	if s.mayRelease() && len(s.pending) == 0 && !b.rewrite {
		b.release = true
		b.head.Owner = ""
		b.head.Incarnation = ""
	}
	b.value = encode(b.head)
	y.open = b
}

func (s *Shard) applyRoll(b *batch) {
	if rolled := s.sync.rolled; rolled != nil {
		b.head.Segments = appendRun(b.head.Segments, rolled.number)
		b.head.Open = nil
	}
}

// dropExpired removes segments from the head whose keys are all past their retention.
func (s *Shard) dropExpired(b *batch, now time.Time) {
	for _, c := range s.sync.segments {
		if !keyGone(c.newest, now) {
			return
		}
		b.head.Segments = removeFirst(b.head.Segments)
		b.expired = append(b.expired, c)
	}
}

// cutPending takes the entries of one batch and marks their records.
func (s *Shard) cutPending() []entry {
	size := 0
	n := 0
	for n < len(s.pending) && size < s.batchBytes {
		size += s.pending[n].size()
		n++
	}
	cut := append([]entry(nil), s.pending[:n]...)
	s.pending = append([]entry(nil), s.pending[n:]...)
	for _, e := range cut {
		rec := s.records.byKey[e.Key]
		switch {
		case rec == nil:
		case e.Kind == entryIntent && rec.state == stateQueued:
			rec.state = stateCommitting
		case e.Kind == entryVoid && rec.state == stateIdle:
			s.records.forget(rec)
		}
	}
	return cut
}

// HandleResult takes the result of the open call.
func (s *Shard) HandleResult(result Result, now time.Time) []Reply {
	purpose := s.sync.step
	s.sync.step = stepNone
	switch purpose {
	case stepLook:
		return s.looked(result, now)
	case stepLoad:
		return s.loadedSegments(result, now)
	case stepResolve, stepVerify:
		return s.readBack(result, now)
	case stepWrite:
		return s.written(result, now)
	case stepRoll, stepRewrite:
		return s.created(purpose, result, now)
	case stepCheck:
		return s.checked(result, now)
	case stepDelete:
		s.sync.garbage = s.sync.garbage[1:]
		return s.contact(result.Err, now)
	default:
		return nil
	}
}

// contact notes whether the platform answered. After a failure it waits with backoff;
// a platform that stays away costs the waiting callers a refusal.
func (s *Shard) contact(err error, now time.Time) []Reply {
	y := &s.sync
	if answered(err) {
		y.failures = 0
		y.lastContact = now
		return nil
	}
	wait := min(commitInterval<<min(y.failures, 10), maxBackoff)
	y.failures++
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		wait = min(max(wait, limited.RetryAfter), maxRetryAfter)
	}
	y.retryAt = now.Add(wait)
	if platform.IsUnknown(err) && y.failures == 1 {
		return nil
	}
	return s.refuseWaiting(notRun(wait, "the platform is unavailable"))
}

// answered reports whether the platform processed a call and said so.
func answered(err error) bool {
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
