// Package soak runs the daemon as separate processes on loopback against stand-ins of the
// users' platform, injects faults from outside the processes, and checks what callers and
// workers see. The faults are drawn from a seed.
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumgw/lib/telemetry"
	"laburnumgw/standin/hosted"
)

const (
	// stopGracePeriod is the time from SIGTERM to SIGKILL.
	stopGracePeriod = 8 * time.Second
	// versionBound is the time within which a published version must be in force.
	versionBound = 8 * time.Second
	// settleWindow is the time after the end of a fault from which time bounds hold again.
	settleWindow = 3 * time.Second
	// publishInterval is the interval at which model workers write their entries after a change.
	publishInterval = 100 * time.Millisecond
	// plainRunTime is the time that a plain worker takes for a request.
	plainRunTime = 10 * time.Millisecond
	// defaultMemoryMB is the memory limit in the settings of processes.
	defaultMemoryMB = 256
	// The ports are the same for all processes, since each has its own IP address.
	workerPort       = 8100
	frontendPort     = 8200
	readinessPort    = 8201
	internalPort     = 8300
	lastInternalPort = 8315
)

// Names in the configuration of the soak.
const (
	modelService = "llm"
	plainService = "desk"
	workspace    = "ws"
	// APIKey is the key of the workspace.
	APIKey = "key"
	// otherKey is the key of another workspace.
	otherKey = "other-key"
	// Host is the host of all routes.
	Host = "soak.example"
)

// Kinds of requests, each with a route of its name.
const (
	kindChat = "chat"
	kindBook = "book"
	kindView = "view"
)

// Options configure a fleet.
type Options struct {
	// Binary is the path of the daemon.
	Binary string
	// Dir receives settings and logs.
	Dir string
	// Network is the second byte of the loopback addresses. Fleets with different
	// values can run at the same time.
	Network int
	Entries int
	Models  int
	// Plain is the number of workers of each of the two plain services.
	Plain int
	Model hosted.Model
	// PlannedOnly restricts a run to planned work and silent workers, so that no fault excuses
	// a lost request.
	PlannedOnly bool
	// UnmarkedEvery is the number of responses of a worker of which one ends with its connection;
	// zero for none.
	UnmarkedEvery int
	// SilenceMax bounds how long sound model workers fall silent, maxSilence when it is zero. With it, silences go
	// with all planned work.
	SilenceMax time.Duration
	// MemoryMB is the memory limit in the settings of the processes; 256 MB when it is zero.
	MemoryMB int64
	// Descriptors is the limit on open descriptors of the processes, in their settings and by the system; none when it is zero.
	Descriptors int
	// Overload has more callers than the model workers have room for.
	Overload bool
	// ChatCallers is the number of callers of streams at an entry; 1 when it is zero.
	ChatCallers int
	// DropClosed has no worker of RunVersions run requests whose connections were closed while they waited, and
	// IgnoreDeadlines has some of them ignore the deadlines of requests.
	DropClosed, IgnoreDeadlines bool
	// Staging restricts a run to faults of staging, ordering and loading weights, and of the processes and workers that
	// take part in it.
	Staging bool
	// PlainSlots is the number of requests that run at once at a plain worker, as many may wait, and PlainTime the time for
	// one. Zero stands for 16 without a bound, and plainRunTime.
	PlainSlots int
	PlainTime  time.Duration
	// StoreTime is the time that model workers take to store a staged piece, and LoadTime that for a load of all layers.
	StoreTime, LoadTime time.Duration
}

// Fleet is a running deployment.
type Fleet struct {
	Options
	Store        *hosted.Store
	Origin       *hosted.Origin
	Entries      []*Process
	Endpoints    []*Process
	ModelWorkers []*ProxiedWorker
	PlainWorkers []*ProxiedWorker

	storeProxies []*Proxy
	servers      []*http.Server

	// mu also guards settings.
	mu         sync.Mutex
	deadlyPart string
	settings   settings
	deadly     []*deadly
}

// ProxiedWorker is a worker together with the proxy that listens on its address.
type ProxiedWorker struct {
	*hosted.Worker
	Proxy *Proxy
}

// workers returns all workers.
func (f *Fleet) workers() []*ProxiedWorker { return slices.Concat(f.ModelWorkers, f.PlainWorkers) }

