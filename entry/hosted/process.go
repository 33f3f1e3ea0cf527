package hosted

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/door"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/rpcmirror"
	"laburnumgw/lib/reload"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/storecalls"
	"laburnumgw/lib/suspend"
	"laburnumgw/lib/telemetry"
	"laburnumgw/lib/timelimit"
	"laburnumgw/lib/workerconn"
	"laburnumgw/platform"
)

const (
	// readHeaderTimeout, idleTimeout and maxHeaderBytes exceed what configurations allow callers,
	// whose limits may change while a connection is open. They only protect the process; keep-alive ends the
	// connections of callers that are gone.
	readHeaderTimeout = 30 * time.Second
	idleTimeout       = 10 * time.Minute
	maxHeaderBytes    = 256 << 10
	// writeTimeout bounds the writing to a caller until its request is accepted, and its deadline bounds it then.
	writeTimeout = time.Minute
	// connectTimeout bounds the opening of a connection to a worker. Round trips take at most
	// 4 ms, and a lost packet is retransmitted after a few hundred ms.
	connectTimeout = 500 * time.Millisecond
	// maxLeaveWait is the time in which the platform notices that an entry is leaving: it probes
	// the readiness every second and takes an entry out after two failed probes. maxLeaveShare bounds
	// it where the grace time is short.
	maxLeaveWait  = 2500 * time.Millisecond
	maxLeaveShare = 3
	// stopMargin is the part of the grace time that is kept for the end of the process, and
	// answerReserve the part before it in which the responses of requests that still run are written.
	// Each takes a twelfth of the grace time at most: the platform lets requests run until its last sixth.
	stopMargin     = 500 * time.Millisecond
	answerReserve  = 200 * time.Millisecond
	maxMarginShare = 12
	// pullTimeout bounds one pull of changes, and so the time in which an entry notices that its
	// upstream has terminated.
	pullTimeout = 300 * time.Millisecond
	// maxSeedWait is how long a start asks the seeds, which list the entries within half a
	// second of their own start.
	maxSeedWait = 2 * time.Second
	// startPollInterval is the pause between two checks, during a start, whether the store was
	// read. versionAgeEntries is the number of entries that must have stated how long all
	// versions have been named. Entries that have started recently may not know it either, so
	// that up to maxVersionAgeEntries are asked.
	startPollInterval    = 20 * time.Millisecond
	versionAgeEntries    = 3
	maxVersionAgeEntries = 3 * versionAgeEntries
	// registerSpread is the time over which the entries write themselves to a store that came back
	// from an older copy. registerInterval is the pause between two attempts to write this entry, and
	// registerWait is how long a start waits to learn whether the store lists it already.
	registerSpread   = time.Second
	registerInterval = 500 * time.Millisecond
	registerWait     = time.Second
	// minLoggedStandstill is the shortest standstill of this process that is logged. Shorter ones are
	// frequent where processor time is scarce.
	minLoggedStandstill = 300 * time.Millisecond
)

// Process is a running entry.
type Process struct {
	settings *platform.Settings
	view     *view
	frontend *frontend
	mirror   *mirror.Driver
	// mirrorServer serves the mirrored state to other processes.
	mirrorServer rpcmirror.Server
	store        *platform.Store
	grpc         *grpc.Server
	conns        *rpc.Pool
	monitor      *suspend.Monitor
	pulse        *suspend.Pulse
	storeCalls   *storecalls.Counter
	log          *zap.Logger
	// reports is the socket of the datagrams between processes.
	reports net.PacketConn
	// restored is signalled when the store came back from an older copy.
	restored chan struct{}
	// named is signalled when a version was named.
	named chan struct{}
}

