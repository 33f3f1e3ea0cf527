package mirror

import (
	"context"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"
)

// State is what a neighbour tells of a kind.
type State struct {
	Kind     string
	Revision int64
	// Sequence is that of the neighbour's copy.
	Sequence int64
	// Objects are all objects when Full is set, else those that have changed, and Removed
	// names those that have gone.
	Full    bool
	Objects []Object
	Removed []string
}

// Cursor tells a neighbour what is known of its copies.
type Cursor struct {
	// Instance is the life of the neighbour's mirror that the sequence numbers belong to.
	Instance uint64
	// Sequences holds a number for each kind that is asked for, -1 for all objects.
	Sequences map[string]int64
	// Revisions are those of the store up to which the kinds are known. They serve where
	// the sequence numbers are another neighbour's.
	Revisions map[string]int64
}

// Neighbours asks one of the neighbours for what has changed. It fails when none is known
// or the one that was asked does not answer.
type Neighbours interface {
	Pull(ctx context.Context, since Cursor, wait time.Duration) (PullResult, error)
	// MarkLastUnreliable tells that the neighbour that answered last does not read the store, so
	// that another one is asked next.
	MarkLastUnreliable()
}

// PullResult is the answer of a neighbour.
type PullResult struct {
	Instance uint64
	States   []State
	// ConfirmationAge is that of the neighbour's last answer of the store.
	ConfirmationAge time.Duration
	// CompletenessAges is how long ago the neighbour's copy of each kind was last known to hold every
	// change. Age is no bound for it, since a watch may be deaf while the store answers probes.
	CompletenessAges map[string]time.Duration
	// StoreAvailableFor is how long the store has answered the neighbour without a break.
	StoreAvailableFor time.Duration
	// Direct is set when the neighbour reads the store, or mirrors one that ranks above it
	// and does. Others are not relied on, or two that have lost the store would confirm
	// each other.
	Direct bool
}

// Source names who is asked first.
type Source uint8

// Sources.
const (
	StoreFirst Source = iota
	// NeighboursFirst asks the store only until neighbours answer. It keeps the calls
	// of the store independent of the number of workers.
	NeighboursFirst
)

// Instance identifies this life of the mirror.
func (d *Driver) Instance() uint64 { return d.instance }

// WaitForChanges returns what has changed since, waiting for a change.
func (d *Driver) WaitForChanges(ctx context.Context, since Cursor, wait time.Duration) []State {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		states, moved := d.newer(since)
		if len(states) > 0 {
			return states
		}
		select {
		case <-moved:
			if !d.Direct() {
				return nil
			}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Driver) newer(since Cursor) ([]State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []State
	for name, kind := range d.kinds {
		known, asked := since.Sequences[name]
		if since.Instance != d.instance {
			known = -1
		}
		if !asked || !kind.HasSynced() || kind.Sequence() <= known {
			continue
		}
		objects, removed, full := kind.ChangesSince(known)
		if revision, copied := since.Revisions[name]; full && copied {
			objects, removed, full = kind.ChangesAfterRevision(revision)
		}
		states = append(states, State{
			Kind: name, Revision: kind.Revision(), Sequence: kind.Sequence(), Full: full, Objects: objects, Removed: removed,
		})
	}
	return states, d.moved
}

func (d *Driver) first() Source {
	if d.config.PreferredSource == nil {
		return StoreFirst
	}
	return d.config.PreferredSource()
}

// ConfirmationAge returns the time since the last answer of the store, also through neighbours.
func (d *Driver) ConfirmationAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.confirmedAt)
}

// CompletenessAges returns how long ago the copy of each kind was last known to hold every change.
func (d *Driver) CompletenessAges() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := make(map[string]time.Duration, len(d.kinds))
	for name, kind := range d.kinds {
		if kind.HasSynced() && !kind.completeAt.IsZero() {
			complete[name] = time.Since(kind.completeAt)
		}
	}
	return complete
}

// Direct reports whether the store answers this process, or a neighbour that ranks above
// it and passes the store's answers on.
func (d *Driver) Direct() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isDirect()
}

// isDirect is Direct for callers that hold the lock.
func (d *Driver) isDirect() bool {
	if d.pulling && d.first() == NeighboursFirst {
		return true
	}
	if !d.reachable {
		return false
	}
	for _, kind := range d.kinds {
		if kind.failing {
			return false
		}
	}
	return true
}

// StoreAvailableFor returns how long the store has answered without a break, here or at the source.
func (d *Driver) StoreAvailableFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	sound := time.Duration(math.MaxInt64)
	for _, kind := range d.kinds {
		sound = min(sound, kind.StoreAvailableFor(now))
	}
	return sound
}

