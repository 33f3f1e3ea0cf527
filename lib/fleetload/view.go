package fleetload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// promptSmoothing is the weight of one request in the mean length of prompts.
	promptSmoothing = 0.02
	// A length counts in the mean as maxLengthRatio times the mean at most, or as usualPromptTokens if that is more, since it is what a
	// caller states.
	maxLengthRatio    = 4
	usualPromptTokens = 2048
)

// View is what one entry knows of the load of the fleet. It is not safe for concurrent use.
type View struct {
	self     string
	settings Settings
	workers  map[string]*Worker
	senders  map[string]*sender
	sequence uint64
	// nextExpiry is the earliest time at which the facts of an entry may expire; zero without facts.
	nextExpiry       time.Time
	meanPromptTokens float64
}

// New returns the view of an entry that knows nothing.
func New(self string, settings Settings) *View {
	settings.TimeToLive = cmp.Or(settings.TimeToLive, DefaultTimeToLive)
	return &View{self: self, settings: settings, workers: make(map[string]*Worker), senders: make(map[string]*sender)}
}

// SetTimeToLive sets how long the facts of another entry hold that are not repeated, which is DefaultTimeToLive at least.
func (v *View) SetTimeToLive(timeToLive time.Duration) {
	v.settings.TimeToLive = max(timeToLive, DefaultTimeToLive)
}

// Follow returns the state of a start of a worker. Only workers that are followed are described; what is heard of others is
// dropped.
func (v *View) Follow(vm string, startedAtMs int64) *Worker {
	w := v.workers[vm]
	if w == nil {
		w = &Worker{view: v, vm: vm, startedAtMs: startedAtMs}
		v.workers[vm] = w
	}
	if startedAtMs > w.startedAtMs {
		w.restart(startedAtMs)
	}
	return w
}

// current returns the state of a worker, or nil if it is not followed or another start of it is.
func (v *View) current(vm string, startedAtMs int64) *Worker {
	if w := v.workers[vm]; w != nil && w.startedAtMs == startedAtMs {
		return w
	}
	return nil
}

// Stated records the load that a worker has stated in a response.
func (v *View) Stated(vm string, startedAtMs int64, s Statement, now time.Time) {
	w := v.current(vm, startedAtMs)
	if w == nil {
		return
	}
	if s.HasSlots {
		w.slots = s.Slots
	}
	if s.HasRequests {
		w.observe(s.Running, s.Queued, now)
	}
	w.observePace(s.Pace, now)
}

// Reported records a report of the process beside a worker.
func (v *View) Reported(vm string, startedAtMs int64, r Report, now time.Time) {
	w := v.current(vm, startedAtMs)
	if w == nil {
		return
	}
	w.observe(r.Running, r.Queued, now)
	w.observePace(r.Pace, now)
	if r.TotalTokens > 0 {
		total := min(r.TotalTokens, maxTokensOfWorker)
		w.usedTokens, w.totalTokens, w.usedAt = min(max(r.UsedTokens, 0), total), total, now
	}
}

// SetSlots sets the slots of a worker from the list of workers, unless the worker states them.
func (v *View) SetSlots(vm string, slots int) {
	if w := v.workers[vm]; w != nil && w.slots == 0 {
		w.slots = slots
	}
}

// Token is a request of this entry at a worker, from Sent to Ended. The zero Token is none.
type Token struct{ sent *sent }

type sent struct {
	worker      *Worker
	startedAtMs int64
	work        Work
	// began is set once the worker has begun to respond, and ended once the request is over.
	began, ended bool
}

// part returns the load of the request.
func (s *sent) part() part {
	p := part{waiting: 1, waitingTokens: s.work.PromptTokens, heldTokens: s.work.PromptTokens, heldBytes: s.work.Bytes}
	if s.began {
		p.waiting, p.running, p.waitingTokens = 0, 1, 0
		p.heldTokens += s.work.OutputTokens
	}
	return p
}

