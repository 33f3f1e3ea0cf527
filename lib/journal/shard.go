package journal

import (
	"fmt"
	"slices"
	"time"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/httpstatus"
)

// Identity names a process and its incarnation.
type Identity struct {
	VM          string
	Incarnation string
}

// ReplyKind is the decision about a call.
type ReplyKind int

// Kinds of replies.
const (
	// Waiting means that a later reply follows.
	Waiting ReplyKind = iota
	// Granted means that the caller may run the request exactly once.
	Granted
	// Replayed means that the request ran before and its response is recorded.
	Replayed
	// Refused means that the request does not run; Err says why.
	Refused
)

// Reply is the decision about the call of one caller.
type Reply struct {
	Waiter   uint64
	Kind     ReplyKind
	Attempt  uint64
	Response *RecordedResponse
	Err      *errkind.Error
}

// Call asks to run one request.
type Call struct {
	// Waiter identifies the caller; it is never zero and never repeated.
	Waiter uint64
	Key    Key
	Body   Digest
}

// status is the relation of a process to a shard.
type status int

const (
	statusUnowned status = iota
	statusOwned
	// statusReleased is final: the process leaves.
	statusReleased
)

// batch is a write of the head whose outcome is not known yet.
type batch struct {
	head    head
	value   []byte
	entries []logEntry
	// loadedRecords is set for a takeover and holds the log's records.
	loadedRecords *records
	segments      []closedSegment
	orphans       []closedSegment
	// create is set when the head does not exist.
	create bool
	// unknown is set after a lost response: the write may have taken effect.
	unknown bool
	release bool
	// rewrite is set when the batch replaces the whole log by rewritten segments.
	rewrite bool
	// expiredSegments lists the segments that the batch drops from the head.
	expiredSegments []closedSegment
}

// Shard is the state machine of one shard in one process. It is not safe for
// concurrent use.
type Shard struct {
	self    Identity
	prefix  string
	status  status
	records *records

	// waitingCalls wait for the head of a shard that the process does not own to be read,
	// or for its takeover.
	waitingCalls []Call
	// pending holds the entries for the next batch, in order.
	pending []logEntry
	running int
	// attempts numbers the grants.
	attempts uint64
	// releasing is set by Release.
	releasing bool

	// openBytes and batchBytes are maxOpenBytes and maxBatchBytes, or less in tests.
	openBytes  int
	batchBytes int

	sync syncState
}

// NewShard returns the state of a shard that the process does not own yet.
func NewShard(self Identity, service string, number int) *Shard {
	return &Shard{
		self:       self,
		prefix:     fmt.Sprintf("journal/%s/%d/", service, number),
		records:    newRecords(),
		openBytes:  maxOpenBytes,
		batchBytes: maxBatchBytes,
	}
}

// Owned reports whether the process owns the shard as far as it knows.
func (s *Shard) Owned() bool { return s.status == statusOwned }

// Released reports whether the process has left the shard for good.
func (s *Shard) Released() bool { return s.status == statusReleased }

// Begin decides about a call, or returns Waiting. HandleResult or Release then returns
// the decision.
func (s *Shard) Begin(call Call, now time.Time) Reply {
	s.records.prune(now)
	if err := checkAge(call.Key.IdempotencyKey, now); err != nil {
		return refused(call.Waiter, err)
	}
	s.sync.wantedUntil = now.Add(wantedPeriod)
	if rec, ok := s.records.byKey[call.Key.hash()]; ok {
		return s.beginKnownKey(rec, call)
	}
	return s.beginNewKey(call, now)
}

// beginNewKey handles a key without a record.
func (s *Shard) beginNewKey(call Call, now time.Time) Reply {
	if err := s.refusalOfNewKey(now); err != nil {
		return refused(call.Waiter, err)
	}
	if s.status != statusOwned {
		s.waitingCalls = append(s.waitingCalls, call)
		return Reply{Waiter: call.Waiter, Kind: Waiting}
	}
	rec := &record{
		key:    call.Key.hash(),
		body:   call.Body,
		at:     now.Unix(),
		state:  stateQueued,
		waiter: call.Waiter,
	}
	s.records.add(rec)
	s.pending = append(s.pending, logEntry{Kind: entryIntent, Key: rec.key, Body: rec.body, At: rec.at})
	return Reply{Waiter: call.Waiter, Kind: Waiting}
}

