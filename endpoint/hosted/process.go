package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/door"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/lib/reload"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/storecalls"
	"laburnumgw/lib/suspend"
	"laburnumgw/lib/telemetry"
	"laburnumgw/lib/workerlimit"
	"laburnumgw/platform"
)

const (
	// reportInterval is the interval at which the worker's state is polled and reported to
	// the entries of the own availability zone.
	reportInterval = 150 * time.Millisecond
	// otherZoneReportEvery limits the reports to entries of other zones: only every third
	// report goes to them, since traffic between zones is expensive.
	otherZoneReportEvery = 3
	// crashNotices is how often the crash of a worker is sent, since datagrams may be lost.
	crashNotices = 2
	// pullWait is how long an entry holds a pull request open until a mirrored object changes.
	// When the store's last response to a neighbour is older than staleAfter, another neighbour
	// is asked next.
	pullWait   = 2 * time.Second
	staleAfter = 5 * time.Second
	// seedWait is how long a starting process asks the seeds for the list of entries before it
	// asks the store. Without it, all processes of a fleet that starts at once would ask the
	// store.
	seedWait = 3 * time.Second
	// workerListWait is how long a starting process waits for the list of workers before it
	// fetches weights as if there were no others. A list of 3,000 workers takes some seconds.
	workerListWait = 6 * time.Second
	// orderTimeout bounds staging one version at the worker and ordering the worker to load it.
	orderTimeout = 5 * time.Second
	// Attempts to open a version are separated by initialOpenRetryDelay, doubling up to
	// maxOpenRetryDelay. The VMs that read the manifest for their region need about 100 ms.
	initialOpenRetryDelay = 50 * time.Millisecond
	maxOpenRetryDelay     = 300 * time.Millisecond
)

// Process is a running endpoint process.
type Process struct {
	settings        *platform.Settings
	view            *view
	mirror          *mirror.Driver
	worker          *platform.Worker
	library         *library
	grpc            *grpc.Server
	conns           *rpc.Pool
	monitor         *suspend.Monitor
	metrics         *metrics.Set
	orders          *metrics.Counter
	provenLoads     *metrics.Counter
	unprovenLoads   *metrics.Counter
	crashes         *metrics.Counter
	log             *zap.Logger
	rolloutSettings rollout.Settings

	report          catalog.Report
	workerReporting bool
	// workerStarted is set from a report until the start of the worker is known to have ended, also while the
	// worker is silent.
	workerStarted bool
	// switching is set from just before a load order until the worker serves the ordered version.
	switching bool
	// switchoverIn is the time until the worker will be ordered to load other weights; zero
	// while no switchover is announced.
	switchoverIn time.Duration
	// orderedVersion is the version of the last load order.
	orderedVersion int
	sequence       uint64
	loggedReason   rollout.Reason
	stager         *stager
	publication    publication
	// told and toldUnproven are what the entries were told last about the weights of the worker.
	told         catalog.Proven
	toldUnproven bool
	// proofNotices is how often all entries are still to be told.
	proofNotices int
	// reloadDue is when the worker may be ordered again to load layers that it did not begin to load.
	reloadDue time.Time
	// queuedSince is since when an order waits for requests that have not begun at the worker.
	queuedSince time.Time
	reloadPause time.Duration
	loadTimes   loadTimes
	// pollLoopStarted is when pollLoop started.
	pollLoopStarted time.Time
	// crashNotices is how often the last crash of the worker is still to be sent.
	crashNotices int
	// ignoredBy are the starts of the worker in which figures without sense were last logged, by their names.
	ignoredBy   map[string]int64
	openBackoff *backoff.ExponentialBackOff
	// openRetry fires when the delay after a failed attempt to open a version has passed; nil
	// while there is none.
	openRetry <-chan time.Time
	// suspensions delivers the durations of suspensions of the machine.
	suspensions chan time.Duration
	// pendingOpen delivers the result of opening a version; nil while none is being opened.
	pendingOpen chan openResult
	// targets are the versions that are being fetched or are complete, in ascending order.
	targets    []*target
	socket     net.PacketConn
	storeCalls *storecalls.Counter
}

