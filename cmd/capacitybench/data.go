package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgw/fleet"
)

// maxConcurrent bounds the requests in flight.
const maxConcurrent = 64

// processorTimes holds the processor times of an entry and an endpoint process.
type processorTimes struct {
	entry    time.Duration
	endpoint time.Duration
}

func readProcessorTimes(entry, endpoint *fleet.Process) (processorTimes, error) {
	a, err := processorTime(entry.PID())
	if err != nil {
		return processorTimes{}, err
	}
	b, err := processorTime(endpoint.PID())
	return processorTimes{a, b}, err
}

// startDataFleet starts a fleet with one entry, publishes and configures what it serves,
// and waits until the entry is ready.
func (b *bench) startDataFleet(ctx context.Context, name string, o fleet.Options) (*fleet.Fleet, error) {
	o.Entries = 1
	f, err := b.startFleet(ctx, name, o)
	if err != nil {
		return f, err
	}
	if o.Models > 0 {
		weights := filepath.Join(b.dir, name, "weights.bin")
		if err := os.WriteFile(weights, make([]byte, 1<<20), 0o600); err != nil {
			return f, fmt.Errorf("write weights: %w", err)
		}
		if err := f.Ctl(ctx, io.Discard, "model", "publish", model, "v1", weights); err != nil {
			return f, err
		}
	}
	if err := b.applyConfiguration(ctx, f, name, 1, o.Models > 0); err != nil {
		return f, err
	}
	return f, awaitEntry(ctx, f.Entries[0])
}

// requestCost measures idempotent requests to a plain service at fixed rates.
func (b *bench) requestCost(ctx context.Context) error {
	f, err := b.startDataFleet(ctx, "requests", fleet.Options{Services: 1, ServiceDelay: time.Millisecond})
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return err
	}
	url := f.Entries[0].HTTP + "/bookings/1"
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrent}, Timeout: 5 * time.Second}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.Until(ready, "service responds", func() bool { return get(ready, client, url) == nil }); err != nil {
		return err
	}
	fmt.Fprintln(b.out, "requests: one real entry and endpoint process, idempotent GET, info log")
	fmt.Fprintf(b.out, "%12s %9s %9s %14s %14s\n", "rate/s", "answered", "failed", "entry % core", "endpoint % core")
	var rates, entry, endpoint []float64
	for _, rate := range []int{0, 50, 200, 500} {
		answered, failed, used, seconds, err := b.requestsAtRate(ctx, f, client, url, rate)
		if err != nil {
			return err
		}
		rates = append(rates, float64(answered)/seconds)
		entry = append(entry, 100*used.entry.Seconds()/seconds)
		endpoint = append(endpoint, 100*used.endpoint.Seconds()/seconds)
		fmt.Fprintf(b.out, "%12d %9d %9d %14.2f %14.2f\n", rate, answered, failed, entry[len(entry)-1], endpoint[len(endpoint)-1])
	}
	for name, y := range map[string][]float64{"entry": entry, "endpoint": endpoint} {
		slope, intercept := fit(rates, y)
		fmt.Fprintf(b.out, "  %s: %.1f us a request, idle %.2f%% of a core\n", name, slope*1e4, intercept)
	}
	info, err := os.Stat(f.Entries[0].Log())
	if err != nil {
		return fmt.Errorf("read log size: %w", err)
	}
	fmt.Fprintf(b.out, "  entry log %d bytes in total\n", info.Size())
	return nil
}

