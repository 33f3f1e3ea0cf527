package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"laburnumgw/fleet"
)

const (
	applyEntries   = 6
	applyEndpoints = 12
	applyCount     = 5
)

// applyTime measures the time from the start of an apply until its configuration is in
// force on all processes of a small fleet.
func (b *bench) applyTime(ctx context.Context) error {
	const name = "apply"
	f, err := b.startFleet(ctx, name, fleet.Options{Entries: applyEntries, Services: applyEndpoints})
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "apply: %d entries and %d endpoint processes, all real\n", applyEntries, applyEndpoints)
	if err := b.applyConfiguration(ctx, f, name, 1, false); err != nil {
		return err
	}
	processes := append(append([]*fleet.Process{}, f.Entries...), f.Endpoints...)
	if _, err := awaitGeneration(ctx, processes, 1); err != nil {
		return err
	}
	if err := sleep(ctx, b.Warm); err != nil {
		return err
	}
	idle, err := callRate(ctx, f, b.Short)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "  idle: %.1f platform calls/s, waiting watches left out\n", total(idle))
	before, err := platformCalls(ctx, f)
	if err != nil {
		return err
	}
	changesStarted := time.Now()
	for i := range applyCount {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		started := time.Now()
		if err := b.applyConfiguration(ctx, f, name, i+2, false); err != nil {
			return err
		}
		returned := time.Now()
		last, err := awaitGeneration(ctx, processes, uint64(i)+2)
		if err != nil {
			return err
		}
		fmt.Fprintf(b.out, "  in force everywhere %s after the command started (%s after it returned; the command took %s)\n",
			last.Sub(started).Round(time.Millisecond), last.Sub(returned).Round(time.Millisecond), returned.Sub(started).Round(time.Millisecond))
	}
	after, err := platformCalls(ctx, f)
	if err != nil {
		return err
	}
	seconds := time.Since(changesStarted).Seconds()
	for kind := range after {
		after[kind] = (after[kind] - before[kind] - idle[kind]*seconds) / applyCount
	}
	fmt.Fprintf(b.out, "  %.1f platform calls for each apply, idle calls taken off:", total(after))
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		fmt.Fprintf(b.out, " %s %.1f", kind, after[kind])
	}
	fmt.Fprintln(b.out)
	return nil
}

// awaitGeneration returns the time at which the last process put a generation in force,
// as the processes' logs state it. All processes read the same clock.
func awaitGeneration(ctx context.Context, processes []*fleet.Process, generation uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last time.Time
	err := fleet.Until(ctx, fmt.Sprintf("generation %d is in force", generation), func() bool {
		last = time.Time{}
		for _, p := range processes {
			at, ok := inForceAt(p.Log(), generation)
			if !ok {
				return false
			}
			if at.After(last) {
				last = at
			}
		}
		return true
	})
	return last, err
}

// inForceAt returns the time of the first log line that reports a generation in force.
func inForceAt(path string, generation uint64) (time.Time, bool) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return time.Time{}, false
	}
	for line := range bytes.Lines(raw) {
		var entry struct {
			At         time.Time `json:"ts"`
			Message    string    `json:"msg"`
			Generation uint64    `json:"generation"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Message == "configuration in force" && entry.Generation == generation {
			return entry.At, true
		}
	}
	return time.Time{}, false
}
