//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// plainWorker is a plain worker. It answers one request at a time on a connection and runs as many at once as it
// has slots.
type plainWorker struct {
	id, zone, address string
	record            *record
	slots             chan struct{}
	queue             int
	runTime           time.Duration

	mu      sync.Mutex
	born    int64
	beats   int
	waiting int
	// arrived counts the arrivals of requests, by their ids.
	arrived map[string]int
}

func newPlainWorker(id, zone, address string, slots int, record *record) *plainWorker {
	return &plainWorker{
		id: id, zone: zone, address: address, record: record, slots: make(chan struct{}, slots), queue: 24, runTime: 60 * time.Millisecond,
		born: time.Now().UnixMilli(), arrived: make(map[string]int),
	}
}

func (w *plainWorker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return nil
}

func (w *plainWorker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	return map[string]any{
		"born": w.born, "service": plainSvc, "address": w.address, "zone": w.zone, "version": "v1", "slots": cap(w.slots), "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.beats,
	}
}

// admit takes a slot, or reports false when the queue is full.
func (w *plainWorker) admit() bool {
	w.mu.Lock()
	if w.waiting >= w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	w.slots <- struct{}{}
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	return true
}

func (w *plainWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Laburnumgw-Request-Id")
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, err = conn.Write(answer(http.StatusOK, nil, "X-Laburnumgw-Instance-Id", w.id))
		} else {
			err = w.run(conn, request, id)
		}
		if err != nil {
			return
		}
	}
}

func (w *plainWorker) run(conn net.Conn, request *http.Request, id string) error {
	if request.Header.Get("X-Laburnumgw-Expect-Instance") != w.id {
		_, err := conn.Write(answer(http.StatusMisdirectedRequest, nil, "X-Laburnumgw-Request-Id", id, "X-Laburnumgw-Instance-Id", w.id))
		return err
	}
	w.mu.Lock()
	w.arrived[id]++
	w.mu.Unlock()
	if !w.admit() {
		_, err := conn.Write(answer(http.StatusServiceUnavailable, nil, "X-Laburnumgw-Request-Id", id, "X-Laburnumgw-Not-Executed", "1"))
		return err
	}
	defer func() { <-w.slots }()
	time.Sleep(w.runTime)
	seal := "seal-" + w.id + "-" + id
	_, err := conn.Write(answer(http.StatusOK, bytes.Repeat([]byte("o"), 800), "X-Laburnumgw-Request-Id", id, "X-Laburnumgw-Server-Seal", seal,
		"X-Laburnumgw-Instance-Load", fmt.Sprintf("%d,0,%d", len(w.slots), cap(w.slots))))
	return err
}

// memoryMB returns the resident memory of a process.
func memoryMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills a process that exceeds its memory limit, as the platform does, and starts it again. It returns a
// function that reports the highest memory.
func (f *fleet) watchMemory(p *process, limitMB int) (peak func() int) {
	var mu sync.Mutex
	highest := 0
	go func() {
		for f.ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			now := memoryMB(p.command.Process.Pid)
			mu.Lock()
			highest = max(highest, now)
			mu.Unlock()
			if now <= limitMB {
				continue
			}
			f.record.write("%s uses %d MB, more than its limit of %d MB, and is killed", p.name, now, limitMB)
			p.signal(syscall.SIGKILL)
			<-p.exited
			time.Sleep(500 * time.Millisecond)
			if f.ctx.Err() != nil {
				return
			}
			if err := f.run(p); err != nil {
				f.record.write("%s does not start: %v", p.name, err)
				return
			}
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return highest
	}
}

// plainFleet starts one entry for each of two zones and three plain workers.
func plainFleet(f *fleet) ([]*process, []*plainWorker, error) {
	f.publishConfig([]route{{"/book/", "unsafe", plainSvc, 1500, 300, 1, false}, {"/view/", "safe", plainSvc, 1500, 300, 2, false}}, 16)
	var workers []*plainWorker
	for i, zone := range zoneNames {
		w := newPlainWorker(fmt.Sprintf("d-%d", i), zone, fmt.Sprintf("%s:%d", f.ip(3, i), workerPort), 6, f.record)
		if err := w.start(); err != nil {
			return nil, nil, err
		}
		f.heartbeat(w.id, w.entry)
		workers = append(workers, w)
	}
	var entries []*process
	for i := range 2 {
		p, err := f.startEntry(i, zoneNames[i])
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, p)
	}
	return entries, workers, f.awaitReady(15 * time.Second)
}