// New assembles an entry.
func New(settings *platform.Settings, store *platform.Store, conns *rpc.Pool, bounded *telemetry.Bounded) (*Process, error) {
	if err := settings.CheckEntry(); err != nil {
		return nil, err
	}
	log := bounded.With(zap.String("node", settings.VM))
	metrics := newEntryMetrics()
	metrics.set.NewGauge("laburnumgw_log_lines_dropped", func() float64 { return float64(bounded.Dropped()) })
	v := newView(settings, metrics, log)
	v.blockStore = store
	memory := membudget.ForProcess(settings.MemoryMB)
	metrics.set.NewGauge("laburnumgw_entry_memory_held_bytes", func() float64 { return float64(memory.Held()) })
	metrics.set.NewGauge("laburnumgw_entry_memory_limit_bytes", func() float64 { return float64(memory.Limit()) })
	p := &Process{
		settings: settings, view: v, store: store, conns: conns, log: log, restored: make(chan struct{}, 1), named: make(chan struct{}, 1),
		storeCalls: storecalls.New(metrics.set, "entry"),
		frontend:   &frontend{view: v, conns: workerconn.NewPool(connectTimeout, platform.KeepAlive()), buffers: &responseBuffers{}, memory: memory, unread: membudget.NewUnread(memory.Responses()), connMemory: &connMemory{memory.Open(), metrics, log}, metrics: metrics, log: log, detail: log.Named(telemetry.DetailName), shutdown: drain.NewShutdown()},
	}
	metrics.set.NewGauge("laburnumgw_entry_unread_bytes", func() float64 { return float64(p.frontend.unread.Held()) })
	p.frontend.conns.BoundMemory(p.frontend.connMemory, connBytes)
	v.checks.connect = p.frontend.conns.Check
	store.OnCall(p.storeCalls.Sent, p.storeCalls.Unanswered)
	store.OnEra(func(era int64) { log.Info("store states an era", zap.Int64("era", era)) })
	monitor, err := suspend.NewMonitor(p.handleSuspension)
	if err != nil {
		return nil, fmt.Errorf("start detection of machine suspensions: %w", err)
	}
	p.monitor = monitor
	p.pulse = suspend.NewPulse(p.recordStandstill)
	p.mirror = mirror.NewDriver(mirror.Config{
		Kinds: map[string]bool{
			platform.KindConfig: false, platform.KindWorkers: true, platform.KindEvacuations: false,
			platform.KindVersions: false, platform.KindEntries: false, platform.KindBlockedParts: false,
		},
		DatedKinds: map[string]bool{platform.KindVersions: true}, OwnKinds: []string{platform.KindEntries, platform.KindBlockedParts}, Older: platform.Older, OnRestore: p.storeRestored,
		Store: store, SeedKind: platform.KindEntries, SeedNeighbours: rpcmirror.NewSeedClient(conns, settings.SeedAddresses()), Neighbours: rpcmirror.NewClient(conns, internalAddress(settings), v.neighbours), PreferredSource: v.source, PullWait: pullTimeout, StaleAfter: v.staleAfter,
		StartupWait: v.startupWait, MaxProbePause: v.maxProbePause, MaxNeighbourStoreAge: v.holdOff, PropagationBound: settings.Bounds.ShortestPropagationBound(), Settle: settings.Bounds.Settle, SeedWait: seedWait(settings), DetectSuspension: p.checkSuspension, EarliestArrival: p.pulse.EarliestArrival, OnChange: p.applyChanges, Log: log,
	})
	p.frontend.mirrored = p.mirror
	p.grpc = grpc.NewServer(append(rpc.PlainDoorOptions(settings.MemoryMB, p.shed("peers")), rpc.RecoveryOptions(log)...)...)
	p.mirrorServer.Driver = p.mirror
	laburnumgwv1.RegisterMirrorServer(p.grpc, &p.mirrorServer)
	laburnumgwv1.RegisterDeparturesServer(p.grpc, &departuresServer{view: v})
	laburnumgwv1.RegisterWorkerLimitsServer(p.grpc, &limitsServer{view: v})
	laburnumgwv1.RegisterPromptPartsServer(p.grpc, &promptPartsServer{view: v})
	laburnumgwv1.RegisterWhereServer(p.grpc, &whereServer{front: p.frontend})
	metrics.set.NewGauge("laburnumgw_entry_config_age_seconds", func() float64 {
		age, known := p.mirror.CompletenessAge(platform.KindConfig)
		if !known {
			return math.Inf(1)
		}
		return age.Seconds()
	})
	metrics.set.NewGauge("laburnumgw_entry_blocked_parts", func() float64 { return float64(v.blocksInForce()) })
	metrics.set.NewGauge("laburnumgw_entry_limited_workers", func() float64 { return float64(v.limitedWorkers()) })
	return p, nil
}

// seedWait returns how long a start asks the seeds. A seed asks the other seeds only once.
func seedWait(settings *platform.Settings) time.Duration {
	if slices.Contains(settings.Seeds, settings.IP) {
		return 0
	}
	return maxSeedWait
}

// internalAddress returns the address for other processes of the system.
func (p *Process) internalAddress() string { return internalAddress(p.settings) }

func internalAddress(settings *platform.Settings) string {
	return net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
}

