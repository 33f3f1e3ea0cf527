package lease

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"laburnumgw/lib/platform"
)

const (
	// renewShare is the part of the duration after which a lease is renewed. Two more
	// attempts fit before the holder stops.
	renewShare = 1.0 / 3
	// actShare is the part of the duration for which the holder may act.
	actShare = 2.0 / 3
	// retryShare is the part of the duration between failed calls.
	retryShare = 1.0 / 12
	// observeShare is the part of the duration between reads of another's lease.
	observeShare = 1.0 / 4
	// retryJitter is the largest relative deviation of an interval.
	retryJitter = 0.25
)

// Identity names one life of a process.
type Identity struct {
	VM      string `json:"vm"`
	Counter uint64 `json:"counter"`
	ID      uint64 `json:"id"`
}

// Record is the value of the object lease/<duty>. A record with an empty holder is free.
type Record struct {
	Holder   Identity      `json:"holder"`
	Fencing  uint64        `json:"fencing"`
	Duration time.Duration `json:"duration"`
}

// CallKind is the kind of a platform call.
type CallKind int

// Kinds of platform calls.
const (
	// CallNone means that nothing is due.
	CallNone CallKind = iota
	// CallGet reads the lease object.
	CallGet
	// CallCreate creates it.
	CallCreate
	// CallUpdate updates it conditionally.
	CallUpdate
)

// Call is a platform call that a Holder wants to have made.
type Call struct {
	Kind    CallKind
	Key     string
	Value   []byte
	Version int64
}

// Holder is the state machine of one process that wants to hold a duty.
type Holder struct {
	key      string
	self     Identity
	duration time.Duration
	rng      *rand.Rand

	// version and record are the last state read or written.
	version int64
	record  Record
	seen    bool
	// unchangedSince is when the version was first seen.
	unchangedSince time.Duration
	// highest is the highest fencing number seen anywhere.
	highest uint64

	// confirmed is the version of the last write that is known to have taken effect, and
	// validFrom the time before it was sent.
	confirmed int64
	validFrom time.Duration
	// pending is set from the first write without an answer until one is confirmed, and
	// pendingSince is the time before that first write was sent.
	pending      bool
	pendingSince time.Duration
	released     bool

	call     CallKind
	callSent time.Duration
	written  Record
	next     CallKind
	nextAt   time.Duration
}

// NewHolder returns a state machine that starts to acquire the duty at now.
func NewHolder(duty string, self Identity, duration, now time.Duration, rng *rand.Rand) *Holder {
	return &Holder{key: "lease/" + duty, self: self, duration: duration, rng: rng, next: CallGet, nextAt: now}
}

func (h *Holder) share(part float64) time.Duration {
	return time.Duration(part * float64(h.duration))
}

func (h *Holder) jittered(part float64) time.Duration {
	return h.share(part * (1 + retryJitter*(2*h.rng.Float64()-1)))
}

// holds reports whether the last known state of the object is a confirmed own write.
func (h *Holder) holds() bool {
	return h.seen && h.version == h.confirmed && h.record.Holder == h.self
}

// Valid returns the fencing number if the holder may act at now. The time counts from
// before the last successful write was sent.
func (h *Holder) Valid(now time.Duration) (uint64, bool) {
	if !h.holds() || h.released || now-h.validFrom >= h.share(actShare) {
		return 0, false
	}
	return h.record.Fencing, true
}

// Next returns the time at which Tick is due.
func (h *Holder) Next() time.Duration { return h.nextAt }

// Tick returns the call that is due. At most one call is under way.
func (h *Holder) Tick(now time.Duration) Call {
	if h.call != CallNone || now < h.nextAt || h.released {
		return Call{}
	}
	return h.start(now, h.next, h.wanted())
}

// ObserveFencing notes a higher fencing number that an endpoint or a placement shows. A platform restored from a copy shows lower numbers than were used.
func (h *Holder) ObserveFencing(now time.Duration, fencing uint64) {
	h.highest = max(h.highest, fencing)
	if h.holds() && h.record.Fencing < h.highest {
		h.confirmed = 0
		h.then(CallUpdate, now)
	}
}

// wanted returns the record to write. A renewal keeps the fencing number; a takeover
// raises it above all numbers seen.
func (h *Holder) wanted() Record {
	record := Record{Holder: h.self, Fencing: h.record.Fencing, Duration: h.duration}
	if h.record.Holder != h.self || h.record.Fencing < h.highest {
		record.Fencing = h.highest + 1
	}
	return record
}

