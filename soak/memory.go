package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumgw/standin/hosted"
)

// MemoryLoad is what callers and workers do to the memory of an entry.
type MemoryLoad struct {
	Name string
	// Uploads is the number of callers that send one body of uploadBytes after another, Chunked without a length.
	Uploads int
	Chunked bool
	// SlowReaders is the number of callers that get a response of slowBytes each and do not read it.
	SlowReaders int
	// Endless is the number of requests at a time that get a response without end, of EndlessKind.
	Endless     int
	EndlessKind string
	// WorkerBytes is how much the requests of a worker may take before it crashes, and UnreadTime how long its responses may
	// stay unread; zero for no bounds.
	WorkerBytes int64
	UnreadTime  time.Duration
}

// MemoryResult is what an entry needed under a load, and how small requests were served beside it.
type MemoryResult struct {
	PeakMB float64
	// Small requests were served, or not.
	Served, Failed int64
	// Statuses counts the responses to uploads; 0 stands for none.
	Statuses map[int]int
	// SlowestServed is the longest time of a small request.
	SlowestServed time.Duration
	// WorkerCrashes counts the crashes of workers that held too much, and Unread the responses that they have cut off.
	WorkerCrashes, Unread int
}

const (
	// uploadBytes is the largest body that the configuration allows, and slowBytes a response that fills more than
	// the buffers of a connection.
	uploadBytes = 4 << 20
	slowBytes   = 4 << 20
	// uploadRate is what one caller sends in a second.
	uploadRate = 5 << 20
	uploadPart = 64 << 10
	// smallCallers is the number of callers that send small requests.
	smallCallers = 10
	smallPause   = 20 * time.Millisecond
	// MinSmallServed is the number of small requests that must be served under a load, and maxLoadFactor bounds how much longer
	// than asked it goes on for that on a slow machine.
	MinSmallServed = 50
	maxLoadFactor  = 10
	// knownAgainTime is the time after its restart in which a worker is known to be back.
	knownAgainTime = time.Second
	// returnPause is the time after which a caller that was not served comes back.
	returnPause = 500 * time.Millisecond
)

// MeasureMemory puts a load on the first entry for a time, and on until MinSmallServed small requests and a large body were
// served, but not longer than maxLoadFactor times that. The fleet must not have had another load.
func (f *Fleet) MeasureMemory(load MemoryLoad, lasts time.Duration) (MemoryResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLoadFactor*lasts)
	defer cancel()
	m := &memoryRun{fleet: f, entry: f.Entries[0], load: load, result: MemoryResult{Statuses: make(map[int]int)}, awayUntil: make([]time.Time, len(f.PlainWorkers))}
	for i, w := range f.PlainWorkers {
		w.SetMemory(hosted.Memory{Bytes: load.WorkerBytes, UnreadTime: load.UnreadTime, OnCrash: func() { m.crash(i) }})
	}
	time.AfterFunc(lasts, func() { m.endAt(ctx, cancel) })
	var callers sync.WaitGroup
	repeat := func(count int, run func(ctx context.Context, id string)) {
		for caller := range count {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					run(ctx, fmt.Sprintf("%d-%d", caller, n))
				}
			})
		}
	}
	repeat(load.Uploads, m.upload)
	repeat(load.SlowReaders, m.readSlowly)
	repeat(load.Endless, m.callEndless)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: smallCallers}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	repeat(smallCallers, func(_ context.Context, id string) { m.callSmall(client, id) })
	callers.Wait()
	peak, err := peakMB(m.entry)
	if err != nil {
		return m.result, err
	}
	for _, w := range f.PlainWorkers {
		m.result.WorkerCrashes += w.MemoryCrashes()
		m.result.Unread += w.UnreadResponses()
	}
	m.result.PeakMB, m.result.Served, m.result.Failed = peak, m.served.Load(), m.failed.Load()
	return m.result, nil
}

type memoryRun struct {
	fleet          *Fleet
	entry          *Process
	load           MemoryLoad
	served, failed atomic.Int64

	mu     sync.Mutex
	result MemoryResult
	// awayUntil is until when each plain worker is away after its last crash.
	awayUntil []time.Time
}

// endAt ends the load once it has shown what it is to show.
func (m *memoryRun) endAt(ctx context.Context, end func()) {
	defer end()
	for ctx.Err() == nil && !m.hasShown() {
		time.Sleep(smallPause)
	}
}