// Run serves until the context ends, then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	hangups := reload.Hangups()
	running, cancel := context.WithCancel(context.Background())
	defer p.logLast()
	defer cancel()
	failed := make(chan error, 5)
	callers, err := p.listen(running, failed)
	if err != nil {
		return err
	}
	go p.mirror.Run(running)
	go p.register(running)
	go p.learnFromEntries(running)
	go p.compareDates(running)
	go p.view.refreshLimits(running)
	go p.view.logWorkerChanges(running)
	go p.tellFacts(running)
	go p.view.runQuarantine(running, p.mirror.ReceivesStoreState)
	go reload.Watch(running, os.Getenv(platform.SettingsVariable), hangups, p.reload)
	go p.pulse.Run(running)
	go func() {
		if err := p.monitor.Run(running); err != nil {
			p.log.Error("suspensions of the machine are no longer detected", zap.Error(err))
		}
	}()
	p.log.Info("entry started", zap.String("vm", p.settings.VM), zap.String("zone", p.settings.Zone), zap.String("frontend", p.settings.Frontend))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return p.stop(callers, time.After(leaveWait(p.view.grace())))
}

// logLast logs what was not logged yet, and the calls of the store that this process has made.
func (p *Process) logLast() {
	p.view.flushWorkerChanges()
	p.storeCalls.Log(p.log)
	_ = p.log.Sync() // standard output may not support it
}

// listen opens all listeners. It returns the one for callers.
func (p *Process) listen(ctx context.Context, failed chan<- error) (*drain.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: platform.KeepAlive()}
	serve := func(name, address string, handler http.Handler) error {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		go func() { failed <- telemetry.ServeProbes(telemetry.NewServer(handler), listener, p.shed(name)) }()
		return nil
	}
	listener, err := config.Listen(ctx, "tcp", p.settings.Frontend)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", p.settings.Frontend, err)
	}
	callers := p.serveCallers(listener, failed)
	if err := serve("readiness", p.settings.Readiness, p.frontend.readiness()); err != nil {
		return nil, err
	}
	metrics := net.JoinHostPort(p.settings.IP, strconv.Itoa(telemetry.MetricsPort))
	if err := serve("metrics", metrics, telemetry.Handler(p.frontend.metrics.set)); err != nil {
		return nil, err
	}
	internal, err := config.Listen(ctx, "tcp", p.internalAddress())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", p.internalAddress(), err)
	}
	go func() {
		failed <- p.grpc.Serve(rpc.Bound(internal, door.Peers(door.Sockets(p.settings.Sockets)), p.shed("peers")))
	}()
	reports, err := net.ListenPacket("udp", p.internalAddress())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", p.internalAddress(), err)
	}
	p.reports = reports
	p.view.mu.Lock()
	p.view.announceDeparture = p.announceDeparture(reports)
	p.view.limitPeers = processPeers{p, reports}
	p.view.partPeers = processPeers{p, reports}
	p.view.mu.Unlock()
	go p.readReports(reports)
	return callers, nil
}

// serveCallers serves callers on a listener.
func (p *Process) serveCallers(listener net.Listener, failed chan<- error) *drain.Listener {
	server := &http.Server{
		Handler: p.frontend.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: writeTimeout,
		ConnContext:  withCallerConn, ErrorLog: zap.NewStdLog(p.log),
	}
	callers := drain.New(server, listener)
	callers.BoundMemory(p.frontend.connMemory, connBytes)
	callers.BoundConns(door.Callers(door.Sockets(p.settings.Sockets)), p.shed("callers"))
	p.frontend.endLateBody = callers.EndLateBody
	p.frontend.metrics.set.GetOrCreateGauge(`laburnumgw_door_connections{door="callers"}`, func() float64 { return float64(callers.Conns()) })
	go func() {
		if err := callers.Serve(); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve on %s: %w", listener.Addr(), err)
		}
	}()
	return callers
}

// shed returns what records that a door had no room.
func (p *Process) shed(name string) func(door.Reason) {
	return telemetry.Shed(p.frontend.metrics.set, p.log, name)
}

// register writes this entry to the store, so that other processes find it, and again each time the
// store came back from an older copy, which may lack it. An entry that has restarted is often
// listed already.
func (p *Process) register(ctx context.Context) {
	if p.awaitRegistration(ctx) {
		p.log.Info("entry is registered already")
	} else {
		p.writeRegistration(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.restored:
		}
		// All entries write at about the same time.
		if !dispatch.Sleep(ctx, time.Duration(p.view.random()*float64(registerSpread))) {
			return
		}
		p.writeRegistration(ctx)
	}
}

// awaitRegistration waits until it is known whether the store lists this entry, and reports whether
// it does.
func (p *Process) awaitRegistration(ctx context.Context) bool {
	for waited := time.Duration(0); waited < registerWait; waited += startPollInterval {
		if p.view.registered(platform.Entry{Zone: p.settings.Zone, Address: p.internalAddress()}) {
			return true
		}
		if p.view.knowsEntries() || !dispatch.Sleep(ctx, startPollInterval) {
			return false
		}
	}
	return false
}

