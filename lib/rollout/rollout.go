// Package rollout decides when an endpoint process orders the worker on its VM to load
// weights. Each process decides by itself from what all of them know: the time at which a
// version was named, and the workers of the availability zone. No process needs a lease.
package rollout

import (
	"math"
	"time"

	"laburnumgw/lib/rendezvous"
	"laburnumgw/lib/startwait"
	"laburnumgw/lib/swarm"
)

// Settings are the times of a change of versions, relative to the time at which the version was named.
type Settings struct {
	// Bound is the time after the naming from which on no request may start on older weights.
	Bound time.Duration
	// Notice is how long before its turn a worker is announced to close, so that it gets only requests that end by then.
	Notice time.Duration
}

const (
	// noticeShare is the share of the bound within which most requests end: 1.2 s of 8 s.
	noticeShare = 0.15
	// minLoadTime is the least time that an order is expected to take.
	minLoadTime = 100 * time.Millisecond
)

// DefaultSettings are the settings for a bound of versions.
func DefaultSettings(bound time.Duration) Settings {
	return Settings{Bound: bound, Notice: time.Duration(noticeShare * float64(bound))}
}

// Worker is the state of the worker on the VM of this process.
type Worker struct {
	// Version is that of the loaded weights; zero without any.
	Version int
	// Complete is set when all layers are loaded.
	Complete bool
	// Busy is set while an order is in progress.
	Busy bool
	// LoadTime is how long an order is expected to take, the end of the running requests included.
	LoadTime time.Duration
	// IdleLoadTime is how long it takes without running requests, and Idle is set while there are none and none waits.
	IdleLoadTime time.Duration
	Idle         bool
}

// orderTime returns how long an order that is given now takes.
func (w Worker) orderTime() time.Duration {
	if w.Idle {
		return max(minLoadTime, min(w.IdleLoadTime, w.LoadTime))
	}
	return max(minLoadTime, w.LoadTime)
}

// Target is a version that the worker is to serve.
type Target struct {
	Version int
	// NamedAt is when the version was named, as far as this process knows.
	NamedAt time.Time
	// Complete is set when this process holds every chunk and has verified it.
	Complete bool
	// CompleteAt is the time at which the version became complete.
	CompleteAt time.Time
	// Held of Chunks have arrived, the last one at HeldAt, since the version was opened at OpenedAt.
	Held, Chunks     int
	OpenedAt, HeldAt time.Time
	// Available of Chunks are in the region, the last one since AvailableAt.
	Available   int
	AvailableAt time.Time
	// Turn is what the version may fetch now.
	Turn swarm.Turn
}

// arrival returns when the version is expected to be complete if its chunks go on arriving as they did, or false before
// half of them are there.
func (t Target) arrival() (time.Time, bool) {
	if t.Complete {
		return t.CompleteAt, true
	}
	if t.Held == 0 || 2*t.Held < t.Chunks {
		return time.Time{}, false
	}
	return t.OpenedAt.Add(time.Duration(float64(t.HeldAt.Sub(t.OpenedAt)) * float64(t.Chunks) / float64(t.Held))), true
}

// Decision is what the process does with the worker next.
type Decision struct {
	// Load is the version to load now; zero for none.
	Load   int
	Reason Reason
	// ClosesIn is the time until the worker will be ordered to load, when that is at most
	// Settings.Notice away; zero otherwise.
	ClosesIn time.Duration
	// Late is by how much the last worker of the zone is whole after sending to older weights has ended, and Limit what
	// prevents that it is whole by then.
	Late  time.Duration
	Limit Limit
}

// Limit states what keeps a change of versions from ending in time.
type Limit string

// Limits.
const (
	LimitNone Limit = ""
	// LimitChunks means that the chunks arrived so late that no worker can be whole in time.
	LimitChunks Limit = "chunks_arrived_late"
	// LimitZone means that the zone could not be served if all workers were to be whole in time.
	LimitZone Limit = "zone_is_kept_served"
)

