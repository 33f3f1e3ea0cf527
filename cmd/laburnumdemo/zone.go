package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgw/fleet"
)

const (
	// settleTime bounds the time from taking a zone out of service until its endpoints get
	// no new request.
	settleTime = 3 * time.Second
	// observationTime is how long the requests that a zone completes are counted, both while
	// it is out of service and after it is back.
	observationTime = 3 * time.Second
	callers         = 8
)

// changeZone takes zone c out of service and back while callers send requests.
func (d *demo) changeZone(ctx context.Context) error {
	recordFile := filepath.Join(d.dir, "run.jsonl")
	recording := make(chan error, 1)
	recordCtx, stopRecording := context.WithTimeout(ctx, time.Minute)
	defer stopRecording()
	go func() {
		recording <- d.Ctl(recordCtx, d.out, "record", "--file", recordFile, "--interval", "500ms", "--duration", "14s")
	}()
	stopLoad := d.startLoad(ctx)
	if err := d.ctl(ctx, "zone", "out", "c"); err != nil {
		return err
	}
	pause(ctx, settleTime)
	before, err := d.completedIn(ctx, "c")
	if err != nil {
		return err
	}
	pause(ctx, observationTime)
	after, err := d.completedIn(ctx, "c")
	if err != nil {
		return err
	}
	d.printf("zone c: %d requests ended between %s and %s after it was taken out", after-before, settleTime, settleTime+observationTime)
	if err := d.ctl(ctx, "zone", "in", "c"); err != nil {
		return err
	}
	pause(ctx, observationTime)
	atEnd, err := d.completedIn(ctx, "c")
	if err != nil {
		return err
	}
	total, failed := stopLoad()
	d.printf("zone c serves again: %d requests since; callers sent %d requests during the change, %d failed", atEnd-after, total, failed)
	if err := <-recording; err != nil {
		return err
	}
	if failed > 0 || atEnd == after {
		return fmt.Errorf("%d requests failed during the zone change, zone c served %d after it", failed, atEnd-after)
	}
	return d.ctl(ctx, "report", recordFile, "--out", filepath.Join(d.dir, "report"))
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// startLoad sends chats until the returned function is called, which returns the number of
// chats sent and failed.
func (d *demo) startLoad(ctx context.Context) func() (total, failed int64) {
	ctx, cancel := context.WithCancel(ctx)
	var total, failed atomic.Int64
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				entry := d.Entries[(caller+i)%len(d.Entries)]
				response, err := fleet.Chat(context.WithoutCancel(ctx), entry, model, fmt.Sprintf("caller %d question %d", caller, i), 8)
				total.Add(1)
				if err != nil || !response.Done {
					failed.Add(1)
				}
			}
		})
	}
	return func() (int64, int64) {
		cancel()
		wait.Wait()
		return total.Load(), failed.Load()
	}
}

// completedIn returns the number of requests that the engines of a zone have completed.
func (d *demo) completedIn(ctx context.Context, zone string) (int64, error) {
	var sum int64
	for i, engine := range d.Engines {
		if d.Endpoints[i].Zone != zone {
			continue
		}
		var status struct {
			Completed int64 `json:"completed"`
		}
		if err := fleet.GetJSON(ctx, engine.HTTP+"/v1/status", &status); err != nil {
			return 0, err
		}
		sum += status.Completed
	}
	return sum, nil
}

// writeConfiguration writes the demonstration's configuration folder and returns its path.
func (d *demo) writeConfiguration() (string, error) {
	dir := filepath.Join(d.dir, "config")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("create configuration folder: %w", err)
	}
	for name, content := range map[string]string{
		"10-zones.yaml":      "zones:\n  a: {region: north}\n  b: {region: north}\n  c: {region: south}\n",
		"20-workspaces.yaml": "workspaces:\n  demo: {weight: 2}\n",
		"30-models.yaml":     "models:\n  rota: {version: v1, all: true}\n",
		"40-services.yaml":   "services:\n  bookings: {path: /bookings}\n",
		"50-limits.yaml":     "limits: {cold_in_flight: 4, warm_in_flight: 32, ramp: 1s}\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
			return "", fmt.Errorf("write configuration: %w", err)
		}
	}
	return dir, nil
}

// writeRandomFile writes pseudo-random bytes from a fixed seed: each run writes the same
// file, and no part of it repeats.
func writeRandomFile(path string, size int64) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create model: %w", err)
	}
	defer file.Close()
	source := rand.NewChaCha8([32]byte{1})
	writer := bufio.NewWriterSize(file, 1<<20)
	block := make([]byte, 1<<20)
	for left := size; left > 0; left -= int64(len(block)) {
		_, _ = source.Read(block)
		if _, err := writer.Write(block[:min(int64(len(block)), left)]); err != nil {
			return fmt.Errorf("write model: %w", err)
		}
	}
	return writer.Flush()
}
