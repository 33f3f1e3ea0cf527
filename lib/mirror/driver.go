package mirror

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"laburnumgw/lib/suspend"
)

const (
	// watchWait is how long one watch waits for a change. The platform counts each watch as
	// one call of a limited budget, so watches are long. Keep-alives of the connection detect
	// an unresponsive store earlier.
	watchWait = 29 * time.Second
	// failoverAfter is how long the store may fail before neighbours are asked.
	failoverAfter = 400 * time.Millisecond
	// failoverCheckInterval is the resolution of failovers between the store and
	// neighbours.
	failoverCheckInterval = 200 * time.Millisecond
	// preferenceCheckInterval is how often the preferred source is checked.
	preferenceCheckInterval = time.Second
	// minStartupWait and maxStartupWait bound how long a start waits for the state of
	// neighbours, and startupCheckInterval separates two checks for it. The platform
	// requires service again within 12 s after all processes have died.
	minStartupWait       = 600 * time.Millisecond
	maxStartupWait       = 8 * time.Second
	startupCheckInterval = 20 * time.Millisecond
	// seedWait is how long a seed may delay its response until it knows the neighbours
	// itself.
	seedWait = 300 * time.Millisecond
	// startupStep separates the starts of two processes that read the store because no
	// neighbour sends them the state, for each 4 entries of the zone. In a fleet with 36
	// entries the list of 3,000 workers (1 MB) takes 300 ms of a link of 27 Mbit/s, over
	// which the store must still be reachable.
	startupStep           = 75 * time.Millisecond
	entriesPerStartupStep = 4
	// pullRetry is the pause after a pull that failed, and startRetry the same for a
	// process that has not read every kind yet: its neighbours often start at the same
	// time. unreliableRetry is the pause after a response that is not relied on.
	pullRetry       = 500 * time.Millisecond
	startRetry      = 50 * time.Millisecond
	unreliableRetry = 250 * time.Millisecond
	// Failed calls are repeated after minRetryPause, doubling up to maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// probeIntervalShare is the share of the propagation bound that separates two probes of
	// the store's revision, and maxProbeInterval bounds it. A watch may stall while changes are
	// made, and the entries of a large deployment mirror from the one that probes over several
	// levels, so that a longer bound is not for the probes to use up.
	probeIntervalShare = 0.45
	maxProbeInterval   = 900 * time.Millisecond
	// datedProbeInterval bounds it where changes are dated.
	datedProbeInterval = 300 * time.Millisecond
	// defaultPropagationBound applies when the configuration sets no bound.
	defaultPropagationBound = 2 * time.Second
	// fallbackVerifyShare is the share of the propagation bound that separates two verifications
	// of a kind by a process that reads the store because its neighbours do not respond.
	fallbackVerifyShare = 0.85
	// probeGrace is how long a watch may take to deliver a change that a probe has seen.
	probeGrace = 250 * time.Millisecond
	// catchUpWait is how long the store waits for a change when it is asked for those after a
	// known revision, and catchUpTimeout bounds the call before the kind is listed instead.
	catchUpWait    = time.Millisecond
	catchUpTimeout = 350 * time.Millisecond
	// maxProbePause bounds the pause between two probes of one process during an outage. It is
	// well below the time after an outage from which on the bounds hold again.
	maxProbePause = 2 * time.Second
	// batchWait is the pause before a watch continues after a change.
	batchWait = 150 * time.Millisecond
	// tickInterval is the resolution at which grace times end.
	tickInterval = 200 * time.Millisecond
)

// Store reads kinds of objects from the platform.
type Store interface {
	List(ctx context.Context, kind string) ([]Object, int64, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error)
	// Revision returns the revision of the newest change of any kind.
	Revision(ctx context.Context) (int64, error)
}

