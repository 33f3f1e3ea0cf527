package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/quarantine"
	"laburnumgw/platform"
)

const prefixHeader = "X-Laburnumgw-Prompt-Prefix"

// askWith sends a model request with the parts of its prompt.
func (d *deployment) askWith(t *testing.T, prefix string) callerResponse {
	return d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000", prefixHeader, prefix)
}

func streamsWhole(e *workerExchange) {
	e.stream(1)
	e.events(1, 3)
	e.end()
}

// Guards against a blocked part that still reaches workers, and against a block that outlives its
// object or refuses other requests.
func TestBlockedPartIsRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("llm", "w1", 1, streamsWhole)
		d.put(platform.KindBlockedParts, "0bad", `{}`)
		got := d.askWith(t, "aa:40,0BAD:9,cc:1")
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || got.took > 0 || err != nil || after < 60 || len(d.arrived()) != 0 {
			t.Fatalf("response %+v, %d arrivals", got, len(d.arrived()))
		}
		for _, prefix := range []string{"aa:40,cc:1", "aa:40,0bad:1"} {
			if got := d.askWith(t, prefix); got.status != http.StatusOK || got.body != events(1, 3) {
				t.Errorf("prompt %s: %+v", prefix, got)
			}
		}
		d.front.view.applyChanges(platform.KindBlockedParts, []mirror.Change{{Deleted: true, Object: mirror.Object{Name: "0bad", Value: json.RawMessage(`{}`)}}})
		if got := d.askWith(t, "aa:40,0bad:9,cc:1"); got.status != http.StatusOK {
			t.Errorf("after the release: %+v", got)
		}
	})
}

// Guards against a request that crashes one worker after the other, and against giving up one that
// only lost its connection.
func TestRequestThatMayHaveCrashedItsWorkerIsNotSentAgain(t *testing.T) {
	start := quarantine.Start{StartedAtMs: 1}
	for name, c := range map[string]struct {
		// afterLoss is called when the first attempt was lost at a worker.
		afterLoss func(v *view, worker string)
		begun     int
		status    int
	}{
		"worker crashes": {func(v *view, worker string) {
			start.Address = workerAddress(worker)
			v.workerCrashed(start, "test")
		}, 0, http.StatusBadGateway},
		"worker reports on": {func(v *view, worker string) {
			v.applyReport(workerAddress(worker), 2, catalog.Report{StartedAtMs: 1, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
		}, 0, http.StatusOK},
		"nothing is known": {func(*view, string) {}, 0, http.StatusOK},
		"the part is cleared": {func(v *view, worker string) {
			v.workerCrashed(quarantine.Start{Address: workerAddress(worker), StartedAtMs: 1}, "test")
		}, 20, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				lost := false
				respond := func(e *workerExchange) {
					if lost {
						streamsWhole(e)
						return
					}
					lost = true
					worker := e.request.Header.Get(instanceHeader)
					e.stream(1)
					e.Close()
					time.AfterFunc(100*time.Millisecond, func() { c.afterLoss(d.front.view, worker) })
				}
				d.worker("llm", "w1", 1, respond)
				d.worker("llm", "w2", 1, respond)
				for range c.begun {
					d.front.view.requestBegan([]string{"aa"})
				}
				got := d.askWith(t, "aa:40,cc:1")
				if got.status != c.status || got.took > time.Second {
					t.Errorf("response %+v, %d arrivals", got, len(d.arrived()))
				}
			})
		})
	}
}

// Guards against requests that are sent to a worker that is known to have crashed, each of which
// costs an attempt, and against a worker that gets nothing after a false notice.
func TestCrashedWorkerGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		after  func(d *deployment)
		serves bool
	}{
		"at once": {func(*deployment) {}, false},
		"when it reports on": {func(d *deployment) {
			d.front.view.applyReport(workerAddress("w1"), 2, catalog.Report{StartedAtMs: 1, Weights: catalog.Weights{Model: "m", Version: 1, To: 16}})
		}, true},
		"long after": {func(*deployment) { <-time.After(crashedTime + time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("llm", "w1", 1, streamsWhole)
				d.worker("llm", "w2", 1, streamsWhole)
				d.front.view.workerCrashed(quarantine.Start{Address: workerAddress("w1"), StartedAtMs: 1}, "test")
				c.after(d)
				sentTo := make(map[string]int)
				for range 20 {
					<-time.After(100 * time.Millisecond)
					if got := d.askWith(t, "aa:40,cc:1"); got.status != http.StatusOK {
						t.Errorf("response %+v", got)
					}
				}
				for _, a := range d.arrived() {
					sentTo[a.worker]++
				}
				if (sentTo["w1"] > 0) != c.serves {
					t.Errorf("requests by worker: %v", sentTo)
				}
			})
		})
	}
}

