package lease

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"laburnumgw/lib/platform"
)

const (
	// renewFraction is the fraction of the lease duration after which the lease is renewed.
	// Two more attempts fit in before the lease is no longer valid.
	renewFraction = 1.0 / 3
	// validFraction is the fraction of the lease duration for which the holder may act.
	validFraction = 2.0 / 3
	// retryFraction is the fraction of the lease duration between a failed call and the
	// next one.
	retryFraction = 1.0 / 12
	// observeFraction is the fraction of the lease duration between reads of a lease that
	// another process holds.
	observeFraction = 1.0 / 4
	// retryJitter is the largest relative deviation of an interval.
	retryJitter = 0.25
)

// Identity names one incarnation of a VM's process.
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

// Call is a platform call that a Holder requests.
type Call struct {
	Kind    CallKind
	Key     string
	Value   []byte
	Version int64
}

// Holder is the state machine of one process that competes for a duty.
type Holder struct {
	key      string
	self     Identity
	duration time.Duration
	rng      *rand.Rand

	// version and record are the last state read or written.
	version  int64
	record   Record
	observed bool
	// unchangedSince is when this process first observed the version.
	unchangedSince time.Duration
	// highest is the highest fencing number seen in the object or by ObserveFencing.
	highest uint64

	// confirmedVersion is the version of the last write that is known to have taken
	// effect, and validFrom is the time before it was sent.
	confirmedVersion int64
	validFrom        time.Duration
	// pending is set from the first write without a confirmation until one is confirmed,
	// and pendingSince is the time before that first write was sent.
	pending      bool
	pendingSince time.Duration
	released     bool

	callInFlight   CallKind
	callSent       time.Duration
	recordInFlight Record
	nextCall       CallKind
	nextCallAt     time.Duration
}

// NewHolder returns a state machine that starts to acquire the duty at now.
func NewHolder(duty string, self Identity, duration, now time.Duration, rng *rand.Rand) *Holder {
	return &Holder{key: "lease/" + duty, self: self, duration: duration, rng: rng, nextCall: CallGet, nextCallAt: now}
}

func (h *Holder) fraction(part float64) time.Duration {
	return time.Duration(part * float64(h.duration))
}

func (h *Holder) jittered(part float64) time.Duration {
	return h.fraction(part * (1 + retryJitter*(2*h.rng.Float64()-1)))
}

// holds reports whether the last known state of the object is a confirmed own write.
func (h *Holder) holds() bool {
	return h.observed && h.version == h.confirmedVersion && h.record.Holder == h.self
}

// Valid returns the fencing number if the holder may act at now. The time counts from
// before the last successful write was sent.
func (h *Holder) Valid(now time.Duration) (uint64, bool) {
	if !h.holds() || h.released || now-h.validFrom >= h.fraction(validFraction) {
		return 0, false
	}
	return h.record.Fencing, true
}

// Next returns the time at which Tick is due.
func (h *Holder) Next() time.Duration { return h.nextCallAt }

// Tick returns the call that is due. At most one call is under way.
func (h *Holder) Tick(now time.Duration) Call {
	if h.callInFlight != CallNone || now < h.nextCallAt || h.released {
		return Call{}
	}
	return h.startCall(now, h.nextCall, h.recordToWrite())
}

// ObserveFencing takes in a fencing number that an endpoint or a placement shows. A lease
// with a lower number is renewed with a higher one and is not valid until then. This
// happens when the platform was restored from a backup, which shows lower numbers than
// have been used.
func (h *Holder) ObserveFencing(now time.Duration, fencing uint64) {
	h.highest = max(h.highest, fencing)
	if h.holds() && h.record.Fencing < h.highest {
		h.confirmedVersion = 0
		h.schedule(CallUpdate, now)
	}
}

// recordToWrite returns the record to write. A renewal keeps the fencing number; a takeover
// raises it above all numbers seen.
func (h *Holder) recordToWrite() Record {
	record := Record{Holder: h.self, Fencing: h.record.Fencing, Duration: h.duration}
	if h.record.Holder != h.self || h.record.Fencing < h.highest {
		record.Fencing = h.highest + 1
	}
	return record
}

