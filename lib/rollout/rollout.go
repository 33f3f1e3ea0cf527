// Package rollout decides when the process beside a worker orders it to load weights.
// Processes decide by themselves from what all of them know: the time at which a version
// was named, and the workers of the availability zone. Nobody has to hold a lease.
package rollout

import (
	"slices"
	"time"

	"laburnumgw/lib/rendezvous"
)

// Settings are the times of a change of versions, counted from the moment at which the
// version was named.
type Settings struct {
	// FirstSwitchover is when the first worker of an availability zone changes over, if its
	// weights are whole by then.
	FirstSwitchover time.Duration
	// LastSwitchover is when the last one does. A worker takes nothing new while it waits for its
	// running requests, so that spreading keeps the most of the zone in service.
	LastSwitchover time.Duration
	// Notice is how long before its turn a worker is announced to close, so that it gets
	// only requests that end by then.
	Notice time.Duration
}

const (
	// firstShare of the bound is when all links have carried a copy, and the first
	// workers could be announced: 3.9 of 8 s.
	firstShare = 0.48
	// lastShare is when entries stop to send to workers with older weights: 0.7 of 8 s
	// before the bound. A worker serves until then.
	lastShare = 0.91
	// noticeShare is the time in which most requests end: 1.2 of 8 s.
	noticeShare = 0.15
)

// DefaultSettings spreads the change over the bound within which it must be complete.
func DefaultSettings(bound time.Duration) Settings {
	return Settings{
		FirstSwitchover: time.Duration(firstShare * float64(bound)),
		LastSwitchover:  time.Duration(lastShare * float64(bound)),
		Notice:          time.Duration(noticeShare * float64(bound)),
	}
}

// Worker is the state of the worker beside this process.
type Worker struct {
	// Version is that of the loaded weights; zero without any.
	Version int
	// Complete is set when all layers are loaded.
	Complete bool
	// Busy is set while an order is in progress.
	Busy bool
}

// Target is a version that the worker is to serve.
type Target struct {
	Version int
	// NamedAt is the time at which this process learnt of the version.
	NamedAt time.Time
	// Complete is set when every chunk is held and verified here.
	Complete bool
	// CompleteAt is the time at which it became so.
	CompleteAt time.Time
}

// Decision is what follows for the worker.
type Decision struct {
	// Load is the version to load now; zero for none.
	Load   int
	Reason Reason
	// ClosesIn is the time until the worker will be ordered, when that is at most the
	// notice away; zero otherwise.
	ClosesIn time.Duration
}

// Reason states why a decision was taken.
type Reason string

// Reasons.
const (
	ReasonCurrent    Reason = "serves_target"
	ReasonBusy       Reason = "order_in_progress"
	ReasonMissing    Reason = "chunks_missing"
	ReasonEmpty      Reason = "serves_nothing"
	ReasonSwitchover Reason = "turn_in_zone"
	ReasonWaiting    Reason = "waits_for_turn"
	ReasonSkipped    Reason = "waits_for_newer_version"
	ReasonNoTarget   Reason = "no_version_known"
)

// Decide states whether the worker is to load a version now. Self and zone are the names
// of the worker's VM and of all VMs of its zone that serve the model.
//
// When a newer version is named while an older one is due, half of the workers change
// over to the older one and keep serving until the newer one is whole; the others wait
// for the newer one and change over once.
func Decide(s Settings, w Worker, targets []Target, self string, zone []string, now time.Time) Decision {
	newest := 0
	for _, t := range targets {
		newest = max(newest, t.Version)
	}
	switch {
	case newest == 0:
		return Decision{Reason: ReasonNoTarget}
	case w.Complete && w.Version >= newest:
		return Decision{Reason: ReasonCurrent}
	case w.Busy:
		return Decision{Reason: ReasonBusy}
	}
	decision := Decision{Reason: ReasonMissing}
	place := placeOf(self, zone)
	for _, t := range targets {
		if !t.Complete || (w.Complete && t.Version <= w.Version) || t.Version < decision.Load {
			continue
		}
		if !w.Complete {
			decision = Decision{Load: t.Version, Reason: ReasonEmpty}
			continue
		}
		if place.skips && s.replaced(t, targets, now) {
			if decision.Load == 0 {
				decision = Decision{Reason: ReasonSkipped, ClosesIn: s.notice(t.NamedAt.Add(s.LastSwitchover).Sub(now))}
			}
			continue
		}
		wait := s.turn(w, t, targets, place).Sub(now)
		switch {
		case wait <= 0:
			decision = Decision{Load: t.Version, Reason: ReasonSwitchover}
		case decision.Load == 0:
			decision = Decision{Reason: ReasonWaiting, ClosesIn: s.notice(wait)}
		}
	}
	return decision
}

// Supersedes reports whether a version makes an older one needless, that was named so shortly
// before that a worker would have to change over again at once. The links carry one copy only.
func (s Settings) Supersedes(newer, older Target) bool {
	return newer.Version > older.Version && !older.Complete && newer.NamedAt.Sub(older.NamedAt) < s.Notice
}

// notice returns a wait that is to be announced, or zero while it is too long.
func (s Settings) notice(wait time.Duration) time.Duration {
	if wait > s.Notice {
		return 0
	}
	return max(wait, time.Millisecond)
}

// replaced reports whether a newer version is on its way and can still be waited for.
func (s Settings) replaced(t Target, targets []Target, now time.Time) bool {
	if now.After(t.NamedAt.Add(s.LastSwitchover + s.Notice)) {
		return false
	}
	return slices.ContainsFunc(targets, func(other Target) bool { return other.Version > t.Version && !other.Complete })
}

// place is the place of a VM in the order of its availability zone. The order is the same
// for all processes.
type place struct {
	// part is 0 for the first VM and 1 for the last one.
	part float64
	// skips is set for every second VM.
	skips bool
}

func placeOf(self string, zone []string) place {
	if len(zone) < 2 {
		return place{}
	}
	ranked := rendezvous.Rank("change-over", zone)
	rank := max(0, slices.Index(ranked, self))
	return place{part: float64(rank) / float64(len(ranked)-1), skips: rank%2 == 1}
}

// turn returns when a worker changes over to a target. The turns of a zone are spread up
// to the end of the bound of the oldest version that the worker does not serve yet.
func (s Settings) turn(w Worker, t Target, targets []Target, p place) time.Time {
	first, last := t.NamedAt.Add(s.FirstSwitchover), t.NamedAt.Add(s.LastSwitchover)
	for _, other := range targets {
		if end := other.NamedAt.Add(s.LastSwitchover); other.Version > w.Version && other.Version < t.Version && end.Before(last) {
			last = end
		}
	}
	turn := last
	if first.Before(last) {
		turn = first.Add(time.Duration(p.part * float64(last.Sub(first))))
	}
	// Weights that became whole late still give notice, within the bound.
	noticed := t.CompleteAt.Add(s.Notice / 2)
	if noticed.After(last) {
		noticed = last
	}
	if noticed.After(turn) {
		return noticed
	}
	return turn
}