// Config configures a Driver.
type Config struct {
	// Kinds lists the kinds to mirror; objects of those with true expire while the store is
	// down.
	Kinds map[string]bool
	// OwnKinds lists those of them that this system writes. After the store came back from an
	// older copy, their objects stay until they are written again.
	OwnKinds []string
	// Older reports whether the first of two values of an object is known to be older than the
	// second; nil when values have no order of their own.
	Older func(kind string, first, second json.RawMessage) bool
	// DatedKinds lists those of them of which it matters when an object was learned: an older date of a
	// known revision is taken over, reported as a change and passed on.
	DatedKinds map[string]bool
	// OnRestore is called when a kind is first known in a higher era, with that era: the store
	// came back from an older copy, and may lack what this process has written. It must not
	// block.
	OnRestore  func(era int64)
	Store      Store
	Neighbours Neighbours
	// SeedKind is the kind that names the neighbours; empty for none.
	SeedKind string
	// SeedNeighbours are neighbours that are known beforehand. They are asked for the seed
	// kind at startup, before the store is; nil for none.
	SeedNeighbours Neighbours
	// SeedWait is how long a start asks the seed neighbours before it reads the store.
	SeedWait time.Duration
	// MaxNeighbourStoreAge is the age of the store's last response passed on by neighbours
	// from which on this process reads the store itself; nil for no wait. The neighbours
	// may be failing over to others themselves.
	MaxNeighbourStoreAge func() time.Duration
	// PreferredSource returns the source that is asked first; nil for the store.
	PreferredSource func() Source
	// PullWait is how long a neighbour waits for a change, and StaleAfter the age of the
	// store's last response to it from which on it is not relied on, unless
	// AllowWithoutStore is set.
	PullWait   time.Duration
	StaleAfter func() time.Duration
	// StartupWait is how long a start waits for the state of the neighbours before it reads
	// the store itself; see StartupWaitAt. Nil for the shortest wait.
	StartupWait func() time.Duration
	// AllowWithoutStore accepts neighbours that do not receive the store's state either, as
	// long as they respond; it also ignores StaleAfter. Only a process that nobody mirrors
	// may set it.
	AllowWithoutStore bool
	// PropagationBound is the time within which a change must be known; zero for
	// defaultPropagationBound.
	PropagationBound time.Duration
	// Settle is the time after the end of an outage from which on changes must be known within their
	// bounds; zero for no such time.
	Settle time.Duration
	// MaxProbePause is the longest pause between two probes of a store that does not
	// respond; nil for maxRetryPause. It grows with the number of processes that probe.
	MaxProbePause func() time.Duration
	// DetectSuspension checks for a suspension of the machine that has just ended, so that
	// it is handled; nil for no check.
	DetectSuspension func()
	// EarliestArrival returns the earliest time at which what is read now can have reached this
	// process, which may have stood still; nil for now.
	EarliestArrival func() time.Time
	// OnChange is called in order for the changes of a kind, and for its first list even
	// when that is empty. It must not block.
	OnChange func(kind string, changes []Change)
	Log      *zap.Logger
}

// Driver keeps the mirrors of several kinds up to date.
type Driver struct {
	config Config

	mu    sync.Mutex
	kinds map[string]*Kind
	// changed is closed and replaced when a copy changes, when the neighbours start or stop
	// serving, and when the store becomes unreachable. WaitForChanges waits for it.
	changed chan struct{}
	// neighboursServing is set while the neighbours respond and are relied on;
	// sourceChanged is closed and replaced when a pull changes that.
	neighboursServing bool
	sourceChanged     chan struct{}
	// instance identifies this incarnation of the mirror, and cursor is the position in the
	// copies of the neighbour that responded last. Only the goroutine that pulls uses
	// cursor.
	instance uint64
	cursor   Cursor
	// reachable is cleared when the store does not respond to this process, until a probe
	// succeeds or neighbours make probes unnecessary. recovered is then closed and
	// replaced. probeRequests asks for a probe.
	reachable     bool
	recoveredAt   time.Time
	recovered     chan struct{}
	probeRequests chan struct{}
	// probedRevisions passes the revisions that probes have seen to the verification, and
	// probedRevision is the latest of them.
	probedRevisions chan int64
	probedRevision  int64
	// ensuring shares the questions of EnsureComplete, and ensuredAt is when each kind was last
	// asked for.
	ensuring  singleflight.Group
	ensuredAt map[string]time.Time
	// neighboursAhead passes the addresses of neighbours that know later revisions.
	neighboursAhead chan string
	// confirmedAt is the time of the store's last response, to this process or passed on by
	// neighbours.
	confirmedAt time.Time
	// neighbourConfirmedAt is the time of the store's last response that a neighbour has
	// passed on.
	neighbourConfirmedAt time.Time
	// restoredEra is the era in which the store last came back from an older copy; zero for none.
	restoredEra int64
	// watchCancels holds the function that ends the watch of a kind.
	watchCancels map[string]context.CancelFunc
}