const (
	// steadyUploads is the number of callers that send a large body at the same time, and burstFactor what a burst
	// multiplies it by.
	steadyUploads = 13
	burstFactor   = 1.7
	// uploadWaves is the number of times that they do, every uploadInterval. A burst lasts from the wave burstFrom to burstTo.
	uploadWaves        = 12
	uploadInterval     = time.Second
	burstFrom, burstTo = 4, 6
	// keptCallers is the number of callers that send one small request after another on a kept connection.
	keptCallers = 14
	// maxLost is the number of requests that may be lost.
	maxLost = 3
)

// largeBodies has callers send bodies of the configured limit to one entry, more of them in a burst.
func largeBodies(f *fleet) error {
	entries, workers, err := plainFleet(f)
	if err != nil {
		return err
	}
	entry := entries[0]
	time.Sleep(2 * time.Second)
	peak := f.watchMemory(entry, entryMemory)
	ended := make(chan struct{})
	var callers sync.WaitGroup
	var served, lost atomic.Int64
	for range keptCallers {
		callers.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					f.keptRequests(entry, workers, ended, &served, &lost)
				}
			}
		})
	}
	body := bytes.Repeat([]byte("b"), bodyLimit)
	for wave := range uploadWaves {
		uploads := steadyUploads
		if f.trouble && wave >= burstFrom && wave <= burstTo {
			uploads = int(math.Round(burstFactor * float64(steadyUploads)))
		}
		f.record.write("wave %d: %d callers send a body of %d bytes each", wave, uploads, len(body))
		for range uploads {
			callers.Go(func() {
				id := newRequestID()
				got := ask(entry.frontend(), http.MethodPost, "/book/1", id, 3*time.Second, body)
				f.record.write("upload %s: status %d, error %v; %d arrivals at workers", id, got.status, got.err, arrivals(workers, id))
			})
		}
		time.Sleep(uploadInterval)
		f.record.write("highest memory of %s so far: %d MB", entry.name, peak())
	}
	close(ended)
	callers.Wait()
	f.record.write("%d small requests on kept connections served, %d lost", served.Load(), lost.Load())
	if lost.Load() > maxLost {
		f.record.breach("LOST: %d requests from kept connections were passed on to sound workers and their connections closed without an answer", lost.Load())
	}
	if served.Load() < 100 {
		return errors.New("too few requests were served")
	}
	return nil
}

// keptRequests sends small requests one after another on one connection, until it ends.
func (f *fleet) keptRequests(entry *process, workers []*plainWorker, ended chan struct{}, served, lost *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", entry.frontend(), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for kept := false; ; kept = true {
		select {
		case <-ended:
			return
		default:
		}
		id := newRequestID()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // it fails only on a closed connection
		fmt.Fprintf(conn, "GET /view/1 HTTP/1.1\r\nHost: %s\r\nX-Laburnumgw-Request-Id: %s\r\nX-Laburnumgw-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n\r\n", modelHost, id, apiKey)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err != nil {
			passedOn := arrivals(workers, id)
			f.record.write("small request %s: connection closed without an answer: %v; kept connection %t, %d arrivals at workers", id, err, kept, passedOn)
			if kept && passedOn > 0 {
				lost.Add(1)
			}
			return
		}
		if response.StatusCode == http.StatusOK {
			served.Add(1)
		}
		if response.Close {
			return
		}
	}
}

// arrivals returns how often a request has arrived at workers.
func arrivals(workers []*plainWorker, id string) int {
	count := 0
	for _, w := range workers {
		w.mu.Lock()
		count += w.arrived[id]
		w.mu.Unlock()
	}
	return count
}
