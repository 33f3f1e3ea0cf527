package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumgw/fleet"
)

// idleCalls counts the platform calls of idle fleets that differ in the number of
// endpoint processes of one plain service with four journal shards.
func (b *bench) idleCalls(ctx context.Context) error {
	sizes := []float64{1, 4, 12}
	counts := make([]map[string]float64, len(sizes))
	failures := make([]error, len(sizes))
	var wait sync.WaitGroup
	for i, size := range sizes {
		wait.Go(func() { counts[i], failures[i] = b.idleCallsWith(ctx, int(size)) })
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	fmt.Fprintln(b.out, "idle: platform calls/s of one entry and the endpoint processes of one plain service, no requests")
	var totals []float64
	for i, size := range sizes {
		fmt.Fprintf(b.out, "%12.0f", size)
		for _, kind := range slices.Sorted(maps.Keys(counts[i])) {
			fmt.Fprintf(b.out, "  %s %.1f", kind, counts[i][kind])
		}
		fmt.Fprintf(b.out, "  total %.1f\n", total(counts[i]))
		totals = append(totals, total(counts[i]))
	}
	slope, intercept := fit(sizes, totals)
	fmt.Fprintf(b.out, "  %.2f calls/s per endpoint process, intercept %.2f\n", slope, intercept)
	return nil
}

func (b *bench) idleCallsWith(ctx context.Context, services int) (map[string]float64, error) {
	name := fmt.Sprintf("idle-%d", services)
	f, err := b.startFleet(ctx, name, fleet.Options{Entries: 1, Services: services})
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return nil, err
	}
	if err := b.applyConfiguration(ctx, f, name, 1, false); err != nil {
		return nil, err
	}
	processes := append(append([]*fleet.Process{}, f.Entries...), f.Endpoints...)
	if _, err := awaitGeneration(ctx, processes, 1); err != nil {
		return nil, err
	}
	if err := sleep(ctx, b.Warm); err != nil {
		return nil, err
	}
	return callRate(ctx, f, b.Short)
}

// callRate measures the platform calls per second by kind.
func callRate(ctx context.Context, f *fleet.Fleet, period time.Duration) (map[string]float64, error) {
	before, err := platformCalls(ctx, f)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := sleep(ctx, period); err != nil {
		return nil, err
	}
	after, err := platformCalls(ctx, f)
	for kind := range after {
		after[kind] = (after[kind] - before[kind]) / time.Since(started).Seconds()
	}
	return after, err
}

func total(calls map[string]float64) float64 {
	sum := 0.0
	for _, count := range calls {
		sum += count
	}
	return sum
}

func platformCalls(ctx context.Context, f *fleet.Fleet) (map[string]float64, error) {
	calls := make(map[string]float64)
	err := fleet.GetJSON(ctx, f.Platform.HTTP+"/admin/calls", &calls)
	return calls, err
}
