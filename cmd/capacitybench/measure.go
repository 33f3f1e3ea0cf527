package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ticksPerSecond is the number of clock ticks per second, in which Linux gives the
// processor times in /proc/PID/stat.
const ticksPerSecond = 100

// processorTime returns the user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				return 0, fmt.Errorf("parse resident memory: %w", err)
			}
			return kb / 1024, nil
		}
	}
	return 0, fmt.Errorf("process %d has no VmRSS line", pid)
}

// heapMB reads the heap in use from a process's metrics.
func heapMB(ctx context.Context, url string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read metrics: %w", err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if rest, ok := strings.CutPrefix(scanner.Text(), "go_memstats_heap_inuse_bytes "); ok {
			bytes, err := strconv.ParseFloat(rest, 64)
			if err != nil {
				return 0, fmt.Errorf("parse heap: %w", err)
			}
			return bytes / (1 << 20), nil
		}
	}
	return 0, fmt.Errorf("metrics at %s have no go_memstats_heap_inuse_bytes", url)
}

// meter counts bytes of connections as the measured process sees them. TLS and HTTP/2
// framing count; TCP and IP headers do not.
type meter struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn. Bytes that the bench reads are bytes that the measured process
// has sent.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.received.Add(int64(n))
	return n, err
}

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

// sample is the resource use of one process over a period: processor cores, resident and
// heap memory in MB, and bytes and calls per second.
type sample struct {
	cores    float64
	rss      float64
	heap     float64
	sent     float64
	received float64
	calls    float64
}

// measureProcess measures a process for a period. An empty metrics URL skips the heap.
func measureProcess(ctx context.Context, pid int, metrics string, m *meter, period time.Duration) (sample, error) {
	var s sample
	before, err := processorTime(pid)
	if err != nil {
		return s, err
	}
	started := time.Now()
	sent, received, calls := m.sent.Load(), m.received.Load(), m.calls.Load()
	if err := sleep(ctx, period); err != nil {
		return s, err
	}
	after, err := processorTime(pid)
	if err != nil {
		return s, err
	}
	seconds := time.Since(started).Seconds()
	s.cores = (after - before).Seconds() / seconds
	s.sent = float64(m.sent.Load()-sent) / seconds
	s.received = float64(m.received.Load()-received) / seconds
	s.calls = float64(m.calls.Load()-calls) / seconds
	if s.rss, err = residentMB(pid); err != nil {
		return s, err
	}
	if metrics != "" {
		s.heap, err = heapMB(ctx, metrics)
	}
	return s, err
}

// fit returns slope and intercept of the least-squares line through points.
func fit(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

const sampleHeader = "%12s %9s %9s %9s %10s %10s %10s\n"

// printSamples prints the samples and the least-squares lines through the first fitted of
// them, by size and by calls per second.
func (b *bench) printSamples(unit string, sizes []float64, samples []sample, fitted int) {
	fmt.Fprintf(b.out, sampleHeader, unit, "% core", "RSS MB", "heap MB", "sent B/s", "recv B/s", "calls/s")
	columns := make([][]float64, 5)
	var calls []float64
	for i, s := range samples {
		values := []float64{100 * s.cores, s.rss, s.heap, s.sent, s.received}
		fmt.Fprintf(b.out, "%12.0f %9.2f %9.1f %9.1f %10.0f %10.0f %10.1f\n", sizes[i], values[0], values[1], values[2], values[3], values[4], s.calls)
		if i >= fitted {
			continue
		}
		for column, value := range values {
			columns[column] = append(columns[column], value)
		}
		calls = append(calls, s.calls)
	}
	b.printFit("per "+unit, sizes[:fitted], columns)
	b.printFit("per call/s", calls, columns)
}

func (b *bench) printFit(name string, x []float64, columns [][]float64) {
	slopes := make([]any, len(columns))
	intercepts := make([]any, len(columns))
	for i, y := range columns {
		slopes[i], intercepts[i] = fit(x, y)
	}
	fmt.Fprintf(b.out, "%12s %9.4f %9.4f %9.4f %10.2f %10.2f\n", append([]any{name}, slopes...)...)
	fmt.Fprintf(b.out, "%12s %9.4f %9.4f %9.4f %10.2f %10.2f\n", append([]any{"intercept"}, intercepts...)...)
}