// Member is a VM of the availability zone that serves the model, with the version that its worker serves by the mirrored
// list, or zero.
type Member struct {
	VM      string
	Version int
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

// Decide states whether the worker is to load a version now. Self is the name of the worker's
// VM, and zone all VMs of its zone that serve the model.
//
// When a newer version is named while an older one is due, the workers that bridge the time between the end of sending
// to what they have and the arrival of the newer version load the older one; the others switch over once.
func Decide(s Settings, w Worker, targets []Target, self string, zone []Member, now time.Time) Decision {
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
	end := s.sendingEnds(w, targets)
	for _, t := range targets {
		if (w.Complete && t.Version <= w.Version) || t.Version < decision.Load {
			continue
		}
		position := positionOf(self, zone, t.Version)
		if !t.Complete {
			if decision.Reason == ReasonMissing && w.Complete {
				decision.ClosesIn = s.earlyNotice(w, t, position, end, now)
			}
			continue
		}
		if !w.Complete {
			decision = Decision{Load: t.Version, Reason: ReasonEmpty}
			continue
		}
		if s.skips(w, t, targets, position, positionOf(self, zone, math.MaxInt), end, now) {
			if decision.Load == 0 {
				decision = Decision{Reason: ReasonSkipped, ClosesIn: s.notice(end.Sub(now))}
			}
			continue
		}
		wait := turn(w, t, position, end).Sub(now)
		switch {
		case wait <= 0:
			decision = Decision{Load: t.Version, Reason: ReasonSwitchover}
		case decision.Load == 0:
			decision = Decision{Reason: ReasonWaiting, ClosesIn: s.notice(wait)}
		}
		decision.Late, decision.Limit = lateness(w, t, position, end)
	}
	return decision
}

// Supersedes reports whether a newer version makes an incomplete older one unnecessary: the
// older one was named so shortly before that a worker would have to switch over again at
// once, and the links have capacity for one copy only.
func (s Settings) Supersedes(newer, older Target) bool {
	return newer.Version > older.Version && !older.Complete && newer.NamedAt.Sub(older.NamedAt) < s.Notice
}

// notice returns the wait to announce, at least 1 ms, or zero while the wait is longer than
// the notice.
func (s Settings) notice(wait time.Duration) time.Duration {
	if wait > s.Notice {
		return 0
	}
	return max(wait, time.Millisecond)
}

// earlyNotice returns the wait to announce while chunks are missing, or zero. It is not shorter than half of the notice, and
// is taken back where the chunks stay away.
func (s Settings) earlyNotice(w Worker, t Target, p zonePosition, end, now time.Time) time.Duration {
	arrival, isKnown := t.arrival()
	if !isKnown || now.After(arrival.Add(s.Notice/2)) {
		return 0
	}
	t.CompleteAt = maxTime(arrival, now)
	wait := turn(w, t, p, end).Sub(now)
	if wait > s.Notice {
		return 0
	}
	return max(wait, s.Notice/2)
}

// sendingEnds returns when the worker gets no more requests on what it has: by the naming of the oldest version that
// replaces it.
func (s Settings) sendingEnds(w Worker, targets []Target) time.Time {
	var end time.Time
	for _, t := range targets {
		if ends := startwait.SendingEnds(t.NamedAt, s.Bound); t.Version > w.Version && (end.IsZero() || ends.Before(end)) {
			end = ends
		}
	}
	return end
}

// skips reports whether the worker waits for a newer version than t that is still incomplete. One that loads t at its turn
// gives up what it would serve until the end of sending to what it has, and an order more if the newer version is there
// before the end of sending to t. It serves t from when it is loaded until the earlier of the two. None loads t if it would
// serve nothing, all do if they serve at least as long as they give up, and otherwise the first half of the zone does, so
// that it is served. All counts the whole zone: turns that were taken leave that half as it is.
func (s Settings) skips(w Worker, t Target, targets []Target, p, all zonePosition, end, now time.Time) bool {
	at := maxTime(turn(w, t, p, end), now)
	loaded := at.Add(w.orderTime())
	for _, newer := range targets {
		if newer.Version <= t.Version || newer.Complete {
			continue
		}
		until, givenUp := startwait.SendingEnds(newer.NamedAt, s.Bound), max(0, min(w.orderTime(), end.Sub(at)))
		if arrives := newer.arrivalAfter(t, now); arrives.Before(until) {
			until = arrives
			givenUp += w.LoadTime
		}
		serves := until.Sub(maxTime(end, loaded))
		if serves <= 0 || (serves < givenUp && all.wave(2) > 0) {
			return true
		}
	}
	return false
}

// arrivalAfter returns when the version is expected to be complete, at least at the pace of an older one that is complete:
// the links carry one copy at a time. Chunks that have stopped arriving are expected to stay away as long again, and to take
// their time then.
func (t Target) arrivalAfter(older Target, now time.Time) time.Time {
	if arrival, isKnown := t.arrival(); isKnown && arrival.After(now) {
		return arrival
	}
	missing := 1 - float64(t.Held)/float64(max(t.Chunks, 1))
	wait := time.Duration(missing * float64(older.CompleteAt.Sub(older.NamedAt)))
	if t.Held > 0 {
		wait += now.Sub(t.HeldAt)
	}
	return now.Add(wait)
}

// lateness returns by how much the last worker of a zone is whole after sending to older weights has ended, and why.
func lateness(w Worker, t Target, p zonePosition, end time.Time) (time.Duration, Limit) {
	p.rank = p.size - 1
	late := turn(w, t, p, end).Add(w.orderTime()).Sub(end)
	switch {
	case late <= 0:
		return 0, LimitNone
	case t.CompleteAt.Add(w.orderTime()).After(end):
		return late, LimitChunks
	}
	return late, LimitZone
}

// zonePosition is the position of a VM in the order of those of its availability zone whose workers are still to load a
// version. It is the same for all processes that know the same list.
type zonePosition struct {
	rank, size int
}

// positionOf leaves out the workers that have the version, so that turns that were taken, or whose VMs have left the list,
// pass to the next.
func positionOf(self string, zone []Member, version int) zonePosition {
	p := zonePosition{size: 1}
	own := rendezvous.Score(turns, self)
	for _, m := range zone {
		if m.VM == self || m.Version >= version {
			continue
		}
		p.size++
		if score := rendezvous.Score(turns, m.VM); score > own || (score == own && m.VM < self) {
			p.rank++
		}
	}
	return p
}

// turns is the key of the order of the turns.
const turns = "change-over"

// wave returns the wave of the VM when its zone switches over in a number of waves of the same size.
func (p zonePosition) wave(waves int) int { return p.rank * min(waves, p.size) / p.size }

// turn returns when a worker is ordered to load a target. Its zone switches over in as many waves, an order apart, as fit
// between the arrival of the target and the last time from which on an order ends when sending to older weights ends. They
// are two at least, so that half of the zone serves, but none waits for its turn longer than it gets requests. An idle worker
// keeps the distance of the others: those of the waves before it run requests.
func turn(w Worker, t Target, p zonePosition, end time.Time) time.Time {
	first := maxTime(t.CompleteAt, t.NamedAt)
	step := max(minLoadTime, w.LoadTime)
	waves := max(2, 1+int(end.Add(-step).Sub(first)/step))
	at := first.Add(time.Duration(p.wave(waves)) * step)
	if at.After(end) {
		return maxTime(first, end)
	}
	return at
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