// fakeBlocks is a store of blocks.
type fakeBlocks struct {
	mu      sync.Mutex
	calls   []string
	objects map[string]platform.BlockedPart
	rev     int64
	fail    bool
	// created is called after an object was created.
	created func(name string)
}

var errConflict = errors.New("conflict")

func (f *fakeBlocks) Create(_ context.Context, _, name string, value any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "create "+name)
	if f.fail {
		return errConflict
	}
	f.rev++
	f.objects[name] = value.(platform.BlockedPart)
	if f.created != nil {
		time.AfterFunc(20*time.Millisecond, func() { f.created(name) })
	}
	return nil
}

func (f *fakeBlocks) Replace(_ context.Context, _, name string, value any, revision int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "replace "+name)
	if f.fail || revision != f.rev {
		return 0, errConflict
	}
	f.rev++
	f.objects[name] = value.(platform.BlockedPart)
	return f.rev, nil
}

func (f *fakeBlocks) Delete(_ context.Context, _, name string, revision int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "delete "+name)
	if f.fail || revision != f.rev {
		return errConflict
	}
	delete(f.objects, name)
	return nil
}

// list delivers the object of a block to an entry.
func (f *fakeBlocks) list(t *testing.T, d *deployment, name string) {
	t.Helper()
	value, err := json.Marshal(f.objects[name])
	if err != nil {
		t.Fatal(err)
	}
	d.rev = f.rev - 1
	d.put(platform.KindBlockedParts, name, string(value))
}

// Guards against trials that each entry makes by itself, and against a sound part that stays
// blocked for good.
func TestTrialOfABlockedPart(t *testing.T) {
	for name, c := range map[string]struct {
		conflict, crash bool
		arrivals        int
		released        bool
	}{
		"survives":                    {arrivals: quarantine.MaxTrials, released: true},
		"crashes":                     {crash: true, arrivals: quarantine.MaxTrials},
		"another entry was the first": {conflict: true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				store := &fakeBlocks{objects: map[string]platform.BlockedPart{"0bad": {Parts: []string{"0bad"}}}, rev: 7, fail: c.conflict}
				d.front.view.blockStore = store
				d.worker("llm", "w1", 1, func(e *workerExchange) {
					if c.crash {
						e.Close()
						return
					}
					streamsWhole(e)
				})
				store.list(t, d, "0bad")
				for range 48 {
					<-time.After(15 * time.Minute)
					for range 3 {
						d.askWith(t, "0bad:9,cc:1")
					}
					if _, listed := store.objects["0bad"]; listed {
						store.list(t, d, "0bad")
					}
				}
				if got := len(d.arrived()); got != c.arrivals {
					t.Errorf("%d requests let through, want %d", got, c.arrivals)
				}
				if _, listed := store.objects["0bad"]; listed == c.released {
					t.Errorf("block listed: %t; calls %v", listed, store.calls)
				}
			})
		})
	}
}

// partFleet is a number of entries before the same model workers. Messages between the entries are
// function calls with a delay.
type partFleet struct {
	entries []*deployment
	service string
	store   *fakeBlocks

	mu    sync.Mutex
	conns map[string][]*workerExchange
	born  map[string]int64
	// crashes are the times of the crashes, and arrivals those of the requests with deadlyPart.
	crashes, arrivals []time.Time
	silent            map[*deployment]bool
}

const deadlyPart = "dead"

// fleetPartPeers implements partPeers.
type fleetPartPeers struct {
	fleet *partFleet
	own   *deployment
}

