package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/lib/reload"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/suspend"
	"laburnumgw/lib/telemetry"
	"laburnumgw/platform"
)

const (
	// reportInterval separates two looks at the worker, and two reports to the entries
	// of the own availability zone.
	reportInterval = 150 * time.Millisecond
	// farReports is the number of reports of which one goes to the other zones, since
	// bytes between zones are dear.
	farReports = 3
	// pullWait is how long an entry waits for a change of what this process mirrors, and
	// staleAfter the age from which on it is not relied on.
	pullWait   = 2 * time.Second
	staleAfter = 5 * time.Second
	// seedPatience is how long a start asks the seeds for the entries before it asks the
	// store, which each process of a fleet that starts at once would do.
	seedPatience = 3 * time.Second
	// aloneAfter is how long a process that starts waits for the list of workers before it
	// fetches weights as if there were no others. A list of 3,000 takes some seconds.
	aloneAfter = 6 * time.Second
	// orderTimeout bounds the handing over of one version.
	orderTimeout = 5 * time.Second
	// Tries to open a version are separated by firstRetry, doubling up to lastRetry. The
	// VMs that read the manifest for their region need about 100 ms.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 300 * time.Millisecond
	// readHeaderTimeout bounds how long a reader of metrics may take for its headers.
	readHeaderTimeout = 5 * time.Second
)

// Process is a running endpoint process.
type Process struct {
	settings *platform.Settings
	view     *view
	mirror   *mirror.Driver
	worker   *platform.Worker
	library  *library
	grpc     *grpc.Server
	conns    *rpc.Pool
	monitor  *suspend.Monitor
	metrics  *metrics.Set
	orders   *metrics.Counter
	log      *zap.Logger
	changes  rollout.Settings

	report   catalog.Report
	reported bool
	// switching is set from just before an order until the worker serves its version.
	switching bool
	// closes is the time until the worker will be ordered; zero for no plan.
	closes time.Duration
	// ordered is the version of the last order.
	ordered  int
	sequence uint64
	logged   rollout.Reason
	// started is when this process began to watch its worker.
	started   time.Time
	openPause *backoff.ExponentialBackOff
	// openAgain delivers at the end of the pause after a try that failed; nil without one.
	openAgain <-chan time.Time
	// suspensions delivers the lengths of suspensions of the machine.
	suspensions chan time.Duration
	// opening delivers the version that is being opened; nil while none is.
	opening chan openResult
	// targets are the versions that are fetched or held, in ascending order.
	targets []*target
	socket  net.PacketConn
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
	p := &Process{
		settings: settings, view: v, worker: worker, conns: conns, log: log, metrics: set,
		orders: set.NewCounter("laburnumgw_worker_orders_total"), changes: rollout.DefaultSettings(settings.Bounds.VersionApply),
		library: newLibrary(v, worker, conns, set, log), grpc: grpc.NewServer(rpc.RecoveryOptions(log)...),
		suspensions: make(chan time.Duration, 4), openPause: newOpenPause(),
	}
	monitor, err := suspend.NewMonitor(p.suspended)
	if err != nil {
		return nil, fmt.Errorf("notice suspensions of the machine: %w", err)
	}
	p.monitor = monitor
	p.mirror = mirror.NewDriver(mirror.Config{
		Kinds: map[string]bool{
			platform.KindConfig: false, platform.KindWorkers: true, platform.KindVersions: false, platform.KindEntries: false,
		},
		Store: store, SeedKind: platform.KindEntries, SeedNeighbours: rpcmirror.NewSeedClient(conns, settings.SeedAddresses()), Neighbours: rpcmirror.NewClient(conns, v.neighbours), PullWait: pullWait, StaleAfter: func() time.Duration { return staleAfter }, AllowIndirect: true,
		PreferredSource: func() mirror.Source { return mirror.NeighboursFirst }, StartupWait: v.patience, MaxProbePause: v.probing, PropagationBound: settings.Bounds.Shortest(), HoldOff: func() time.Duration { return staleAfter }, SeedWait: seedPatience, DetectSuspension: p.awake, OnChange: v.changed, Log: log,
	})
	laburnumgwv1.RegisterPeerServer(p.grpc, p.library.server())
	laburnumgwv1.RegisterManifestsServer(p.grpc, &manifestServer{library: p.library})
	return p, nil
}

func newOpenPause() *backoff.ExponentialBackOff {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstRetry, MaxInterval: lastRetry, Multiplier: 2, RandomizationFactor: 0.1}
	pause.Reset()
	return pause
}

