// Package workermemory estimates what the workers of a service hold for their requests, learns how much they can hold, and
// tells a crash for lack of memory from one that a single request has caused. It decides only; requests are sent and crashes
// are noticed by its users.
//
// What a worker holds are the bodies of its requests and the responses that were not read. Its bound is the one that the
// configuration states, or else is learnt from crashes: it is lowered by each, and rises while there are none.
//
// A Tracker has no clock and no I/O, and is not safe for concurrent use.
package workermemory

import "time"

const (
	// CountedBytes is the size from which a request is counted.
	CountedBytes = 4 << 10
	// LargeBytes is the size from which a request is sent only to workers that have room for it.
	LargeBytes = 64 << 10
	// minHeldBytes is the least that a worker must have held for its memory to be the cause of its crash.
	minHeldBytes = 1 << 20
	// highShare is the part of the bound, or else of the most that a worker has survived, which counts as high.
	highShare = 0.9
	// maxRefutations is the number of crashes far inside a learnt bound after which it is not believed any more, and
	// insideShare the part of the bound which counts as far inside.
	maxRefutations = 2
	insideShare    = 0.8
	// singleShare is the part of all that one request may hold, unless it is the cause itself.
	singleShare = 0.5
	// claimShare is the part of the bound of a worker that one entry takes beside others, and up to which its word is believed. An
	// entry that holds more, since it was alone or has another bound, and others that fill the rest stay below the crash from which
	// the bound was learnt, by crashShare.
	claimShare = 0.75
	// unboundShare is what the word of one entry is believed up to without a bound, as a multiple of what else is known.
	unboundShare = 2
	// crashShare is the part of what a worker held when it crashed which is its bound from then on.
	crashShare = 0.75
	// survivedTime is how long a worker must go on after it held most.
	survivedTime = time.Second
	// lossTime is how long the requests that were lost at a worker belong to the same crash.
	lossTime = 5 * time.Second
	// riseTime is the time without a crash after which a learnt bound rises by riseShare.
	riseTime  = 10 * time.Second
	riseShare = 0.01
	// forgetTime is the time without a crash after which a learnt bound is forgotten, and an earlier crash confirms none.
	forgetTime = 10 * time.Minute
	// nearShare is the part of the higher one that the lower one of two crashes near the same height reaches.
	nearShare = 0.8
	// maxEarlier bounds the crashes that are kept to confirm later ones.
	maxEarlier = 16
)

// Start identifies a start of a worker.
type Start struct {
	Address string
	// StartedAtMs is in milliseconds since 1970 UTC.
	StartedAtMs int64
}

// Told is what other entries tell of what a worker holds for them.
type Told struct {
	// All is the sum, and Most what the one tells that tells of most, zero if the sum is believed anyway.
	All, Most int64
	// By is the name of that one.
	By string
	// Shared is set if there are other entries, whatever they tell.
	Shared bool
}

// Others returns what other entries tell of a worker. A sum up to some bytes is believed.
type Others func(start Start, upTo int64) Told

// Tracker holds what is known of the workers of one service.
type Tracker struct {
	// OnDoubt is called when another entry tells of more than a worker can hold; nil for nothing.
	OnDoubt func(start Start, told Told, bound int64)
	others  Others
	// stated is the bound in the configuration, and learnt that from crashes, at learntAt; zero for none.
	stated, learnt int64
	learntAt       time.Time
	refutations    int
	// survived is the most that a worker has held without a crash.
	survived int64
	workers  map[Start]*holding
	// losses are the lost connections that may belong to a crash, oldest first.
	losses []loss
	// earlier are the last crashes that may have been for lack of memory.
	earlier []earlierCrash
}

// loss is when the first connection of a start was lost.
type loss struct {
	start Start
	at    time.Time
}

// earlierCrash is what a worker held when it crashed.
type earlierCrash struct {
	start Start
	held  int64
	at    time.Time
}

// holding is what a worker holds for this entry.
type holding struct {
	bytes int64
	// sizes are those of the requests.
	sizes []int64
	// peak is the most that it has held for all entries lately, and peakAt when that was.
	peak   int64
	peakAt time.Time
	// lost is what it held when the connection of a request was lost, largest the largest part of it, and lostAt when that
	// was; zero for never.
	lost, largest int64
	lostAt        time.Time
}