func (p *fleetPartPeers) AnnounceEvidence(evidence *laburnumgwv1.PartEvidence) {
	for _, d := range p.fleet.entries {
		if d != p.own && !p.fleet.silent[d] && !p.fleet.silent[p.own] {
			time.AfterFunc(peerDelay, func() {
				d.front.view.mu.Lock()
				defer d.front.view.mu.Unlock()
				d.front.view.mergeEvidence(evidence)
			})
		}
	}
}

func (p *fleetPartPeers) ListPartEvidence(_ context.Context, address string) (*laburnumgwv1.PartEvidence, error) {
	for i, d := range p.fleet.entries {
		if workerAddress(entryName(i)) == address && !p.fleet.silent[d] && !p.fleet.silent[p.own] {
			return (&promptPartsServer{view: d.front.view}).ListPartEvidence(context.Background(), nil)
		}
	}
	return nil, errUnreachable
}

func newPartFleet(t *testing.T, entries, workers int) *partFleet {
	return newCrashFleet(t, "llm", entries, workers)
}

func newCrashFleet(t *testing.T, service string, entries, workers int) *partFleet {
	f := &partFleet{service: service, conns: make(map[string][]*workerExchange), born: make(map[string]int64), silent: make(map[*deployment]bool),
		store: &fakeBlocks{objects: make(map[string]platform.BlockedPart)}}
	f.store.created = func(name string) {
		for _, d := range f.entries {
			f.store.list(t, d, name)
		}
	}
	limits := &limitFleet{t: t}
	for i := range entries {
		d := newEntryDeployment(t, entryName(i), string(rune('a'+i%2)))
		f.entries = append(f.entries, d)
		d.front.view.partPeers = &fleetPartPeers{f, d}
		d.front.view.blockStore = f.store
	}
	limits.entries = f.entries
	limits.listEntries(f.entries...)
	for i := range workers {
		worker := fmt.Sprint("w", i)
		f.born[worker] = 1
		for _, d := range f.entries {
			d.mu.Lock()
			d.scripts[worker] = func(e *workerExchange) { f.respond(worker, e) }
			d.mu.Unlock()
		}
		f.list(worker)
	}
	for _, d := range f.entries {
		go d.front.view.runQuarantine(t.Context(), func() bool { return true })
	}
	return f
}

// list lists the current start of a worker at all entries.
func (f *partFleet) list(worker string) {
	for _, d := range f.entries {
		d.put(platform.KindWorkers, worker, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","slots":16,"state":"ready","cold_remaining_ms":0,"born":%d,`+
			`"models":[{"name":"m","version":1}],"layers":{"from":0,"target":16,"version":1},"sequence":4}`, f.service, workerAddress(worker), f.born[worker]))
	}
}

func (f *partFleet) respond(worker string, e *workerExchange) {
	f.mu.Lock()
	born := f.born[worker]
	f.conns[worker] = append(f.conns[worker], e)
	deadly := e.request.Header.Get(prefixHeader) == "aa:40,"+deadlyPart+":9,cc:1" || string(e.body) == deadlyPart
	if deadly {
		f.arrivals = append(f.arrivals, time.Now())
	}
	f.mu.Unlock()
	<-time.After(80 * time.Millisecond)
	f.mu.Lock()
	crashed := f.born[worker] != born
	f.mu.Unlock()
	switch {
	case crashed:
		e.Close()
	case deadly:
		f.crash(worker)
	case f.service == "desk":
		answers(e)
	default:
		streamsWhole(e)
	}
}