// ProbeInterval returns the time between two probes of the store's revision for a
// propagation bound; zero for the default bound.
func ProbeInterval(bound time.Duration) time.Duration {
	share := time.Duration(probeIntervalShare * float64(cmp.Or(bound, defaultPropagationBound)))
	return min(share, maxProbeInterval)
}

// NewDriver returns a driver, which Run starts.
func NewDriver(config Config) *Driver {
	d := &Driver{config: config, instance: rand.Uint64(), kinds: make(map[string]*Kind), changed: make(chan struct{}), sourceChanged: make(chan struct{}), watchCancels: make(map[string]context.CancelFunc),
		reachable: true, recovered: make(chan struct{}), probeRequests: make(chan struct{}, 1), probedRevisions: make(chan int64), neighboursAhead: make(chan string, 1), ensuredAt: make(map[string]time.Time)}
	for name, expires := range config.Kinds {
		kind := NewKind(expires)
		kind.dated, kind.settle = config.DatedKinds[name], config.Settle
		kind.restore.keepsMissing = slices.Contains(config.OwnKinds, name)
		if config.Older != nil {
			kind.restore.older = func(first, second json.RawMessage) bool { return config.Older(name, first, second) }
		}
		d.kinds[name] = kind
	}
	return d
}

// Run mirrors until the context ends.
func (d *Driver) Run(ctx context.Context) {
	var running sync.WaitGroup
	for name := range d.kinds {
		running.Go(func() { d.mirrorKind(ctx, name) })
	}
	running.Go(func() { d.pull(ctx) })
	running.Go(func() { d.pullFromAhead(ctx) })
	running.Go(func() { d.probe(ctx) })
	running.Go(func() { d.verifyAll(ctx) })
	running.Go(func() { d.tick(ctx) })
	running.Wait()
}

// HasSynced reports whether every kind was read at least once.
func (d *Driver) HasSynced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range d.kinds {
		if !kind.HasSynced() {
			return false
		}
	}
	return true
}

// mirrorKind mirrors one kind from the store.
func (d *Driver) mirrorKind(ctx context.Context, name string) {
	kind := d.kinds[name]
	pause := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, MaxInterval: maxRetryPause, Multiplier: 2, RandomizationFactor: 0.3}
	pause.Reset()
	next := list
	d.pullFromSeeds(ctx, name)
	d.awaitNeighbourState(ctx, name)
	for ctx.Err() == nil {
		if sourceChanged, unneeded := d.storeUnneeded(kind); unneeded {
			next = d.requestAfterInterruption(kind)
			awaitSourceChange(ctx, sourceChanged)
			continue
		}
		if wait := d.storeHold(kind); wait != nil {
			next = d.requestAfterInterruption(kind)
			d.pullFromSeeds(ctx, name)
			awaitSourceChange(ctx, wait)
			continue
		}
		calling, cancel := context.WithCancel(ctx)
		if next == awaitChange {
			d.mu.Lock()
			d.watchCancels[name] = cancel
			d.mu.Unlock()
		}
		asked := suspend.Start()
		err := d.readStore(calling, name, kind, next)
		refreshed := calling.Err() != nil
		cancel()
		switch {
		case err == nil:
			next = awaitChange
			pause.Reset()
			// Changes that follow each other closely are read with one call.
			sleep(ctx, batchWait)
			continue
		case ctx.Err() != nil:
			return
		case refreshed:
			next = d.requestAfterInterruption(kind)
			continue
		case errors.Is(err, ErrHistoryLost):
			next = list
			d.config.Log.Warn("history of the store is lost; listing again", zap.String("kind", name))
			continue
		}
		next = d.requestAfterInterruption(kind)
		d.storeFailed(name, kind, err, asked)
		sleep(ctx, pause.NextBackOff())
	}
}

