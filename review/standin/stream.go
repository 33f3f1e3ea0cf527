//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Commands that a worker process reads from its input.
const (
	commandLeave    = "leave"
	commandUnmarked = "unmarked"
)

const (
	// streamEvents and streamGap are those of a worker process.
	streamEvents = 24
	streamGap    = 200 * time.Millisecond
	// noticeTime is how long before its end a worker states that it is leaving.
	noticeTime = 2 * time.Second
	// unmarkedStreams is how many streams of the leaving worker have neither a length nor chunks.
	unmarkedStreams = 3
)

// runWorker is the main function of a worker process. It prints what it runs.
func runWorker(id, zone, address, born string) int {
	w := newModelWorker(id, zone, address, nil)
	w.born, _ = strconv.ParseInt(born, 10, 64)
	w.events, w.gap = streamEvents, streamGap
	var mu sync.Mutex
	w.madeToken = func(id string, event int) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Println(id, event)
	}
	w.begunUnmarked = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Println(commandUnmarked, id)
	}
	if err := w.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		w.mu.Lock()
		switch input.Text() {
		case commandLeave:
			w.leaving = true
		case commandUnmarked:
			w.unmarked++
		}
		w.mu.Unlock()
	}
	return exitHeld
}

// workerProcess is a model worker that runs as a process of its own.
type workerProcess struct {
	id, zone, address string
	command           *exec.Cmd
	input             io.WriteCloser
	exited            chan struct{}

	mu      sync.Mutex
	state   string
	written int64
	// last is the last event that was made for each request.
	last map[string]string
	// unmarked are the beginnings of the streams that have neither a length nor chunks.
	unmarked []time.Time
}

// awaitUnmarked waits until a number of streams without a length or chunks have begun, or the first of them is of an
// age. It reports false if none has begun within the limit.
func (w *workerProcess) awaitUnmarked(count int, age, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		begun := w.unmarked
		w.mu.Unlock()
		if len(begun) >= count || (len(begun) > 0 && time.Since(begun[0]) > age) {
			return true
		}
	}
	return false
}

func (f *fleet) startWorkerProcess(i int, zone string) (*workerProcess, error) {
	w := &workerProcess{
		id: fmt.Sprintf("i-%d", i), zone: zone, address: fmt.Sprintf("%s:%d", f.ip(2, i), workerPort), state: "ready", exited: make(chan struct{}), last: make(map[string]string),
	}
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	w.command = exec.Command(binary, "worker", w.id, w.zone, w.address, strconv.FormatInt(born, 10))
	w.command.Stderr = os.Stderr
	if w.input, err = w.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := w.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := startCommand(w.command); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			id, event, _ := strings.Cut(lines.Text(), " ")
			w.mu.Lock()
			if id == commandUnmarked {
				f.record.write("%s begins the stream of request %s without a length or chunks", w.id, event)
				w.unmarked = append(w.unmarked, time.Now())
			} else {
				w.last[id] = event
			}
			w.mu.Unlock()
		}
		_ = w.command.Wait() // the exit code is not used
		close(w.exited)
	}()
	f.heartbeat(w.id, func() map[string]any {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.written++
		return map[string]any{
			"born": born, "service": modelSvc, "address": w.address, "zone": w.zone, "version": "v1", "slots": 16, "state": w.state, "cold_remaining_ms": 0, "stage": "both",
			"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}, "layers": map[string]any{"from": 0, "target": layers, "version": 1}, "sequence": w.written,
		}
	})
	return w, nil
}

func (w *workerProcess) tell(command string) { _, _ = fmt.Fprintln(w.input, command) }

// end ends a worker process.
func (w *workerProcess) end() {
	_ = w.command.Process.Kill() // it fails only when the process has ended
	<-w.exited
}

func (w *workerProcess) lastEvent(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last[id]
}

