package fleetload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds on what other entries tell. What exceeds them is ignored.
const (
	maxSenders          = 1024
	maxWorkersPerSender = 1024
	maxDemandsPerSender = 1024
	maxBytesPerFact     = 1 << 40
	maxRank             = 1 << 20
	maxRate             = 1e6 // units of work a second
)

// sender is another entry.
type sender struct {
	startedAtMs int64
	sequence    uint64
	heardAt     time.Time
	// round counts the sequences that were heard. divided and wasDivided are set if this one and the one before are known
	// to consist of several messages.
	round               uint64
	divided, wasDivided bool
	demands             map[demandKey]toldDemand
	facts               map[*Worker]toldFact
}

// toldDemand is a demand that was told in a round.
type toldDemand struct {
	Demand
	round uint64
}

// toldFact is the part of a start of a worker's load that another entry has told.
type toldFact struct {
	worker      *Worker
	startedAtMs int64
	part        part
	round       uint64
}

func (f toldFact) isCurrent() bool { return f.worker.startedAtMs == f.startedAtMs }

// Heard records the facts of another entry. It returns false if they are older than what is known, or not usable. Messages
// of the same sequence complete each other. What a sequence of several messages lacks holds for one sequence more, since one of
// them may be lost.
func (v *View) Heard(f Facts, now time.Time) bool {
	v.expire(now)
	if f.Entry == "" || f.Entry == v.self {
		return false
	}
	s := v.senders[f.Entry]
	switch {
	case s == nil && len(v.senders) >= maxSenders:
		return false
	case s == nil:
		s = &sender{startedAtMs: f.StartedAtMs, demands: make(map[demandKey]toldDemand), facts: make(map[*Worker]toldFact)}
		v.senders[f.Entry] = s
	case f.StartedAtMs < s.startedAtMs, f.StartedAtMs == s.startedAtMs && f.Sequence < s.sequence:
		return false
	}
	switch {
	case f.StartedAtMs != s.startedAtMs:
		s.forgetBefore(math.MaxUint64)
		s.divided, s.wasDivided = false, false
	case f.Sequence != s.sequence:
		s.round++
		s.wasDivided, s.divided = s.divided, false
		s.forgetBefore(s.round - 1)
	}
	s.startedAtMs, s.sequence, s.heardAt = f.StartedAtMs, f.Sequence, now
	s.divided = s.divided || f.Partial
	for _, fact := range f.Workers {
		s.apply(v.workers[fact.VM], fact)
	}
	for _, demand := range f.Demands {
		s.setDemand(demand)
	}
	if isWhole := !f.Partial && !s.divided; isWhole && (!s.wasDivided || len(f.Workers)+len(f.Demands) == 0) {
		s.forgetBefore(s.round)
	}
	if expiry := now.Add(v.settings.TimeToLive); v.nextExpiry.IsZero() || expiry.Before(v.nextExpiry) {
		v.nextExpiry = expiry
	}
	return true
}

// apply records one fact in place of an earlier one on the same worker.
func (s *sender) apply(w *Worker, fact WorkerFact) {
	if w == nil || fact.StartedAtMs != w.startedAtMs || !fact.isUsable() {
		return
	}
	told := toldFact{w, fact.StartedAtMs, part{
		running: fact.Running, waiting: fact.Waiting, heldBytes: fact.HeldBytes,
		waitingTokens: min(fact.WaitingPromptTokens, int64(fact.Waiting)*w.tokensOfRequest()),
	}, s.round}
	before, isKnown := s.facts[w]
	switch {
	case isKnown && before.isCurrent():
		w.told.subtract(before.part)
	case !isKnown && len(s.facts) >= maxWorkersPerSender:
		return
	}
	s.facts[w] = told
	w.told.add(told.part)
}

func (f *WorkerFact) isUsable() bool {
	return f.Running >= 0 && f.Running <= maxRequests && f.Waiting >= 0 && f.Waiting <= maxRequests &&
		f.WaitingPromptTokens >= 0 && f.HeldBytes >= 0 && f.HeldBytes <= maxBytesPerFact
}

func (s *sender) setDemand(d Demand) {
	isUsable := d.Rank >= 0 && d.Rank <= maxRank && isRate(d.Offered) && isRate(d.Admitted) && isRate(d.TurnedAway) && isRate(d.Usual)
	if !isUsable {
		return
	}
	if _, isKnown := s.demands[d.key()]; isKnown || len(s.demands) < maxDemandsPerSender {
		s.demands[d.key()] = toldDemand{d, s.round}
	}
}

func isRate(value float64) bool { return value >= 0 && value <= maxRate }

// forgetBefore forgets the facts that were not repeated since a round.
func (s *sender) forgetBefore(round uint64) {
	maps.DeleteFunc(s.facts, func(_ *Worker, f toldFact) bool {
		if f.round < round && f.isCurrent() {
			f.worker.told.subtract(f.part)
		}
		return f.round < round
	})
	maps.DeleteFunc(s.demands, func(_ demandKey, d toldDemand) bool { return d.round < round })
}

// expire forgets the entries that have not repeated their facts within the time to live.
func (v *View) expire(now time.Time) {
	if v.nextExpiry.IsZero() || now.Before(v.nextExpiry) {
		return
	}
	v.nextExpiry = time.Time{}
	for name, s := range v.senders {
		expiry := s.heardAt.Add(v.settings.TimeToLive)
		if !now.Before(expiry) {
			s.forgetBefore(math.MaxUint64)
			delete(v.senders, name)
			continue
		}
		if v.nextExpiry.IsZero() || expiry.Before(v.nextExpiry) {
			v.nextExpiry = expiry
		}
	}
}

// Senders returns the number of the other entries whose facts are known.
func (v *View) Senders(now time.Time) int {
	v.expire(now)
	return len(v.senders)
}

// demandKey is what the demands of entries are summed by.
type demandKey struct {
	service, workspace string
	rank               int
}

func (d *Demand) key() demandKey { return demandKey{d.Service, d.Workspace, d.Rank} }

// Demands returns the sums of what the other entries have told about a service, by workspace and rank.
func (v *View) Demands(service string, now time.Time) []Demand {
	v.expire(now)
	sums := make(map[demandKey]Demand)
	for _, s := range v.senders {
		for _, told := range s.demands {
			d := told.Demand
			if d.Service != service {
				continue
			}
			sum := sums[d.key()]
			d.Offered += sum.Offered
			d.Admitted += sum.Admitted
			d.TurnedAway += sum.TurnedAway
			d.Usual += sum.Usual
			sums[d.key()] = d
		}
	}
	list := make([]Demand, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(strings.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
	})
	return list
}
