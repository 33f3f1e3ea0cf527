// Package loadproof decides whether the layers that a worker has loaded are known to be whole.
//
// A worker loads the chunks that are staged at it as they are at the moment at which it accepts a
// load order, and verifies none. That a chunk was written before says little about that moment: it
// may have become corrupt since, a write of another version may have been executed late, or the
// write itself may not have been executed yet. A Ledger records the writes, reads and orders of one
// process and takes a layer for whole only if the chunks that were read back after the acceptance
// leave no other possibility.
package loadproof

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Model is the division of a model into layers and chunks.
type Model struct {
	Layers int
	Chunks int
}

// ChunksOf returns the chunks of which the layers in r consist. A chunk may belong to two layers.
func (m Model) ChunksOf(r Range) Range {
	if m.Layers <= 0 || r.To <= r.From {
		return Range{}
	}
	return Range{From: r.From * m.Chunks / m.Layers, To: (r.To*m.Chunks + m.Layers - 1) / m.Layers}
}

// All returns the range of all layers.
func (m Model) All() Range { return Range{To: m.Layers} }

// Range is a range of layers or chunks; To is exclusive.
type Range struct {
	From int
	To   int
}

// Contains reports whether an index is in the range.
func (r Range) Contains(i int) bool { return r.From <= i && i < r.To }

const (
	// executionBound is how long a worker may answer polls and still execute a call that it has not answered.
	executionBound = 30 * time.Second
	// maxPollGap bounds the part of the time between two polls in which the worker counts as answering.
	maxPollGap = 500 * time.Millisecond
	// oddReports is the number of reports in succession after which a state that seems to be older than what is known is
	// believed.
	oddReports = 5
)

// Holdings is what a worker reports about itself.
type Holdings struct {
	// StartedAtMs identifies the start of the worker.
	StartedAtMs int64
	// Sequence is the number of load orders that this start has accepted.
	Sequence int
	// Busy is set while an order is in progress, so that the layers may change yet.
	Busy    bool
	Version int
	Layers  Range
}

// Order is an order to load layers of the staged version.
type Order struct {
	Model   Model
	Version int
	Layers  Range
	// Sequence is the number of accepted orders for which the order holds; the worker refuses it for
	// any other number.
	Sequence int
}

// WriteID identifies a write of a chunk.
type WriteID int

// State is what is known about the loaded layers.
type State uint8

// States of loaded layers.
const (
	// Pending means that an order may be accepted yet, or that chunks are still to be read back.
	Pending State = iota
	// Whole means that all layers were whole when the worker took them.
	Whole
	// Unproven means that a layer may not have been whole.
	Unproven
)

// layer is a loaded layer.
type layer struct {
	version int
	state   State
	// inherited is set if the layer was loaded without an order of this process, so that another one may have proven it.
	inherited bool
}

// write is a write of a chunk that the worker may still execute.
type write struct {
	chunk   int
	version int
	// answering is how long the worker had answered polls when the write was sent.
	answering time.Duration
}

// check is the last time at which a chunk was known to be whole.
type check struct {
	version int
	// at is the earliest moment that the check may speak for.
	at time.Duration
	// replaceable is set if a write of another version may have been executed since.
	replaceable bool
}

// evidence is what is known about a chunk at the time of an order.
type evidence struct {
	checked bool
	check   check
	// rewritten is set if a write of the ordered version may be executed after the order was sent, so that
	// a chunk that is whole later need not have been whole when the worker took it.
	rewritten bool
}

// attempt is an order that was sent and may be accepted.
type attempt struct {
	order  Order
	chunks map[int]evidence
	// anchored is set if the worker had not accepted another order yet when the chunks were staged.
	anchored bool
}

// load is an accepted order whose chunks are being read back.
type load struct {
	attempt    attempt
	acceptedBy time.Duration
	unread     map[int]bool
	layers     []int
}

// Ledger records the staging and loading of one worker. It is not safe for concurrent use. Times are
// durations on a clock that does not stand still while the machine is suspended.
type Ledger struct {
	grace time.Duration

	started bool
	start   int64
	// sequence is the highest number of accepted orders that is known.
	sequence int
	// predecessor is set while writes of an earlier process may still be executed.
	predecessor bool
	// answering is how long the worker has answered polls, the last of them at polledAt.
	answering time.Duration
	polledAt  time.Duration
	// behind counts the reports in succession that seem to be older than what is known.
	behind int
	// anchored is set when the worker was read since the last change of a chunk or of what is known about it.
	anchored bool

	nextWrite WriteID
	writes    map[WriteID]write
	settled   map[int][]settledWrite
	checks    map[int]check
	attempted map[int]int
	layers    map[int]layer
	attempts  []attempt
	loading   *load
}

