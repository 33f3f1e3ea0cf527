package hosted

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/departure"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/fairshare"
	"laburnumgw/lib/fleetload"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/topology"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/senders"
	"laburnumgw/lib/startwait"
	"laburnumgw/lib/workerlimit"
	"laburnumgw/lib/workermemory"
	"laburnumgw/platform"
)

const (
	// queueShare is the part of the latency objective within which a request that waits for a
	// slot of an engine must start. The rest is reserve for slots that free late and reports
	// that are old.
	queueShare = 0.75
	// plainQueueLength is the number of requests that may wait at a worker of a plain service,
	// whose requests take 30 to 60 ms.
	plainQueueLength = 6
	// noWorkerRetryAfter is the time after which a caller may retry that the routing refused
	// because no worker can take the request.
	noWorkerRetryAfter = 300 * time.Millisecond
	// capacityRetryDivisor divides the shortest objective; the result is the time after which a
	// caller may retry that was refused for lack of capacity. It leaves time for another
	// attempt, so that the response can still be in time; a caller that retries after the
	// objective takes capacity and is late for certain.
	capacityRetryDivisor = 8
	// versionMargin is how long before the bound of a version older weights get no more requests, also where none waits.
	versionMargin = startwait.SendMargin
	// startMargin is how long before the bound a request that waits at a worker with older weights is given up.
	startMargin = startwait.StartMargin
	// runReserve is the multiple of its longest run time at usual load that a request must have before the bound of its
	// weights to be ended there: what its worker breaks off is lost.
	runReserve = 1.5
	// reportStaleness is the age from which on a worker's report is not used any more.
	reportStaleness = 2 * time.Second
	// aliveReportAge is the age of a report below which a worker counts as alive. Reports of
	// other zones arrive every 450 ms.
	aliveReportAge = time.Second
	// reportReorderWindow is how long a datagram may be overtaken by a later one. After it, a
	// lower sequence number means that the sender has restarted.
	reportReorderWindow = time.Second
	// proofWait bounds how long a starting entry waits until it knows which weights are proven. Processes beside workers
	// report every 150 to 450 ms.
	proofWait = time.Second
	// minEntries is the least number of entries that is assumed: fewer are known until the
	// entries of the deployment have been read.
	minEntries = 4
	// promptShare is the part of the objective within which an engine reads the prompts that
	// wait. The rest is reserve for the prompts of other entries and for the first tokens.
	promptShare = 0.5
	// budgetShare is the part of the shared retry budget that the entries use, since their clocks
	// and windows do not coincide and the sum over windows may exceed the limit.
	budgetShare = 0.8
)

// view is the state of the deployment as an entry knows it. It keeps the routing tables up to
// date.
type view struct {
	settings *platform.Settings
	log      *zap.Logger
	metrics  *entryMetrics
	snapshot atomic.Pointer[catalog.Snapshot]
	// configuredAt is when the snapshot was put in force.
	configuredAt atomic.Pointer[time.Time]
	// suspended is called with the length of each suspension of the machine; nil for none.
	suspended atomic.Pointer[func(length time.Duration)]

	mu sync.Mutex
	// configuring is the snapshot from which services are configured. It is put in force when
	// all of them are.
	configuring *catalog.Snapshot
	rng         *rand.Rand
	services    map[string]*service
	workers     map[string]*worker
	// byAddress holds the workers of each address. There are two while a worker that has
	// restarted under another name is listed together with its earlier entry.
	byAddress map[string][]*worker
	entries   map[string]platform.Entry
	// mirrorTree states which entry mirrors from which; nil after a change of entries.
	mirrorTree   *topology.Tree
	fleet        senders.Fleet
	outOfService map[string]bool
	versions     map[string][]namedVersion
	sequence     uint64
	// listedKinds holds the kinds that were read at least once.
	listedKinds map[string]bool
	// isReady is set when the entry has been ready once, and knownSince is when it had read all kinds.
	isReady    bool
	knownSince time.Time
	// departures are the workers that have stated that they are leaving. They hold whatever
	// state the list of workers has.
	departures *departure.Set
	// announceDeparture sends a departure to the other entries; nil while the process does not
	// listen.
	announceDeparture func(departure.Departure)
	// limits are the limits that workers have stated. limitPeers is nil while the process does
	// not listen.
	limits     *workerlimit.Set
	limitPeers limitPeers
	// announcing holds the workers whose limits were announced within announceRepeat.
	announcing map[string]bool
	// limitsInForce is signalled when a limit has changed.
	limitsInForce chan struct{}
	// quarantine finds the requests on which workers crash. quarantineWake is signalled
	// when it has something to do, and partPeers is nil while the process does not listen.
	quarantine     *quarantine.Tracker
	quarantineWake chan struct{}
	partPeers      partPeers
	checks         crashChecks
	// blockStore writes blocks to the store, which lists storedBlocks; both by the names of the
	// blocks. blockedAt is when a block last changed, or was last written, and rewriting names those
	// to write to a store that came back from an older copy.
	blockStore   blockStore
	storedBlocks map[string]storedBlock
	blockedAt    map[string]time.Time
	rewriting    map[string]bool
	// unlogged is what the next line on workers tells.
	unlogged workerChanges
	// datagramLines and unlistedLines are when datagrams without sense, and news of workers that are not listed, are logged.
	datagramLines, unlistedLines rate.Sometimes
	load                         fleetLoad
	// patience tells requests that have returned from new ones.
	patience *fairshare.Patience
}