// New assembles an endpoint process.
func New(settings *platform.Settings, store *platform.Store, conns *rpc.Pool, bounded *telemetry.Bounded) (*Process, error) {
	if err := settings.CheckEndpoint(); err != nil {
		return nil, err
	}
	log := bounded.With(zap.String("node", settings.VM))
	v := newView(settings, log)
	set := metrics.NewSet()
	set.NewGauge("laburnumgw_log_lines_dropped", func() float64 { return float64(bounded.Dropped()) })
	worker := platform.NewWorker(settings.Worker)
	worker.OnCall(func(kind string) {
		set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_worker_calls_total{kind=%q}", kind)).Inc()
	})
	p := &Process{
		settings: settings, view: v, worker: worker, conns: conns, log: log, metrics: set,
		orders: set.NewCounter("laburnumgw_worker_orders_total"), crashes: set.NewCounter("laburnumgw_worker_crashes_total"),
		provenLoads: set.NewCounter(`laburnumgw_worker_loads_total{proven="yes"}`), unprovenLoads: set.NewCounter(`laburnumgw_worker_loads_total{proven="no"}`),
		stager: newStager(worker, set, log), publication: publication{store: store}, rolloutSettings: rollout.DefaultSettings(settings.Bounds.VersionApply),
		library: newLibrary(v, worker, conns, set, log), grpc: grpc.NewServer(append(rpc.PlainDoorOptions(settings.MemoryMB, telemetry.Shed(set, log, "peers")), rpc.RecoveryOptions(log)...)...),
		suspensions: make(chan time.Duration, 4), openBackoff: newOpenBackoff(),
	}
	p.storeCalls = storecalls.New(set, "endpoint")
	store.OnCall(p.storeCalls.Sent, p.storeCalls.Unanswered)
	store.OnEra(func(era int64) { log.Info("store states an era", zap.Int64("era", era)) })
	monitor, err := suspend.NewMonitor(p.handleSuspension)
	if err != nil {
		return nil, fmt.Errorf("start detection of machine suspensions: %w", err)
	}
	p.monitor = monitor
	p.mirror = mirror.NewDriver(mirror.Config{
		Kinds: map[string]bool{
			platform.KindConfig: false, platform.KindWorkers: true, platform.KindVersions: false, platform.KindEntries: false,
		},
		OwnKinds: []string{platform.KindEntries}, Older: platform.Older,
		Store: store, SeedKind: platform.KindEntries, SeedNeighbours: rpcmirror.NewSeedClient(conns, settings.SeedAddresses()), Neighbours: rpcmirror.NewClient(conns, "", v.neighbours), PullWait: pullWait, StaleAfter: func() time.Duration { return staleAfter }, AllowWithoutStore: true,
		PreferredSource: func() mirror.Source { return mirror.NeighboursFirst }, StartupWait: v.startupWait, MaxProbePause: v.maxProbePause, PropagationBound: settings.Bounds.ShortestPropagationBound(), MaxNeighbourStoreAge: func() time.Duration { return staleAfter }, SeedWait: seedWait, DetectSuspension: p.checkSuspension, OnChange: v.applyChanges, Log: log,
	})
	laburnumgwv1.RegisterPeerServer(p.grpc, p.library.server())
	laburnumgwv1.RegisterManifestsServer(p.grpc, &manifestServer{library: p.library})
	return p, nil
}

func newOpenBackoff() *backoff.ExponentialBackOff {
	delays := &backoff.ExponentialBackOff{InitialInterval: initialOpenRetryDelay, MaxInterval: maxOpenRetryDelay, Multiplier: 2, RandomizationFactor: 0.1}
	delays.Reset()
	return delays
}

