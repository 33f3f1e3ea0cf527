// Package fleet runs laburnumgw processes and stand-ins on one machine, for the
// demonstration, the capacity benchmark and the end-to-end tests. It is not part of the system.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumgw/lib/mtls"
)

const (
	// stopTimeout is how long a process may take for its graceful stop before it is killed.
	stopTimeout = 20 * time.Second
	// keyLifetime is the validity period of the certificates of a fleet.
	keyLifetime = 24 * time.Hour
)

// Zone is an availability zone of the fleet.
type Zone struct {
	Name   string
	Region string
}

// Options configure a fleet.
type Options struct {
	// Bin is the directory of the program binaries.
	Bin string
	// Dir is the directory for keys and logs.
	Dir     string
	Zones   []Zone
	Entries int
	// Models is the number of model endpoints, assigned to the zones round-robin.
	Models int
	// Services is the number of booking endpoints, assigned to the zones round-robin.
	Services        int
	Model           string
	Service         string
	TokenDelay      time.Duration
	ServiceDelay    time.Duration
	WeightsMemoryMB int
	OriginBytes     float64
	LogLevel        string
	// EntryArgs are further arguments of the entries.
	EntryArgs []string
	// Descriptors is the limit on open descriptors of the entries and endpoint processes; none when it is zero.
	Descriptors int
}

// Process is one program of a fleet.
type Process struct {
	Name    string
	Zone    string
	Address string
	HTTP    string
	Metrics string
	// Weights is the address on which the engine of a model endpoint reads weights.
	Weights string
	args    []string
	bin     string
	log     string
	// descriptors is the limit on open descriptors, zero for none.
	descriptors int

	command *exec.Cmd
	done    chan error
}

// Fleet is a set of running processes.
type Fleet struct {
	options Options
	keys    *mtls.Authority
	seeds   []string

	Platform *Process
	Origin   *Process
	Entries  []*Process
	Engines  []*Process
	Backends []*Process
	// Endpoints are the endpoint processes; model endpoints come first.
	Endpoints []*Process
}

// FreeAddress returns a loopback address whose port is currently free.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// freeAddresses returns n different loopback addresses. It keeps all ports open until the last
// is found, so that none is returned twice.
func freeAddresses(n int) ([]string, error) {
	list := make([]string, n)
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for i := range list {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		listeners = append(listeners, listener)
		list[i] = listener.Addr().String()
	}
	return list, nil
}

// Start creates keys and starts all processes of a fleet.
func Start(options Options) (*Fleet, error) {
	keys, err := mtls.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	if err := keys.Save(options.Dir); err != nil {
		return nil, err
	}
	f := &Fleet{options: options, keys: keys}
	if err := f.startAll(); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	o := f.options
	free, err := freeAddresses(2 + 3*o.Entries + 4*o.Models + 3*o.Services)
	if err != nil {
		return err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	if f.Platform, err = f.standin("platform", next()); err != nil {
		return err
	}
	if f.Origin, err = f.standin("origin", next(), fmt.Sprintf("--bytes-per-second=%g", o.OriginBytes)); err != nil {
		return err
	}
	if err := f.startEntries(next); err != nil {
		return err
	}
	if err := f.startModels(next); err != nil {
		return err
	}
	return f.startServices(next)
}

func (f *Fleet) startEntries(next func() string) error {
	listen := make([]string, f.options.Entries)
	for i := range listen {
		listen[i] = next()
	}
	for i := range listen {
		zone := f.options.Zones[i%len(f.options.Zones)]
		f.seeds = append(f.seeds, fmt.Sprintf("%s@%s/%s=%s", entryName(zone, i/len(f.options.Zones)+1), zone.Region, zone.Name, listen[i]))
	}
	for i := range listen {
		zone := f.options.Zones[i%len(f.options.Zones)]
		name := entryName(zone, i/len(f.options.Zones)+1)
		p, err := f.NewProcess(name, zone, mtls.RoleEntry, listen[i])
		if err != nil {
			return err
		}
		p.HTTP = "http://" + next()
		metrics := next()
		p.Metrics = "http://" + metrics + "/metrics"
		p.args = append(p.args, "--http-listen="+strings.TrimPrefix(p.HTTP, "http://"), "--metrics-listen="+metrics, "--detail-every=1")
		p.args = append(p.args, f.options.EntryArgs...)
		if err := p.Start(); err != nil {
			return err
		}
		f.Entries = append(f.Entries, p)
	}
	return nil
}

func entryName(zone Zone, number int) string { return fmt.Sprintf("entry-%s-%d", zone.Name, number) }

func (f *Fleet) startModels(next func() string) error {
	o := f.options
	for i := range o.Models {
		zone := o.Zones[i%len(o.Zones)]
		name := fmt.Sprintf("model-%s-%d", zone.Name, i/len(o.Zones)+1)
		engine, err := f.standin("engine", next(), "--token-delay="+o.TokenDelay.String())
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine)
		p, err := f.NewProcess(name, zone, mtls.RoleEndpoint, next())
		if err != nil {
			return err
		}
		metrics := next()
		p.Metrics, p.Weights = "http://"+metrics+"/metrics", next()
		p.args = append(p.args, "--metrics-listen="+metrics,
			"--engine="+engine.HTTP, "--model="+o.Model, "--origin="+f.Origin.HTTP, "--home-region="+o.Zones[0].Region, "--weights-listen="+p.Weights,
			fmt.Sprintf("--weights-memory-mb=%d", o.WeightsMemoryMB))
		if err := p.Start(); err != nil {
			return err
		}
		f.Endpoints = append(f.Endpoints, p)
	}
	return nil
}