// crash ends the connections of a worker. Entries learn of it 100 ms later if there is a process
// beside it, and of its next start after 3 s.
func (f *partFleet) crash(worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := quarantine.Start{Address: workerAddress(worker), StartedAtMs: f.born[worker]}
	f.born[worker]++
	f.crashes = append(f.crashes, time.Now())
	for _, e := range f.conns[worker] {
		e.Close()
	}
	f.conns[worker] = nil
	for _, d := range f.entries {
		d.mu.Lock()
		d.refused[worker] = true
		d.mu.Unlock()
		time.AfterFunc(100*time.Millisecond, func() {
			if !f.silent[d] && f.service == "llm" {
				d.front.view.workerCrashed(start, "test")
			}
		})
	}
	time.AfterFunc(3*time.Second, func() {
		for _, d := range f.entries {
			d.mu.Lock()
			d.refused[worker] = false
			d.mu.Unlock()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list(worker)
	})
}

// Guards the path from the requests of callers to the block at all entries and in the store: each
// entry gets one request with the part in turn.
func TestEntriesTogetherBlockADeadlyPart(t *testing.T) {
	for _, entries := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPartFleet(t, entries, 12)
				var callers sync.WaitGroup
				sound, served := 0, 0
				for n := range 400 {
					<-time.After(50 * time.Millisecond)
					d := f.entries[n%entries]
					prefix := "aa:40,cc:1"
					if n%5 == 4 {
						prefix = "aa:40," + deadlyPart + ":9,cc:1"
					}
					callers.Go(func() {
						got := d.askWith(t, prefix)
						f.mu.Lock()
						defer f.mu.Unlock()
						if len(f.crashes) > 0 && prefix == "aa:40,cc:1" && time.Since(f.crashes[0]) > 6*time.Second {
							sound++
							if got.status == http.StatusOK {
								served++
							}
						}
					})
				}
				callers.Wait()
				if len(f.arrivals) > 8 || len(f.crashes) < 3 {
					t.Errorf("%d requests with the part reached workers, %d crashes", len(f.arrivals), len(f.crashes))
				}
				if served < sound*49/50 || sound == 0 {
					t.Errorf("%d of %d sound requests served", served, sound)
				}
				if _, stored := f.store.objects[deadlyPart]; !stored || len(f.store.calls) != 1 {
					t.Errorf("calls of the store: %v", f.store.calls)
				}
				for _, d := range f.entries {
					if got := d.askWith(t, "aa:40,"+deadlyPart+":9,cc:1"); got.status != http.StatusServiceUnavailable {
						t.Errorf("%s answers %d", d.front.view.settings.VM, got.status)
					}
				}
				<-time.After(time.Minute)
				for _, d := range f.entries {
					for id := range d.scripts {
						d.front.conns.Forget(workerAddress(id))
					}
				}
			})
		})
	}
}

// Guards against blocks that are lost when the store comes back from an older copy, against one that
// is taken for released by an operator, and against each entry writing them again.
func TestBlocksAreWrittenToARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPartFleet(t, 8, 1)
		f.store.objects["0bad"] = platform.BlockedPart{Parts: []string{"0bad"}, Trials: 1}
		for _, d := range f.entries {
			f.store.list(t, d, "0bad")
		}
		<-time.After(5 * time.Second)
		delete(f.store.objects, "0bad")
		for _, d := range f.entries {
			d.front.view.rewriteBlocks()
		}
		<-time.After(20 * time.Second)
		if got := f.store.objects["0bad"]; got.Trials != 1 || len(f.store.calls) > blockWriters {
			t.Errorf("stored %+v by the calls %v", got, f.store.calls)
		}
		for _, d := range f.entries {
			if got := d.askWith(t, "0bad:9,cc:1"); got.status != http.StatusServiceUnavailable {
				t.Errorf("%s answers %d", d.front.view.settings.VM, got.status)
			}
		}
	})
}

// Guards against an entry that starts while the store is away and sends on what all others refuse.
func TestEntryThatStartsWithoutTheStoreAsksForBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &partFleet{silent: make(map[*deployment]bool)}
		for i := range 2 {
			d := newEntryDeployment(t, entryName(i), "a")
			f.entries = append(f.entries, d)
			d.front.view.partPeers = &fleetPartPeers{f, d}
		}
		known, starting := f.entries[0].front.view, f.entries[1].front.view
		known.mu.Lock()
		known.quarantine.SetBlock([]string{"0bad"}, nil, time.Now())
		known.mu.Unlock()
		go starting.runQuarantine(t.Context(), func() bool { return false })
		<-time.After(5 * time.Second)
		limits := &limitFleet{t: t, entries: f.entries}
		limits.listEntries(f.entries...)
		<-time.After(2 * time.Second)
		if _, _, blocked := starting.blockOf([]string{"0bad"}, "ws"); !blocked {
			t.Error("the entry does not know the block")
		}
	})
}