// Run serves until the context ends.
func (p *Process) Run(ctx context.Context) error {
	hangups := reload.Hangups()
	defer p.logStoreCalls()
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort))
	config := net.ListenConfig{KeepAliveConfig: platform.KeepAlive()}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	p.socket = socket
	failed := make(chan error, 2)
	go func() {
		failed <- p.grpc.Serve(rpc.Bound(listener, door.Nodes(door.Sockets(p.settings.Sockets)), telemetry.Shed(p.metrics, p.log, "peers")))
	}()
	go func() { failed <- p.serveMetrics() }()
	go reload.Watch(ctx, os.Getenv(platform.SettingsVariable), hangups, p.reload)
	go p.mirror.Run(ctx)
	go p.library.link.run(ctx)
	go func() {
		if err := p.monitor.Run(ctx); err != nil {
			p.log.Error("suspensions of the machine are no longer detected", zap.Error(err))
		}
	}()
	done := make(chan struct{})
	go func() {
		p.pollLoop(ctx)
		close(done)
	}()
	p.log.Info("endpoint process started", zap.String("vm", p.settings.VM), zap.String("zone", p.settings.Zone), zap.String("worker", p.settings.Worker))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	<-done
	p.grpc.Stop()
	p.conns.Close()
	p.log.Info("endpoint process stopped")
	return nil
}

// logStoreCalls logs the calls of the store that this process has made.
func (p *Process) logStoreCalls() {
	p.storeCalls.Log(p.log)
	_ = p.log.Sync() // standard output may not support it
}

// reload only validates the settings file. The settings that an endpoint process uses do not
// change while it runs; changes take effect after a restart.
func (p *Process) reload() {
	if _, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
		p.log.Error("settings file is not valid; the current settings stay in force", zap.Error(err))
		return
	}
	p.log.Info("settings file is valid; changes take effect after a restart")
}

// handleSuspension passes a suspension of the machine on to the view, the mirror and the
// loop that polls the worker.
func (p *Process) handleSuspension(length time.Duration) {
	p.view.addSuspension(length)
	p.mirror.HandleSuspension(length)
	select {
	case p.suspensions <- length:
	default:
	}
}

// checkSuspension detects a suspension that has just ended.
func (p *Process) checkSuspension() {
	if err := p.monitor.Check(); err != nil {
		p.log.Error("check for a suspension of the machine failed", zap.Error(err))
	}
}

func (p *Process) serveMetrics() error {
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(telemetry.MetricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	return telemetry.ServeProbes(telemetry.NewServer(telemetry.Handler(p.metrics)), listener, telemetry.Shed(p.metrics, p.log, "metrics"))
}

// pollLoop polls the worker, and decides on its weights after every event, until the context
// ends.
func (p *Process) pollLoop(ctx context.Context) {
	p.pollLoopStarted = time.Now()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.view.wake:
			p.library.membersChanged()
		case <-ticker.C:
			p.pollWorker(ctx)
		case length := <-p.suspensions:
			p.log.Warn("machine was suspended", zap.Duration("length", length))
			p.loadTimes.cancel()
			p.pollWorker(ctx)
		case result := <-p.pendingOpen:
			p.finishOpen(result)
		case result := <-p.publication.calls:
			p.finishPublication(result)
		case <-p.openRetry:
			p.openRetry = nil
		case <-p.newestComplete():
			p.pollWorker(ctx)
		}
		p.decide(ctx)
	}
}

