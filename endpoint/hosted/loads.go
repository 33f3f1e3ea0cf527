package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/loadproof"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/suspend"
	"laburnumgw/platform"
)

const (
	// Unproven weights are loaded again at once, and after pauses that double from minReloadPause to maxReloadPause while
	// they do not become proven.
	minReloadPause = time.Second
	maxReloadPause = 30 * time.Second
	// minPublishPause and maxPublishPause bound the random pause after an attempt to write to the worker's entry, as many
	// processes write at the same time after a new version or an outage.
	minPublishPause = 300 * time.Millisecond
	maxPublishPause = 1200 * time.Millisecond
	// maxQueueWait bounds how long an order waits for requests that have not begun at the worker.
	maxQueueWait = time.Second
	// proofNotices is how often all entries are told what is known about weights, since datagrams may be lost.
	proofNotices = 2
	// republishPause is how long a written status may take to be listed before it counts as lost.
	republishPause = 5 * time.Second
)

// provenStore keeps which weights of a worker are known to be whole, in the worker's entry.
type provenStore interface {
	WriteProven(ctx context.Context, worker string, proven catalog.Proven) error
	ReadProven(ctx context.Context, worker string) (catalog.Proven, error)
}

// publication is the state of what the worker's entry says about its weights.
type publication struct {
	store provenStore
	// written is what was written last, at a time.
	written   catalog.Proven
	writtenAt time.Time
	// due is when the store may be called again. Only one call is under way.
	due   time.Time
	calls chan publicationResult
	// checked names the start and the number of orders for which the store has no proof of the weights that the worker
	// holds without an order of this process.
	checked catalog.Proven
}

// publicationResult is the result of a call to the store: of a read if it has read.
type publicationResult struct {
	isRead bool
	// asked names the start and the number of orders for which a proof was read.
	asked  catalog.Proven
	proven catalog.Proven
	err    error
}

// holdings returns the last report as input of the ledger.
func (p *Process) holdings() loadproof.Holdings {
	weights := p.report.Weights
	h := loadproof.Holdings{StartedAtMs: p.report.StartedAtMs, Sequence: p.report.Sequence, Busy: p.report.Busy, Version: weights.Version}
	if weights.Version > 0 {
		h.Layers = loadproof.Range{From: weights.From, To: weights.To}
	}
	return h
}

// provenWeights returns the weights of the last report if they are complete and known to be whole. Unproven is set if they
// are complete and may not be.
func (p *Process) provenWeights() (proven catalog.Proven, unproven bool) {
	service := p.view.service()
	if service == nil || !p.workerReporting || !p.report.Weights.Complete(service.Engine.Layers) {
		return catalog.Proven{}, false
	}
	switch p.stager.ledger.State(p.holdings()) {
	case loadproof.Whole:
		proven = p.heldNow()
		proven.Version = p.report.Weights.Version
		return proven, false
	case loadproof.Unproven:
		return catalog.Proven{}, !p.awaitsConfirmation()
	case loadproof.Pending:
	}
	return catalog.Proven{}, false
}

// heldNow names the start and the number of orders of the last report.
func (p *Process) heldNow() catalog.Proven {
	return catalog.Proven{StartedAtMs: p.report.StartedAtMs, Sequence: p.report.Sequence}
}

// awaitsConfirmation reports whether an earlier process may have proven the weights that the worker holds.
func (p *Process) awaitsConfirmation() bool {
	return p.stager.ledger.Inherited() && p.publication.checked != p.heldNow()
}

// rolloutWorker returns the state of the worker as input of rollout.Decide. Weights that are not proven count as missing, so
// that the worker loads them again, and those that are being proven as an order in progress.
func (p *Process) rolloutWorker(engine *catalog.Engine) rollout.Worker {
	held := p.report.Weights
	worker := rollout.Worker{
		Version: held.Version, Complete: held.Complete(engine.Layers), Busy: p.report.Busy, LoadTime: p.loadTimes.expected(engine),
		IdleLoadTime: engine.LoadTime + reportInterval, Idle: p.report.Running+p.report.Queued == 0,
	}
	switch p.stager.ledger.State(p.holdings()) {
	case loadproof.Pending:
		worker.Busy = true
	case loadproof.Unproven:
		worker.Complete = worker.Complete && p.awaitsConfirmation()
	case loadproof.Whole:
	}
	return worker
}

