package rpcmirror

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/topology"
	"laburnumgw/lib/suspend"
)

const (
	// simPullWait is the time for which an entry lets its upstream wait for a change.
	simPullWait = 300 * time.Millisecond
	// simStoreDelay is the duration of a call of the store.
	simStoreDelay = 4 * time.Millisecond
	// simHop is the time that a message between two entries takes.
	simHop = 3 * time.Millisecond
	// simLinkBytesPerSecond is the rate of the link of an entry, and simEncodeBytesPerSecond the rate
	// at which a small entry encodes and compresses a response.
	simLinkBytesPerSecond   = 5 << 20
	simEncodeBytesPerSecond = 12 << 20
	// simCompression is the factor by which a large response shrinks.
	simCompression = 10
)

var (
	errSimHangs   = errors.New("call timed out")
	errSimRefused = errors.New("connection refused")
)

// storeFault is what is wrong between one entry and the store.
type storeFault uint8

const (
	storeSound storeFault = iota
	// storeHangs lets calls time out.
	storeHangs
	// storeRefuses fails calls at once.
	storeRefuses
	// watchesSilent lets watches end without delivering anything, and serves other calls.
	watchesSilent
	// watchesHang lets watches go without a response, and serves other calls.
	watchesHang
)

// netFault is what is wrong between one entry and the others.
type netFault uint8

const (
	netSound netFault = iota
	// netSilent drops all messages.
	netSilent
	// netRefuses has no process listening.
	netRefuses
)

// simStore is the store of a simulated fleet.
type simStore struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	objects   map[string]map[string]mirror.Object
	changed   chan struct{}
	// listTime is how long a list of a kind takes.
	listTime map[string]time.Duration
	calls    int
}

func newSimStore() *simStore {
	return &simStore{revision: 1, objects: make(map[string]map[string]mirror.Object), changed: make(chan struct{}), listTime: make(map[string]time.Duration)}
}

func (s *simStore) put(kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]mirror.Object)
	}
	s.objects[kind][name] = mirror.Object{Name: name, Revision: s.revision, Value: value}
	s.wake()
}

// compact discards the history.
func (s *simStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.wake()
}

func (s *simStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// simEntry is one simulated entry, and its access to the store.
type simEntry struct {
	fleet   *simFleet
	name    string
	zone    string
	tree    *topology.Tree
	started time.Time
	driver  *mirror.Driver
	client  *Client
	stop    context.CancelFunc
	// logs are the lines of the last process of the entry.
	logs *observer.ObservedLogs

	mu    sync.Mutex
	store storeFault
	net   netFault
	// leaving is set while the process stops.
	leaving bool
	// lag is added to each response of this entry.
	lag time.Duration
	// sending is the time until which the entry encodes and sends earlier responses.
	sending time.Time
	// lostPulls counts the pulls that failed because the process that was asked had ended.
	lostPulls int
	// inForce is the newest version of the configuration, and knownAt when each became known.
	inForce int
	knownAt map[int]time.Time
	// datedAt is from when each version counts as made, and skipped holds those that became known with
	// a later one.
	datedAt map[int]time.Time
	skipped map[int]bool
	// stillUntil is the end of a standstill of the process, and pulse what it notices of it.
	stillUntil time.Time
	pulse      *suspend.Pulse
	// disturbed is set for entries with a fault of their own.
	disturbed bool
}

// call makes one call of the store, which takes some time.
func (e *simEntry) call(ctx context.Context, timeout, duration time.Duration) error {
	if err := e.awaitRunning(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	fault := e.store
	e.mu.Unlock()
	e.fleet.store.mu.Lock()
	e.fleet.store.calls++
	e.fleet.store.mu.Unlock()
	switch {
	case fault == storeRefuses:
		duration, timeout = simStoreDelay, simStoreDelay
	case fault == storeHangs, duration > timeout:
		duration = timeout
	default:
		timeout = duration + 1
	}
	if err := pause(ctx, duration); err != nil {
		return err
	}
	if duration == timeout {
		return errSimHangs
	}
	return e.awaitRunning(ctx)
}

// List implements mirror.Store.
func (e *simEntry) List(ctx context.Context, kind string) ([]mirror.Object, int64, error) {
	s := e.fleet.store
	s.mu.Lock()
	revision, duration := s.revision, max(simStoreDelay, s.listTime[kind])
	var list []mirror.Object
	for _, object := range s.objects[kind] {
		list = append(list, object)
	}
	s.mu.Unlock()
	// Each page has a timeout of its own, which the length of the list does not exceed.
	if err := e.call(ctx, max(1500*time.Millisecond, duration+1), duration); err != nil {
		return nil, 0, err
	}
	return list, revision, nil
}

// Revision implements mirror.Store.
func (e *simEntry) Revision(ctx context.Context) (int64, error) {
	if err := e.call(ctx, 700*time.Millisecond, simStoreDelay); err != nil {
		return 0, err
	}
	e.fleet.store.mu.Lock()
	defer e.fleet.store.mu.Unlock()
	return e.fleet.store.revision, nil
}

// Watch implements mirror.Store.
func (e *simEntry) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]mirror.Event, int64, error) {
	events, revision, err := e.watch(ctx, kind, after, wait)
	return events, revision, cmp.Or(e.awaitRunning(ctx), err)
}