// pollWorker reads the worker's state and reports it to the entries.
func (p *Process) pollWorker(ctx context.Context) {
	report, err := p.worker.Report(ctx)
	if err != nil {
		if p.workerReporting {
			p.log.Warn("worker state cannot be read", zap.Error(err))
		}
		if p.workerCrashed(err) {
			p.recordCrash()
		} else {
			p.sendCrash()
		}
		p.workerReporting = false
		return
	}
	if !p.workerReporting || report.StartedAtMs != p.report.StartedAtMs || report.Weights != p.report.Weights || report.Busy != p.report.Busy {
		p.log.Info("worker state", zap.Int64("born", report.StartedAtMs), zap.Int("version", report.Weights.Version),
			zap.Int("layers_to", report.Weights.To), zap.Bool("busy", report.Busy), zap.Int("sequence", report.Sequence))
	}
	p.nameIgnored(report)
	if report.Limit != p.report.Limit {
		p.log.Info("limit in the worker's state", zap.Bool("stated", report.Limit.Kind == workerlimit.Limited), zap.Float64("per_second", report.Limit.PerSecond))
	}
	if p.workerStarted && !p.report.Leaving && p.report.StartedAtMs > 0 && report.StartedAtMs > p.report.StartedAtMs {
		// It was back before the next poll.
		p.recordCrash()
	}
	p.workerReporting, p.workerStarted = true, true
	p.crashNotices = 0
	p.report = report
	p.stager.ledger.Observe(p.holdings(), p.stager.elapsed())
	p.sendReport()
	if service := p.view.service(); service != nil {
		p.library.link.workerReported(service.Engine, report.Running, time.Now())
	}
}

// nameIgnored logs figures without sense once for each start of the worker.
func (p *Process) nameIgnored(report catalog.Report) {
	if report.Ignored == "" || p.ignoredBy[report.Ignored] == report.StartedAtMs {
		return
	}
	if p.ignoredBy == nil {
		p.ignoredBy = make(map[string]int64)
	}
	p.ignoredBy[report.Ignored] = report.StartedAtMs
	p.log.Warn("figures of the worker's state are out of range and ignored", zap.Int64("born", report.StartedAtMs), zap.String("figures", report.Ignored))
}

// workerCrashed reports whether a failure to read the worker's state shows that the worker has
// ended without notice: its machine refuses connections, and it did not state that it is leaving.
func (p *Process) workerCrashed(err error) bool {
	return p.workerStarted && !p.report.Leaving && errors.Is(err, syscall.ECONNREFUSED)
}

// recordCrash records that the known start of the worker has crashed, and tells the entries.
func (p *Process) recordCrash() {
	p.workerStarted = false
	p.loadTimes.cancel()
	p.crashes.Inc()
	p.log.Warn("worker has crashed", zap.Int64("born", p.report.StartedAtMs))
	p.crashNotices = crashNotices
	p.sendCrash()
}

// sendCrash tells all entries that the worker has crashed, again with each poll until it was sent
// crashNotices times.
func (p *Process) sendCrash() {
	if p.crashNotices == 0 {
		return
	}
	p.crashNotices--
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Address: p.settings.Worker, Born: p.report.StartedAtMs, Crashed: true})
	if err != nil {
		p.log.Error("crash of the worker cannot be encoded", zap.Error(err))
		return
	}
	sameZone, otherZones := p.view.entryAddresses()
	p.sendTo(slices.Concat(sameZone, otherZones), data)
}

// sendReport sends the worker's state to the entries. Around a switchover each report also
// goes to the entries of other zones. Datagrams are not repeated, since the next report
// replaces a lost one.
func (p *Process) sendReport() {
	targets := p.view.reportTargets()
	receivers := targets.sameZone
	if (p.sequence+1)%otherZoneReportEvery == 0 || p.switching || p.switchoverIn > 0 {
		receivers = slices.Concat(targets.sameZone, targets.otherZones)
	}
	p.sendReportTo(receivers)
}

// sendReportToAll sends the worker's state to all entries, also to those that get no reports otherwise.
func (p *Process) sendReportToAll() {
	sameZone, otherZones := p.view.entryAddresses()
	p.sendReportTo(slices.Concat(sameZone, otherZones))
}