// setState writes the entry of the worker with another state.
func (f *fleet) setState(w *workerProcess, state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	f.mu.Lock()
	entry := f.published[w.id]
	f.mu.Unlock()
	f.store.Put("servers", w.id, entry())
	f.record.write("%s: its entry states %s", w.id, state)
}

// withdraw removes the entry of a worker.
func (f *fleet) withdraw(w *workerProcess) {
	f.mu.Lock()
	f.published[w.id] = nil
	f.mu.Unlock()
	f.store.Delete("servers", w.id)
}

// streamFleet starts two entries and four worker processes.
func streamFleet(f *fleet) ([]*process, []*workerProcess, error) {
	f.publishConfig([]route{{"/chat/", "streaming", modelSvc, 6000, 400, 2, true}}, 16)
	f.nameVersion(1)
	var workers []*workerProcess
	for i, zone := range modelZones {
		w, err := f.startWorkerProcess(i, zone)
		if err != nil {
			return nil, workers, err
		}
		workers = append(workers, w)
	}
	var entries []*process
	for i := range 2 {
		p, err := f.startEntry(i, zoneNames[i])
		if err != nil {
			return nil, workers, err
		}
		entries = append(entries, p)
	}
	for i, w := range workers {
		if _, err := f.startEndpoint(i, w.zone, w.address); err != nil {
			return nil, workers, err
		}
	}
	return entries, workers, f.awaitReady(15 * time.Second)
}

// goneWorker has a worker end two seconds after it has stated that it is leaving, amid its streams. Three of
// its streams, of 60 or more, have neither a length nor chunks.
func goneWorker(f *fleet) error {
	entries, workers, err := streamFleet(f)
	defer func() {
		for _, w := range workers {
			w.end()
		}
	}()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served := 0
	stop := make(chan struct{})
	go func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(110 * time.Millisecond):
			}
			callers.Go(func() {
				if f.askStream(entries[number%2], workers) {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	}()
	leaver := workers[3]
	time.Sleep(28 * time.Second)
	for range unmarkedStreams {
		leaver.tell(commandUnmarked)
	}
	if !leaver.awaitUnmarked(unmarkedStreams, noticeTime, 20*time.Second) {
		return errors.New("no stream without a length began")
	}
	leaver.tell(commandLeave)
	f.setState(leaver, "draining")
	leaver.mu.Lock()
	f.record.write("%s has run %d requests", leaver.id, len(leaver.last))
	leaver.mu.Unlock()
	if f.trouble {
		time.Sleep(noticeTime)
		leaver.end()
		f.record.write("%s is gone %v after its notice", leaver.id, noticeTime)
	} else {
		time.Sleep(8 * time.Second)
		leaver.end()
		f.record.write("%s is gone after its streams have ended", leaver.id)
	}
	f.withdraw(leaver)
	time.Sleep(6 * time.Second)
	close(stop)
	time.Sleep(200 * time.Millisecond)
	callers.Wait()
	f.record.write("%d requests served", served)
	if served < 100 {
		return errors.New("too few requests were served")
	}
	return nil
}

// askStream sends a model request and checks that a response that ends as complete is whole.
func (f *fleet) askStream(entry *process, workers []*workerProcess) bool {
	id := newRequestID()
	got := ask(entry.frontend(), http.MethodPost, "/chat/1", id, 6*time.Second, []byte("prompt"), chatHeader(id)...)
	events := strings.Count(got.body, "id: ")
	var made []string
	for _, w := range workers {
		if event := w.lastEvent(id); event != "" {
			made = append(made, fmt.Sprintf("%s made events up to %s", w.id, event))
		}
	}
	f.record.write("request %s to %s: status %d, ends as complete %t, %d events, error %v; %s", id, entry.name, got.status, got.whole, events, got.err, strings.Join(made, ", "))
	if got.status != http.StatusOK || !got.whole {
		return false
	}
	if events != streamEvents {
		f.record.breach("ORDER: the stream of request %s, sealed %q, ends as complete after event %d of %d", id, got.seal, events, streamEvents)
		return false
	}
	return true
}