// Sent records a request of this entry.
func (v *View) Sent(vm string, startedAtMs int64, work Work, _ time.Time) Token {
	w := v.current(vm, startedAtMs)
	if w == nil {
		return Token{}
	}
	work = Work{w.believedTokens(work.PromptTokens), w.believedTokens(work.OutputTokens), max(work.Bytes, 0)}
	v.observeLength(work.PromptTokens)
	s := &sent{worker: w, startedAtMs: startedAtMs, work: work}
	w.own.add(s.part())
	return Token{s}
}

// observeLength takes the length of a prompt into the mean.
func (v *View) observeLength(tokens int64) {
	if tokens == 0 {
		return
	}
	length := min(float64(tokens), max(maxLengthRatio*v.meanPromptTokens, usualPromptTokens))
	if v.meanPromptTokens == 0 {
		v.meanPromptTokens = length
	}
	v.meanPromptTokens += promptSmoothing * (length - v.meanPromptTokens)
}

// Began records that the worker has begun to respond.
func (v *View) Began(t Token, _ time.Time) {
	if s := t.sent; s != nil && !s.began && !s.ended {
		before := s.part()
		s.began = true
		s.replace(before, s.part())
	}
}

// Ended records the end of a request, whatever its outcome.
func (v *View) Ended(t Token, _ time.Time) {
	if s := t.sent; s != nil && !s.ended {
		s.ended = true
		s.replace(s.part(), part{})
	}
}

func (s *sent) replace(before, after part) {
	if s.worker.startedAtMs == s.startedAtMs {
		s.worker.own.subtract(before)
		s.worker.own.add(after)
	}
}

// Worker returns the best estimate of the load of a worker.
func (v *View) Worker(vm string, now time.Time) Load {
	if w := v.workers[vm]; w != nil {
		return w.Load(now)
	}
	return Load{Pace: 1}
}

// HasFreeSlot reports whether a request that is sent to a worker now finds a free slot, by what is known.
func (v *View) HasFreeSlot(vm string, now time.Time) bool {
	w := v.workers[vm]
	return w != nil && w.HasFreeSlot(now)
}

// Suspended records that the machine was suspended, which the monotonic clock does not count: what is known is older.
func (v *View) Suspended(length time.Duration) {
	for _, w := range v.workers {
		for _, at := range []*time.Time{&w.observedAt, &w.queue.at, &w.pace.at, &w.usedAt} {
			if !at.IsZero() {
				*at = at.Add(-length)
			}
		}
	}
	for _, s := range v.senders {
		s.heardAt = s.heardAt.Add(-length)
	}
	if !v.nextExpiry.IsZero() {
		v.nextExpiry = v.nextExpiry.Add(-length)
	}
}

// Forget removes a worker.
func (v *View) Forget(vm string) { delete(v.workers, vm) }

// Facts returns what this entry tells the others, under a new sequence number: its part of the load of workers, those with
// the most waiting prompt tokens first. The caller adds demands.
func (v *View) Facts(_ time.Time) Facts {
	v.sequence++
	f := Facts{Entry: v.self, Zone: v.settings.Zone, StartedAtMs: v.settings.StartedAtMs, Sequence: v.sequence}
	for _, w := range v.workers {
		if w.own != (part{}) {
			f.Workers = append(f.Workers, WorkerFact{
				VM: w.vm, StartedAtMs: w.startedAtMs, Running: w.own.running, Waiting: w.own.waiting,
				WaitingPromptTokens: w.own.waitingTokens, HeldBytes: w.own.heldBytes,
			})
		}
	}
	slices.SortFunc(f.Workers, func(a, b WorkerFact) int {
		return cmp.Or(cmp.Compare(b.WaitingPromptTokens, a.WaitingPromptTokens), cmp.Compare(b.Running+b.Waiting, a.Running+a.Waiting), cmp.Compare(a.VM, b.VM))
	})
	return f
}
