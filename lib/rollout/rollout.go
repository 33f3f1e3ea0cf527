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
	// First is when the first workers of an availability zone change over, if their
	// weights are whole by then.
	First time.Duration
	// Last is when the last ones do. A worker takes nothing new while it waits for its
	// running requests, so that spreading keeps a part of the zone in service.
	Last time.Duration
}

// Times of a change for a bound of 8 s: all links carry a copy by about 3 s, and a worker
// needs up to 2.5 s to end its requests and load.
const (
	firstShare = 0.35
	lastShare  = 0.64
)

// DefaultSettings spreads the change over the bound within which it must be complete.
func DefaultSettings(bound time.Duration) Settings {
	return Settings{
		First: time.Duration(firstShare * float64(bound)),
		Last:  time.Duration(lastShare * float64(bound)),
	}
}

// Worker is the state of the worker beside this process.
type Worker struct {
	// Version is that of the loaded weights; zero without any.
	Version int
	// Whole is set when all layers are loaded.
	Whole bool
	// Busy is set while an order is in progress.
	Busy bool
}

// Target is the version that the worker is to serve.
type Target struct {
	Version int
	// Named is the time at which this process learnt of the version.
	Named time.Time
	// Held is set when every chunk is held and verified here.
	Held bool
}

// Decision is what follows for the worker.
type Decision struct {
	// Load orders the worker to load the target now.
	Load   bool
	Reason Reason
	// Wait is when to decide again, if nothing else happens; zero for no time.
	Wait time.Duration
}

// Reason states why a decision was taken.
type Reason string

// Reasons.
const (
	ReasonCurrent  Reason = "serves_target"
	ReasonBusy     Reason = "order_in_progress"
	ReasonMissing  Reason = "chunks_missing"
	ReasonEmpty    Reason = "serves_nothing"
	ReasonTurn     Reason = "turn_in_zone"
	ReasonWaiting  Reason = "waits_for_turn"
	ReasonNoTarget Reason = "no_version_known"
)

// Decide states whether the worker is to load the target now. Self and zone are the names
// of the worker's VM and of all VMs of its availability zone that serve the model.
func Decide(s Settings, w Worker, t Target, self string, zone []string, now time.Time) Decision {
	switch {
	case t.Version == 0:
		return Decision{Reason: ReasonNoTarget}
	case w.Whole && w.Version >= t.Version:
		return Decision{Reason: ReasonCurrent}
	case w.Busy:
		return Decision{Reason: ReasonBusy}
	case !t.Held:
		return Decision{Reason: ReasonMissing}
	case !w.Whole:
		return Decision{Load: true, Reason: ReasonEmpty}
	}
	wait := t.Named.Add(s.turn(self, zone)).Sub(now)
	if wait <= 0 {
		return Decision{Load: true, Reason: ReasonTurn}
	}
	return Decision{Reason: ReasonWaiting, Wait: wait}
}

// turn returns when a VM of an availability zone changes over. The order is the same for
// all processes.
func (s Settings) turn(self string, zone []string) time.Duration {
	if len(zone) < 2 {
		return s.First
	}
	ranked := rendezvous.Rank("change-over", zone)
	rank := max(0, slices.Index(ranked, self))
	return s.First + time.Duration(rank)*(s.Last-s.First)/time.Duration(len(ranked)-1)
}
