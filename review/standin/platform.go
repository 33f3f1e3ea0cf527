//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumgw/standin/hosted"
)

// Ports are the same for all processes, since each has its own loopback address.
const (
	workerPort    = 8100
	frontendPort  = 8200
	readinessPort = 8201
	controlPort   = 8202
	storePort     = 8000
)

// Figures of the small sites.
const (
	heartbeat   = 1200 * time.Millisecond
	modelName   = "m0"
	modelHost   = "assistant.example"
	tenantName  = "tenant-a"
	apiKey      = "key-a"
	modelSvc    = "assistant"
	plainSvc    = "desk"
	originSvc   = "weights"
	layers      = 16
	chunks      = 48
	chunkBytes  = 49152
	entryMemory = 284
	sideMemory  = 152
	// bodyLimit is the largest body that the configuration allows.
	bodyLimit = 4194304
)

var model = hosted.Model{Name: modelName, Chunks: chunks, ChunkBytes: chunkBytes, Layers: layers}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  int
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// write writes a line. A worker process has no record.
func (r *record) write(format string, args ...any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.write("BROKEN: "+format, args...)
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record  *record
	trouble bool
	dir     string
	network int
	store   *hosted.Store
	origin  *hosted.Origin
	cancel  context.CancelFunc
	ctx     context.Context

	mu        sync.Mutex
	processes []*process
	published map[string]func() map[string]any
}

func newFleet(record *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "laburnumgw-review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		record: record, trouble: trouble, dir: dir, store: hosted.NewStore(), origin: &hosted.Origin{Model: model, Newest: 1}, ctx: ctx, cancel: cancel,
		published: make(map[string]func() map[string]any),
	}
	for range 50 {
		f.network = 2 + rand.IntN(250)
		if err = f.serve(f.ip(4, 0), storePort, f.store); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	return f, f.serve(f.ip(4, 1), storePort, f.origin)
}

// ip returns a loopback address of this run.
func (f *fleet) ip(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, class, i+1) }

func (f *fleet) serve(ip string, port int, handler http.Handler) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with the program
	return nil
}

// route is one route of the configuration.
type route struct {
	path, kind, service string
	timeoutMs, aimMs    int
	attempts            int
	resumable           bool
}

// publishConfig writes a configuration with the limits of the small sites.
func (f *fleet) publishConfig(routes []route, slots int) {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r" + strings.ReplaceAll(r.path, "/", "-"), "host": modelHost, "path_prefix": r.path, "kind": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": r.aimMs, "priority": 1, "service": r.service, "attempts": r.attempts, "public": false, "sticky": r.kind == "streaming",
			"resumable": r.resumable, "gap_target_ms": 300, "home_regions": []string{},
		})
	}
	f.store.Put("config", "main", map[string]any{
		"version": 1, "routes": list,
		"services": []any{
			map[string]any{"name": modelSvc, "health_path": "/health", "connection_limit": 224, "cold_start_s": 3.0, "cold_per_s": 26.0, "engine": map[string]any{
				"slots": slots, "kv_cache_tokens": 1640000, "stride": 6, "models": []any{map[string]any{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}},
				"step_ms": 6.73, "per_seq_ms": 0.0219, "read_per_s": 30600.0, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 964, "answer": 119},
				"layers": layers, "layer_mb": 4540.0, "chunks": chunks, "chunk_bytes": chunkBytes,
			}},
			map[string]any{"name": plainSvc, "health_path": "/health", "connection_limit": 110},
			map[string]any{"name": originSvc, "origin": fmt.Sprintf("%s:%d", f.ip(4, 1), storePort), "zone": "a", "link_mbps": 15.0, "connection_limit": 48},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1}},
	})
}

// nameVersion names new weights.
func (f *fleet) nameVersion(version int) {
	f.origin.SetNewest(version)
	f.store.Put("versions", modelName, map[string]any{"model": modelName, "version": version})
	f.record.write("version %d is named", version)
}

// heartbeat writes the entry of a worker to the store at once and then each heartbeat, unless there is none then.
func (f *fleet) heartbeat(id string, entry func() map[string]any) {
	f.mu.Lock()
	f.published[id] = entry
	f.mu.Unlock()
	f.store.Put("servers", id, entry())
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-f.ctx.Done():
				return
			case <-ticker.C:
			}
			f.mu.Lock()
			current := f.published[id]
			f.mu.Unlock()
			if current == nil {
				return
			}
			if value := current(); value != nil {
				f.store.Put("servers", id, value)
			}
		}
	}()
}

// process is a process of the project.
type process struct {
	name     string
	command  *exec.Cmd
	exited   chan struct{}
	settings string
	role     string
	ip       string
}

func (f *fleet) settings(name, class, ip, zone string, memory int, link float64, rest string) string {
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
ip_address = %q
zone = %q
region = "r1"
internal_ports = [8300,8315]
seeds = ["%s:%d","%s:%d"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
%s
[limits]
cpu_share = 0.4
memory_mb = %d
file_descriptors = 4200
link_mbps = %.1f
[bounds]
seed_lag_s = 3
reuse_after_s = 2
settle_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
configuration_apply_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 104
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
version_ms = 8000
[platform]
address = "%s:%d"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, name, class, class, ip, zone, f.ip(1, 0), controlPort, f.ip(1, 1), controlPort, heartbeat.Milliseconds(), rest, memory, link, f.ip(4, 0), storePort)
}

const zoneTable = "[zones]\na = \"r1\"\nb = \"r1\"\nc = \"r1\"\n"

// startEntry starts an entry.
func (f *fleet) startEntry(i int, zone string) (*process, error) {
	ip := f.ip(1, i)
	rest := fmt.Sprintf("serves = [\"frontend\",\"control\"]\n%s[listen]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol_plane = \"%s:%d\"\n", zoneTable, ip, frontendPort, ip, readinessPort, ip, controlPort)
	name := fmt.Sprintf("front-%d", i)
	return f.start(name, "hosted-entry", ip, f.settings(name, "frontend", ip, zone, entryMemory, 1000, rest))
}

// startEndpoint starts an endpoint process beside a model worker.
func (f *fleet) startEndpoint(i int, zone, worker string) (*process, error) {
	ip := f.ip(2, i)
	rest := fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = %q\n%s[listen]\n", worker, modelSvc, zoneTable)
	name := fmt.Sprintf("side-%d", i)
	return f.start(name, "hosted-endpoint", ip, f.settings(name, "side", ip, zone, sideMemory, 9.4, rest))
}

func (f *fleet) start(name, role, ip, settings string) (*process, error) {
	p := &process{name: name, role: role, ip: ip, settings: filepath.Join(f.dir, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, f.run(p)
}

// starts are executed on one thread that never ends, because a process ends with the thread that has started it.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// startCommand starts a process that ends with this one.
func startCommand(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	starts <- func() { done <- command.Start() }
	return <-done
}

// run starts a process with the command of the deploy file.
func (f *fleet) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("target/laburnumgw", p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMGW_BOOT=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err := startCommand(p.command); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the exit code is not used
		close(exited)
	}(p.command, p.exited)
	return nil
}

// frontend returns the address at which callers connect.
func (p *process) frontend() string { return fmt.Sprintf("%s:%d", p.ip, frontendPort) }

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stop ends all processes. The logs stay in the folder of the run if the environment asks for it.
func (f *fleet) stop() {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill() // it fails only when the process has ended
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs:", f.dir)
}

var errNotReady = errors.New("processes are not ready in time")

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, p := range f.processes {
			if p.role != "hosted-entry" {
				continue
			}
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.ip, readinessPort))
			if err != nil {
				ready = false
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return errNotReady
}