func (m *memoryRun) hasShown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served.Load() >= MinSmallServed && (m.load.Uploads == 0 || m.result.Statuses[http.StatusOK] > 0)
}

func (m *memoryRun) crash(worker int) {
	m.mu.Lock()
	m.awayUntil[worker] = time.Now().Add(RestartTime + knownAgainTime)
	m.mu.Unlock()
	m.fleet.crash(m.fleet.PlainWorkers[worker])
}

// fail counts a small request that was not served, unless all workers are away. Its caller waits before it returns.
func (m *memoryRun) fail() {
	defer time.Sleep(returnPause)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if slices.ContainsFunc(m.awayUntil, func(until time.Time) bool { return now.After(until) }) {
		m.failed.Add(1)
	}
}

// connect opens a connection of its own and sends the head of a request.
func (m *memoryRun) connect(method, path, id string, fields ...string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", m.entry.Frontend(), time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to entry: %w", err)
	}
	header := make(http.Header)
	hosted.SetRequestHeaders(header, id, APIKey, "2500", "900,48")
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, Host)
	_ = header.Write(&head) // writes to a buffer do not fail
	head.WriteString(strings.Join(append(fields, "", ""), "\r\n"))
	if _, err := conn.Write(head.Bytes()); err != nil {
		conn.Close()
		return nil, fmt.Errorf("send head: %w", err)
	}
	return conn, nil
}

// upload sends one large body and reads the response, which may come before its end.
func (m *memoryRun) upload(ctx context.Context, id string) {
	framing := "Content-Length: " + strconv.Itoa(uploadBytes)
	if m.load.Chunked {
		framing = "Transfer-Encoding: chunked"
	}
	conn, err := m.connect(http.MethodPost, hosted.LongPath("/book/", 800), "upload-"+id, framing)
	status := 0
	if err == nil {
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		defer stop()
		defer conn.Close()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				status = response.StatusCode
				response.Body.Close()
			}
		}()
		m.sendBody(conn, answered)
		<-answered
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.result.Statuses[status]++
	m.mu.Unlock()
	if status != http.StatusOK {
		time.Sleep(returnPause)
	}
}

// sendBody sends a large body at uploadRate until it is answered.
func (m *memoryRun) sendBody(conn net.Conn, answered <-chan struct{}) {
	part := bytes.Repeat([]byte("b"), uploadPart)
	begin, end := "", ""
	if m.load.Chunked {
		begin, end = fmt.Sprintf("%x\r\n", uploadPart), "\r\n"
	}
	ticks := time.NewTicker(time.Second * uploadPart / uploadRate)
	defer ticks.Stop()
	for range uploadBytes / uploadPart {
		select {
		case <-ticks.C:
		case <-answered:
			return
		}
		if _, err := fmt.Fprintf(conn, "%s%s%s", begin, part, end); err != nil {
			return
		}
	}
	if m.load.Chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // without it the entry waits for the rest
	}
}

// readSlowly asks for a long response and does not read it.
func (m *memoryRun) readSlowly(ctx context.Context, id string) {
	conn, err := m.connect(http.MethodGet, hosted.LongPath("/view/", slowBytes), "slow-"+id)
	if err != nil {
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10) // fails only on a closed connection
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
}

// callEndless sends a request whose worker responds without end.
func (m *memoryRun) callEndless(ctx context.Context, id string) {
	conn, err := m.connect(http.MethodPost, hosted.EndlessPath("/book/", m.load.EndlessKind), "endless-"+id, "Content-Length: 0")
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// callSmall sends a small request on a kept connection.
func (m *memoryRun) callSmall(client *http.Client, id string) {
	time.Sleep(smallPause)
	request, err := http.NewRequest(http.MethodGet, "http://"+m.entry.Frontend()+hosted.LongPath("/view/", 800), nil)
	if err != nil {
		m.fail()
		return
	}
	request.Host = Host
	hosted.SetRequestHeaders(request.Header, "small-"+id, APIKey, "2500", "900,48")
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		m.fail()
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		m.fail()
		return
	}
	m.served.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.SlowestServed = max(m.result.SlowestServed, time.Since(started))
}

var errNotRunning = errors.New("process does not run")

// peakMB returns the highest resident memory of a process.
func peakMB(p *Process) (float64, error) {
	i := p.Running()
	if i == nil || i.Ended() {
		return 0, fmt.Errorf("%s: %w", p.Name, errNotRunning)
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", p.Name, err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s: %w", p.Name, errNotRunning)
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}