// Process is one daemon process.
type Process struct {
	Name string
	IP   string
	Zone string

	fleet    *Fleet
	role     string
	settings string
	log      *os.File

	mu      sync.Mutex
	running *Instance
	stopped bool
}

// Instance is one incarnation of a process, from its start to its exit.
type Instance struct {
	command *exec.Cmd
	exited  chan struct{}
}

var (
	// ErrStopped is returned when a process is started after the fleet has stopped.
	ErrStopped = errors.New("the fleet has stopped; start another fleet")
	// ErrRunning is returned when a process is started while it runs.
	ErrRunning = errors.New("the process runs; kill it first")
)

var zones = []string{"a", "b", "c"}

func zoneOf(i int) string { return zones[i%len(zones)] }

// Start starts a fleet. Two thirds of the model workers hold version 1. The others hold no
// weights, like workers that join later.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Store: hosted.NewStore(), Origin: &hosted.Origin{Model: options.Model, Newest: 1}, settings: newSettings()}
	if err := f.startStandins(); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	for i := range options.Entries {
		p, err := f.newProcess("hosted-entry", fmt.Sprintf("front-%d", i), f.ip(1, i), zoneOf(i), "")
		if err != nil {
			return nil, errors.Join(err, f.Stop())
		}
		f.Entries = append(f.Entries, p)
	}
	for i, m := range f.ModelWorkers {
		p, err := f.newProcess("hosted-endpoint", fmt.Sprintf("side-%d", i), f.ip(2, i), m.Zone, m.Address)
		if err != nil {
			return nil, errors.Join(err, f.Stop())
		}
		f.Endpoints = append(f.Endpoints, p)
	}
	for _, p := range append(append([]*Process{}, f.Entries...), f.Endpoints...) {
		if err := p.Start(); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

func (f *Fleet) ip(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.Network, class, i+1) }

// startStandins starts the store, the origin and all workers, and writes their objects to the store.
func (f *Fleet) startStandins() error {
	store := f.ip(4, 0) + ":8000"
	origin := f.ip(4, 1) + ":8000"
	if err := f.serve(store, f.Store); err != nil {
		return err
	}
	if err := f.serve(origin, f.Origin); err != nil {
		return err
	}
	for i := range f.Models {
		w := &hosted.Worker{
			ID: fmt.Sprintf("m-%d", i), Service: modelService, Zone: zoneOf(i), Address: fmt.Sprintf("%s:%d", f.ip(2, i), workerPort),
			Model: f.Model, Events: streamEvents, EventGap: 20 * time.Millisecond, UnmarkedEvery: f.UnmarkedEvery,
			StoreTime: f.StoreTime, LoadTime: f.LoadTime,
		}
		if f.PlannedOnly {
			// Long streams are more often amid a silence.
			w.EventGap *= 3
		}
		if f.Overload {
			w.MaxRunning = overloadRoom
		}
		if i%3 != 2 {
			w.Load(1)
		}
		m, err := f.startWorker(w)
		if err != nil {
			return err
		}
		f.ModelWorkers = append(f.ModelWorkers, m)
	}
	for i := range 2 * f.Plain {
		w := &hosted.Worker{
			ID: fmt.Sprintf("p-%d", i), Service: plainService, Zone: zoneOf(i), Address: fmt.Sprintf("%s:%d", f.ip(3, i), workerPort),
			RunTime: cmp.Or(f.PlainTime, plainRunTime), Slots: f.PlainSlots, MaxRunning: 2 * f.PlainSlots, EventGap: 5 * time.Millisecond, UnmarkedEvery: f.UnmarkedEvery,
		}
		if i >= f.Plain {
			w.Service = annexService
		}
		m, err := f.startWorker(w)
		if err != nil {
			return err
		}
		f.PlainWorkers = append(f.PlainWorkers, m)
	}
	f.Store.Put("config", "main", f.Config(1, origin))
	f.Store.Put("versions", f.Model.Name, map[string]any{"model": f.Model.Name, "version": 1})
	f.PublishWorkers()
	return nil
}

