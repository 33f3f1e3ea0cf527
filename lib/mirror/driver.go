package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

const (
	// watchWait is how long one watch waits for a change. Each watch is one priced call;
	// keep-alives of the connection find a silent store earlier.
	watchWait = 29 * time.Second
	// turnAfter is how long the store may fail before neighbours are asked.
	turnAfter = 400 * time.Millisecond
	// idleWait is the resolution at which neighbours take over from the store.
	idleWait = 200 * time.Millisecond
	// turnInterval is how often it is looked at who is asked first.
	turnInterval = time.Second
	// seedWait bounds the wait of a start for neighbours, and seedStep separates two looks.
	seedWait = 600 * time.Millisecond
	seedStep = 20 * time.Millisecond
	// pullRetry is the pause after all neighbours failed.
	pullRetry = 500 * time.Millisecond
	// Calls that failed are repeated after firstRetry, doubling up to lastRetry.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// probeInterval separates two looks at the revision of the store. A watch may be deaf
	// while changes are made, and the bounds of leaving workers and of configurations
	// are 2 s.
	probeInterval = 900 * time.Millisecond
	// verifyEvery is the number of probes of which one verifies the kinds that are behind.
	// While workers change all the time, other kinds always are.
	verifyEvery = 2
	// probeGrace is how long a watch may take to deliver what a probe has seen.
	probeGrace = 250 * time.Millisecond
	// batchWait is the pause before a watch goes on after a change.
	batchWait = 150 * time.Millisecond
	// tickInterval is the resolution of grace times.
	tickInterval = 200 * time.Millisecond
)

// Store reads kinds of objects from the platform.
type Store interface {
	List(ctx context.Context, kind string) ([]Object, int64, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error)
	// Revision returns the revision of the newest change of any kind.
	Revision(ctx context.Context) (int64, error)
}

// State is what a neighbour knows of a kind.
type State struct {
	Kind     string
	Revision int64
	Objects  []Object
}

// Neighbours asks one of the neighbours for kinds that it knows in a newer revision.
// It fails when none is known or none answers.
type Neighbours interface {
	Pull(ctx context.Context, known map[string]int64, wait time.Duration) (Pulled, error)
}

// Pulled is the answer of a neighbour.
type Pulled struct {
	States []State
	// Age is that of the neighbour's last answer of the store.
	Age time.Duration
	// Direct is set when the neighbour reads the store itself. One that mirrors another
	// is not relied on, or two that have lost the store would confirm each other.
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

// Config configures a Driver.
type Config struct {
	// Kinds lists the kinds; those with true lapse while the store is down.
	Kinds      map[string]bool
	Store      Store
	Neighbours Neighbours
	// Seed is the kind that names the neighbours; empty for none.
	Seed string
	// First names who is asked first; nil for the store.
	First func() Source
	// PullWait is how long a neighbour waits for a change, and StaleAfter the age of its
	// last answer of the store from which on it is not relied on.
	PullWait   time.Duration
	StaleAfter time.Duration
	// Indirect accepts neighbours that mirror others. Only a process that nobody mirrors
	// may set it.
	Indirect bool
	// Changed is called in order for each change. It must not block.
	Changed func(kind string, changes []Change)
	Log     *zap.Logger
}

// Driver keeps the mirrors of several kinds up to date.
type Driver struct {
	config Config

	mu    sync.Mutex
	kinds map[string]*Kind
	// moved is closed and replaced at each new revision, for those who wait for one.
	moved chan struct{}
	// pulling is set while the neighbours answer; turned is closed and replaced when
	// that changes.
	pulling bool
	turned  chan struct{}
	// direct is set while the store answers this process.
	direct bool
	// confirmedAt is the time of the last answer of the store, also through neighbours.
	confirmedAt time.Time
	// cancels ends the call of the store that runs for a kind.
	cancels map[string]context.CancelFunc
}

// NewDriver returns a driver that runs with Run.
func NewDriver(config Config) *Driver {
	d := &Driver{config: config, kinds: make(map[string]*Kind), moved: make(chan struct{}), turned: make(chan struct{}), cancels: make(map[string]context.CancelFunc)}
	for name, lapses := range config.Kinds {
		d.kinds[name] = NewKind(lapses)
	}
	return d
}

// Run mirrors until the context ends.
func (d *Driver) Run(ctx context.Context) {
	var running sync.WaitGroup
	for name := range d.kinds {
		running.Go(func() { d.follow(ctx, name) })
	}
	running.Go(func() { d.pull(ctx) })
	running.Go(func() { d.probe(ctx) })
	running.Go(func() { d.tick(ctx) })
	running.Wait()
}

// Known reports whether every kind was read once.
func (d *Driver) Known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range d.kinds {
		if !kind.Known() {
			return false
		}
	}
	return true
}