// service is the state of one service.
type service struct {
	config *catalog.Service
	table  *routing.Table
	loop   *dispatch.Loop
	load   serviceLoad
	// spillover is nil until the load of the service's workers is known.
	spillover *serviceSpillover
	// shares is nil until the first request to the service.
	shares *serviceShares
	// decisions counts the routing decisions.
	decisions int
	// waits are the waits of the requests that this entry has sent to all workers.
	waits startwait.Estimator
	// memory is what its workers hold.
	memory *workermemory.Tracker
}

func newView(settings *platform.Settings, metrics *entryMetrics, log *zap.Logger) *view {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	v := &view{
		patience:      fairshare.NewPatience(),
		datagramLines: rate.Sometimes{First: 1, Interval: datagramLogInterval}, unlistedLines: rate.Sometimes{First: 1, Interval: datagramLogInterval},
		settings: settings, log: log, metrics: metrics, rng: rng,
		services: make(map[string]*service), workers: make(map[string]*worker), byAddress: make(map[string][]*worker), entries: make(map[string]platform.Entry),
		outOfService: make(map[string]bool), versions: make(map[string][]namedVersion),
		listedKinds: make(map[string]bool), departures: departure.NewSet(),
		limits: workerlimit.NewSet(), announcing: make(map[string]bool), limitsInForce: make(chan struct{}, 1),
		quarantine: quarantine.New(rng.Uint64(), rng), quarantineWake: make(chan struct{}, 1), checks: crashChecks{running: make(map[quarantine.Start]chan struct{})},
		storedBlocks: make(map[string]storedBlock), blockedAt: make(map[string]time.Time), rewriting: make(map[string]bool),
		load: fleetLoad{
			fleet:   fleetload.New(settings.VM, fleetload.Settings{Zone: settings.Zone, StartedAtMs: time.Now().UnixMilli()}),
			doubted: make(map[string]bool),
		},
	}
	v.load.demands = v.shareDemands
	return v
}

// applyChanges applies changes of the mirrored store.
func (v *view) applyChanges(kind string, changes []mirror.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		switch kind {
		case platform.KindConfig:
			v.configChanged(change)
		case platform.KindWorkers:
			v.workerChanged(change)
		case platform.KindEvacuations:
			v.evacuationChanged(change)
		case platform.KindVersions:
			v.versionChanged(change)
		case platform.KindEntries:
			v.entryChanged(change)
		case platform.KindBlockedParts:
			v.blockChanged(change)
		}
	}
	v.listedKinds[kind] = true
	if kind == platform.KindEntries {
		v.entriesChanged()
	}
}