// startWorker starts a proxy at the worker's address and the worker behind it.
func (f *Fleet) startWorker(w *hosted.Worker) (*ProxiedWorker, error) {
	ip, _, err := net.SplitHostPort(w.Address)
	if err != nil {
		return nil, fmt.Errorf("address of worker %s: %w", w.ID, err)
	}
	behind := fmt.Sprintf("%s:%d", ip, workerPort+1)
	if err := f.serve(behind, w); err != nil {
		return nil, err
	}
	proxy, err := NewProxy(w.Address, behind)
	if err != nil {
		return nil, err
	}
	return &ProxiedWorker{Worker: w, Proxy: proxy}, nil
}

func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := listen(address, listenPause)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: stopGracePeriod}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // it returns when the fleet stops
	return nil
}

// Config returns the configuration object of a version, with the address of the origin.
func (f *Fleet) Config(version int, origin string) map[string]any {
	s := f.currentSettings()
	route := func(name, kind, service string, timeout, attempts int) map[string]any {
		config := map[string]any{
			"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": 400,
			"priority": 1, "service": service, "attempts": attempts, "resumable": kind == "streaming", "gap_target_ms": 300,
		}
		if b, ok := s.plainRoutes[name]; ok {
			b.applyTo(config)
		}
		return config
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route(kindChat, "streaming", modelService, s.chatTimeout, 2), route(kindBook, "unsafe", plainService, s.plainTimeout, 1), route(kindView, "safe", plainService, s.plainTimeout, 2),
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/health", "connection_limit": 400, "engine": map[string]any{
					"slots": 16, "layers": f.Model.Layers, "chunks": f.Model.Chunks, "chunk_bytes": f.Model.ChunkBytes, "step_ms": 3.0, "stride": 6,
					"read_per_s": 30600.0, "models": []any{map[string]any{"name": f.Model.Name, "warm_s": 0.3}}, "usual": map[string]any{"prompt": 900, "answer": 48},
				},
			},
			map[string]any{"name": plainService, "health_path": "/health", "connection_limit": 100},
			map[string]any{"name": annexService, "health_path": "/health", "connection_limit": 100},
			map[string]any{"name": "weights", "origin": origin, "zone": "a", "link_mbps": 400.0, "connection_limit": 48},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": s.idleTimeout},
		"tenants": s.tenants(),
	}
}

// OriginAddress returns the address of the origin of weights.
func (f *Fleet) OriginAddress() string { return f.ip(4, 1) + ":8000" }

// PublishWorkers writes the entries of all workers to the store. On the platform the workers
// write them themselves.
func (f *Fleet) PublishWorkers() {
	for _, m := range f.workers() {
		f.Store.Put("servers", m.ID, m.Entry("ready"))
	}
}

