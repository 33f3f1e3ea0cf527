package endpoint

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/admission"
	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/door"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/journal"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/telemetry"
	"laburnumgw/lib/transfer"
)

const (
	// finalReportDelay gives the last reports and responses time to be sent before the
	// process ends.
	finalReportDelay = 200 * time.Millisecond
)

// Process is a running endpoint process.
type Process struct {
	settings *Settings
	conns    *rpc.Pool
	gate     *admission.Gate
	journal  *journal.Journal
	reporter *reporter
	configs  *driver.Driver
	weights  *weightManager
	serving  *engineController
	zones    *zoneState
	metrics  *endpointMetrics
	grpc     *grpc.Server
	log      *zap.Logger
	snapshot atomic.Pointer[config.Snapshot]
	shutdown *drain.Shutdown
}

// New assembles an endpoint process.
func New(s *Settings, keys *mtls.Keys, conns *rpc.Pool, store platform.Store, log *zap.Logger) (*Process, error) {
	self := membership.Self{VM: s.VM, Zone: s.Zone, Region: s.Region, Address: s.Listen}
	p := &Process{
		settings: s, conns: conns, zones: &zoneState{}, metrics: newEndpointMetrics(), log: log, shutdown: drain.NewShutdown(),
		gate: admission.NewGate(admission.Config{Limits: admissionLimits(config.Default().Limits)}),
	}
	p.reporter = newReporter(self, s.SeedPeers(), conns, p.load, log)
	p.configs = driver.New(self, configsync.RoleEndpoint, s.SeedPeers(), conns, nil, p, log)
	p.reporter.onResponse = p.handleReportResponse
	p.journal = journal.New(journal.Options{
		Store: store, Self: journal.Identity{VM: s.VM, Incarnation: rand.Text()}, Shards: p.shards,
	})
	serve := &server{
		vm: s.VM, zone: s.Zone, service: s.Service, serviceTimeout: s.ServiceTimeout, gate: p.gate, journal: p.journal,
		zones: p.zones, metrics: p.metrics, log: log, currentLoad: p.pbLoad, ready: p.ready, shutdown: p.shutdown,
	}
	if s.Engine != "" {
		p.buildEngine(self, serve)
	} else {
		serve.backend = newBackend(s.ServiceURL)
	}
	p.grpc = newGRPCServer(keys, serve, p.peerServer(), &node{settings: s, reporter: p.reporter, configs: p.configs}, log)
	return p, nil
}

func (p *Process) buildEngine(self membership.Self, serve *server) {
	s := p.settings
	share := config.Default().Distribution.LinkShare
	limits := transfer.NewLinks(s.LinkMbit * megabit * share)
	t := &transfer.Transfer{
		Self: swarm.Member{VM: self.VM, Zone: self.Zone, Region: self.Region}, Address: s.Listen, HomeRegion: s.HomeRegion,
		Conns: p.conns, Origin: newOriginClient(s.Origin, limits.Download), Links: limits, Metrics: p.metrics.transfer, Log: p.log,
	}
	p.weights = newWeightManager(s, t, p.metrics, p.log)
	p.serving = newEngineController(p.weights, newEngineClient(s.Engine), s.WeightsListen, p.gate, p.metrics, p.log)
	p.serving.onChange = p.reporter.reportNow
	serve.weights = p.serving
	serve.backend = newBackend(s.Engine)
}

// peerServer returns the server that sends the chunks held by this process to other VMs,
// which it identifies by their certificates.
func (p *Process) peerServer() *transfer.Server {
	server := &transfer.Server{Metrics: p.metrics.transfer, Identify: callerVM}
	server.Find = func(digest string) (*transfer.Distribution, bool) {
		if p.weights == nil {
			return nil, false
		}
		return p.weights.distribution(digest)
	}
	return server
}

func callerVM(ctx context.Context) (string, error) {
	identity, err := mtls.PeerIdentity(ctx)
	if err != nil {
		return "", fmt.Errorf("read certificate of the caller: %w", err)
	}
	return identity.VM, nil
}

func admissionLimits(l config.Limits) admission.Limits {
	return admission.Limits{
		ColdInFlight: l.ColdInFlight, WarmInFlight: l.WarmInFlight, Ramp: l.Ramp,
		QueueLength: l.QueueLength, QueueWait: l.QueueWait,
	}
}

// handleReportResponse passes the configuration generation and the placement revision that an
// entry acts on to the configuration sync.
func (p *Process) handleReportResponse(peer membership.Peer, response *laburnumgwv1.ReportResponse) {
	p.configs.SetMembers(p.reporter.joined(), p.reporter.entries())
	p.configs.ObserveGeneration(peer, response.GetConfigGeneration())
	p.configs.ObserveRevision(peer, response.GetPlacementRevision())
}

// Activate implements driver.Observer.
func (p *Process) Activate(bundle *laburnumgwv1.ConfigBundle) error {
	snapshot, err := configstore.Snapshot(bundle)
	if err != nil {
		return fmt.Errorf("parse configuration of generation %d: %w", bundle.GetGeneration(), err)
	}
	zone, known := snapshot.Zones[p.settings.Zone]
	p.zones.set(!known || zone.State == config.ZoneOutOfService, bundle.GetGeneration(), time.Now())
	p.snapshot.Store(snapshot)
	p.gate.Configure(p.admissionConfig(snapshot))
	if p.weights != nil {
		p.updateTransferRate()
		p.weights.configure(bundle, snapshot)
	}
	if p.settings.Service != "" && !p.zones.isOut() && !p.shutdown.IsStopping() {
		p.journal.Claim(p.settings.Service)
	}
	p.reporter.setGeneration(bundle.GetGeneration())
	return nil
}