func (v *view) configChanged(change mirror.Change) {
	if !platform.IsConfig(change.Object.Name) || change.Deleted {
		return
	}
	next, err := platform.DecodeConfig(change.Object.Value)
	if err != nil {
		v.metrics.objectsIgnored(platform.KindConfig).Inc()
		v.log.Error("configuration ignored; the one in force stays", zap.String("revision", mirror.FormatRevision(change.Object.Revision)), zap.Error(err))
		return
	}
	if current := v.snapshot.Load(); current != nil && next.Version < current.Version {
		v.log.Error("older configuration ignored", zap.Int64("version", next.Version), zap.Int64("in_force", current.Version))
		return
	}
	v.configuring = next
	for _, config := range next.Services() {
		if config.Origin == nil {
			v.configureService(config)
		}
	}
	now := time.Now()
	v.snapshot.Store(next)
	v.configuredAt.Store(&now)
	if exceedsServer(next.Limits) {
		v.log.Error("limits of the configuration exceed those of this process; callers within them may be refused or cut off",
			zap.Int64("version", next.Version), zap.Int64("header_bytes", next.Limits.HeaderBytes),
			zap.Duration("header_timeout", next.Limits.HeaderTimeout), zap.Duration("idle_timeout", next.Limits.IdleTimeout))
	}
	var proven time.Duration
	if !change.LastCompleteAt.IsZero() {
		proven = now.Sub(change.LastCompleteAt)
	}
	v.log.Info("configuration in force", zap.Int64("version", next.Version), zap.String("revision", mirror.FormatRevision(change.Object.Revision)),
		zap.Duration("last_complete", proven))
	v.updateAllRouting()
}

// exceedsServer reports whether a configuration allows callers more than the server of callers.
func exceedsServer(limits catalog.Limits) bool {
	return limits.HeaderBytes > maxHeaderBytes || limits.HeaderTimeout > readHeaderTimeout || limits.IdleTimeout > idleTimeout
}

// configureService creates the state of a service or updates it. The caller holds the
// lock.
func (v *view) configureService(config *catalog.Service) {
	state := v.services[config.Name]
	if state == nil {
		budget := retry.NewBudget(v.budget())
		table, err := routing.New(v.routingSettings(config), v.rng)
		if err != nil {
			v.log.Error("service cannot be routed", zap.String("service", config.Name), zap.Error(err))
			return
		}
		state = &service{table: table, loop: dispatch.NewLoop(retry.NewPlanner(retry.Settings{}, budget, v.newRand()), budget), memory: workermemory.New(v.heldByOthers)}
		state.memory.OnDoubt = v.doubtClaim
		v.services[config.Name] = state
		state.table.SetZones(v.zones())
	}
	state.config = config
	state.memory.State(config.MemoryBytes)
	v.updateServiceLoad(state)
	if err := state.table.Configure(v.routingSettings(config)); err != nil {
		v.log.Error("service keeps its routing settings", zap.String("service", config.Name), zap.Error(err))
	}
	state.loop.Configure(0, v.budget())
}

// newRand returns a random source for a state that another lock guards. The caller holds the lock.
func (v *view) newRand() *rand.Rand { return rand.New(rand.NewPCG(v.rng.Uint64(), v.rng.Uint64())) }

// budget returns this entry's share of the retry budget.
func (v *view) budget() retry.BudgetSettings {
	bounds := v.settings.Bounds
	window := max(bounds.RetryWindow.Seconds(), 1)
	budget := retry.BudgetSettings{
		Ratio:     max(budgetShare*bounds.RetryRatio, 0.001),
		PerSecond: budgetShare * bounds.RetrySlack / window / v.entryCount(),
	}
	if budget.PerSecond <= 0 {
		// Zero stands for the default.
		budget.PerSecond = -1
	}
	return budget
}

func (v *view) routingSettings(config *catalog.Service) routing.Settings {
	settings := routing.Settings{
		Zone: v.settings.Zone, Region: v.settings.Region, QueueLength: plainQueueLength, RetryAfter: noWorkerRetryAfter,
		Policy: v.settings.RoutingPolicy,
	}
	if config.Engine != nil {
		settings.QueueLength = v.engineQueue(config)
		settings.MaxWaitingPromptTokens = v.promptTokenShare(config)
		settings.FreeCapacityLimit = v.promptTokensInTime(config) / max(config.Engine.MeanPromptTokens, 1)
		settings.Senders = int(v.entryCount())
		settings.FullRetryAfter = v.objective(config.Name) / capacityRetryDivisor
	}
	if config.ColdPerSecond > 0 {
		settings.ArrivalsPerSecond = max(1, int(coldCapacity(config, v.settings.Bounds)/v.entryCount()))
	}
	return settings
}

// promptTokenShare returns this entry's share of the prompt tokens that an engine reads within
// promptShare of the shortest objective of its routes. The caller holds the lock.
func (v *view) promptTokenShare(config *catalog.Service) int64 {
	sending := max(len(v.entries), 1)
	return int64(v.promptTokensInTime(config) / min(float64(sending), float64(senders.AssignedCountWithoutBound)))
}

