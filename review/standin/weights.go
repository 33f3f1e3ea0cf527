//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

var (
	zoneNames = []string{"a", "b", "c"}
	// modelZones are the zones of the model workers.
	modelZones = []string{"a", "b", "c", "a"}
)

// startModelFleet starts two entries and a model worker for each of some zones, with their endpoint processes.
func startModelFleet(f *fleet, zones []string, prepare func(i int, w *modelWorker)) ([]*process, []*modelWorker, error) {
	f.publishConfig([]route{{"/chat/", "streaming", modelSvc, 6000, 400, 2, true}}, 16)
	var workers []*modelWorker
	for i, zone := range zones {
		w := newModelWorker(fmt.Sprintf("i-%d", i), zone, fmt.Sprintf("%s:%d", f.ip(2, i), workerPort), f.record)
		prepare(i, w)
		if err := w.start(); err != nil {
			return nil, nil, err
		}
		f.heartbeat(w.id, func() map[string]any {
			if !w.isUp() {
				return nil
			}
			return w.entry()
		})
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
		f.record.write("%s: %d tokens, %d of them with layers that were not whole", w.id, tokens, bad)
	}
	f.record.write("%d requests served", served)
	if served == 0 {
		return errors.New("no request was served")
	}
	return nil
}

// repeatedAnswer has one worker write one of its answers in 48 once more, where the next answer is due.
func repeatedAnswer(f *fleet) error {
	entries, workers, err := startModelFleet(f, modelZones, func(i int, w *modelWorker) {
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
	entries, workers, err := startModelFleet(f, modelZones, func(i int, w *modelWorker) {
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

const (
	// downTime is how long a crashed worker is down.
	downTime = 2 * time.Second
	// lateBy is how much later than the others the worker handles one call.
	lateBy = 1300 * time.Millisecond
	// versionInterval is the time between two versions.
	versionInterval = 13 * time.Second
)

// crashTimes are the times from the naming of a version until the worker crashes, one for each version.
var crashTimes = []time.Duration{150 * time.Millisecond, 180 * time.Millisecond, 210 * time.Millisecond, 240 * time.Millisecond, 270 * time.Millisecond}

// lateStaging has a worker crash just after a new version was named. When it is back, the call that stages piece 1 of the
// version before is handled 1.3 s late.
func lateStaging(f *fleet) error {
	var late atomic.Bool
	entries, workers, err := startModelFleet(f, slices.Concat(zoneNames, zoneNames), func(i int, w *modelWorker) {
		if i != 0 {
			return
		}
		w.beforeStore = func(piece int) {
			if piece == 1 && late.CompareAndSwap(true, false) {
				f.record.write("%s handles the staging of piece 1 %v late", w.id, lateBy)
				time.Sleep(lateBy)
			}
		}
	})
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	done := make(chan int)
	go func() {
		done <- chatFor(f, entries, time.Duration(len(crashTimes))*versionInterval)
	}()
	for i, after := range crashTimes {
		started := time.Now()
		f.nameVersion(2 + i)
		time.Sleep(after)
		late.Store(f.trouble)
		if err := workers[0].crash(downTime); err != nil {
			return err
		}
		f.store.Put("servers", workers[0].id, workers[0].entry())
		time.Sleep(versionInterval - time.Since(started))
	}
	if <-done == 0 {
		return errors.New("no request was served")
	}
	return nil
}