// pullFromSeeds reads the kind that names the neighbours from the seed neighbours, so that
// the processes of a fleet that starts at once do not all read it from the store.
func (d *Driver) pullFromSeeds(ctx context.Context, name string) {
	if d.config.SeedNeighbours == nil || name != d.config.SeedKind {
		return
	}
	kind := d.kinds[name]
	for started := time.Now(); !d.neighboursKnown(); {
		pulled, err := d.config.SeedNeighbours.Pull(ctx, Cursor{Sequences: map[string]int64{name: -1}}, min(seedWait, d.config.SeedWait))
		if err != nil && !sleep(ctx, startRetry) {
			return
		}
		for _, state := range pulled.States {
			if state.Kind == name {
				d.apply(name, kind, FromNeighbour, func(now time.Time) []Change { return kind.ApplyList(state.Objects, state.Revision, now) })
			}
		}
		if time.Since(started) >= d.config.SeedWait {
			return
		}
	}
}

// awaitNeighbourState lets a process that starts learn its neighbours first, and then
// receive their state, so that a start costs few calls of the store. A neighbour may
// respond before it knows the kind itself.
func (d *Driver) awaitNeighbourState(ctx context.Context, name string) {
	if d.config.SeedKind == "" || (name == d.config.SeedKind && !d.neighboursKnown()) {
		return
	}
	for waited := time.Duration(0); waited < d.startupWait(); waited += startupCheckInterval {
		d.mu.Lock()
		known := d.kinds[name].HasSynced() && (name != d.config.SeedKind || d.neighboursServing)
		readsStore := d.kinds[d.config.SeedKind].HasSynced() && d.preferredSource() == StoreFirst
		d.mu.Unlock()
		if known || readsStore || !sleep(ctx, startupCheckInterval) {
			return
		}
	}
}

func (d *Driver) startupWait() time.Duration {
	if d.config.StartupWait == nil {
		return minStartupWait
	}
	return d.config.StartupWait()
}

// StartupWaitAt returns how long a start waits for its neighbours when rankedAbove of the
// entries of its zone rank above this process and may read the store first.
// It spreads the lists of a zone that starts at once and whose reader is down.
func StartupWaitAt(rankedAbove, entries int) time.Duration {
	step := startupStep * time.Duration(max(1, entries/entriesPerStartupStep))
	return min(max(time.Duration(rankedAbove)*step, minStartupWait), maxStartupWait)
}

// MaxProbePauseAt returns the longest pause between two probes during an outage when
// rankedAbove entries of the zone rank above this process; it learns from them that the
// store is back.
func MaxProbePauseAt(rankedAbove int) time.Duration {
	return min(maxRetryPause*time.Duration(rankedAbove+1), maxProbePause)
}

// storeUnneeded reports whether the neighbours make calls of the store for a kind
// unnecessary. The channel is closed when the neighbours stop responding.
func (d *Driver) storeUnneeded(kind *Kind) (sourceChanged <-chan struct{}, unneeded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sourceChanged, d.servedByNeighbours() && kind.HasSynced()
}