// promptTokensInTime returns the prompt tokens that an engine reads within promptShare of the
// shortest objective of its routes. The caller holds the lock.
func (v *view) promptTokensInTime(config *catalog.Service) float64 {
	return promptShare * v.objective(config.Name).Seconds() * config.Engine.PromptPerSecond
}

// engineQueue returns the number of requests beyond its slots that may wait at an engine. The
// caller holds the lock.
func (v *view) engineQueue(config *catalog.Service) int {
	within := time.Duration(queueShare * float64(v.objective(config.Name)))
	return max(1, config.Engine.MaxQueueLength(within))
}

// objective returns the shortest objective of the routes to a service.
func (v *view) objective(service string) time.Duration {
	snapshot := v.configuring
	if snapshot == nil {
		return 0
	}
	return snapshot.Objective(service)
}

// coldCapacity returns the requests per second that a cold worker of a service can handle.
func coldCapacity(config *catalog.Service, bounds platform.Bounds) float64 {
	return config.ColdPerSecond*bounds.ColdOverage + bounds.ColdSlack
}

// updateShare sets this entry's share of the requests per second that a worker can handle. The
// caller holds the lock.
func (v *view) updateShare(state *service, w *worker) {
	if state.config.ColdPerSecond <= 0 {
		return
	}
	if !w.shareValid {
		w.shareValid = true
		w.share = v.fleet.ShareOf(v.settings.VM, v.settings.Zone, w.Address, w.Zone, coldCapacity(state.config, v.settings.Bounds), minEntries)
	}
	share := w.share
	if w.ColdRemaining > 0 {
		share.UnassignedProbability = 0
	}
	state.table.SetShare(w.ID, share)
}

func (v *view) evacuationChanged(change mirror.Change) {
	v.outOfService[change.Object.Name] = !change.Deleted
	zones := v.zones()
	for _, state := range v.services {
		state.table.SetZones(zones)
	}
	v.log.Info("availability zone changed", zap.String("zone", change.Object.Name), zap.Bool("out", !change.Deleted),
		zap.String("revision", mirror.FormatRevision(change.Object.Revision)))
}

func (v *view) zones() []routing.Zone {
	zones := make([]routing.Zone, 0, len(v.settings.Zones))
	for _, name := range slices.Sorted(maps.Keys(v.settings.Zones)) {
		zones = append(zones, routing.Zone{Name: name, Region: v.settings.Zones[name], OutOfService: v.outOfService[name]})
	}
	return zones
}

// pauseWorker records that a worker wants no requests from this entry for a while. It returns
// how long no worker of the service accepts requests from this entry.
func (v *view) pauseWorker(state *service, vm string, pause time.Duration) time.Duration {
	if pause <= 0 {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	state.table.SetPaused(vm, now.Add(pause))
	v.log.Info("worker asked for a pause", zap.String("vm", vm), zap.Duration("pause", pause))
	return v.boundsLeft(state)
}

// loadReceived records the load that was sent with the head of a response; nil for none.
func (v *view) loadReceived(state *service, attempt *routing.Attempt, load *laburnumgwv1.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state.table.LoadReceived(*attempt, load, time.Now())
}

// attemptAccepted records that a worker has started to respond to an attempt.
func (v *view) attemptAccepted(a *attempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a.service.table.AttemptAccepted(&a.tracked)
	now := time.Now()
	v.loadBegan(&a.sentLoad, now)
	if a.engine == nil {
		a.service.load.firstByteTook(a.route.Name, now.Sub(a.sentAt), now)
	}
}

// attemptFinished records the end of an attempt.
func (v *view) attemptFinished(a *attempt, result routing.Result) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	a.service.table.AttemptFinished(a.tracked, result, now)
	v.loadEnded(&a.sentLoad, now)
	if a.engine == nil && result.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		a.service.load.responseTook(now.Sub(a.sentAt), now)
		if a.route.Kind != catalog.Stream {
			a.service.load.firstByteTook(a.route.Name, now.Sub(a.sentAt), now)
		}
	}
}

// onSuspension has a function called with the length of each later suspension.
func (v *view) onSuspension(suspended func(length time.Duration)) { v.suspended.Store(&suspended) }

// handleSuspension moves the times from which bounds and ages count back by the length of a suspension,
// which the monotonic clock does not count.
func (v *view) handleSuspension(length time.Duration) {
	v.moveTimes(length)
	if suspended := v.suspended.Load(); suspended != nil {
		(*suspended)(length)
	}
}