// settledWrite is a write that is no longer outstanding.
type settledWrite struct {
	version int
	at      time.Duration
}

// New returns a ledger. Grace is how long a chunk may have been corrupt when a worker takes it.
func New(grace time.Duration) *Ledger {
	return &Ledger{
		grace: grace, writes: make(map[WriteID]write), settled: make(map[int][]settledWrite), checks: make(map[int]check),
		attempted: make(map[int]int), layers: make(map[int]layer),
	}
}

// Observe records the state that the worker has reported.
func (l *Ledger) Observe(h Holdings, now time.Duration) {
	l.expire(now)
	behind := l.behind
	l.behind = 0
	switch {
	case !l.started:
		l.started, l.start, l.sequence, l.predecessor = true, h.StartedAtMs, h.Sequence, true
		l.inherit(h)
	case h.StartedAtMs != l.start:
		l.restart(h)
	case h.Sequence < l.sequence:
		// It may be an earlier response that was written once more.
		if l.behind = behind + 1; l.behind >= oddReports {
			l.restart(h)
		}
	case h.Sequence == l.sequence:
		l.anchored = true
		if !h.Busy && !l.matches(h) {
			l.disown(h)
		}
	case h.Sequence == l.sequence+1:
		if a, ok := l.accepted(); ok {
			l.accept(a, h.Sequence, now)
			return
		}
		l.disown(h)
	default:
		l.disown(h)
	}
}

// restart records another start of the worker. Writes and orders stay outstanding, since some may have reached this start
// before it was noticed.
func (l *Ledger) restart(h Holdings) {
	if l.predecessor {
		l.distrustChecks()
	}
	l.start, l.sequence, l.predecessor, l.behind = h.StartedAtMs, h.Sequence, false, 0
	l.layers, l.checks, l.loading = make(map[int]layer), make(map[int]check), nil
	l.inherit(h)
}

// expire settles what the worker would have executed by now, having answered polls for so long.
func (l *Ledger) expire(now time.Duration) {
	if l.started {
		l.answering += min(max(now-l.polledAt, 0), maxPollGap)
	}
	l.polledAt = now
	for id, w := range l.writes {
		if l.answering-w.answering >= executionBound {
			l.Settle(id, now)
		}
	}
	if l.predecessor && l.answering >= executionBound {
		l.predecessor = false
		l.distrustChecks()
	}
}

// distrustChecks records that a write of an earlier process may have been executed after any check.
func (l *Ledger) distrustChecks() {
	for chunk, known := range l.checks {
		known.replaceable = true
		l.checks[chunk] = known
	}
	for _, a := range l.attempts {
		for chunk, known := range a.chunks {
			known.check.replaceable = true
			a.chunks[chunk] = known
		}
	}
}

// inherit records layers that were loaded before. A worker that has accepted no order holds what it was
// started with.
func (l *Ledger) inherit(h Holdings) {
	state := Unproven
	if h.Sequence == 0 {
		state = Whole
	}
	for i := h.Layers.From; i < h.Layers.To; i++ {
		l.layers[i] = layer{version: h.Version, state: state, inherited: true}
	}
}

// matches reports whether the worker holds the layers that it is known to have taken.
func (l *Ledger) matches(h Holdings) bool {
	for i, held := range l.layers {
		if held.version != h.Version || !h.Layers.Contains(i) {
			return false
		}
	}
	return len(l.layers) == h.Layers.To-h.Layers.From
}

// accepted returns the earliest attempt that the worker may have accepted as the next order. It reports false if it may
// have accepted another order, or one before its chunks were staged. An order of an earlier process for the same layers
// that was accepted instead has taken the same chunks.
func (l *Ledger) accepted() (attempt, bool) {
	var first *attempt
	for i := range l.attempts {
		a := &l.attempts[i]
		switch {
		case a.order.Sequence != l.sequence:
		case first == nil:
			first = a
		case a.order != first.order:
			return attempt{}, false
		}
	}
	if first == nil || !first.anchored {
		return attempt{}, false
	}
	return *first, true
}

// disown records that the worker has accepted an order of which it is not known when it was accepted.
func (l *Ledger) disown(h Holdings) {
	l.sequence, l.loading = h.Sequence, nil
	l.dropRefused()
	l.layers = make(map[int]layer)
	l.inherit(h)
}

// Adopt records that another process has proven the layers of a version that a start holds after a number of accepted
// orders.
func (l *Ledger) Adopt(startedAtMs int64, sequence, version int) {
	if !l.started || startedAtMs != l.start || sequence != l.sequence {
		return
	}
	for i, held := range l.layers {
		if held.inherited && held.version == version {
			held.state = Whole
			l.layers[i] = held
		}
	}
}