func (f *Fleet) startServices(next func() string) error {
	o := f.options
	for i := range o.Services {
		zone := o.Zones[i%len(o.Zones)]
		name := fmt.Sprintf("service-%s-%d", zone.Name, i/len(o.Zones)+1)
		backend, err := f.standin("service", next(), "--delay="+o.ServiceDelay.String())
		if err != nil {
			return err
		}
		f.Backends = append(f.Backends, backend)
		p, err := f.NewProcess(name, zone, mtls.RoleEndpoint, next())
		if err != nil {
			return err
		}
		metrics := next()
		p.Metrics = "http://" + metrics + "/metrics"
		p.args = append(p.args, "--service="+o.Service, "--service-url="+backend.HTTP, "--metrics-listen="+metrics)
		if err := p.Start(); err != nil {
			return err
		}
		f.Endpoints = append(f.Endpoints, p)
	}
	return nil
}

func (f *Fleet) standin(kind, address string, args ...string) (*Process, error) {
	p := &Process{
		Name: kind + "-" + address[strings.LastIndex(address, ":")+1:], Address: address, HTTP: "http://" + address,
		bin:  filepath.Join(f.options.Bin, "laburnumstandin"),
		args: append([]string{kind, "--listen=" + address}, args...),
	}
	p.log = filepath.Join(f.options.Dir, p.Name+".log")
	return p, p.Start()
}