func (h *Holder) start(now time.Duration, kind CallKind, record Record) Call {
	h.call = kind
	h.callSent = now
	h.written = record
	call := Call{Kind: kind, Key: h.key, Version: h.version}
	if kind == CallGet {
		return call
	}
	// A struct of plain fields always has a JSON form.
	call.Value, _ = json.Marshal(record)
	if !h.pending {
		h.pending = true
		h.pendingSince = now
	}
	return call
}

// Release returns the call that frees the lease on a graceful shutdown. The holder does
// not act afterwards. The call's outcome needs no handling: if it is lost, others take
// over after the duration.
func (h *Holder) Release(now time.Duration) Call {
	_, valid := h.Valid(now)
	h.released = true
	if !valid || h.call != CallNone {
		return Call{}
	}
	return h.start(now, CallUpdate, Record{Fencing: h.record.Fencing, Duration: h.duration})
}

// Result handles the outcome of a call.
func (h *Holder) Result(now time.Duration, object platform.Object, err error) {
	kind := h.call
	h.call = CallNone
	switch {
	case kind == CallNone || h.released:
	case kind == CallGet:
		h.readResult(now, object, err)
	default:
		h.writeResult(now, object, err)
	}
}

func (h *Holder) then(kind CallKind, at time.Duration) {
	h.next = kind
	h.nextAt = at
}

// retry schedules a read after a failure. It obeys Retry-After.
func (h *Holder) retry(now time.Duration, err error) {
	delay := h.jittered(retryShare)
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	h.then(CallGet, now+delay)
}

func (h *Holder) readResult(now time.Duration, object platform.Object, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		h.version = 0
		h.record = Record{}
		h.then(CallCreate, now)
		return
	case err != nil:
		h.retry(now, err)
		return
	}
	var record Record
	if json.Unmarshal(object.Value, &record) != nil {
		// An unreadable record is treated like one of an unknown holder.
		record = Record{Holder: Identity{VM: "unreadable"}, Fencing: h.record.Fencing, Duration: h.duration}
	}
	h.observe(now, object.Version, record)
	h.decide(now)
}

// observe notes the state of the object. The time since the version last changed is
// measured on the own clock, from the first read that showed it.
func (h *Holder) observe(now time.Duration, version int64, record Record) {
	if !h.seen || version != h.version {
		h.unchangedSince = now
	}
	h.seen = true
	h.version = version
	h.record = record
	h.highest = max(h.highest, record.Fencing)
}

// decide chooses the next call after a read.
func (h *Holder) decide(now time.Duration) {
	if h.record.Holder == h.self {
		h.resolve()
		h.then(CallUpdate, h.renewAt(now))
		return
	}
	expires := h.unchangedSince + max(h.record.Duration, h.duration)
	switch {
	case h.record.Holder == (Identity{}), now >= expires:
		h.then(CallUpdate, now)
	default:
		h.then(CallGet, min(expires, now+h.jittered(observeShare)))
	}
}

// resolve handles a read that shows the own name at a version that was not confirmed: a
// write whose answer was lost took effect. It may be any of the unanswered ones, so that
// validity counts from before the first of them. Without such a write, an old state has
// returned, and only a renewal gives validity.
func (h *Holder) resolve() {
	if h.version == h.confirmed || !h.pending || h.record.Fencing < h.highest {
		return
	}
	h.confirm(h.version, h.pendingSince)
}

func (h *Holder) confirm(version int64, sent time.Duration) {
	h.confirmed = version
	h.validFrom = sent
	h.pending = false
}

// renewAt returns when to renew: at once unless the lease is confirmed.
func (h *Holder) renewAt(now time.Duration) time.Duration {
	if !h.holds() {
		return now
	}
	return max(now, h.validFrom+h.jittered(renewShare))
}

// writeResult handles the outcome of a create or update. Anything but success is
// resolved by reading the object back.
func (h *Holder) writeResult(now time.Duration, object platform.Object, err error) {
	switch {
	case err == nil:
		h.observe(now, object.Version, h.written)
		h.confirm(object.Version, h.callSent)
		h.then(CallUpdate, h.renewAt(now))
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists),
		errors.Is(err, platform.ErrNotFound), platform.IsUnknown(err):
		h.then(CallGet, now)
	default:
		h.retry(now, err)
	}
}
