package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"laburnumgw/soak"
	"laburnumgw/standin/hosted"
)

const (
	// memoryNetwork is the second byte of the loopback addresses of the first fleet.
	memoryNetwork = 96
	// memoryLimitMB is the memory limit of the entry, which nothing enforces here.
	memoryLimitMB = 284
	// memoryPlain is the number of workers of each of the two plain services.
	memoryPlain = 3
	readyLimit  = 20 * time.Second
)

// memoryLoads returns the loads under which the memory of an entry is measured.
func memoryLoads() []soak.MemoryLoad {
	loads := []soak.MemoryLoad{{Name: "small requests alone"}}
	for _, n := range []int{13, 22, 60, 150} {
		loads = append(loads, soak.MemoryLoad{Name: fmt.Sprintf("%d callers of 4 MiB", n), Uploads: n})
	}
	loads = append(loads, soak.MemoryLoad{Name: "150 callers of 4 MiB, chunked", Uploads: 150, Chunked: true})
	for _, kind := range []string{hosted.EndlessBody, hosted.EndlessChunks, hosted.EndlessFields, hosted.EndlessLine} {
		for _, n := range []int{1, 6, 18} {
			loads = append(loads, soak.MemoryLoad{Name: fmt.Sprintf("%d responses without end, %s", n, kind), Endless: n, EndlessKind: kind})
		}
	}
	for _, kind := range []string{hosted.EndlessInterim, hosted.EndlessTrailers, hosted.EndlessExtensions} {
		loads = append(loads, soak.MemoryLoad{Name: fmt.Sprintf("18 responses without end, %s", kind), Endless: 18, EndlessKind: kind})
	}
	return append(loads,
		soak.MemoryLoad{Name: "40 callers that do not read 4 MiB", SlowReaders: 40},
		soak.MemoryLoad{Name: "20 callers of 4 MiB, workers that hold two", Uploads: 20, WorkerBytes: 10 << 20},
		soak.MemoryLoad{Name: "all of it: 60, 40 and 18 bodies", Uploads: 60, SlowReaders: 40, Endless: 18, EndlessKind: hosted.EndlessBody},
	)
}

// memoryUse measures the highest memory of an entry on the users' platform under loads that want more than it has.
func (b *bench) memoryUse(ctx context.Context) error {
	fmt.Fprintf(b.out, "memory: highest resident memory of an entry with a limit of %d MB, %s each, small requests beside it\n", memoryLimitMB, b.Short)
	fmt.Fprintln(b.out, "| load | MB | small requests served | not served | slowest ms | large bodies served | refused | else |")
	fmt.Fprintln(b.out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, load := range memoryLoads() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := b.memoryUnder(load, i); err != nil {
			return fmt.Errorf("%s: %w", load.Name, err)
		}
	}
	return nil
}

func (b *bench) memoryUnder(load soak.MemoryLoad, number int) (err error) {
	dir := filepath.Join(b.dir, fmt.Sprintf("memory-%d", number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	f, err := soak.Start(soak.Options{
		Binary: filepath.Join(b.Bin, "laburnumgw"), Dir: dir, Network: memoryNetwork + number%8, Entries: 1, Plain: memoryPlain, Model: soak.SmallModel(), MemoryMB: memoryLimitMB,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.AwaitReady(readyLimit); err != nil {
		return err
	}
	r, err := f.MeasureMemory(load, b.Short)
	if err != nil {
		return err
	}
	uploads := 0
	for _, n := range r.Statuses {
		uploads += n
	}
	served, refused := r.Statuses[http.StatusOK], r.Statuses[http.StatusServiceUnavailable]
	fmt.Fprintf(b.out, "| %s | %.0f | %d | %d | %d | %d | %d | %d |\n", load.Name, r.PeakMB, r.Served, r.Failed, r.SlowestServed.Milliseconds(), served, refused, uploads-served-refused)
	return nil
}