// Verdict is what is known of the cause of a crash.
type Verdict struct {
	// Memory is set if the worker held so much that this may be the cause, and no request was most of it.
	Memory bool
	// Stated is set if that was near the bound in the configuration, which needs no confirmation. Near are the earlier
	// crashes at about the same height: one of which all requests were others confirms the cause of both.
	Stated bool
	Near   []Start
	// Held is what it held, and Largest the largest request of this entry among that.
	Held, Largest int64
	// Survived is the most that a worker had held before without a crash, and Bound the bound after the crash.
	Survived, Bound int64
}

// New returns a tracker for a service. Others may be nil.
func New(others Others) *Tracker {
	if others == nil {
		others = func(Start, int64) Told { return Told{} }
	}
	return &Tracker{others: others, workers: make(map[Start]*holding)}
}

// State sets the bound that the configuration states, zero for none.
func (t *Tracker) State(bound int64) { t.stated = max(0, bound) }

// Sent records a request of some bytes at a worker. Each must be followed by Ended or Lost with the same bytes.
func (t *Tracker) Sent(start Start, bytes int64, now time.Time) {
	t.forgetLosses(now)
	if bytes < CountedBytes {
		return
	}
	h := t.workers[start]
	if h == nil {
		h = &holding{}
		t.workers[start] = h
	}
	h.bytes += bytes
	h.sizes = append(h.sizes, bytes)
	if held := t.held(start, h, now); held >= h.peak {
		h.peak, h.peakAt = held, now
	}
}

// Ended records that a request is over and the worker is not known to have crashed.
func (t *Tracker) Ended(start Start, bytes int64, now time.Time) {
	t.forgetLosses(now)
	h := t.workers[start]
	if h == nil || bytes < CountedBytes {
		return
	}
	if h.peak > 0 && h.lostAt.IsZero() && now.Sub(h.peakAt) >= survivedTime {
		t.survive(h.peak)
		h.peak = 0
	}
	h.remove(bytes)
	t.forgetIdle(start, h)
}

// Lost records that the connection of a request was lost.
func (t *Tracker) Lost(start Start, bytes int64, now time.Time) {
	t.forgetLosses(now)
	h := t.workers[start]
	if h == nil || bytes < CountedBytes {
		return
	}
	if h.lostAt.IsZero() {
		h.lost, h.largest, h.lostAt = t.held(start, h, now), h.max(), now
		t.losses = append(t.losses, loss{start, now})
	}
	h.remove(bytes)
}

// forgetLosses forgets the lost connections of workers that have not crashed.
func (t *Tracker) forgetLosses(now time.Time) {
	for len(t.losses) > 0 && now.Sub(t.losses[0].at) >= lossTime {
		lost := t.losses[0]
		t.losses = t.losses[1:]
		h := t.workers[lost.start]
		if h == nil || !h.lostAt.Equal(lost.at) {
			continue
		}
		h.lost, h.largest, h.lostAt = 0, 0, time.Time{}
		if len(h.sizes) == 0 {
			delete(t.workers, lost.start)
		}
	}
}

// Forget forgets a worker that is gone. What still runs there is not counted any more.
func (t *Tracker) Forget(start Start) { delete(t.workers, start) }

func (h *holding) max() int64 {
	largest := int64(0)
	for _, size := range h.sizes {
		largest = max(largest, size)
	}
	return largest
}

func (h *holding) remove(bytes int64) {
	for i, size := range h.sizes {
		if size == bytes {
			h.sizes[i] = h.sizes[len(h.sizes)-1]
			h.sizes = h.sizes[:len(h.sizes)-1]
			h.bytes -= bytes
			return
		}
	}
}

// survive records that a worker has held some bytes. It can hold more than was believed if that exceeds the bound.
func (t *Tracker) survive(bytes int64) {
	t.survived = max(t.survived, bytes)
	if t.learnt > 0 {
		t.learnt = max(t.learnt, bytes)
	}
}

// forgetIdle forgets a worker that holds nothing, once what it has survived is counted.
func (t *Tracker) forgetIdle(start Start, h *holding) {
	if len(h.sizes) > 0 || !h.lostAt.IsZero() {
		return
	}
	if h.peak > 0 {
		// It has held that until its last request was answered.
		t.survive(h.peak)
	}
	delete(t.workers, start)
}