// Alarm implements driver.Observer.
func (p *Process) Alarm(configsync.Alarm) {}

// admissionConfig returns the limits of this process's endpoint.
func (p *Process) admissionConfig(snapshot *config.Snapshot) admission.Config {
	limits := snapshot.Limits
	if service, ok := snapshot.Services[p.settings.Service]; ok {
		limits = service.Limits
		if service.MaxInFlight > 0 {
			limits.WarmInFlight = min(limits.WarmInFlight, service.MaxInFlight)
			limits.ColdInFlight = min(limits.ColdInFlight, service.MaxInFlight)
		}
	}
	for _, name := range p.settings.Models {
		if model, ok := snapshot.Models[name]; ok {
			limits = model.Limits
		}
	}
	workspaces := make(map[string]admission.Workspace, len(snapshot.Workspaces))
	for name, workspace := range snapshot.Workspaces {
		workspaces[name] = admission.Workspace{Weight: workspace.Weight, MaxInFlight: workspace.MaxInFlight}
	}
	return admission.Config{Limits: admissionLimits(limits), Workspaces: workspaces}
}

// ready reports whether the process acts on a configuration that is as new as its
// neighbours'.
func (p *Process) ready() bool { return p.snapshot.Load() != nil && p.configs.Ready() }

func (p *Process) shards(service string) int {
	snapshot := p.snapshot.Load()
	if snapshot == nil {
		return 0
	}
	return snapshot.Services[service].Shards
}

// load returns the load and state of the endpoint for reports.
func (p *Process) load() membership.Load {
	load := membership.Load{Load: p.pbLoad()}
	if p.settings.Service != "" {
		load.Services = []string{p.settings.Service}
		load.Shards = p.ownedShards()
	}
	if p.weights != nil {
		load.Serving = p.serving.servedDigests()
		load.Progress = p.weights.progress()
		load.Models = p.settings.Models
		load.WeightsMemory = p.settings.WeightsMemoryMB * megabyte
	}
	return load
}

func (p *Process) ownedShards() map[string]*laburnumgwv1.ShardList {
	lists := make(map[string]*laburnumgwv1.ShardList)
	for _, id := range p.journal.OwnedShards() {
		if lists[id.Service] == nil {
			lists[id.Service] = &laburnumgwv1.ShardList{}
		}
		lists[id.Service].Shards = append(lists[id.Service].Shards, uint32(id.Number))
	}
	return lists
}

func (p *Process) pbLoad() *laburnumgwv1.Load {
	load := p.gate.Load()
	return &laburnumgwv1.Load{
		InFlight: int32(load.InFlight), Queued: int32(load.Queued), Limit: int32(load.Limit), Cold: load.Cold,
		Leaving: load.Leaving || p.shutdown.IsStopping(), ServiceTimeUs: load.ServiceTime.Microseconds(),
	}
}

// Run serves until the context ends, then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen on --listen %s: %w", p.settings.Listen, err)
	}
	sockets, err := door.OwnSockets()
	if err != nil {
		return err
	}
	failed := make(chan error, 3)
	go func() {
		failed <- p.grpc.Serve(rpc.BoundTLS(listener, door.Nodes(sockets), telemetry.Shed(p.metrics.set, p.log, "peers")))
	}()
	if p.weights != nil {
		go func() { failed <- p.serveWeights() }()
	}
	if p.settings.Metrics != "" {
		go func() { failed <- telemetry.Serve(p.settings.Metrics, p.metrics.set, p.log) }()
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.configs.Run(running)
	go p.reporter.run(running)
	if p.serving != nil {
		go p.serving.run(running)
		go p.runPacing(running)
	}
	p.log.Info("endpoint process started", zap.String("vm", p.settings.VM), zap.String("zone", p.settings.Zone), zap.String("listen", p.settings.Listen))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return p.stop()
}

// serveWeights serves weights to the engine.
func (p *Process) serveWeights() error {
	listener, err := net.Listen("tcp", p.settings.WeightsListen)
	if err != nil {
		return fmt.Errorf("listen on --weights-listen %s: %w", p.settings.WeightsListen, err)
	}
	server := telemetry.NewServer(p.weights.handler())
	server.WriteTimeout = 0 // large weights take long
	return telemetry.ServeProbes(server, listener, telemetry.Shed(p.metrics.set, p.log, "weights"))
}

// stop announces to the entries that the process is leaving, waits for running requests to
// end, ends those that take too long with an unknown outcome, and closes the journal, which releases
// its shards.
func (p *Process) stop() error {
	p.log.Info("endpoint process is leaving")
	schedule := p.settings.stopSchedule(time.Now())
	p.shutdown.Begin(schedule)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ProcessEnd)
	defer cancel()
	p.reporter.leave(ctx)
	p.shutdown.Drain()
	drainErr := p.gate.Drain(ctx)
	journalErr := p.journal.Close(ctx)
	time.Sleep(finalReportDelay)
	stopped := make(chan struct{})
	go func() {
		p.grpc.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(time.Second):
		p.grpc.Stop()
	}
	p.conns.Close()
	p.log.Info("endpoint process stopped", zap.Error(drainErr), zap.NamedError("journal_error", journalErr))
	return errors.Join(drainErr, journalErr)
}