// Newer returns the kinds that are known in a newer revision, waiting for one.
func (d *Driver) Newer(ctx context.Context, known map[string]int64, wait time.Duration) []State {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		states, moved := d.newer(known)
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

func (d *Driver) newer(known map[string]int64) ([]State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []State
	for name, kind := range d.kinds {
		revision, asked := known[name]
		if asked && kind.Known() && kind.Revision() > revision {
			states = append(states, State{Kind: name, Revision: kind.Revision(), Objects: kind.Objects()})
		}
	}
	return states, d.moved
}

// follow mirrors one kind from the store.
func (d *Driver) follow(ctx context.Context, name string) {
	kind := d.kinds[name]
	pause := &backoff.ExponentialBackOff{InitialInterval: firstRetry, MaxInterval: lastRetry, Multiplier: 2, RandomizationFactor: 0.3}
	pause.Reset()
	listed := false
	d.awaitSeed(ctx, name)
	for ctx.Err() == nil {
		if turned, idle := d.idle(kind); idle {
			listed = false
			awaitTurn(ctx, turned)
			continue
		}
		calling, cancel := context.WithCancel(ctx)
		d.mu.Lock()
		d.cancels[name] = cancel
		d.mu.Unlock()
		err := d.ask(calling, name, kind, listed)
		refreshed := calling.Err() != nil
		cancel()
		switch {
		case err == nil:
			listed = true
			pause.Reset()
			// Changes that follow each other closely are read with one call.
			sleep(ctx, batchWait)
			continue
		case ctx.Err() != nil:
			return
		case refreshed:
			listed = false
			continue
		case errors.Is(err, ErrHistoryLost):
			listed = false
			d.config.Log.Warn("history of the store is lost; listing again", zap.String("kind", name))
			continue
		}
		// A list is answered at once, so that the end of an outage is noticed, while a
		// watch waits for the next change.
		listed = false
		d.failed(name, kind, err)
		sleep(ctx, pause.NextBackOff())
	}
}

// awaitSeed lets a process that starts learn its neighbours first, and then what they know,
// so that a start costs few calls of the store.
func (d *Driver) awaitSeed(ctx context.Context, name string) {
	if d.config.Seed == "" || name == d.config.Seed {
		return
	}
	for waited := time.Duration(0); waited < seedWait; waited += seedStep {
		d.mu.Lock()
		known, pulling := d.kinds[d.config.Seed].Known(), d.pulling
		reads := known && d.first() == StoreFirst
		d.mu.Unlock()
		if pulling || reads || !sleep(ctx, seedStep) {
			return
		}
	}
}

// probe compares the revision of the store with what the watches have delivered. It does
// so only while this process reads the store.
func (d *Driver) probe(ctx context.Context) {
	unseen := make(map[string]int)
	for sleep(ctx, probeInterval) {
		d.mu.Lock()
		idle := d.first() == NeighboursFirst && d.pulling
		d.mu.Unlock()
		if idle {
			continue
		}
		revision, err := d.config.Store.Revision(ctx)
		if err != nil {
			d.lost()
			d.Refresh("the store does not answer")
			continue
		}
		d.confirmed(0)
		if len(d.behind(revision)) == 0 || !sleep(ctx, probeGrace) {
			continue
		}
		behind := d.behind(revision)
		for name := range d.kinds {
			if !behind[name] {
				unseen[name] = 0
				continue
			}
			if unseen[name]%verifyEvery == 0 {
				d.verify(ctx, name)
			}
			unseen[name]++
		}
	}
}

// behind returns the kinds that are not known up to a revision. A change of another kind
// is no reason to believe that nothing was missed.
func (d *Driver) behind(revision int64) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := make(map[string]bool)
	for name, kind := range d.kinds {
		if kind.Revision() < revision {
			behind[name] = true
		}
	}
	return behind
}

// verify lists a kind, whose watch may be deaf. A list is the only answer that cannot be.
func (d *Driver) verify(ctx context.Context, name string) {
	kind := d.kinds[name]
	objects, revision, err := d.config.Store.List(ctx, name)
	if err != nil {
		return // the watch or the next probe notices an outage
	}
	d.mu.Lock()
	before := kind.Revision()
	d.mu.Unlock()
	changed := false
	d.apply(name, kind, func(now time.Time) []Change {
		changes := kind.Listed(objects, revision, now)
		changed = len(changes) > 0
		return changes
	})
	if changed {
		d.config.Log.Warn("watch was behind the store", zap.String("kind", name), zap.Int64("revision", before))
		d.cancel(name)
	}
}

func (d *Driver) cancel(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancels[name]; cancel != nil {
		cancel()
	}
}

// lost notes that the store does not answer, and tells those who mirror from here.
func (d *Driver) lost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseDirect()
}

