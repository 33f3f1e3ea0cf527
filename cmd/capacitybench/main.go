// Command capacitybench measures the processor time, memory and bytes that real
// laburnumgw processes need, and fits slopes to them. Its figures depend on the
// machine and belong in docs/CAPACITY.md, not in checks.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgw/fleet"
)

type options struct {
	Bin     string        `long:"bin" default:"bin" description:"directory of the programs"`
	Parts   []string      `long:"part" description:"baseline, entry, peers, endpoint, requests, streams, memory, idle or apply; repeat for several, all when missing"`
	Warm    time.Duration `long:"warm" default:"10s" description:"warm-up before each measurement"`
	Period  time.Duration `long:"period" default:"20s" description:"length of the measurement of an entry"`
	Short   time.Duration `long:"short" default:"10s" description:"length of the other measurements"`
	Level   string        `long:"log-level" default:"info" description:"log level of the measured processes"`
	Timeout time.Duration `long:"timeout" default:"6m" description:"time after which the bench gives up"`
}

// bench runs the parts in one working directory.
type bench struct {
	options
	out io.Writer
	dir string
}

const (
	model   = "rota"
	service = "bookings"
)

var zones = []fleet.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacitybench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "capacitybench-")
	if err != nil {
		return fmt.Errorf("create working directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{options: o, out: os.Stdout, dir: dir}
	// The parts of one group run at the same time; grouped parts use little processor time.
	groups := [][]part{
		{{"baseline", (*bench).baseline}},
		{{"entry", (*bench).entryCost}},
		{{"peers", (*bench).peerCost}, {"endpoint", (*bench).endpointCost}, {"idle", (*bench).idleCalls}, {"apply", (*bench).applyTime}},
		{{"requests", (*bench).requestCost}},
		{{"streams", (*bench).streamCost}},
		{{"memory", (*bench).memoryUse}},
	}
	for _, group := range groups {
		if err := b.runGroup(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// part is one measurement.
type part struct {
	name string
	run  func(*bench, context.Context) error
}

// runGroup runs the selected parts of a group concurrently and prints their results in
// order.
func (b *bench) runGroup(ctx context.Context, parts []part) error {
	failures := make([]error, len(parts))
	outputs := make([]bytes.Buffer, len(parts))
	var wait sync.WaitGroup
	for i, p := range parts {
		if len(b.Parts) > 0 && !slices.Contains(b.Parts, p.name) {
			continue
		}
		partBench := &bench{options: b.options, out: &outputs[i], dir: b.dir}
		wait.Go(func() {
			started := time.Now()
			if err := p.run(partBench, ctx); err != nil {
				failures[i] = fmt.Errorf("part %s: %w", p.name, err)
			}
			fmt.Fprintf(partBench.out, "  run time %s\n\n", time.Since(started).Round(time.Second))
		})
	}
	wait.Wait()
	for i := range outputs {
		if _, err := outputs[i].WriteTo(b.out); err != nil {
			return fmt.Errorf("print results: %w", err)
		}
	}
	return errors.Join(failures...)
}

// startFleet starts a fleet and waits until its platform responds.
func (b *bench) startFleet(ctx context.Context, name string, o fleet.Options) (*fleet.Fleet, error) {
	o.Bin = b.Bin
	o.Dir = filepath.Join(b.dir, name)
	o.Zones = zones
	o.LogLevel = b.Level
	o.Model = model
	o.Service = service
	o.OriginBytes = 500e6
	o.WeightsMemoryMB = 64
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f, err := fleet.Start(o)
	if err != nil {
		return nil, err
	}
	var calls map[string]int64
	return f, fleet.Until(ctx, "platform responds", func() bool {
		return fleet.GetJSON(ctx, f.Platform.HTTP+"/admin/calls", &calls) == nil
	})
}

// applyConfiguration writes a configuration folder and applies it.
func (b *bench) applyConfiguration(ctx context.Context, f *fleet.Fleet, name string, weight int, models bool) error {
	dir := filepath.Join(b.dir, name, "config")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	files := map[string]string{
		"10-zones.yaml":      "zones:\n  a: {region: north}\n  b: {region: north}\n  c: {region: south}\n",
		"20-workspaces.yaml": fmt.Sprintf("workspaces:\n  demo: {weight: %d}\n", weight),
		"40-services.yaml":   "services:\n  bookings: {path: /bookings, idempotent: [GET]}\n",
		"50-limits.yaml":     "limits: {cold_in_flight: 4, warm_in_flight: 32, ramp: 1s}\n",
	}
	if models {
		files["30-models.yaml"] = "models:\n  rota: {version: v1, all: true}\n"
	}
	for file, content := range files {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
	}
	return f.Ctl(ctx, io.Discard, "config", "apply", dir)
}

// sleep waits unless the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