func (v *view) moveTimes(length time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.log.Warn("machine was suspended", zap.Duration("length", length))
	for _, list := range v.versions {
		for i := range list {
			list[i].namedAt = list[i].namedAt.Add(-length)
		}
	}
	for _, w := range v.workers {
		w.reportedAt = w.reportedAt.Add(-length)
		w.waits.Suspended(length)
	}
	for _, state := range v.services {
		state.waits.Suspended(length)
		state.load.suspended(length)
		if state.spillover != nil {
			state.spillover.Suspended()
		}
	}
	v.load.fleet.Suspended(length)
	v.sharesSuspended()
	v.updateAllRouting()
	v.rescheduleRetirements()
}

// rescheduleRetirements schedules the retirement of older weights by the current naming times
// and bounds of the versions. The caller holds the lock.
func (v *view) rescheduleRetirements() {
	for model, list := range v.versions {
		for _, named := range list {
			v.scheduleRetirement(model, named.number, named.namedAt)
		}
	}
}

func (v *view) updateAllRouting() {
	for _, id := range slices.Sorted(maps.Keys(v.workers)) {
		v.workers[id].shareValid = false
		v.workers[id].limit.shareValid = false
		v.updateRouting(v.workers[id])
	}
}

// updateRouting passes the known state of a worker to the routing table. The caller holds the
// lock.
func (v *view) updateRouting(w *worker) {
	state := v.services[w.Service]
	if state == nil {
		return
	}
	v.sequence++
	now := time.Now()
	report := &laburnumgwv1.ReportRequest{
		Vm: w.ID, Zone: w.Zone, Region: v.settings.Zones[w.Zone], Address: w.Address,
		Incarnation: &laburnumgwv1.Incarnation{Counter: uint64(max(w.StartedAtMs, 0))}, Sequence: v.sequence,
		Load: &laburnumgwv1.Load{Limit: int32(w.Slots)},
	}
	if state.config.Engine == nil {
		report.Services = []string{w.Service}
	} else {
		v.describeEngine(w, state.config.Engine, report, now)
	}
	state.table.ReportReceived(report, now)
	state.table.SetClosing(w.ID, w.switchoverAt(now), w.reportedAt.Add(reportStaleness))
	v.followLoad(state, w)
	v.updateSendUntil(w, now)
	v.updateShare(state, w)
	v.updateLimit(w)
	if v.replaced(w) {
		state.table.SetLiveness(w.ID, routing.Dead)
	}
	if w.Leaving || v.departures.Contains(w.ID, w.StartedAtMs) {
		state.table.SetLeaving(w.ID, routing.Incarnation{Counter: report.GetIncarnation().GetCounter()})
	}
}

// ready reports whether the entry knows enough to serve callers. At its start it waits for what the processes beside workers say
// about the weights, since it offers none that are not proven, for proofWait at most.
func (v *view) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isReady || !v.knowsAll() {
		return v.isReady
	}
	now := time.Now()
	if v.knownSince.IsZero() {
		v.knownSince = now
	}
	v.isReady = now.Sub(v.knownSince) >= proofWait || !v.awaitsProofs()
	return v.isReady
}

// awaitsProofs reports whether weights are listed of which it is not known whether they are proven. The caller holds the lock.
func (v *view) awaitsProofs() bool {
	for _, w := range v.workers {
		state := v.services[w.Service]
		if state == nil || state.config.Engine == nil || !w.Weights.Complete(state.config.Engine.Layers) || v.replaced(w) {
			continue
		}
		isJudged := w.report.StartedAtMs == w.StartedAtMs && (w.report.Busy || w.report.Unproven || w.report.ProvenVersion > 0)
		if !isJudged && !w.isProven(w.Weights) {
			return true
		}
	}
	return false
}

// knowsAll is ready for callers that hold the lock.
func (v *view) knowsAll() bool {
	return v.snapshot.Load() != nil && v.listedKinds[platform.KindWorkers] && v.listedKinds[platform.KindEntries] && v.listedKinds[platform.KindVersions] &&
		v.listedKinds[platform.KindEvacuations] && v.listedKinds[platform.KindBlockedParts]
}

// service returns the state of a service with its engine, or nil.
func (v *view) service(name string) (*service, *catalog.Engine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.services[name]
	if state == nil {
		return nil, nil
	}
	return state, state.config.Engine
}
