package mirror

import (
	"context"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/suspend"
)

// State is what a neighbour reports of a kind.
type State struct {
	Kind     string
	Revision int64
	// Sequence is the sequence number of the neighbour's copy.
	Sequence int64
	// Objects are all objects when Full is set, else those that have changed, and Removed
	// names those that were removed.
	Full    bool
	Objects []Object
	Removed []string
}

// Cursor states up to which position a neighbour's copies are known.
type Cursor struct {
	// Instance is the incarnation of the neighbour's mirror that the sequence numbers
	// belong to.
	Instance uint64
	// Sequences holds a number for each kind that is asked for, -1 for all objects.
	Sequences map[string]int64
	// Revisions are the revisions of the store up to which the kinds are known. They are
	// used where the sequence numbers do not apply, as with another neighbour.
	Revisions map[string]int64
}

// Neighbours asks one of the neighbours for what has changed. It fails when none is known
// or the one that was asked does not respond.
type Neighbours interface {
	Pull(ctx context.Context, since Cursor, wait time.Duration) (PullResult, error)
	// PullFrom asks the neighbour at an address.
	PullFrom(ctx context.Context, address string, since Cursor, wait time.Duration) (PullResult, error)
	// MarkLastUnreliable reports that the neighbour that responded last does not read the
	// store, so that another one is asked next.
	MarkLastUnreliable()
}

// PullResult is the response of a neighbour.
type PullResult struct {
	Instance uint64
	States   []State
	// Received measures the time since the result was received, from when the ages below count; zero
	// for from their use.
	Received suspend.Stopwatch
	// StoreResponseAge is the time since the store's last response to the neighbour, also
	// through the neighbour's own neighbours.
	StoreResponseAge time.Duration
	// CompletenessAges states how long ago the neighbour's copy of each kind was last known
	// to hold every change. StoreResponseAge is no bound for it, since a watch may be
	// stalled while the store responds to probes.
	CompletenessAges map[string]time.Duration
	// StoreAvailableFor is how long the store has responded to the neighbour without
	// interruption.
	StoreAvailableFor time.Duration
	// StoreReachable is set when the neighbour reads the store, or mirrors from one that
	// ranks above it and does. Others are not relied on, or two processes that have lost
	// the store would confirm each other's state.
	StoreReachable bool
	// Leaving is set when the neighbour is stopping.
	Leaving bool
}

// before returns the time that was some time before the result was received. now is the current time.
func (p PullResult) before(ago time.Duration, now time.Time) time.Time {
	if p.Received.IsZero() {
		return now.Add(-ago)
	}
	return now.Add(-p.Received.Elapsed() - ago)
}

// Source is the source that is asked first.
type Source uint8

// Values of Source.
const (
	StoreFirst Source = iota
	// NeighboursFirst asks the store only until neighbours respond. It keeps the number of
	// store calls independent of the number of workers.
	NeighboursFirst
)

// Instance identifies this incarnation of the mirror.
func (d *Driver) Instance() uint64 { return d.instance }

// WaitForChanges returns what has changed since a cursor, waiting for a change for at most
// the given time. It returns nil early when it wakes up without a change and this process does
// not receive the store's state.
func (d *Driver) WaitForChanges(ctx context.Context, since Cursor, wait time.Duration) []State {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for woken := false; ; woken = true {
		states, changed := d.changesSince(since)
		if len(states) > 0 {
			return states
		}
		if woken && !d.ReceivesStoreState() {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// CompleteChanges returns what WaitForChanges does, with how long ago the copy of each kind was last
// known to hold every change. The changes hold all that was known then.
func (d *Driver) CompleteChanges(ctx context.Context, since Cursor, wait time.Duration) (map[string]time.Duration, []State) {
	d.WaitForChanges(ctx, since, wait)
	return d.CurrentChanges(since)
}

// CurrentChanges returns what CompleteChanges does without a wait.
func (d *Driver) CurrentChanges(since Cursor) (map[string]time.Duration, []State) {
	complete := d.CompletenessAges()
	states, _ := d.changesSince(since)
	return complete, states
}

func (d *Driver) changesSince(since Cursor) ([]State, <-chan struct{}) {
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
	return states, d.changed
}

func (d *Driver) preferredSource() Source {
	if d.config.PreferredSource == nil {
		return StoreFirst
	}
	return d.config.PreferredSource()
}

// StoreResponseAge returns the time since the store's last response, to this process or
// passed on by neighbours.
func (d *Driver) StoreResponseAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.confirmedAt)
}

// CompletenessAges returns how long ago the copy of each kind was last known to hold every
// change.
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

// ReceivesStoreState reports whether the store responds to this process, or to a neighbour that ranks
// above it and passes the store's state on.
func (d *Driver) ReceivesStoreState() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.receivesStoreState()
}