// Inherited reports whether unproven layers were loaded without an order of this process.
func (l *Ledger) Inherited() bool {
	for _, held := range l.layers {
		if held.inherited && held.state == Unproven {
			return true
		}
	}
	return false
}

// BeginWrite records that a write of a chunk is about to be sent.
func (l *Ledger) BeginWrite(chunk, version int) WriteID {
	l.nextWrite++
	l.writes[l.nextWrite] = write{chunk: chunk, version: version, answering: l.answering}
	l.attempted[chunk] = version
	l.anchored = false
	if checked, ok := l.checks[chunk]; ok && checked.version != version {
		delete(l.checks, chunk)
	}
	for _, a := range l.attempts {
		a.overwritten(chunk, version)
	}
	if l.loading != nil {
		l.loading.attempt.overwritten(chunk, version)
	}
	return l.nextWrite
}

// overwritten records a write of a chunk that is sent after the order.
func (a *attempt) overwritten(chunk, version int) {
	known, ok := a.chunks[chunk]
	if !ok {
		return
	}
	if version == a.order.Version {
		known.rewritten = true
	} else {
		known.check.replaceable = true
	}
	a.chunks[chunk] = known
}

// Settle records that the worker will not execute a write any more: it has done so, or never will.
func (l *Ledger) Settle(id WriteID, now time.Duration) {
	if settled, ok := l.writes[id]; ok {
		delete(l.writes, id)
		recent := slices.DeleteFunc(l.settled[settled.chunk], func(w settledWrite) bool { return now-w.at > 2*l.grace })
		l.settled[settled.chunk] = append(recent, settledWrite{version: settled.version, at: now})
	}
}

// Verified records that a chunk was whole at some moment since a time, as a write that was executed or a read
// has shown.
func (l *Ledger) Verified(chunk, version int, since time.Duration) {
	l.anchored = false
	l.checks[chunk] = check{version: version, at: since, replaceable: l.replaceable(chunk, version, since)}
}

// replaceable reports whether a write of another version may have been executed since a time, which counts only if it is within
// the grace.
func (l *Ledger) replaceable(chunk, version int, since time.Duration) bool {
	for _, w := range l.writes {
		if w.chunk == chunk && w.version != version {
			return true
		}
	}
	return slices.ContainsFunc(l.settled[chunk], func(w settledWrite) bool { return w.version != version && w.at >= since })
}

// Attempted reports whether the last write of a chunk was of a version, whether it was executed or not.
func (l *Ledger) Attempted(chunk, version int) bool { return l.attempted[chunk] == version }

// Stale returns the chunks of a range that were not verified within a time.
func (l *Ledger) Stale(chunks Range, version int, now, within time.Duration) []int {
	var stale []int
	for i := chunks.From; i < chunks.To; i++ {
		if checked, ok := l.checks[i]; !ok || checked.version != version || now-checked.at > within {
			stale = append(stale, i)
		}
	}
	return stale
}

// OldestCheck returns the earliest time at which a chunk of a range was known to be whole, or the latest possible one without
// chunks.
func (l *Ledger) OldestCheck(chunks Range) time.Duration {
	oldest := time.Duration(math.MaxInt64)
	for i := chunks.From; i < chunks.To; i++ {
		oldest = min(oldest, l.checks[i].at)
	}
	return oldest
}

// Missing returns the layers of an order that the worker would take, as it does not hold them at that version.
func (l *Ledger) Missing(version int, layers Range) Range {
	missing := Range{From: layers.To, To: layers.To}
	for i := layers.From; i < layers.To; i++ {
		if l.layers[i].version != version {
			missing.From = min(missing.From, i)
			missing.To = i + 1
		}
	}
	return missing
}

// Provable reports whether a load of chunks that are whole could be proven now: it could not while a write that the worker
// may still execute could hide what it takes.
func (l *Ledger) Provable(chunks Range, version int) bool {
	for i := chunks.From; i < chunks.To; i++ {
		known := l.evidenceOf(i, version)
		known.checked, known.check.at = true, 0
		if !l.proves(&load{}, known) {
			return false
		}
	}
	return true
}

// evidenceOf returns what is known about a chunk now.
func (l *Ledger) evidenceOf(chunk, version int) evidence {
	checked, ok := l.checks[chunk]
	known := evidence{checked: ok && checked.version == version, check: checked}
	for _, w := range l.writes {
		known.rewritten = known.rewritten || w.chunk == chunk && w.version == version
	}
	if known.checked {
		known.check.replaceable = known.check.replaceable || l.replaceable(chunk, version, checked.at)
	}
	return known
}