func (h *Holder) startCall(now time.Duration, kind CallKind, record Record) Call {
	h.callInFlight = kind
	h.callSent = now
	h.recordInFlight = record
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
// not act afterwards. The outcome of the call needs no handling: if the call is lost,
// another process takes over after the lease duration.
func (h *Holder) Release(now time.Duration) Call {
	_, valid := h.Valid(now)
	h.released = true
	if !valid || h.callInFlight != CallNone {
		return Call{}
	}
	return h.startCall(now, CallUpdate, Record{Fencing: h.record.Fencing, Duration: h.duration})
}

// Result handles the outcome of a call.
func (h *Holder) Result(now time.Duration, object platform.Object, err error) {
	kind := h.callInFlight
	h.callInFlight = CallNone
	switch {
	case kind == CallNone || h.released:
	case kind == CallGet:
		h.readResult(now, object, err)
	default:
		h.writeResult(now, object, err)
	}
}

func (h *Holder) schedule(kind CallKind, at time.Duration) {
	h.nextCall = kind
	h.nextCallAt = at
}

// retry schedules a read after a failed call, not earlier than Retry-After asks for.
func (h *Holder) retry(now time.Duration, err error) {
	delay := h.jittered(retryFraction)
	var limited *platform.RateLimitError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	h.schedule(CallGet, now+delay)
}

func (h *Holder) readResult(now time.Duration, object platform.Object, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		h.version = 0
		h.record = Record{}
		h.schedule(CallCreate, now)
		return
	case err != nil:
		h.retry(now, err)
		return
	}
	var record Record
	if json.Unmarshal(object.Value, &record) != nil {
		// An unreadable record is treated like one of an unknown holder: it is taken over
		// when it has not changed for the lease duration.
		record = Record{Holder: Identity{VM: "unreadable"}, Fencing: h.record.Fencing, Duration: h.duration}
	}
	h.observe(now, object.Version, record)
	h.scheduleAfterRead(now)
}

// observe records the state of the object. The time since the version last changed is
// measured on this process's clock, from when the version was first observed.
func (h *Holder) observe(now time.Duration, version int64, record Record) {
	if !h.observed || version != h.version {
		h.unchangedSince = now
	}
	h.observed = true
	h.version = version
	h.record = record
	h.highest = max(h.highest, record.Fencing)
}

// scheduleAfterRead schedules the call that follows a successful read.
func (h *Holder) scheduleAfterRead(now time.Duration) {
	if h.record.Holder == h.self {
		h.confirmFromRead()
		h.schedule(CallUpdate, h.renewAt(now))
		return
	}
	expires := h.unchangedSince + max(h.record.Duration, h.duration)
	switch {
	case h.record.Holder == (Identity{}), now >= expires:
		h.schedule(CallUpdate, now)
	default:
		h.schedule(CallGet, min(expires, now+h.jittered(observeFraction)))
	}
}

// confirmFromRead handles a read that shows this process as the holder at a version that
// is not confirmed: a write whose response was lost has taken effect. It may be any of the
// writes without a response, so validity counts from before the first of them. Without
// such a write, the platform shows an old state again, and the lease is valid only after
// a renewal.
func (h *Holder) confirmFromRead() {
	if h.version == h.confirmedVersion || !h.pending || h.record.Fencing < h.highest {
		return
	}
	h.confirm(h.version, h.pendingSince)
}

func (h *Holder) confirm(version int64, sent time.Duration) {
	h.confirmedVersion = version
	h.validFrom = sent
	h.pending = false
}

// renewAt returns when to renew the lease: at once unless it is confirmed.
func (h *Holder) renewAt(now time.Duration) time.Duration {
	if !h.holds() {
		return now
	}
	return max(now, h.validFrom+h.jittered(renewFraction))
}

// writeResult handles the outcome of a create or update. After anything but success, the
// object is read back, because the write may have taken effect.
func (h *Holder) writeResult(now time.Duration, object platform.Object, err error) {
	switch {
	case err == nil:
		h.observe(now, object.Version, h.recordInFlight)
		h.confirm(object.Version, h.callSent)
		h.schedule(CallUpdate, h.renewAt(now))
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists),
		errors.Is(err, platform.ErrNotFound), platform.IsUnknown(err):
		h.schedule(CallGet, now)
	default:
		h.retry(now, err)
	}
}