// Crashed returns what is known of the cause of a crash, and learns from it.
func (t *Tracker) Crashed(start Start, now time.Time) Verdict {
	h := t.workers[start]
	if h == nil {
		return Verdict{Survived: t.survived, Bound: t.Bound(now)}
	}
	delete(t.workers, start)
	v := Verdict{Held: t.held(start, h, now), Largest: h.max(), Survived: t.survived}
	if !h.lostAt.IsZero() && now.Sub(h.lostAt) < lossTime && h.lost > v.Held {
		v.Held, v.Largest = h.lost, h.largest
	}
	v.Memory = t.exceeds(v, now)
	switch {
	case v.Memory:
		v.Stated = t.stated > 0 && float64(v.Held) >= highShare*float64(t.stated)
		v.Near = t.near(v.Held, now)
		t.earlier = append(t.earlier[max(0, len(t.earlier)+1-maxEarlier):], earlierCrash{start, v.Held, now})
		t.learn(v.Held, now)
	case t.learnt > 0 && v.Held >= minHeldBytes && float64(v.Held) < insideShare*float64(t.learnt):
		t.refute()
	}
	v.Bound = t.Bound(now)
	return v
}

// exceeds reports whether a worker held more than it can, and not because of one request.
func (t *Tracker) exceeds(v Verdict, now time.Time) bool {
	bound := t.Bound(now)
	if bound == 0 {
		bound = t.survived
	}
	return v.Held >= max(minHeldBytes, int64(highShare*float64(bound))) && v.Largest <= int64(singleShare*float64(v.Held))
}

// near returns the earlier crashes near a height.
func (t *Tracker) near(held int64, now time.Time) []Start {
	var near []Start
	for _, c := range t.earlier {
		if now.Sub(c.at) < forgetTime && float64(min(held, c.held)) >= nearShare*float64(max(held, c.held)) {
			near = append(near, c.start)
		}
	}
	return near
}

// learn lowers the bound after a crash for lack of memory.
func (t *Tracker) learn(held int64, now time.Time) {
	bound := int64(crashShare * float64(held))
	if t.survived < held {
		bound = max(bound, t.survived)
	}
	t.survived = min(t.survived, bound)
	t.learnt, t.learntAt, t.refutations = max(bound, minHeldBytes), now, 0
}

// refute counts a crash that the learnt bound does not explain. It was learnt from a crash with another cause if there are
// more of them.
func (t *Tracker) refute() {
	if t.refutations++; t.refutations >= maxRefutations {
		t.survived = max(t.survived, int64(float64(t.learnt)/crashShare))
		t.learnt, t.refutations = 0, 0
	}
}

// Bound returns how much a worker can hold, zero if that is not known.
func (t *Tracker) Bound(now time.Time) int64 {
	if t.learnt == 0 {
		return t.stated
	}
	waited := now.Sub(t.learntAt)
	if waited >= forgetTime {
		t.learnt = 0
		return t.stated
	}
	bound := t.learnt + int64(riseShare*float64(t.learnt)*float64(waited/riseTime))
	if t.stated > 0 {
		bound = min(bound, t.stated)
	}
	return bound
}

// believed returns what a worker holds for other entries. What one of them tells is believed up to claimShare of the bound, so
// that its word alone leaves room. Without a bound it is believed up to unboundShare times what this entry holds there and all others
// tell, since an entry that holds most of it learns the bound itself.
func (t *Tracker) believed(start Start, own int64, now time.Time) (bytes int64, shared bool) {
	bound := t.Bound(now)
	limit := int64(claimShare * float64(bound))
	told := t.others(start, limit)
	rest := told.All - told.Most
	if bound == 0 {
		limit = unboundShare * (own + rest)
	}
	if bound > 0 && told.Most > bound && t.OnDoubt != nil {
		t.OnDoubt(start, told, bound)
	}
	return rest + min(told.Most, limit), told.Shared
}

// held returns what a worker holds.
func (t *Tracker) held(start Start, h *holding, now time.Time) int64 {
	others, _ := t.believed(start, h.bytes, now)
	return h.bytes + others
}

// HasRoom reports whether a worker has room for a request. One that holds nothing has room for any: a request that exceeds
// the bound alone fits no better elsewhere. Beside other entries, this one takes no more than it is believed.
func (t *Tracker) HasRoom(start Start, bytes int64, now time.Time) bool {
	bound := t.Bound(now)
	if bound == 0 {
		return true
	}
	own := int64(0)
	if h := t.workers[start]; h != nil {
		own = h.bytes
	}
	others, shared := t.believed(start, own, now)
	if shared && own > 0 && own+bytes > int64(claimShare*float64(bound)) {
		return false
	}
	return own+others == 0 || own+others+bytes <= bound
}

// Matters reports whether room decides where a request is sent.
func (t *Tracker) Matters(bytes int64, now time.Time) bool {
	return bytes >= LargeBytes && t.Bound(now) > 0
}

// Workers returns the number of workers that hold something for this entry.
func (t *Tracker) Workers() int { return len(t.workers) }