// refusalOfNewKey returns the error with which a new key is refused, or nil.
func (s *Shard) refusalOfNewKey(now time.Time) *errkind.Error {
	switch {
	case s.status == statusReleased || s.releasing:
		return notRun(time.Second, "the process is leaving")
	case now.Before(s.sync.retryAt):
		return notRun(s.sync.retryAt.Sub(now), "the platform is unavailable")
	case len(s.waitingCalls)+len(s.pending) >= maxWaitingCalls || s.running >= maxRunningRequests:
		return notRun(time.Second, "the journal's queue is full")
	case len(s.records.byKey) >= maxRecords:
		return notRun(maxRetryAfter, "the journal holds its maximum number of keys")
	case s.status == statusOwned:
		return nil
	default:
		return s.notEligible(now)
	}
}

// beginKnownKey handles a key with a record.
func (s *Shard) beginKnownKey(rec *record, call Call) Reply {
	if rec.body != call.Body {
		return refused(call.Waiter, errkind.New(errkind.KeyReused, "use a new Idempotency-Key for a different request",
			"the Idempotency-Key was used before with a different body"))
	}
	switch rec.state {
	case stateCompleted:
		if rec.response == nil {
			return refused(call.Waiter, outcomeUnknown("the recorded response is no longer retained"))
		}
		return Reply{Waiter: call.Waiter, Kind: Replayed, Response: rec.response}
	case stateUnknown:
		return refused(call.Waiter, outcomeUnknown("an earlier attempt may have run and its response is lost"))
	case stateIdle:
		return s.regrant(rec, call)
	case stateCommitting:
		if rec.waiter == 0 && !s.releasing {
			rec.waiter = call.Waiter
			return Reply{Waiter: call.Waiter, Kind: Waiting}
		}
	}
	err := errkind.New(errkind.InProgress, "repeat with the same Idempotency-Key", "an earlier attempt is still running")
	return refused(call.Waiter, err.WithRetryAfter(time.Second))
}

// regrant grants a key whose committed intent was never run. No write is needed: every
// other owner reads the intent as an unknown outcome, because its void is in no batch.
func (s *Shard) regrant(rec *record, call Call) Reply {
	if s.releasing || s.status != statusOwned || s.running >= maxRunningRequests {
		return refused(call.Waiter, notRun(time.Second,
			"the process is leaving, does not own the journal shard or runs its maximum number of requests"))
	}
	s.removePending(entryVoid, rec.key)
	return s.grant(rec, call.Waiter)
}

func (s *Shard) grant(rec *record, waiter uint64) Reply {
	s.attempts++
	s.running++
	rec.state = stateRunning
	rec.attempt = s.attempts
	rec.waiter = 0
	return Reply{Waiter: waiter, Kind: Granted, Attempt: rec.attempt}
}

// CancelWait ends the wait of a caller. It reports false when the caller was not waiting;
// its reply has then been issued.
func (s *Shard) CancelWait(waiter uint64, key Key) bool {
	for i, call := range s.waitingCalls {
		if call.Waiter == waiter {
			s.waitingCalls = slices.Delete(s.waitingCalls, i, i+1)
			return true
		}
	}
	rec, ok := s.records.byKey[key.hash()]
	if !ok || rec.waiter != waiter {
		return false
	}
	rec.waiter = 0
	if rec.state == stateQueued {
		s.removePending(entryIntent, rec.key)
		s.records.forget(rec)
	}
	return true
}

// Complete records the response of a granted attempt. An answer that is no response leaves the outcome unknown.
func (s *Shard) Complete(key Key, attempt uint64, response Response, now time.Time) {
	if !httpstatus.IsFinal(response.Status) {
		s.OutcomeUnknown(key, attempt)
		return
	}
	rec := s.endAttempt(key, attempt)
	if rec == nil {
		return
	}
	rec.state = stateCompleted
	rec.response = newRecordedResponse(response)
	rec.completedAt = now.Unix()
	s.records.addResponse(rec)
	if s.status == statusOwned {
		s.pending = append(s.pending, responseEntries(rec)...)
	}
}

// OutcomeUnknown ends a granted attempt whose outcome is not known. The log needs no entry:
// an intent without a response means the same.
func (s *Shard) OutcomeUnknown(key Key, attempt uint64) {
	if rec := s.endAttempt(key, attempt); rec != nil {
		rec.state = stateUnknown
	}
}