func (p *Process) sendReportTo(receivers []string) {
	p.sequence++
	proven, unproven := p.provenWeights()
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{
		Address: p.settings.Worker, Born: p.report.StartedAtMs, Model: p.report.Weights.Model, Version: int32(p.report.Weights.Version),
		LayersFrom: int32(p.report.Weights.From), LayersTo: int32(p.report.Weights.To), Busy: p.report.Busy || p.switching,
		Queued: int32(p.report.Queued), Running: int32(p.report.Running), Sequence: p.sequence,
		ClosesInMs: int32(p.switchoverIn.Milliseconds()), Leaving: p.report.Leaving,
		ProvenVersion: int32(proven.Version), Unproven: unproven, Orders: int32(p.report.Sequence),
		KvUsed: p.report.UsedTokens, KvTotal: p.report.TotalTokens, PacePercent: pacePercent(p.report.Pace),
	})
	if err != nil {
		p.log.Error("worker report cannot be encoded", zap.Error(err))
		return
	}
	p.sendTo(receivers, data)
}

// sendTo sends a datagram to entries.
func (p *Process) sendTo(entries []string, data []byte) {
	for _, entry := range entries {
		address, err := net.ResolveUDPAddr("udp", entry)
		if err != nil {
			continue
		}
		if _, err := p.socket.WriteTo(data, address); err != nil {
			p.log.Debug("worker report cannot be sent", zap.String("entry", entry), zap.Error(err))
			continue
		}
		p.library.link.messageSent(len(data))
	}
}

// decide opens the newest named version and orders the worker to load it at the worker's
// switchover time.
func (p *Process) decide(ctx context.Context) {
	service := p.view.service()
	if service == nil {
		return
	}
	p.shareLinks(p.loadTimes.expected(service.Engine), p.rolloutTargets())
	if !p.workerReporting {
		return
	}
	model := service.Engine.Model
	p.openNewest(ctx, model)
	p.updateNamedAt(model)
	p.proveLoad(ctx)
	p.publishProven(ctx)
	worker := p.rolloutWorker(service.Engine)
	if worker.Complete && worker.Version >= p.orderedVersion {
		p.switching = false
		p.loadTimes.end(time.Now())
	}
	decision := rollout.Decide(p.rolloutSettings, worker, p.rolloutTargets(), p.settings.IP, p.view.zoneMembers(), time.Now())
	if decision.Reason != p.loggedReason {
		p.loggedReason = decision.Reason
		p.log.Info("change of weights decided", zap.Int("load", decision.Load), zap.String("reason", string(decision.Reason)),
			zap.Int("version", worker.Version), zap.Duration("load_time", worker.LoadTime), zap.Duration("late", decision.Late), zap.String("limit", string(decision.Limit)))
		if decision.Load > 0 && decision.Late > 0 {
			p.metrics.GetOrCreateCounter(fmt.Sprintf("laburnumgw_worker_late_changes_total{limit=%q}", decision.Limit)).Inc()
		}
	}
	p.switchoverIn = decision.ClosesIn
	for _, t := range p.targets {
		if t.version.number == decision.Load {
			p.stageAndLoad(ctx, t, service.Engine.Layers)
		}
	}
}

// rolloutTargets returns the targets as input of rollout.Decide. It records when a version
// has become complete.
func (p *Process) rolloutTargets() []rollout.Target {
	list := make([]rollout.Target, 0, len(p.targets))
	for _, t := range p.targets {
		t.observeChunks(time.Now())
		list = append(list, p.rolloutTarget(t))
	}
	return list
}

// rolloutTarget returns one target as input of rollout.Decide.
func (p *Process) rolloutTarget(t *target) rollout.Target {
	return rollout.Target{
		Version: t.version.number, NamedAt: p.view.namedTime(t.namedVersion), Complete: t.complete, CompleteAt: t.completeAt,
		Held: t.held, Chunks: t.chunks, OpenedAt: t.openedAt, HeldAt: t.heldAt, Available: t.available, AvailableAt: t.availableAt,
		Turn: t.turn,
	}
}