// confirmed notes an answer of the store of an age, zero for one to this process.
func (d *Driver) confirmed(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := time.Now().Add(-age); at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// pull mirrors from neighbours when the store is out of reach, or always when they are
// to be asked first.
func (d *Driver) pull(ctx context.Context) {
	if d.config.Neighbours == nil {
		return
	}
	for ctx.Err() == nil {
		if !d.seeded() {
			sleep(ctx, seedStep)
			continue
		}
		if !d.wantsNeighbours() {
			sleep(ctx, idleWait)
			continue
		}
		pulled, err := d.config.Neighbours.Pull(ctx, d.since(), d.config.PullWait)
		absent := err != nil
		if err == nil && (!pulled.Direct || pulled.ConfirmationAge > d.config.StaleAfter()) {
			// Another neighbour may know more. A process that mirrors indirectly still
			// leaves the store to its neighbours.
			d.config.Neighbours.MarkLastUnreliable()
			if !d.config.AllowIndirect {
				err = fmt.Errorf("neighbour does not read the store or has not heard of it for %s", pulled.ConfirmationAge)
			}
		}
		if err == nil && pulled.StoreAvailableFor < lapseGrace && d.served() {
			err = fmt.Errorf("neighbour hears of the store again only since %s", pulled.StoreAvailableFor)
		}
		d.answering(err)
		if err != nil && !absent {
			d.takeUnknown(pulled)
		}
		if err != nil {
			switch {
			case absent && !d.HasSynced():
				sleep(ctx, startRetry)
			case absent:
				sleep(ctx, pullRetry)
			default:
				sleep(ctx, unreliableRetry)
			}
			continue
		}
		d.heardFrom(pulled)
		d.take(pulled)
		d.confirmed(max(pulled.ConfirmationAge, time.Millisecond))
	}
}

// served reports whether the store itself serves all kinds to this process, so that it has
// no use for a neighbour that does not believe removals yet.
func (d *Driver) served() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pulling || !d.reachable {
		return false
	}
	for _, kind := range d.kinds {
		if !kind.HasSynced() || kind.failing {
			return false
		}
	}
	return true
}

// heardFrom ends the outage of all kinds: the neighbour has told what has changed of each.
func (d *Driver) heardFrom(pulled PullResult) {
	d.awake()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.toldAt = now.Add(-pulled.ConfirmationAge)
	for name, kind := range d.kinds {
		if kind.HasSynced() {
			d.regained(name, kind, now)
			kind.MarkAvailable(pulled.StoreAvailableFor, now)
		}
	}
}

// takeUnknown takes over kinds that this process has never read from a neighbour that does
// not hear of the store either. What it knows is better than nothing: entries that are
// restarted in turn while the store is away hand the state on. The kinds count as failing,
// so that their sources are still looked for.
func (d *Driver) takeUnknown(pulled PullResult) {
	for _, state := range pulled.States {
		kind := d.kinds[state.Kind]
		if kind == nil || !state.Full {
			continue
		}
		d.mu.Lock()
		known := kind.HasSynced()
		d.mu.Unlock()
		if known {
			continue
		}
		d.apply(state.Kind, kind, func(now time.Time) []Change {
			changes := kind.ApplyList(state.Objects, state.Revision, now)
			if ago, ok := pulled.CompletenessAges[state.Kind]; ok {
				kind.MarkComplete(now.Add(-ago))
			}
			kind.MarkFailed(now.Add(-pulled.ConfirmationAge))
			return changes
		})
		d.config.Log.Info("state taken over from a neighbour without the store", zap.String("kind", state.Kind),
			zap.Int64("revision", state.Revision), zap.Duration("age", pulled.ConfirmationAge))
	}
}

// take applies the answer of a neighbour.
func (d *Driver) take(pulled PullResult) {
	if pulled.Instance != d.heard.Instance {
		d.heard = Cursor{Instance: pulled.Instance, Sequences: make(map[string]int64)}
	}
	for _, state := range pulled.States {
		kind := d.kinds[state.Kind]
		if kind == nil {
			continue
		}
		d.heard.Sequences[state.Kind] = state.Sequence
		d.apply(state.Kind, kind, func(now time.Time) []Change {
			if state.Full {
				return kind.ApplyList(state.Objects, state.Revision, now)
			}
			events := eventsOf(state)
			for i := range events {
				if events[i].Object.LearnedAt.IsZero() {
					// The neighbour does not know how old the change is.
					events[i].Object.LearnedAt = kind.EarliestChange(now)
				}
			}
			return kind.ApplyEvents(events, state.Revision, now)
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for name, ago := range pulled.CompletenessAges {
		if kind := d.kinds[name]; kind != nil && kind.HasSynced() {
			kind.MarkComplete(now.Add(-ago))
		}
	}
}

func eventsOf(state State) []Event {
	events := make([]Event, 0, len(state.Objects)+len(state.Removed))
	for _, name := range state.Removed {
		events = append(events, Event{Object: Object{Name: name}, Deleted: true})
	}
	for _, object := range state.Objects {
		events = append(events, Event{Object: object})
	}
	return events
}

// since tells a neighbour what was heard from it.
func (d *Driver) since() Cursor {
	since := Cursor{
		Instance: d.heard.Instance, Sequences: make(map[string]int64, len(d.kinds)), Revisions: make(map[string]int64, len(d.kinds)),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, kind := range d.kinds {
		if kind.HasSynced() {
			since.Revisions[name] = kind.Revision()
		}
		since.Sequences[name] = -1
		if sequence, ok := d.heard.Sequences[name]; ok {
			since.Sequences[name] = sequence
		}
	}
	return since
}

// seeded reports whether the kind that names the neighbours was read.
func (d *Driver) seeded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.SeedKind == "" || d.kinds[d.config.SeedKind].HasSynced()
}

// answering notes whether the neighbours answer.
func (d *Driver) answering(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pulling != (err == nil) {
		close(d.turned)
		d.turned = make(chan struct{})
		close(d.moved)
		d.moved = make(chan struct{})
		d.config.Log.Info("neighbours mirror the store", zap.Bool("answering", err == nil), zap.Error(err))
	}
	if err == nil && !d.pulling && d.first() == NeighboursFirst {
		// A watch of the store that has begun before would be a call at each change.
		d.cancelWatches()
	}
	d.pulling = err == nil
}

func (d *Driver) wantsNeighbours() bool {
	if d.first() == NeighboursFirst {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, kind := range d.kinds {
		if kind.OutageDuration(now) >= turnAfter {
			return true
		}
	}
	d.pulling = false
	return false
}