// Run works until the context ends.
func (p *Process) Run(ctx context.Context) error {
	hangups := reload.Hangups()
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
	go func() { failed <- p.grpc.Serve(listener) }()
	go func() { failed <- p.serveMetrics() }()
	go reload.Watch(ctx, os.Getenv(platform.SettingsVariable), hangups, p.reload)
	go p.mirror.Run(ctx)
	go func() {
		if err := p.monitor.Run(ctx); err != nil {
			p.log.Error("suspensions of the machine are not noticed", zap.Error(err))
		}
	}()
	done := make(chan struct{})
	go func() {
		p.watch(ctx)
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
	_ = p.log.Sync() // standard output may not support it
	return nil
}

// reload checks the settings file. What a process beside a worker uses of it does not
// change while it runs, so that it takes nothing over until it starts again.
func (p *Process) reload() {
	if _, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable)); err != nil {
		p.log.Error("settings file is not valid; the settings in force stay", zap.Error(err))
		return
	}
	p.log.Info("settings file read")
}

// suspended passes a suspension on to the loop that looks at the worker.
func (p *Process) suspended(length time.Duration) {
	p.view.suspended(length)
	p.mirror.HandleSuspension(length)
	select {
	case p.suspensions <- length:
	default:
	}
}

// awake notices a suspension that has just ended.
func (p *Process) awake() {
	if err := p.monitor.Check(); err != nil {
		p.log.Error("suspension of the machine may not be noticed", zap.Error(err))
	}
}

func (p *Process) serveMetrics() error {
	address := net.JoinHostPort(p.settings.IP, strconv.Itoa(telemetry.MetricsPort))
	server := &http.Server{Addr: address, Handler: telemetry.Handler(p.metrics), ReadHeaderTimeout: readHeaderTimeout}
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics on %s: %w", address, err)
	}
	return nil
}

// watch looks at the worker and at what is known until the context ends.
func (p *Process) watch(ctx context.Context) {
	p.started = time.Now()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.view.wake:
			p.library.membersChanged()
		case <-ticker.C:
			p.look(ctx)
		case length := <-p.suspensions:
			p.log.Warn("machine was suspended", zap.Duration("length", length))
			p.look(ctx)
		case result := <-p.opening:
			p.finishOpen(result)
		case <-p.openAgain:
			p.openAgain = nil
		case <-p.whole():
			p.look(ctx)
		}
		p.decide(ctx)
	}
}

// target is a version that is fetched or held.
type target struct {
	version *version
	named   named
	held    bool
	heldAt  time.Time
}

// newest returns the newest target, or nil.
func (p *Process) newest() *target {
	if len(p.targets) == 0 {
		return nil
	}
	return p.targets[len(p.targets)-1]
}

// whole is closed when the newest version is complete. It is nil when that was noticed
// before.
func (p *Process) whole() <-chan struct{} {
	if newest := p.newest(); newest != nil && !newest.held {
		return newest.version.distribution.Completed()
	}
	return nil
}

// look reads the worker's state and reports it to the entries.
func (p *Process) look(ctx context.Context) {
	report, err := p.worker.Report(ctx)
	if err != nil {
		if p.reported {
			p.log.Warn("worker does not report", zap.Error(err))
		}
		p.reported = false
		return
	}
	if !p.reported || report.Born != p.report.Born || report.Weights != p.report.Weights || report.Busy != p.report.Busy {
		p.log.Info("worker state", zap.Int64("born", report.Born), zap.Int("version", report.Weights.Version),
			zap.Int("layers_to", report.Weights.To), zap.Bool("busy", report.Busy), zap.Int("sequence", report.Sequence))
	}
	p.reported = true
	p.report = report
	p.sendReport()
}

// sendReport tells the entries the worker's state. A datagram that is lost is replaced
// by the next one.
func (p *Process) sendReport() {
	p.sequence++
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{
		Address: p.settings.Worker, Born: p.report.Born, Model: p.report.Weights.Model, Version: int32(p.report.Weights.Version),
		LayersFrom: int32(p.report.Weights.From), LayersTo: int32(p.report.Weights.To), Busy: p.report.Busy || p.switching,
		Queued: int32(p.report.Queued), Running: int32(p.report.Running), Sequence: p.sequence,
		ClosesInMs: int32(p.closes.Milliseconds()), Leaving: p.report.Leaving,
	})
	if err != nil {
		p.log.Error("report not encoded", zap.Error(err))
		return
	}
	targets := p.view.reportTargets()
	hears := targets.near
	if p.sequence%farReports == 0 || p.switching || p.closes > 0 {
		hears = slices.Concat(targets.near, targets.far)
	}
	for _, entry := range hears {
		address, err := net.ResolveUDPAddr("udp", entry)
		if err != nil {
			continue
		}
		if _, err := p.socket.WriteTo(data, address); err != nil {
			p.log.Debug("report not sent", zap.String("entry", entry), zap.Error(err))
		}
	}
}