// writeRegistration writes this entry to the store, until that succeeds or the context ends.
func (p *Process) writeRegistration(ctx context.Context) {
	for {
		err := p.store.Put(ctx, platform.KindEntries, p.settings.VM, platform.Entry{Zone: p.settings.Zone, Address: p.internalAddress()})
		if err == nil {
			p.log.Info("entry registered")
			return
		}
		p.log.Warn("entry not registered in the store; other processes do not find it yet", zap.Error(err))
		if !dispatch.Sleep(ctx, registerInterval) {
			return
		}
	}
}

// storeRestored has all that this entry wrote to the store written again.
func (p *Process) storeRestored(int64) {
	select {
	case p.restored <- struct{}{}:
	default:
	}
	// The mirror holds its lock, which the view must not wait for.
	go p.view.rewriteBlocks()
}

// learnFromEntries asks other entries for what the store does not tell at a start: how long the
// versions have been named, which workers have stated that they are leaving, which have stated a
// limit, and on which parts of prompts workers crash. A version of unknown age is treated as one that was named long ago.
func (p *Process) learnFromEntries(ctx context.Context) {
	for !p.mirror.HasSynced() {
		if !dispatch.Sleep(ctx, startPollInterval) {
			return
		}
	}
	responded, knewAllAges := 0, 0
	for _, address := range p.view.otherAddresses() {
		knewAll, err := p.learnAges(ctx, address)
		if err != nil {
			continue
		}
		if knewAll {
			knewAllAges++
		}
		p.fetchDepartures(ctx, address)
		if responded < limitsEntries {
			p.view.fetchLimits(ctx, address)
			p.view.fetchEvidence(ctx, address)
		}
		responded++
		if knewAllAges == versionAgeEntries || responded == maxVersionAgeEntries {
			return
		}
	}
}

// reload reads the settings file again and logs why it cannot be used. A process keeps its name
// and its addresses until it restarts.
func (p *Process) reload() {
	next, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		p.log.Error("settings file is not valid; the current settings stay in force", zap.Error(err))
		return
	}
	p.view.reconfigure(next)
	p.log.Info("settings reloaded")
}

// handleSuspension corrects the times after a suspension of the machine and has the store read
// again, before outdated state is acted on.
func (p *Process) handleSuspension(length time.Duration) {
	p.view.handleSuspension(length)
	p.mirror.HandleSuspension(length)
}

// checkSuspension detects a suspension that has just ended.
func (p *Process) checkSuspension() {
	if err := p.monitor.Check(); err != nil {
		p.log.Error("check for a suspension of the machine failed", zap.Error(err))
	}
}

// recordStandstill counts and logs a standstill of this process.
func (p *Process) recordStandstill(length time.Duration) {
	metrics := p.frontend.metrics
	metrics.standstills.Inc()
	metrics.standstillSeconds.Add(length.Seconds())
	if length >= minLoggedStandstill {
		p.log.Warn("process stood still", zap.Duration("length", length))
	}
}

// stopSchedule returns the times of a planned stop that begins now.
func stopSchedule(now time.Time, grace time.Duration) timelimit.Schedule {
	end := now.Add(grace - min(stopMargin, grace/maxMarginShare))
	reserve := min(answerReserve, grace/maxMarginShare)
	return timelimit.Schedule{Drain: now.Add(leaveWait(grace)), RequestsEnd: end.Add(-reserve), ResponsesEnd: end.Add(-reserve / 2), ProcessEnd: end}
}

// leaveWait returns the time in which callers leave.
func leaveWait(grace time.Duration) time.Duration { return min(maxLeaveWait, grace/maxLeaveShare) }

// stop reports that the entry is leaving, serves on until the platform and the callers had the
// time to leave, and then completes the running requests.
func (p *Process) stop(callers *drain.Listener, left <-chan time.Time) error {
	now := time.Now()
	schedule := stopSchedule(now, p.view.grace())
	p.log.Info("entry is leaving", zap.Duration("leave_wait", schedule.Drain.Sub(now)), zap.Duration("requests_end", schedule.RequestsEnd.Sub(now)))
	p.mirrorServer.Leave()
	shutdown := p.frontend.shutdown
	p.view.onSuspension(shutdown.Suspended)
	shutdown.Begin(schedule)
	select {
	case <-left:
	case <-shutdown.Ended().Done():
	}
	shutdown.Drain()
	bound := func(s timelimit.Schedule) { callers.EndAt(s.RequestsEnd, s.ResponsesEnd) }
	shutdown.OnMove(bound)
	if current, ok := shutdown.Schedule(); ok {
		bound(current)
	}
	err := callers.Drain(shutdown.Ended())
	p.grpc.Stop()
	p.conns.Close()
	p.log.Info("entry stopped", zap.Error(err))
	_ = p.log.Sync() // standard output may not support it
	if err != nil {
		return fmt.Errorf("requests still ran at the end of the grace time: %w", err)
	}
	return nil
}