// NotStarted ends a granted attempt that was provably never sent. The key may run
// again here at once, and elsewhere after its void is written.
func (s *Shard) NotStarted(key Key, attempt uint64, now time.Time) {
	rec := s.endAttempt(key, attempt)
	if rec == nil {
		return
	}
	if s.status != statusOwned {
		s.records.forget(rec)
		return
	}
	s.makeIdle(rec, now)
}

// endAttempt ends a running attempt and returns its record, or nil if it is not running.
func (s *Shard) endAttempt(key Key, attempt uint64) *record {
	rec, ok := s.records.byKey[key.hash()]
	if !ok || rec.state != stateRunning || rec.attempt != attempt {
		return nil
	}
	s.running--
	return rec
}

// makeIdle queues the void of a committed intent that was not run. A later call may
// still use the intent until the void is part of a batch.
func (s *Shard) makeIdle(rec *record, now time.Time) {
	rec.state = stateIdle
	rec.waiter = 0
	s.pending = append(s.pending, logEntry{Kind: entryVoid, Key: rec.key, At: now.Unix()})
}

// Claim makes the process take over the shard when no live process owns it.
func (s *Shard) Claim(now time.Time) { s.sync.wantedUntil = now.Add(wantedPeriod) }

// Release makes the process leave the shard. New keys are refused, and the head is
// released after the running requests have ended and their responses are written.
func (s *Shard) Release() []Reply {
	s.releasing = true
	replies := s.refuseWaiting(notRun(time.Second, "the process is leaving"))
	if s.status == statusUnowned && s.sync.openBatch == nil {
		s.status = statusReleased
	}
	return replies
}

func (s *Shard) removePending(kind entryKind, key Digest) {
	s.pending = slices.DeleteFunc(s.pending, func(e logEntry) bool { return e.Kind == kind && e.Key == key })
}

// refuseWaiting refuses all callers that wait. Intents in no batch are forgotten;
// intents in an open batch stay and are voided when the batch turns out to be written.
func (s *Shard) refuseWaiting(err *errkind.Error) []Reply {
	var replies []Reply
	for _, call := range s.waitingCalls {
		replies = append(replies, refused(call.Waiter, err))
	}
	s.waitingCalls = nil
	var kept []logEntry
	for _, e := range s.pending {
		rec := s.records.byKey[e.Key]
		if e.Kind != entryIntent || rec == nil || rec.state != stateQueued {
			kept = append(kept, e)
			continue
		}
		replies = append(replies, refused(rec.waiter, err))
		s.records.forget(rec)
	}
	s.pending = kept
	for _, e := range s.sync.sentEntries() {
		rec := s.records.byKey[e.Key]
		if rec != nil && rec.state == stateCommitting && rec.waiter != 0 {
			replies = append(replies, refused(rec.waiter, err))
			rec.waiter = 0
		}
	}
	return replies
}

func refused(waiter uint64, err *errkind.Error) Reply {
	return Reply{Waiter: waiter, Kind: Refused, Err: err}
}

func notRun(retryAfter time.Duration, reason string) *errkind.Error {
	err := errkind.New(errkind.NotRun, "repeat with the same Idempotency-Key", "the request was not run: %s", reason)
	return err.WithRetryAfter(min(max(retryAfter, commitInterval), maxRetryAfter))
}

func outcomeUnknown(reason string) *errkind.Error {
	return errkind.New(errkind.OutcomeUnknown,
		"check the service for the effect of the request before sending it with a new Idempotency-Key", "%s", reason)
}

// checkAge refuses UUIDv7 keys that are older than the retention, and keys from the
// future, whose age could not be judged when they are repeated.
func checkAge(key string, now time.Time) *errkind.Error {
	created, ok := uuidTime(key)
	switch {
	case !ok:
		return nil
	case now.Sub(created) > keyRetention:
		return errkind.New(errkind.KeyExpired, "use a new Idempotency-Key",
			"the Idempotency-Key is older than the retention of %s", keyRetention)
	case created.Sub(now) > clockSlack:
		return errkind.New(errkind.KeyExpired, "correct the clock and use a new Idempotency-Key",
			"the time in the Idempotency-Key is in the future")
	}
	return nil
}