func (e *simEntry) watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]mirror.Event, int64, error) {
	if err := e.call(ctx, wait+time.Second, simStoreDelay); err != nil {
		return nil, 0, err
	}
	s := e.fleet.store
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e.mu.Lock()
		fault := e.store
		e.mu.Unlock()
		s.mu.Lock()
		changed, revision, lost := s.changed, s.revision, after < s.compacted && after < s.revision
		var events []mirror.Event
		for _, object := range s.objects[kind] {
			if object.Revision > after {
				events = append(events, mirror.Event{Object: object})
			}
		}
		s.mu.Unlock()
		switch {
		case fault == storeRefuses:
			return nil, 0, errSimRefused
		case fault == storeHangs, fault == watchesSilent, fault == watchesHang:
		case lost:
			return nil, 0, mirror.ErrHistoryLost
		case len(events) > 0:
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			switch fault {
			case storeHangs, watchesHang:
				return nil, 0, cmp.Or(pause(ctx, time.Second), errSimHangs)
			case watchesSilent:
				return nil, after, nil
			}
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// pullFrom asks another entry, as transport does over gRPC.
func (e *simEntry) pullFrom(ctx context.Context, address string, since mirror.Cursor, wait time.Duration) (mirror.PullResult, error) {
	if err := e.awaitRunning(ctx); err != nil {
		return mirror.PullResult{}, err
	}
	called, limit := time.Now(), wait+pullSlack
	source := e.fleet.byAddress[address]
	if !e.fleet.connected(e, source) {
		if source.isRefusing() {
			e.set(func(e *simEntry) { e.lostPulls++ })
			return mirror.PullResult{}, cmp.Or(pause(ctx, simHop), errSimRefused)
		}
		return mirror.PullResult{}, cmp.Or(pause(ctx, limit), errSimHangs)
	}
	if err := pause(ctx, simHop); err != nil {
		return mirror.PullResult{}, err
	}
	driver := source.current()
	driver.NoteNeighbour(e.name, since.Revisions)
	driver.WaitForChanges(ctx, since, wait)
	if still := source.stillFor(); still > limit-time.Since(called) {
		return mirror.PullResult{}, cmp.Or(pause(ctx, limit-time.Since(called)), errSimHangs)
	}
	_ = source.awaitRunning(ctx)
	read := time.Now()
	complete, states := driver.CurrentChanges(since)
	result := mirror.PullResult{
		Instance: driver.Instance(), States: states, StoreResponseAge: driver.StoreResponseAge(), StoreReachable: driver.ReceivesStoreState(),
		StoreAvailableFor: driver.StoreAvailableFor(), CompletenessAges: complete, Leaving: source.isLeaving(),
	}
	transfer := source.send(states) + simHop
	if left := limit - time.Since(called); transfer > left || !e.fleet.connected(e, source) {
		return mirror.PullResult{}, cmp.Or(pause(ctx, max(0, left)), errSimHangs)
	}
	if err := cmp.Or(pause(ctx, transfer), e.awaitRunning(ctx)); err != nil {
		return mirror.PullResult{}, err
	}
	result.StoreResponseAge += time.Since(read)
	for kind := range complete {
		complete[kind] += time.Since(read)
	}
	return result, nil
}

// pause waits, or returns the context's error when it ends before.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send returns how long it takes to encode and send a response after those before it.
func (e *simEntry) send(states []mirror.State) time.Duration {
	bytes := 200
	for _, state := range states {
		for _, object := range state.Objects {
			bytes += len(object.Value) + 100
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	busy := time.Duration(bytes) * time.Second / simEncodeBytesPerSecond
	if bytes >= minCompressedBytes {
		bytes /= simCompression
	}
	busy += time.Duration(bytes) * time.Second / simLinkBytesPerSecond
	now := time.Now()
	if e.sending.Before(now) {
		e.sending = now
	}
	e.sending = e.sending.Add(busy)
	return e.sending.Sub(now) + e.lag
}

func (e *simEntry) current() *mirror.Driver {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.driver
}

func (e *simEntry) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *simEntry) isRefusing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.net == netRefuses
}

func (e *simEntry) set(change func(*simEntry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// onChange records the versions of the configuration.
func (e *simEntry) onChange(kind string, changes []mirror.Change) {
	if kind != "config" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, change := range changes {
		var config simConfig
		if err := json.Unmarshal(change.Object.Value, &config); err != nil {
			panic(err)
		}
		if config.Version < e.inForce {
			e.fleet.older(e, config.Version)
		}
		for ; e.inForce < config.Version; e.inForce++ {
			e.knownAt[e.inForce+1] = time.Now()
			if e.inForce+1 < config.Version {
				e.datedAt[e.inForce+1], e.skipped[e.inForce+1] = change.LastCompleteAt, true
			}
		}
		e.datedAt[config.Version] = change.Object.LearnedAt
	}
}

// simConfig is the configuration of a simulated deployment.
type simConfig struct {
	Version int
	Padding string `json:",omitempty"`
}

// simFleet is a simulated deployment.
type simFleet struct {
	ctx       context.Context
	bound     time.Duration
	store     *simStore
	entries   []*simEntry
	byAddress map[string]*simEntry
	// madeAt is when each version of the configuration was acknowledged.
	madeAt  map[int]time.Time
	version int
	padding string

	mu sync.Mutex
	// cutZone is a zone that cannot reach the others or the store; empty for none.
	cutZone  string
	reverted []string
}

var simKinds = map[string]bool{"config": false, "workers": true, "evacuations": false, "versions": false, "entries": false}

// newSimFleet starts a deployment of some zones in virtual time, and waits until all entries know
// its state.
func newSimFleet(ctx context.Context, zones, entries int, bound time.Duration) *simFleet {
	f := &simFleet{ctx: ctx, bound: bound, store: newSimStore(), byAddress: make(map[string]*simEntry), madeAt: make(map[int]time.Time)}
	members := make(map[string]topology.Entry)
	for i := range entries {
		name, zone := fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%zones)
		members[name] = topology.Entry{Zone: zone, Address: name}
		e := &simEntry{fleet: f, name: name, zone: zone, knownAt: make(map[int]time.Time), datedAt: make(map[int]time.Time), skipped: make(map[int]bool)}
		f.entries = append(f.entries, e)
		f.byAddress[name] = e
	}
	for kind := range simKinds {
		if kind != "config" {
			f.store.put(kind, "first", []byte("{}"))
		}
	}
	for i := range 140 {
		f.store.put("workers", fmt.Sprint("worker-", i), make([]byte, 300))
	}
	f.changeConfig()
	for _, e := range f.entries {
		e.tree = topology.New(e.name, e.zone, members)
		e.start()
	}
	<-time.After(5 * time.Second)
	return f
}

// start starts the process of an entry.
func (e *simEntry) start() {
	probe := mirror.ProbeInterval(e.fleet.bound)
	ctx, stop := context.WithCancel(e.fleet.ctx)
	client := &Client{pullFrom: e.pullFrom, peers: func() []string { return e.tree.Addresses(true) }}
	core, logs := observer.New(zap.InfoLevel)
	driver := mirror.NewDriver(mirror.Config{
		Kinds: simKinds, Store: e, Neighbours: client, PreferredSource: e.tree.Source, PullWait: simPullWait,
		StaleAfter:           func() time.Duration { return e.tree.StaleAfter(probe) },
		MaxNeighbourStoreAge: func() time.Duration { return e.tree.HoldOff(probe) },
		StartupWait:          func() time.Duration { return mirror.StartupWaitAt(len(e.tree.Upstreams()), e.tree.ZoneSize()) },
		MaxProbePause:        func() time.Duration { return mirror.MaxProbePauseAt(len(e.tree.Upstreams())) },
		PropagationBound:     e.fleet.bound, Settle: e.fleet.bound, OnChange: e.onChange, Log: zap.New(core), EarliestArrival: e.earliestArrival,
	})
	e.set(func(e *simEntry) {
		e.driver, e.client, e.stop, e.logs, e.started, e.inForce = driver, client, stop, logs, time.Now(), 0
	})
	go driver.Run(ctx)
}

// restart stops the process of an entry as a planned stop does, and starts another one.
func (e *simEntry) restart() {
	const leaveTime, downTime = 5 * time.Second, 300 * time.Millisecond
	disturb(e, func(e *simEntry) { e.leaving = true })
	_ = pause(e.fleet.ctx, leaveTime)
	e.set(func(e *simEntry) { e.net = netRefuses })
	e.stop()
	if pause(e.fleet.ctx, downTime) == nil {
		e.start()
		e.set(func(e *simEntry) { e.net, e.leaving = netSound, false })
	}
}

// connected reports whether two entries reach each other.
func (f *simFleet) connected(from, to *simEntry) bool {
	f.mu.Lock()
	cut := f.cutZone
	f.mu.Unlock()
	if from.zone != to.zone && (from.zone == cut || to.zone == cut) {
		return false
	}
	for _, e := range []*simEntry{from, to} {
		e.mu.Lock()
		fault := e.net
		e.mu.Unlock()
		if fault != netSound {
			return false
		}
	}
	return true
}

// older records that an entry took an older configuration than it had.
func (f *simFleet) older(e *simEntry, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reverted = append(f.reverted, fmt.Sprintf("%s took version %d after %d", e.name, version, e.inForce))
}

// changeConfig has the operator write the next version of the configuration.
func (f *simFleet) changeConfig() {
	f.version++
	value, err := json.Marshal(simConfig{f.version, f.padding})
	if err != nil {
		panic(err)
	}
	f.store.put("config", "main", value)
	f.madeAt[f.version] = time.Now()
}

// runFor changes the configuration at an interval, never if that is 0, and a worker more often, for
// some time.
func (f *simFleet) runFor(duration, interval time.Duration) {
	const workerInterval = 50 * time.Millisecond
	for passed := time.Duration(0); passed < duration; passed += workerInterval {
		if interval > 0 && passed%interval == 0 {
			f.changeConfig()
		}
		f.store.put("workers", fmt.Sprint("worker-", int(passed/workerInterval)%140), make([]byte, 300))
		<-time.After(workerInterval)
	}
}

// reader returns the entry that reads the store.
func (f *simFleet) reader() *simEntry {
	for _, e := range f.entries {
		if e.tree.Source() == mirror.StoreFirst {
			return e
		}
	}
	panic("no entry reads the store")
}

// ranked returns the entry of a rank in the zone of an entry, the first being 0.
func (f *simFleet) ranked(zone string, rank int) *simEntry {
	for _, e := range f.entries {
		if e.zone == zone && (e.tree.IsFirstOfZone() && rank == 0 || !e.tree.IsFirstOfZone() && len(e.tree.Upstreams()) == rank) {
			return e
		}
	}
	panic("no such entry")
}

// otherZone returns a zone other than the reader's.
func (f *simFleet) otherZone() string {
	for _, e := range f.entries {
		if e.zone != f.reader().zone {
			return e.zone
		}
	}
	panic("one zone only")
}

// secondZone returns the zone whose first entry has the reader as its only upstream.
func (f *simFleet) secondZone() string {
	for _, e := range f.entries {
		if e.tree.IsFirstOfZone() && len(e.tree.Upstreams()) == 1 {
			return e.zone
		}
	}
	panic("one zone only")
}

// worst returns the longest time from the acknowledgement of a version, made after a time, until an
// entry has it in force, among the entries that are selected, with that entry's name. A version that
// an entry never got counts until now.
func (f *simFleet) worst(from time.Time, selected func(*simEntry) bool) (time.Duration, string) {
	worst, at := time.Duration(0), ""
	for _, e := range f.entries {
		if !selected(e) {
			continue
		}
		e.mu.Lock()
		for version, made := range f.madeAt {
			if made.Before(from) || made.Before(e.started) {
				continue
			}
			took := time.Since(made)
			if known, ok := e.knownAt[version]; ok {
				took = known.Sub(made)
			}
			if took > worst {
				worst, at = took, fmt.Sprintf("version %d at %s of %s, rank %d", version, e.name, e.zone, len(e.tree.Upstreams()))
			}
		}
		e.mu.Unlock()
	}
	return worst, at
}

func isUndisturbed(e *simEntry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.disturbed
}

// disturb gives an entry a fault.
func disturb(e *simEntry, fault func(*simEntry)) {
	e.set(func(e *simEntry) {
		e.disturbed = true
		fault(e)
	})
}