// NewProcess prepares a laburnumgw process with a role and issues its certificate. It does not
// start the process.
func (f *Fleet) NewProcess(name string, zone Zone, role mtls.Role, address string) (*Process, error) {
	pair, err := f.keys.Issue(mtls.Identity{Role: role, Zone: zone.Name, VM: name}, time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	if err := pair.Save(f.options.Dir, name); err != nil {
		return nil, err
	}
	level := f.options.LogLevel
	if level == "" {
		level = "info"
	}
	args := []string{
		string(role), "--vm=" + name, "--zone=" + zone.Name, "--region=" + zone.Region, "--listen=" + address,
		"--platform=" + f.Platform.HTTP, "--log-level=" + level,
	}
	args = append(args, f.keyArgs(name)...)
	for _, seed := range f.seeds {
		args = append(args, "--seed="+seed)
	}
	return &Process{
		Name: name, Zone: zone.Name, Address: address, args: args,
		bin: filepath.Join(f.options.Bin, "laburnumgw"), descriptors: f.options.Descriptors,
		log: filepath.Join(f.options.Dir, name+".log"),
	}, nil
}

func (f *Fleet) keyArgs(name string) []string {
	return []string{
		"--tls-cert=" + filepath.Join(f.options.Dir, name+".crt"),
		"--tls-key=" + filepath.Join(f.options.Dir, name+".key"),
		"--tls-ca=" + filepath.Join(f.options.Dir, mtls.AuthorityCertFile),
	}
}

// operator is the VM name in the operator's certificate and the base name of its key files.
const operator = "operator"

// CtlEnvironment returns the environment variables that let laburnumctl reach the fleet.
func (f *Fleet) CtlEnvironment() []string {
	var metrics []string
	for _, entry := range f.Entries {
		metrics = append(metrics, entry.Metrics)
	}
	return []string{
		"LABURNUMCTL_PLATFORM=" + f.Platform.HTTP,
		"LABURNUMCTL_ORIGIN=" + f.Origin.HTTP,
		"LABURNUMCTL_ENTRY=" + f.Entries[0].Address,
		"LABURNUMCTL_METRICS=" + strings.Join(metrics, ","),
		"LABURNUMCTL_TLS_CERT=" + filepath.Join(f.options.Dir, operator+".crt"),
		"LABURNUMCTL_TLS_KEY=" + filepath.Join(f.options.Dir, operator+".key"),
		"LABURNUMCTL_TLS_CA=" + filepath.Join(f.options.Dir, mtls.AuthorityCertFile),
	}
}

// Ctl runs laburnumctl as an operator and writes its output to out.
func (f *Fleet) Ctl(ctx context.Context, out io.Writer, args ...string) error {
	if _, err := os.Stat(filepath.Join(f.options.Dir, operator+".crt")); err != nil {
		pair, err := f.keys.Issue(mtls.Identity{Role: mtls.RoleOperator, Zone: "operators", VM: operator}, time.Now(), keyLifetime)
		if err != nil {
			return err
		}
		if err := pair.Save(f.options.Dir, operator); err != nil {
			return err
		}
	}
	command := exec.CommandContext(ctx, filepath.Join(f.options.Bin, "laburnumctl"), args...)
	command.Stdout = out
	command.Stderr = out
	command.Env = append(os.Environ(), f.CtlEnvironment()...)
	if err := command.Run(); err != nil {
		return fmt.Errorf("laburnumctl %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

// Start starts the program and appends its output to the log.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer file.Close()
	p.command = exec.Command(p.bin, p.args...)
	if p.descriptors > 0 {
		limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors), p.bin}, p.args...)
		p.command = exec.Command("sh", limited...)
	}
	p.command.Stdout = file
	p.command.Stderr = file
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan error, 1)
	go func(command *exec.Cmd, done chan error) { done <- command.Wait() }(p.command, p.done)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill kills the process, as when its VM fails, and waits for its exit.
func (p *Process) Kill() error {
	if err := p.command.Process.Kill(); err != nil {
		return fmt.Errorf("kill %s: %w", p.Name, err)
	}
	err := <-p.done
	p.done <- err
	return nil
}

// Terminate asks the process to stop and waits for its exit. It kills the process after
// stopTimeout.
func (p *Process) Terminate() error {
	if p.command == nil || p.command.Process == nil {
		return nil
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

// AddArgs appends command-line arguments. They take effect at the next start.
func (p *Process) AddArgs(args ...string) { p.args = append(p.args, args...) }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Log returns the path of the process's log.
func (p *Process) Log() string { return p.log }

// Stop stops all processes: the system first, then the stand-ins.
func (f *Fleet) Stop() error {
	system := append(append([]*Process{}, f.Entries...), f.Endpoints...)
	err := stopAll(system)
	var standins []*Process
	for _, p := range append(append([]*Process{f.Origin, f.Platform}, f.Engines...), f.Backends...) {
		if p != nil {
			standins = append(standins, p)
		}
	}
	return errors.Join(err, stopAll(standins))
}

func stopAll(processes []*Process) error {
	failures := make([]error, len(processes))
	var wait sync.WaitGroup
	for i, p := range processes {
		wait.Go(func() { failures[i] = p.Terminate() })
	}
	wait.Wait()
	return errors.Join(failures...)
}