func (b *bench) requestsAtRate(ctx context.Context, f *fleet.Fleet, client *http.Client, url string, rate int) (int, int, processorTimes, float64, error) {
	before, err := readProcessorTimes(f.Entries[0], f.Endpoints[0])
	if err != nil {
		return 0, 0, processorTimes{}, 0, err
	}
	started := time.Now()
	var answered, failed atomic.Int64
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for i := range rate * int(b.Short.Seconds()) {
		if err := sleep(ctx, time.Until(started.Add(time.Duration(i)*time.Second/time.Duration(rate)))); err != nil {
			return 0, 0, processorTimes{}, 0, err
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if err := get(ctx, client, url); err != nil {
				if failed.Add(1) == 1 {
					fmt.Fprintf(os.Stderr, "first failed request: %v\n", err)
				}
				return
			}
			answered.Add(1)
		})
	}
	wait.Wait()
	if err := sleep(ctx, time.Until(started.Add(b.Short))); err != nil {
		return 0, 0, processorTimes{}, 0, err
	}
	after, err := readProcessorTimes(f.Entries[0], f.Endpoints[0])
	used := processorTimes{after.entry - before.entry, after.endpoint - before.endpoint}
	return int(answered.Load()), int(failed.Load()), used, time.Since(started).Seconds(), err
}

var errStatus = errors.New("unexpected status")

// get sends one request and returns an error unless the response is complete and its
// status is 200.
func get(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("X-Workspace", "demo")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %d: %s", errStatus, response.StatusCode, bytes.TrimSpace(body))
	}
	return nil
}

const (
	// streamWorkers stays below the engine's cold limit, so that no request is refused.
	streamWorkers = 3
	// streamRequests and streamTokens bound the requests and the tokens that one worker asks
	// for at each length.
	streamRequests = 50
	streamTokens   = 2400
)

// streamCost measures streams of several lengths; the slope is the cost of a token.
func (b *bench) streamCost(ctx context.Context) error {
	f, err := b.startDataFleet(ctx, "streams", fleet.Options{Models: 1, TokenDelay: 2 * time.Millisecond})
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err = fleet.Until(ready, "model responds", func() bool {
		response, err := fleet.Chat(ready, f.Entries[0], model, "warm up", 2)
		return err == nil && response.Done
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "streams: %d at once, a new connection each, idle time included\n", streamWorkers)
	fmt.Fprintf(b.out, "%12s %9s %9s %14s %14s\n", "tokens", "done", "failed", "entry us/req", "endpoint us/req")
	var lengths, entry, endpoint []float64
	for _, tokens := range []int{10, 100, 400} {
		done, failed, used, err := runStreams(ctx, f, tokens)
		if err != nil {
			return err
		}
		lengths = append(lengths, float64(tokens))
		entry = append(entry, float64(used.entry.Microseconds())/float64(done))
		endpoint = append(endpoint, float64(used.endpoint.Microseconds())/float64(done))
		fmt.Fprintf(b.out, "%12d %9d %9d %14.0f %14.0f\n", tokens, done, failed, entry[len(entry)-1], endpoint[len(endpoint)-1])
	}
	for name, y := range map[string][]float64{"entry": entry, "endpoint": endpoint} {
		slope, intercept := fit(lengths, y)
		fmt.Fprintf(b.out, "  %s: %.2f us a token, %.0f us a request\n", name, slope, intercept)
	}
	return nil
}

func runStreams(ctx context.Context, f *fleet.Fleet, tokens int) (int, int, processorTimes, error) {
	before, err := readProcessorTimes(f.Entries[0], f.Endpoints[0])
	if err != nil {
		return 0, 0, processorTimes{}, err
	}
	requests := min(streamRequests, streamTokens/tokens)
	var done, failed atomic.Int64
	var wait sync.WaitGroup
	for range streamWorkers {
		wait.Go(func() {
			for range requests {
				response, err := fleet.Chat(ctx, f.Entries[0], model, strings.Repeat("week ", 10), tokens)
				if err != nil || !response.Done {
					if failed.Add(1) == 1 {
						fmt.Fprintf(os.Stderr, "first failed stream: status %d, kind %q, error %v\n", response.Status, response.ErrorKind, err)
					}
					continue
				}
				done.Add(1)
			}
		})
	}
	wait.Wait()
	after, err := readProcessorTimes(f.Entries[0], f.Endpoints[0])
	return int(done.Load()), int(failed.Load()), processorTimes{after.entry - before.entry, after.endpoint - before.endpoint}, err
}