const (
	// runReserve is the multiple of the run time of a mean request within which the running requests of a worker end.
	runReserve = 1.5
	// maxLoadFactor bounds the time that an order is expected to take, by what the settings tell: one that took longer was
	// disturbed.
	maxLoadFactor = 2
)

// loadTimes measures how long the orders to a worker with running requests take, until it serves again.
type loadTimes struct {
	// orderedAt is zero while no order is measured.
	orderedAt time.Time
	mean      time.Duration
}

// begin records that a worker with running requests has begun an order.
func (l *loadTimes) begin(now time.Time) { l.orderedAt = now }

// cancel drops an order that did not end as usual.
func (l *loadTimes) cancel() { l.orderedAt = time.Time{} }

// end records that the worker serves what it was ordered to load.
func (l *loadTimes) end(now time.Time) {
	if l.orderedAt.IsZero() {
		return
	}
	took := now.Sub(l.orderedAt)
	if l.mean == 0 {
		l.mean = took
	}
	l.mean = (l.mean + took) / 2
	l.cancel()
}

// expected returns how long an order is expected to take: a mean of those measured, but no less than the settings of the engine
// tell. Waves that are closer than their orders take leave a zone without workers.
func (l *loadTimes) expected(engine *catalog.Engine) time.Duration {
	stated := engine.LoadTime + time.Duration(runReserve*float64(engine.Duration(0, 0)))
	return min(max(l.mean, stated), maxLoadFactor*stated)
}

// proveLoad reads back what the worker has taken, and tells the entries when the result changes.
func (p *Process) proveLoad(ctx context.Context) {
	if err := p.stager.readBack(ctx); err != nil {
		p.log.Warn("load of the worker is not proven yet", zap.Error(err))
	}
	proven, unproven := p.provenWeights()
	if proven != p.told || unproven != p.toldUnproven {
		p.told, p.toldUnproven = proven, unproven
		p.recordProof(proven, unproven)
	}
	if p.proofNotices > 0 {
		p.proofNotices--
		p.sendReportToAll()
	}
}

// recordProof counts and logs a change of what is known about the weights.
func (p *Process) recordProof(proven catalog.Proven, unproven bool) {
	p.proofNotices = 0
	switch {
	case unproven:
		p.delayReload()
		p.proofNotices = proofNotices
		p.unprovenLoads.Inc()
		p.log.Warn("weights of the worker are not proven to be whole; they are offered to no caller",
			zap.Int64("born", p.report.StartedAtMs), zap.Int("version", p.report.Weights.Version), zap.Int("sequence", p.report.Sequence))
	case proven.Version > 0:
		p.proofNotices, p.reloadPause = proofNotices, 0
		p.provenLoads.Inc()
		p.log.Info("weights of the worker are whole", zap.Int64("born", proven.StartedAtMs), zap.Int("version", proven.Version), zap.Int("sequence", p.report.Sequence))
	}
}

// awaitsQueue reports whether requests wait at the worker that would begin on weights which are not proven yet. Entries send
// none while they are told of the order; what does not begin within maxQueueWait is not waited for.
func (p *Process) awaitsQueue() bool {
	if p.report.Queued == 0 {
		p.queuedSince = time.Time{}
		return false
	}
	if p.queuedSince.IsZero() {
		p.queuedSince = time.Now()
	}
	return time.Since(p.queuedSince) < maxQueueWait
}

// delayReload sets when the worker may be ordered again to load weights that are not proven: at once the first time, and later
// with each further one in succession.
func (p *Process) delayReload() {
	p.reloadDue = time.Now().Add(p.reloadPause)
	p.reloadPause = min(max(2*p.reloadPause, minReloadPause), maxReloadPause)
}