// PublishChanges writes the entries of the model workers to the store whenever their layers or orders have changed,
// until the context ends.
func (f *Fleet) PublishChanges(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	written := make(map[string]string)
	for {
		for _, m := range f.ModelWorkers {
			entry := m.Entry("ready")
			if text := fmt.Sprint(entry); written[m.ID] != text {
				written[m.ID] = text
				f.Store.Put("servers", m.ID, entry)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PublishVersion writes a new version of the weights to the store.
func (f *Fleet) PublishVersion(version int) {
	f.Store.Put("versions", f.Model.Name, map[string]any{"model": f.Model.Name, "version": version})
}

// newProcess prepares a process whose connections to the store pass through a proxy of its own.
func (f *Fleet) newProcess(role, name, ip, zone, worker string) (*Process, error) {
	proxy, err := NewProxy(ip+":8400", f.ip(4, 0)+":8000")
	if err != nil {
		return nil, err
	}
	f.storeProxies = append(f.storeProxies, proxy)
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nip_address = %q\nzone = %q\nregion = \"r1\"\ninternal_ports = [%d,%d]\n", name, ip, zone, internalPort, lastInternalPort)
	if worker != "" {
		fmt.Fprintf(&b, "app = %q\nservice = %q\n", worker, modelService)
	}
	fmt.Fprint(&b, "[zones]\na = \"r1\"\nb = \"r1\"\nc = \"r1\"\n[listen]\n")
	if worker == "" {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip, frontendPort, ip, readinessPort)
	}
	fmt.Fprint(&b, "[limits]\n")
	if f.Descriptors > 0 {
		fmt.Fprintf(&b, "file_descriptors = %d\n", f.Descriptors)
	}
	fmt.Fprintf(&b, "link_mbps = 100.0\nmemory_mb = %d\n[bounds]\nsettle_window_ms = %d\ngrace_s = %d\n"+
		"retry_budget_ratio = 0.2\nretry_budget_slack = 104\nbudget_window_s = 10\ncold_overage = 1.5\ncold_slack = 5\nversion_ms = %d\n"+
		"[platform]\naddress = \"%s:8400\"\n", cmp.Or(f.MemoryMB, defaultMemoryMB), settleWindow.Milliseconds(), int(stopGracePeriod.Seconds()), versionBound.Milliseconds(), ip)
	path := filepath.Join(f.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return &Process{Name: name, IP: ip, Zone: zone, fleet: f, role: role, settings: path, log: log}, nil
}

// Frontend returns the address on which callers connect.
func (p *Process) Frontend() string { return fmt.Sprintf("%s:%d", p.IP, frontendPort) }

// PID returns the process id of the instance started last, zero for none.
func (p *Process) PID() int {
	if i := p.Running(); i != nil {
		return i.command.Process.Pid
	}
	return 0
}

// Readiness returns the address of the readiness check.
func (p *Process) Readiness() string { return fmt.Sprintf("%s:%d", p.IP, readinessPort) }

// Internal returns the address on which other processes connect.
func (p *Process) Internal() string { return fmt.Sprintf("%s:%d", p.IP, internalPort) }

// Metrics returns the address of the metrics.
func (p *Process) Metrics() string { return fmt.Sprintf("%s:%d", p.IP, telemetry.MetricsPort) }

// Ready reports whether the readiness check of the process succeeds.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.IP, readinessPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Start starts the process, unless it runs or the fleet has stopped.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return fmt.Errorf("start %s: %w", p.Name, ErrStopped)
	}
	if p.running != nil && !p.running.Ended() {
		return fmt.Errorf("start %s: %w", p.Name, ErrRunning)
	}
	command := exec.Command(p.fleet.Binary, p.role)
	if p.fleet.Descriptors > 0 {
		command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.fleet.Descriptors), p.fleet.Binary, p.role)
	}
	command.Env = append(os.Environ(), "LABURNUMGW_BOOT="+p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	i := &Instance{command: command, exited: make(chan struct{})}
	p.running = i
	go func() {
		_ = command.Wait() // ProcessState holds the exit code
		close(i.exited)
	}()
	return nil
}

// Running returns the instance started last, or nil.
func (p *Process) Running() *Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// Signal sends a signal to the instance started last, if any.
func (p *Process) Signal(signal syscall.Signal) {
	if i := p.Running(); i != nil {
		_ = i.command.Process.Signal(signal) // it fails only when the instance has exited
	}
}

// Wait waits until the instance started last exits and returns its exit code, or -1 when
// it has not exited within the limit.
func (p *Process) Wait(limit time.Duration) int {
	i := p.Running()
	select {
	case <-i.exited:
		return i.command.ProcessState.ExitCode()
	case <-time.After(limit):
		return -1
	}
}

// Kill kills the instance started last, if any.
func (p *Process) Kill() {
	if i := p.Running(); i != nil {
		i.Kill()
	}
}

// stop kills the process and prevents further starts.
func (p *Process) stop() error {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	defer p.log.Close()
	i := p.Running()
	if i == nil {
		return nil
	}
	i.Kill()
	if !i.Ended() {
		return fmt.Errorf("process %s (%d) still runs %s after SIGKILL; end it by hand", p.Name, i.command.Process.Pid, stopGracePeriod)
	}
	return nil
}

// Ended reports whether the instance has exited.
func (i *Instance) Ended() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// Kill kills the instance and waits up to stopGracePeriod for its exit.
func (i *Instance) Kill() {
	_ = i.command.Process.Kill() // it fails only when the instance has exited
	select {
	case <-i.exited:
	case <-time.After(stopGracePeriod):
	}
}

// Stop stops everything that the fleet has started.
func (f *Fleet) Stop() error {
	var problems []error
	for _, p := range append(append([]*Process{}, f.Entries...), f.Endpoints...) {
		problems = append(problems, p.stop())
	}
	for _, proxy := range f.storeProxies {
		proxy.Close()
	}
	for _, m := range f.workers() {
		m.Proxy.Close()
	}
	for _, server := range f.servers {
		problems = append(problems, server.Close())
	}
	return errors.Join(problems...)
}