// decide opens the target version and orders the worker to load it in its turn.
func (p *Process) decide(ctx context.Context) {
	service := p.view.service()
	if service == nil || !p.reported {
		return
	}
	model := service.Engine.Model
	p.open(ctx, model)
	p.date(model)
	weights := p.report.Weights
	worker := rollout.Worker{Version: weights.Version, Complete: weights.Whole(service.Engine.Layers), Busy: p.report.Busy}
	if worker.Complete && worker.Version >= p.ordered {
		p.switching = false
	}
	decision := rollout.Decide(p.changes, worker, p.rolloutTargets(), p.settings.IP, p.view.zone(), time.Now())
	if decision.Reason != p.logged {
		p.logged = decision.Reason
		p.log.Info("change of weights decided", zap.Int("load", decision.Load), zap.String("reason", string(decision.Reason)),
			zap.Int("version", worker.Version))
	}
	p.closes = decision.ClosesIn
	for _, t := range p.targets {
		if t.version.number == decision.Load {
			p.load(ctx, model, t)
		}
	}
}

// rolloutTargets describes the versions to the decision.
func (p *Process) rolloutTargets() []rollout.Target {
	list := make([]rollout.Target, 0, len(p.targets))
	for _, t := range p.targets {
		if !t.held && t.version.distribution.Replica().Complete() {
			t.held = true
			t.heldAt = time.Now()
		}
		list = append(list, p.describe(t))
	}
	return list
}

// describe describes a version to the decision.
func (p *Process) describe(t *target) rollout.Target {
	return rollout.Target{Version: t.version.number, NamedAt: p.view.date(t.named), Complete: t.held, CompleteAt: t.heldAt}
}

// openResult is a version that was opened, or why it could not be.
type openResult struct {
	version *version
	named   named
	err     error
}

// open starts the distribution of the version to serve. It reads the origin and the
// worker, which may take long, beside the reports.
func (p *Process) open(ctx context.Context, model string) {
	wanted := p.view.named(model)
	if newest := p.newest(); newest != nil && newest.version.number >= wanted.version {
		return
	}
	if p.opening != nil || p.openAgain != nil || !p.mayFetch(time.Now()) {
		return
	}
	opening := make(chan openResult, 1)
	p.opening = opening
	go func() {
		opened, err := p.library.open(ctx, model, wanted.version)
		opening <- openResult{opened, wanted, err}
	}()
}

// mayFetch reports whether the other workers are known, from which most chunks come. A
// process that knows none would fetch the whole version from the origin.
func (p *Process) mayFetch(now time.Time) bool {
	return p.view.knowsWorkers() || now.Sub(p.started) >= aloneAfter
}

// finishOpen takes over a version that was opened.
func (p *Process) finishOpen(result openResult) {
	p.opening = nil
	if result.err != nil {
		p.log.Warn("version cannot be fetched yet", zap.Int("version", result.named.version), zap.Error(result.err))
		p.openAgain = time.After(p.openPause.NextBackOff())
		return
	}
	p.openPause.Reset()
	if result.named.since.IsZero() {
		// Nothing has named a version yet; date corrects this once it is known.
		result.named = p.view.unnamed()
	}
	p.targets = append(p.targets, &target{version: result.version, named: result.named})
	if len(p.targets) > keptVersions {
		p.targets = p.targets[1:]
	}
	p.dropSuperseded()
}

// dropSuperseded stops to fetch versions that the newest one makes needless.
func (p *Process) dropSuperseded() {
	newest := p.describe(p.newest())
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		if !p.changes.Supersedes(newest, p.describe(t)) {
			return false
		}
		p.library.drop(t.version.number)
		return true
	})
}

// date takes over when the newest version was named, which a process that starts may learn
// after it has opened the version.
func (p *Process) date(model string) {
	wanted := p.view.named(model)
	since := p.view.date(wanted)
	for _, t := range p.targets {
		if t.version.number == wanted.version && since.Before(p.view.date(t.named)) {
			p.log.Info("version dated", zap.Int("version", wanted.version), zap.Duration("known", time.Since(since)))
			t.named = wanted
		}
	}
}

// load hands a version over and orders the worker to load it.
func (p *Process) load(ctx context.Context, model string, t *target) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	number := t.version.number
	if err := p.library.stage(ctx, t.version); err != nil {
		p.log.Warn("weights not handed over", zap.Int("version", number), zap.Error(err))
		return
	}
	p.switching = true
	p.ordered = number
	p.sendReport()
	result, err := p.worker.LoadStaged(ctx, model, number, p.report.Sequence)
	p.orders.Inc()
	p.log.Info("worker ordered to load", zap.Int("version", number), zap.Int("sequence", p.report.Sequence),
		zap.Stringer("result", result), zap.Duration("staged_in", time.Since(started)),
		zap.Duration("since_named", time.Since(p.view.date(t.named))), zap.Error(err))
	if result == platform.OrderRefused {
		p.switching = false
	}
	p.look(ctx)
}