// stageAndLoad stages a version at the worker and orders the worker to load it.
func (p *Process) stageAndLoad(ctx context.Context, t *target, layerCount int) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	staging := suspend.Start()
	number := t.version.number
	model := loadproof.Model{Layers: layerCount, Chunks: len(t.version.distribution.Replica().Manifest().Chunks)}
	layers := p.stager.ledger.Reload(model, number)
	isReload := number == p.report.Weights.Version
	if _, isUnproven := p.provenWeights(); isUnproven && isReload && time.Now().Before(p.reloadDue) {
		return
	}
	chunks := model.ChunksOf(p.stager.ledger.Missing(number, layers))
	if err := p.stager.stage(ctx, t.version, chunks); err != nil {
		p.log.Warn("weights cannot be staged at the worker", zap.Int("version", number), zap.Error(err))
		return
	}
	if !p.stager.provable(chunks, number) {
		return
	}
	p.switching = true
	p.orderedVersion = number
	startedAtMs := p.report.StartedAtMs
	p.pollWorker(ctx)
	if !p.workerReporting || p.report.StartedAtMs != startedAtMs {
		p.switching = false
		return
	}
	if p.awaitsQueue() {
		return
	}
	stagedIn, oldest := staging.Elapsed(), min(p.stager.ledger.OldestCheck(chunks), p.stager.elapsed())
	result, err := p.stager.order(ctx, t.version, model, layers)
	p.orders.Inc()
	p.log.Info("worker ordered to load", zap.Int64("born", p.report.StartedAtMs), zap.Int("version", number), zap.Int("layers_from", layers.From), zap.Int("layers_to", layers.To),
		zap.Int("sequence", p.report.Sequence), zap.Stringer("result", result), zap.Duration("staged_in", stagedIn),
		zap.Duration("oldest_piece", p.stager.elapsed()-oldest), zap.Duration("suspended", staging.Suspended()),
		zap.Duration("since_named", time.Since(p.view.namedTime(t.namedVersion))), zap.Error(err))
	if result == platform.OrderRefused {
		p.switching = false
	}
	if result == platform.OrderStarted && p.report.Running > 0 {
		p.loadTimes.begin(time.Now())
	}
	if isReload && result != platform.OrderStarted {
		p.delayReload()
	}
	p.pollWorker(ctx)
	p.proveLoad(ctx)
}

// publishProven writes to the worker's entry which of its weights are whole, and reads there what an earlier process has
// proven.
func (p *Process) publishProven(ctx context.Context) {
	id, listed, isListed := p.view.ownWorker(p.report.StartedAtMs)
	if !isListed || !p.workerReporting {
		return
	}
	p.stager.ledger.Adopt(listed.StartedAtMs, listed.Sequence, listed.Version)
	now := time.Now()
	if p.publication.calls != nil || now.Before(p.publication.due) {
		return
	}
	proven, _ := p.provenWeights()
	isWritten := p.publication.written == proven && now.Sub(p.publication.writtenAt) < republishPause
	switch {
	case p.awaitsConfirmation() && p.report.Weights.Version > 0:
		asked := p.heldNow()
		p.callStore(func() publicationResult {
			found, err := p.publication.store.ReadProven(ctx, id)
			return publicationResult{isRead: true, asked: asked, proven: found, err: err}
		})
	case proven.Version > 0 && listed != proven && !isWritten:
		p.callStore(func() publicationResult {
			return publicationResult{proven: proven, err: p.publication.store.WriteProven(ctx, id, proven)}
		})
	}
}

// callStore makes a call to the store, whose result arrives at finishPublication.
func (p *Process) callStore(call func() publicationResult) {
	calls := make(chan publicationResult, 1)
	p.publication.calls = calls
	go func() { calls <- call() }()
}

// finishPublication applies the result of a call to the store.
func (p *Process) finishPublication(result publicationResult) {
	now := time.Now()
	p.publication.calls = nil
	p.publication.due = now.Add(minPublishPause + rand.N(maxPublishPause-minPublishPause))
	switch {
	case result.err != nil:
		p.log.Warn("status of the worker's entry cannot be written or read", zap.Bool("read", result.isRead), zap.Error(result.err))
	case !result.isRead:
		p.publication.written, p.publication.writtenAt = result.proven, now
	default:
		p.stager.ledger.Adopt(result.proven.StartedAtMs, result.proven.Sequence, result.proven.Version)
		if result.asked == p.heldNow() {
			p.publication.checked = result.asked
		}
	}
}