// BeginOrder returns an order to load layers of a version, and records that it is about to be sent.
func (l *Ledger) BeginOrder(m Model, version int, layers Range) Order {
	order := Order{Model: m, Version: version, Layers: layers, Sequence: l.sequence}
	a := attempt{order: order, chunks: make(map[int]evidence), anchored: l.anchored}
	chunks := order.Model.ChunksOf(order.Layers)
	for i := chunks.From; i < chunks.To; i++ {
		a.chunks[i] = l.evidenceOf(i, order.Version)
	}
	l.attempts = append(l.attempts, a)
	return order
}

// Accepted records that the worker has answered the last order by accepting it.
func (l *Ledger) Accepted(order Order, now time.Duration) {
	if last := len(l.attempts) - 1; last >= 0 && l.attempts[last].order == order && order.Sequence == l.sequence {
		l.accept(l.attempts[last], order.Sequence+1, now)
	}
}

// Refused records that the worker has refused the last order. Earlier ones may still be accepted.
func (l *Ledger) Refused(order Order) {
	if last := len(l.attempts) - 1; last >= 0 && l.attempts[last].order == order {
		l.attempts = l.attempts[:last]
	}
}

func (l *Ledger) accept(a attempt, sequence int, now time.Duration) {
	l.sequence = sequence
	l.dropRefused()
	loaded := load{attempt: a, acceptedBy: now, unread: make(map[int]bool)}
	held := l.layers
	l.layers = make(map[int]layer)
	for i := a.order.Layers.From; i < a.order.Layers.To; i++ {
		if kept, ok := held[i]; ok && kept.version == a.order.Version {
			if kept.state == Pending {
				kept.state = Unproven // what was still to be read back for it is not known any more
			}
			l.layers[i] = kept
			continue
		}
		l.layers[i] = layer{version: a.order.Version, state: Pending}
		loaded.layers = append(loaded.layers, i)
		chunks := a.order.Model.ChunksOf(Range{From: i, To: i + 1})
		for chunk := chunks.From; chunk < chunks.To; chunk++ {
			loaded.unread[chunk] = true
		}
	}
	l.loading = &loaded
	l.conclude()
}

// dropRefused forgets the attempts that the worker can only refuse, since it has accepted another order for their sequence.
func (l *Ledger) dropRefused() {
	l.attempts = slices.DeleteFunc(l.attempts, func(a attempt) bool { return a.order.Sequence < l.sequence })
}

// Unread returns the chunks that are to be read back, and the version of which they should be.
func (l *Ledger) Unread() (chunks []int, version int) {
	if l.loading == nil {
		return nil, 0
	}
	return slices.Sorted(maps.Keys(l.loading.unread)), l.loading.attempt.order.Version
}

// ReadBack records whether a chunk was whole after the worker had accepted the load order.
func (l *Ledger) ReadBack(chunk int, whole bool) {
	loaded := l.loading
	if loaded == nil || !loaded.unread[chunk] {
		return
	}
	delete(loaded.unread, chunk)
	if !whole {
		delete(l.checks, chunk)
	}
	if !whole || !l.proves(loaded, loaded.attempt.chunks[chunk]) {
		l.fail(chunk)
	}
	l.conclude()
}

// proves reports whether a chunk that is whole now was whole when the worker took it, or had been corrupt for no
// longer than the grace. A later write of the same version may have replaced what the worker took. Then only a check
// shortly before the acceptance counts, and only if no other version can have been written in between.
func (l *Ledger) proves(loaded *load, known evidence) bool {
	recent := known.checked && loaded.acceptedBy-known.check.at < l.grace
	if l.predecessor {
		// One write of an earlier process may be executed at any time, of this or of another version.
		return recent && !known.rewritten && !known.check.replaceable
	}
	return !known.rewritten || recent && !known.check.replaceable
}

// fail marks the newly loaded layers that contain a chunk as unproven.
func (l *Ledger) fail(chunk int) {
	for _, i := range l.loading.layers {
		if l.loading.attempt.order.Model.ChunksOf(Range{From: i, To: i + 1}).Contains(chunk) {
			held := l.layers[i]
			held.state = Unproven
			l.layers[i] = held
		}
	}
}

// conclude ends a load whose chunks were all read back.
func (l *Ledger) conclude() {
	if len(l.loading.unread) > 0 {
		return
	}
	for _, i := range l.loading.layers {
		if held := l.layers[i]; held.state == Pending {
			held.state = Whole
			l.layers[i] = held
		}
	}
	l.loading = nil
}