// loseDirect wakes the neighbours that wait. The caller holds the lock.
func (d *Driver) loseDirect() {
	if !d.direct {
		return
	}
	d.direct = false
	close(d.moved)
	d.moved = make(chan struct{})
}

// Refresh lists all kinds again.
func (d *Driver) Refresh(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Log.Info("kinds are listed again", zap.String("reason", reason))
	for _, cancel := range d.cancels {
		cancel()
	}
}

// idle reports whether the neighbours make the store's calls needless. The channel is
// closed when they stop to answer.
func (d *Driver) idle(kind *Kind) (turned <-chan struct{}, idle bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.turned, d.first() == NeighboursFirst && d.pulling && kind.Known()
}

// awaitTurn waits until the neighbours stop to answer, or for a while, since who is asked
// first may change.
func awaitTurn(ctx context.Context, turned <-chan struct{}) {
	timer := time.NewTimer(turnInterval)
	defer timer.Stop()
	select {
	case <-turned:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Driver) first() Source {
	if d.config.First == nil {
		return StoreFirst
	}
	return d.config.First()
}

// Age returns the time since the last answer of the store, also through neighbours.
func (d *Driver) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.confirmedAt)
}

// Direct reports whether the store answers this process.
func (d *Driver) Direct() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.direct
}

// confirmed notes an answer of the store of an age, zero for one to this process.
func (d *Driver) confirmed(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if age == 0 {
		d.direct = true
	}
	if at := time.Now().Add(-age); at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

func (d *Driver) ask(ctx context.Context, name string, kind *Kind, listed bool) error {
	if !listed {
		objects, revision, err := d.config.Store.List(ctx, name)
		if err != nil {
			return err
		}
		d.apply(name, kind, func(now time.Time) []Change { return kind.Listed(objects, revision, now) })
		d.confirmed(0)
		return nil
	}
	d.mu.Lock()
	after := kind.Revision()
	d.mu.Unlock()
	events, revision, err := d.config.Store.Watch(ctx, name, after, watchWait)
	if err != nil {
		return err
	}
	d.apply(name, kind, func(now time.Time) []Change { return kind.Watched(events, revision, now) })
	return nil
}

func (d *Driver) apply(name string, kind *Kind, change func(time.Time) []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	outage := kind.Failing(now)
	before, known := kind.Revision(), kind.Known()
	changes := change(now)
	if outage > 0 {
		d.config.Log.Info("source of the mirror regained", zap.String("kind", name), zap.Duration("outage", outage),
			zap.Int64("revision", kind.Revision()))
	}
	if kind.Revision() != before || known != kind.Known() {
		close(d.moved)
		d.moved = make(chan struct{})
	}
	if len(changes) > 0 || !known {
		d.config.Changed(name, changes)
	}
}

func (d *Driver) failed(name string, kind *Kind, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if kind.Failing(now) == 0 {
		d.config.Log.Warn("store does not answer; the mirrored state stays in force", zap.String("kind", name),
			zap.Int64("revision", kind.Revision()), zap.Error(err))
	}
	kind.Failed(now)
	d.loseDirect()
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
		pulled, err := d.config.Neighbours.Pull(ctx, d.revisions(), d.config.PullWait)
		reads := pulled.Direct || d.config.Indirect
		if err == nil && (!reads || pulled.Age > d.config.StaleAfter) {
			err = fmt.Errorf("neighbour does not read the store or has not heard of it for %s", pulled.Age)
		}
		d.answering(err)
		if err != nil {
			sleep(ctx, pullRetry)
			continue
		}
		for _, state := range pulled.States {
			if kind := d.kinds[state.Kind]; kind != nil {
				d.apply(state.Kind, kind, func(now time.Time) []Change { return kind.Listed(state.Objects, state.Revision, now) })
			}
		}
		d.confirmed(max(pulled.Age, time.Millisecond))
	}
}

// seeded reports whether the kind that names the neighbours was read.
func (d *Driver) seeded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Seed == "" || d.kinds[d.config.Seed].Known()
}

// answering notes whether the neighbours answer.
func (d *Driver) answering(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pulling != (err == nil) {
		close(d.turned)
		d.turned = make(chan struct{})
		d.config.Log.Info("neighbours mirror the store", zap.Bool("answering", err == nil), zap.Error(err))
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
		if kind.Failing(now) >= turnAfter {
			return true
		}
	}
	d.pulling = false
	return false
}

func (d *Driver) revisions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := make(map[string]int64, len(d.kinds))
	for name, kind := range d.kinds {
		known[name] = kind.Revision()
		if !kind.Known() {
			known[name] = -1
		}
	}
	return known
}

// tick ends grace times.
func (d *Driver) tick(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		now := time.Now()
		d.mu.Lock()
		for name, kind := range d.kinds {
			if changes := kind.Tick(now); len(changes) > 0 {
				d.config.Changed(name, changes)
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