// receivesStoreState is ReceivesStoreState for callers that hold the lock.
func (d *Driver) receivesStoreState() bool {
	if d.servedByNeighbours() {
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

// StoreAvailableFor returns the shortest time, over all kinds, for which the store has
// responded without interruption, to this process or to its source.
func (d *Driver) StoreAvailableFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	shortest := time.Duration(math.MaxInt64)
	for _, kind := range d.kinds {
		shortest = min(shortest, kind.StoreAvailableFor(now))
	}
	return shortest
}

// recordStoreResponse records a response of the store of an age, zero for one to this
// process.
func (d *Driver) recordStoreResponse(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := time.Now().Add(-age); at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// pull mirrors from neighbours while the store fails, or always when they are preferred.
func (d *Driver) pull(ctx context.Context) {
	if d.config.Neighbours == nil {
		return
	}
	d.adoptNewer(ctx)
	for ctx.Err() == nil {
		if !d.neighboursKnown() {
			sleep(ctx, startupCheckInterval)
			continue
		}
		if !d.wantsNeighbours() {
			sleep(ctx, failoverCheckInterval)
			continue
		}
		pulled, err := d.config.Neighbours.Pull(ctx, d.pullCursor(), d.pullWait())
		failed := err != nil
		if err == nil && (!pulled.StoreReachable || pulled.StoreResponseAge > d.config.StaleAfter()) {
			// Another neighbour may know more. A process that mirrors indirectly still
			// leaves the store to its neighbours.
			d.config.Neighbours.MarkLastUnreliable()
			if !d.config.AllowWithoutStore {
				err = fmt.Errorf("neighbour does not read the store, or the store last responded to it %s ago", pulled.StoreResponseAge)
			}
		}
		if err == nil && pulled.StoreAvailableFor < expiryGrace && d.servedByStore() {
			err = fmt.Errorf("the store has responded to the neighbour without interruption for only %s", pulled.StoreAvailableFor)
		}
		d.setNeighboursServing(err)
		if err != nil && !failed {
			d.adoptUnsynced(pulled)
		}
		if err != nil && !failed && !d.servedByStore() {
			d.applyPull(pulled, false)
		}
		if err != nil {
			switch {
			case failed && !d.HasSynced():
				sleep(ctx, startRetry)
			case failed:
				sleep(ctx, pullRetry)
			default:
				sleep(ctx, unreliableRetry)
			}
			continue
		}
		d.markNeighbourAvailable(pulled)
		d.applyPull(pulled, true)
		d.recordStoreResponse(max(pulled.StoreResponseAge, time.Millisecond))
	}
}

// pullWait returns how long a neighbour waits for a change. While none is relied on, they are asked
// one after another and do not wait: one of them is to be found that is.
func (d *Driver) pullWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.neighboursServing {
		return 0
	}
	return d.config.PullWait
}

// adoptNewer asks a neighbour once whether it knows newer values than a process that has read the
// store itself at its start. The store may have come back from an older copy.
func (d *Driver) adoptNewer(ctx context.Context) {
	for {
		if d.preferredSource() == NeighboursFirst || d.wantsNeighbours() {
			return
		}
		if d.HasSynced() {
			break
		}
		if !sleep(ctx, startupCheckInterval) {
			return
		}
	}
	everything := Cursor{Sequences: make(map[string]int64, len(d.kinds))}
	for name := range d.kinds {
		everything.Sequences[name] = -1
	}
	pulled, err := d.config.Neighbours.Pull(ctx, everything, 0)
	if err != nil {
		return // most likely there is none
	}
	for _, state := range pulled.States {
		if kind := d.kinds[state.Kind]; kind != nil {
			d.apply(state.Kind, kind, FromNeighbour, func(time.Time) []Change { return kind.Adopt(state.Objects) })
		}
	}
}

// servedByStore reports whether the store itself serves all kinds to this process. A
// neighbour that still retains removed objects is then of no use.
func (d *Driver) servedByStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.neighboursServing || !d.reachable {
		return false
	}
	for _, kind := range d.kinds {
		if !kind.HasSynced() || kind.failing {
			return false
		}
	}
	return true
}

