//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

var (
	zoneNames = []string{"a", "b", "c"}
	// modelZones are the zones of the model workers.
	modelZones = []string{"a", "b", "c", "a"}
)

// startModelFleet starts two entries and four model workers with their endpoint processes.
func startModelFleet(f *fleet, prepare func(i int, w *modelWorker)) ([]*process, []*modelWorker, error) {
	f.publishConfig([]route{{"/chat/", "streaming", modelSvc, 6000, 400, 2, true}}, 16)
	var workers []*modelWorker
	for i, zone := range modelZones {
		w := newModelWorker(fmt.Sprintf("i-%d", i), zone, fmt.Sprintf("%s:%d", f.ip(2, i), workerPort), f.record)
		prepare(i, w)
		if err := w.start(); err != nil {
			return nil, nil, err
		}
		f.heartbeat(w.id, w.entry)
		workers = append(workers, w)
	}
	f.nameVersion(1)
	var entries []*process
	for i := range 2 {
		p, err := f.startEntry(i, zoneNames[i])
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, p)
	}
	for i, w := range workers {
		if _, err := f.startEndpoint(i, w.zone, w.address); err != nil {
			return nil, nil, err
		}
	}
	return entries, workers, f.awaitReady(15 * time.Second)
}

// chatFor sends model requests to all entries for some time.
func chatFor(f *fleet, entries []*process, length time.Duration) (served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		for _, entry := range entries {
			callers.Go(func() {
				id := newRequestID()
				got := ask(entry.frontend(), http.MethodPost, "/chat/1", id, 6*time.Second, []byte("prompt"), chatHeader(id)...)
				f.record.write("request %s to %s: status %d, whole %t, %d bytes, error %v", id, entry.name, got.status, got.whole, len(got.body), got.err)
				if got.status == http.StatusOK && got.whole {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	return served
}

// changeWeights names version 2 while callers send model requests.
func changeWeights(f *fleet, entries []*process, workers []*modelWorker) error {
	time.Sleep(2 * time.Second)
	done := make(chan int)
	go func() { done <- chatFor(f, entries, 16*time.Second) }()
	time.Sleep(time.Second)
	f.nameVersion(2)
	served := <-done
	for _, w := range workers {
		tokens, bad := w.counts()
		f.record.write("%s: version %d, %d tokens, %d of them with layers that were not whole", w.id, w.state()["layers"].(map[string]any)["version"], tokens, bad)
	}
	f.record.write("%d requests served", served)
	if served == 0 {
		return errors.New("no request was served")
	}
	return nil
}

// repeatedAnswer has one worker write one of its answers in 48 once more, where the next answer is due.
func repeatedAnswer(f *fleet) error {
	entries, workers, err := startModelFleet(f, func(i int, w *modelWorker) {
		if i == 0 && f.trouble {
			w.repeats = func(piece int) bool { return piece == 20 }
		}
	})
	if err != nil {
		return err
	}
	return changeWeights(f, entries, workers)
}

// slowStaging has a piece at one worker turn bad while others are staged there. The worker falls silent
// for most of a second now and then meanwhile.
func slowStaging(f *fleet) error {
	entries, workers, err := startModelFleet(f, func(i int, w *modelWorker) {
		if i != 0 {
			return
		}
		w.beforeStore = func(piece int) {
			if piece > 0 && piece%10 == 0 {
				f.record.write("%s is silent for 0.85 s", w.id)
				time.Sleep(850 * time.Millisecond)
			}
			if piece == 3 && f.trouble {
				w.rot(1)
			}
		}
	})
	if err != nil {
		return err
	}
	return changeWeights(f, entries, workers)
}