// storeHold returns a channel to wait for before the store is asked for a kind, or nil for
// no wait. While the store does not respond, only probes ask it. When it is back, a process
// that mirrors from neighbours lets them read first, so that the lists of a whole fleet do
// not saturate its links at once.
func (d *Driver) storeHold(kind *Kind) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reachable {
		return d.recovered
	}
	if !kind.HasSynced() || d.preferredSource() != NeighboursFirst {
		return nil
	}
	if !kind.failing {
		if d.config.MaxNeighbourStoreAge == nil {
			return nil
		}
		if left := d.config.MaxNeighbourStoreAge() - time.Since(d.neighbourConfirmedAt); left > 0 {
			return closedAfter(min(left, failoverCheckInterval))
		}
		return nil
	}
	// The next pull finds neighbours that have recovered since the last one. The store may
	// have recovered right after its last failure, and changes since then must be known
	// within the propagation bound.
	pulled := d.config.PullWait + pullRetry
	latest := kind.lastFailure.Add(cmp.Or(d.config.PropagationBound, defaultPropagationBound)).Sub(d.recoveredAt)
	hold := min(d.startupWait()+pulled, max(minStartupWait+pulled, latest))
	if left := hold - time.Since(d.recoveredAt); left > 0 {
		return closedAfter(min(left, failoverCheckInterval))
	}
	return nil
}

// closedAfter returns a channel that is closed once the wait has passed.
func closedAfter(wait time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// awaitSourceChange waits until the channel is closed, but at most for
// preferenceCheckInterval, since the preferred source may change.
func awaitSourceChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(preferenceCheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestAfterInterruption returns the request with which an interrupted kind continues: a list
// takes as long as the kind is long, and is needed only for a kind that is not known.
func (d *Driver) requestAfterInterruption(kind *Kind) storeRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kind.HasSynced() {
		return resume
	}
	return list
}

func (d *Driver) apply(name string, kind *Kind, origin Origin, change func(time.Time) []Change) {
	d.detectSuspension()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	before, known, era := kind.Sequence(), kind.HasSynced(), EraOf(kind.Revision())
	var changes []Change
	d.trackOutage(name, kind, now, nil, func() { changes = change(now) })
	for i := range changes {
		changes[i].Origin = origin
	}
	if known && EraOf(kind.Revision()) > era {
		d.restored(EraOf(kind.Revision()))
	}
	if kind.Sequence() != before || known != kind.HasSynced() {
		close(d.changed)
		d.changed = make(chan struct{})
	}
	if len(changes) > 0 || !known {
		d.config.OnChange(name, changes)
	}
}

// detectSuspension lets a suspension of the machine be handled before a response is applied
// that may have lain unread during it.
func (d *Driver) detectSuspension() {
	if d.config.DetectSuspension != nil {
		d.config.DetectSuspension()
	}
}

// HandleSuspension moves recorded times back by a suspension of the machine, and restarts
// the running watches.
func (d *Driver) HandleSuspension(length time.Duration) {
	d.mu.Lock()
	for _, kind := range d.kinds {
		kind.ShiftForSuspension(length)
	}
	d.confirmedAt, d.neighbourConfirmedAt = d.confirmedAt.Add(-length), d.neighbourConfirmedAt.Add(-length)
	d.mu.Unlock()
	d.Refresh("machine was suspended")
}

func (d *Driver) storeFailed(name string, kind *Kind, err error, asked suspend.Stopwatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servedByNeighbours() && kind.HasSynced() {
		return
	}
	now := time.Now()
	d.trackOutage(name, kind, now, err, func() { kind.markFailed(now, now.Add(-asked.Elapsed())) })
	d.markUnreachable()
}

// tick ends the grace times of all kinds.
func (d *Driver) tick(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		now := time.Now()
		d.mu.Lock()
		for name, kind := range d.kinds {
			if changes := kind.Tick(now); len(changes) > 0 {
				d.config.Log.Info("objects that were kept after an outage are removed", zap.String("kind", name), zap.Int("changes", len(changes)))
				d.config.OnChange(name, changes)
				close(d.changed)
				d.changed = make(chan struct{})
			}
		}
		d.mu.Unlock()
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