// markNeighbourAvailable ends the outage of all kinds: the neighbour has reported what has
// changed of each.
func (d *Driver) markNeighbourAvailable(pulled PullResult) {
	d.detectSuspension()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.neighbourConfirmedAt = pulled.before(pulled.StoreResponseAge, now)
	for name, kind := range d.kinds {
		if kind.HasSynced() {
			d.trackOutage(name, kind, now, nil, func() { kind.MarkAvailable(pulled.StoreAvailableFor, now) })
		}
	}
}

// adoptUnsynced takes over kinds that this process has never read from a neighbour that
// does not receive the store's state either. Entries that are restarted one after another
// while the store is down pass the state on this way. The kinds count as failing, so that
// their sources are still asked.
func (d *Driver) adoptUnsynced(pulled PullResult) {
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
		d.apply(state.Kind, kind, FromNeighbour, func(now time.Time) []Change {
			changes := kind.ApplyList(state.Objects, state.Revision, now)
			if ago, ok := pulled.CompletenessAges[state.Kind]; ok {
				kind.MarkComplete(pulled.before(ago, now))
			}
			kind.MarkFailed(pulled.before(pulled.StoreResponseAge, now))
			return changes
		})
		d.config.Log.Info("state taken over from a neighbour without the store", zap.String("kind", state.Kind),
			zap.String("revision", FormatRevision(state.Revision)), zap.Duration("age", pulled.StoreResponseAge))
	}
}

// applyPull applies the response of the neighbour that is mirrored from. One that is not reliable
// does not end an outage, but what it knows beyond this process is newer all the same.
func (d *Driver) applyPull(pulled PullResult, isReliable bool) {
	if pulled.Instance != d.cursor.Instance {
		d.cursor = Cursor{Instance: pulled.Instance, Sequences: make(map[string]int64)}
	}
	for _, state := range pulled.States {
		if d.kinds[state.Kind] != nil {
			d.cursor.Sequences[state.Kind] = state.Sequence
		}
	}
	d.applyStates(pulled, isReliable)
}

// applyStates applies what a neighbour knows of each kind.
func (d *Driver) applyStates(pulled PullResult, isReliable bool) {
	for _, state := range pulled.States {
		kind := d.kinds[state.Kind]
		if kind == nil {
			continue
		}
		d.apply(state.Kind, kind, FromNeighbour, func(now time.Time) []Change {
			switch {
			case !isReliable && !kind.HasSynced():
				return nil
			case isReliable:
				kind.MarkAvailable(0, now)
			}
			changes := kind.applyDates(state.Objects)
			if state.Full {
				return append(changes, kind.mergeList(state.Objects, state.Revision, now)...)
			}
			events := eventsOf(state)
			for i := range events {
				if events[i].Object.LearnedAt.IsZero() {
					// The neighbour does not know how old the change is.
					events[i].Object.LearnedAt = kind.EarliestChange(now)
				}
			}
			return append(changes, kind.mergeEvents(events, state.Revision, now)...)
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for name, ago := range pulled.CompletenessAges {
		if kind := d.kinds[name]; kind != nil && kind.HasSynced() {
			kind.MarkComplete(pulled.before(ago, now))
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

// pullCursor returns the cursor of the next pull.
func (d *Driver) pullCursor() Cursor {
	since := Cursor{
		Instance: d.cursor.Instance, Sequences: make(map[string]int64, len(d.kinds)), Revisions: make(map[string]int64, len(d.kinds)),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, kind := range d.kinds {
		if kind.HasSynced() {
			since.Revisions[name] = kind.Revision()
		}
		since.Sequences[name] = -1
		if sequence, ok := d.cursor.Sequences[name]; ok {
			since.Sequences[name] = sequence
		}
	}
	return since
}

// neighboursKnown reports whether the kind that names the neighbours was read.
func (d *Driver) neighboursKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.SeedKind == "" || d.kinds[d.config.SeedKind].HasSynced()
}

// setNeighboursServing records whether the neighbours respond and are relied on.
func (d *Driver) setNeighboursServing(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.neighboursServing != (err == nil) {
		close(d.sourceChanged)
		d.sourceChanged = make(chan struct{})
		close(d.changed)
		d.changed = make(chan struct{})
		d.config.Log.Info("neighbours mirror the store", zap.Bool("answering", err == nil), zap.Error(err))
	}
	if err == nil && !d.neighboursServing && d.preferredSource() == NeighboursFirst {
		// A watch of the store that is still running would cost a call at each change.
		d.cancelWatches()
	}
	d.neighboursServing = err == nil
}

func (d *Driver) wantsNeighbours() bool {
	if d.preferredSource() == NeighboursFirst {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, kind := range d.kinds {
		if kind.OutageDuration(now) >= failoverAfter {
			return true
		}
	}
	d.neighboursServing = false
	return false
}
