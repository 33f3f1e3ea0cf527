package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// entryKinds are the kinds that an entry mirrors; one of them expires.
var entryKinds = map[string]bool{"config": false, "workers": true, "evacuations": false, "versions": false, "entries": false}

// fleet runs a leader that reads a store and followers that mirror from it, all of which
// reach the same store.
type fleet struct {
	store     *fakeStore
	leader    *neighbour
	followers []*Driver
	seen      []*recorder
}

func newFleet(ctx context.Context, followers int) *fleet {
	return newFleetWithBound(ctx, followers, 0)
}

// settled is the time after an outage from which on the bounds hold again.
const settled = 4 * time.Second

// newFleetWithBound returns a fleet with a propagation bound; zero for the default.
func newFleetWithBound(ctx context.Context, followers int, bound time.Duration) *fleet {
	return newFleetThatSettles(ctx, followers, bound, settled)
}

// newFleetThatSettles returns a fleet for which the bounds hold again a time after an outage.
func newFleetThatSettles(ctx context.Context, followers int, bound, settle time.Duration) *fleet {
	f := &fleet{store: newFakeStore()}
	for kind := range entryKinds {
		f.store.put(kind, "a")
	}
	leader := NewDriver(Config{Kinds: entryKinds, Store: f.store, Log: zap.NewNop(), OnChange: func(string, []Change) {}, Settle: settle})
	f.leader = &neighbour{driver: leader}
	go leader.Run(ctx)
	<-time.After(100 * time.Millisecond)
	for i := range followers {
		seen := &recorder{started: time.Now()}
		f.seen = append(f.seen, seen)
		driver := NewDriver(Config{
			Kinds: entryKinds, Store: f.store, Log: zap.NewNop(), Neighbours: f.leader, PullWait: 300 * time.Millisecond,
			StaleAfter:           func() time.Duration { return 1250 * time.Millisecond },
			MaxNeighbourStoreAge: func() time.Duration { return 1250 * time.Millisecond },
			PreferredSource:      func() Source { return NeighboursFirst },
			StartupWait:          func() time.Duration { return StartupWaitAt(i+1, followers+1) },
			MaxProbePause:        func() time.Duration { return MaxProbePauseAt(i + 1) },
			PropagationBound:     bound,
			Settle:               settle,
			OnChange:             seen.onChange,
		})
		f.followers = append(f.followers, driver)
		go driver.Run(ctx)
	}
	return f
}

func (f *recorder) onChange(_ string, changes []Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		f.changes = append(f.changes, change)
		f.at = append(f.at, time.Since(f.started))
	}
}

func (f *fakeStore) count() (calls, lists int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.lists {
		lists += n
	}
	return f.calls, lists
}

// Guards against a fleet whose entries all list every kind again and again while the store
// is down and when it is back: with 149 entries and 920 routes the lists saturated the
// links between regions and timed out, and 29 entries kept an old configuration to the end.
func TestOutageOfAFleetCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers, outage = 29, 8 * time.Second
		f := newFleet(t.Context(), followers)
		<-time.After(5 * time.Second)
		before, _ := f.store.count()
		f.store.set(func() { f.store.down = true })
		<-time.After(outage)
		during, _ := f.store.count()
		// Each process tries 10 times while its pause grows and at the longest one, and the
		// first ones, whose longest pause is shorter, 20 times more.
		if calls, most := during-before, (followers+1)*10+3*20; calls > most {
			t.Errorf("%d calls in an outage of %v, want at most %d", calls, outage, most)
		}
		_, lists := f.store.count()
		f.store.set(func() { f.store.down = false })
		f.store.put("config", "new")
		<-time.After(propagationBound)
		for i, seen := range f.seen {
			if seen.seenAt("new", false) < 0 {
				t.Errorf("follower %d has not seen a change in %v", i, propagationBound)
			}
		}
		// The leader lists, and so does a follower whose wait ended before the leader had
		// recovered.
		if _, after := f.store.count(); after-lists > 3*len(entryKinds) {
			t.Errorf("%d lists after the outage", after-lists)
		}
	})
}

// Guards against a process that never turns to the store once its neighbour stops
// responding, because its own probes of the store count as responses: it received a version
// of weights a second late, when its neighbour was back.
func TestFollowerWatchesTheStoreWhenItsNeighbourIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 2)
		<-time.After(5 * time.Second)
		f.leader.mu.Lock()
		f.leader.unresponsive = true
		f.leader.mu.Unlock()
		<-time.After(3 * time.Second)
		for i := range 10 {
			name := string(rune('b' + i))
			f.store.put("versions", name)
			made := time.Since(f.seen[0].started)
			<-time.After(700 * time.Millisecond)
			for j, seen := range f.seen {
				if at := seen.seenAt(name, false); at < 0 || at-made > 200*time.Millisecond {
					t.Errorf("follower %d saw change %d at %v, made at %v", j, i, at, made)
				}
			}
		}
	})
}

// Guards against entries without workers for up to half a second after an outage in which calls of the store hang: they noticed
// its end so late that the grace time ended before workers that had lapsed were back.
func TestLiveWorkersOutlastAnOutageInWhichCallsHang(t *testing.T) {
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetThatSettles(t.Context(), 12, 0, 3*time.Second)
			<-time.After(5 * time.Second)
			f.store.set(func() { f.store.down, f.store.hang = true, 700*time.Millisecond })
			<-time.After(6*time.Second + phase)
			f.store.remove("workers", "a")
			f.store.set(func() { f.store.down = false })
			<-time.After(1900 * time.Millisecond)
			f.store.put("workers", "a")
			<-time.After(3 * time.Second)
			for i, seen := range f.seen {
				if at := seen.seenAt("a", true); at >= 0 {
					t.Errorf("outage of %v: follower %d dropped a live worker at %v", 6*time.Second+phase, i, at)
				}
			}
		})
	}
}

// Guards against copies that start a grace time of their own when that of their source
// ends: a worker that left after an outage was kept for both, 8 ms beyond its bound.
func TestGraceTimeEndsWithThatOfTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 3)
		<-time.After(5 * time.Second)
		f.store.set(func() { f.store.down = true })
		<-time.After(6 * time.Second)
		f.store.set(func() { f.store.down = false })
		back := time.Since(f.seen[0].started)
		<-time.After(time.Second)
		f.store.remove("workers", "a")
		<-time.After(10 * time.Second)
		for i, seen := range f.seen {
			// Half a second until the leader reaches the store again, and a pull with its
			// pause.
			at := seen.seenAt("a", true) - back
			if at < expiryGrace || at > expiryGrace+maxRetryPause*13/10+pullRetry+tickInterval {
				t.Errorf("follower %d applies the removal %v after the outage", i, at)
			}
		}
	})
}

// Guards against a source that has just started, and has listed a store in which objects
// have expired: a copy that knew them must not drop them at once.
func TestCopyOfANewSourceKeepsExpiredObjects(t *testing.T) {
	kind := NewKind(true)
	kind.ApplyList([]Object{object("a", 1)}, 1, start)
	kind.MarkFailed(start.Add(time.Second))
	back := start.Add(10 * time.Second)
	kind.MarkAvailable(500*time.Millisecond, back)
	if changes := kind.ApplyList(nil, 9, back); len(changes) != 0 {
		t.Fatalf("changes %v", changes)
	}
	if changes := kind.Tick(back.Add(expiryGrace - 501*time.Millisecond)); len(changes) != 0 {
		t.Fatalf("changes %v before the source's grace time is over", changes)
	}
	if changes := kind.Tick(back.Add(expiryGrace - 500*time.Millisecond)); len(changes) != 1 {
		t.Fatalf("changes %v after it", changes)
	}
}

// slowLists responds to lists slowly and fails probes, as a store behind a saturated link
// does.
type slowLists struct{ *fakeStore }

func (s slowLists) List(ctx context.Context, kind string) ([]Object, int64, error) {
	select {
	case <-time.After(1200 * time.Millisecond):
		return s.fakeStore.List(ctx, kind)
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (s slowLists) Revision(context.Context) (int64, error) { return 0, errDown }

// Guards against cancelling running lists because a probe fails: on a saturated link no
// list ever completed.
func TestFailingProbesDoNotEndLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("config", "main")
		seen := &recorder{started: time.Now()}
		driver := NewDriver(Config{Kinds: map[string]bool{"config": false}, Store: slowLists{store}, Log: zap.NewNop(), OnChange: seen.onChange})
		ctx, cancel := context.WithCancel(t.Context())
		go driver.Run(ctx)
		<-time.After(3 * time.Second)
		if seen.seenAt("main", false) < 0 {
			t.Error("list never completed")
		}
		cancel()
		synctest.Wait()
	})
}

// longLists responds slowly to lists of one kind, as a store does whose configuration has
// thousands of routes.
type longLists struct {
	*fakeStore
	kind string
	took time.Duration
}

func (l longLists) List(ctx context.Context, kind string) ([]Object, int64, error) {
	if kind == l.kind && !sleep(ctx, l.took) {
		return nil, 0, ctx.Err()
	}
	return l.fakeStore.List(ctx, kind)
}

// Guards against a reader that does not probe the store while it verifies its watches.
// Workers change all the time, so that each second probe verifies all other kinds; while
// the configuration was listed, the last response of the store became older than followers
// rely on, and a zone of 25 entries listed everything at once.
func TestReaderProbesWhileItVerifies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for kind := range entryKinds {
			store.put(kind, "a")
		}
		reader := NewDriver(Config{Kinds: entryKinds, Store: longLists{store, "config", 1200 * time.Millisecond}, Log: zap.NewNop(), OnChange: func(string, []Change) {}})
		go reader.Run(t.Context())
		<-time.After(3 * time.Second)
		oldest := time.Duration(0)
		for i := range 200 {
			if i%2 == 0 {
				store.put("workers", "a")
			}
			<-time.After(100 * time.Millisecond)
			oldest = max(oldest, reader.StoreResponseAge())
		}
		// One interval between two probes, and the resolution of this test.
		if limit := ProbeInterval(0) + 100*time.Millisecond; oldest > limit {
			t.Errorf("last response of the store was %v old, want at most %v", oldest, limit)
		}
	})
}

// Guards against state that is lost when entries are restarted one after another while the
// store is down: each one that started knew nothing until the store was back, and the state
// was lost with the last one that knew it.
func TestStateIsHandedOnWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for kind := range entryKinds {
			store.put(kind, "a")
		}
		ctx, stop := context.WithCancel(t.Context())
		first := NewDriver(Config{Kinds: entryKinds, Store: store, Log: zap.NewNop(), OnChange: func(string, []Change) {}})
		go first.Run(ctx)
		<-time.After(time.Second)
		store.set(func() { store.down = true })
		previous := first
		var seen *recorder
		for range 4 {
			next, cancel := context.WithCancel(t.Context())
			seen = &recorder{started: time.Now()}
			driver := NewDriver(Config{
				Kinds: entryKinds, Store: store, Log: zap.NewNop(), Neighbours: &neighbour{driver: previous}, PullWait: 300 * time.Millisecond,
				StaleAfter: func() time.Duration { return 1250 * time.Millisecond }, SeedKind: "entries", SeedNeighbours: &neighbour{driver: previous},
				PreferredSource: func() Source { return NeighboursFirst }, OnChange: seen.onChange,
			})
			go driver.Run(next)
			<-time.After(2 * time.Second)
			if !driver.HasSynced() {
				t.Fatal("state is not passed on")
			}
			if driver.ReceivesStoreState() {
				t.Fatal("a process that receives nothing from the store reports that it does")
			}
			stop()
			stop, previous = cancel, driver
		}
		// Objects that expired while the store was down are kept for the grace time.
		store.remove("workers", "a")
		store.set(func() { store.down = false })
		<-time.After(2 * time.Second)
		if seen.seenAt("a", true) >= 0 {
			t.Error("expired objects are dropped at once")
		}
		<-time.After(3 * time.Second)
		if !previous.ReceivesStoreState() {
			t.Error("the process does not return to the store")
		}
		stop()
		synctest.Wait()
	})
}

// Guards against entries of a large zone that wait too long to ask the store after an
// outage while the one that they mirror from does not respond: two received a configuration
// 0.2 and 0.8 s after its bound. Guards as well against copies that learn late that the store is back,
// and keep a worker that left for the whole grace time from then on: it got requests 0.9 s after its bound.
func TestWaitsAfterAnOutageEndWithinTheBound(t *testing.T) {
	const within = 3 * time.Second
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 2300 * time.Millisecond, 3500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWithBound(t.Context(), 11, within)
				<-time.After(5 * time.Second)
				f.store.set(func() { f.store.down = true })
				<-time.After(4 * time.Second)
				f.leader.mu.Lock()
				f.leader.unresponsive = true
				f.leader.mu.Unlock()
				<-time.After(4 * time.Second)
				f.store.set(func() { f.store.down = false })
				<-time.After(after)
				f.store.put("config", "new")
				f.store.remove("workers", "a")
				<-time.After(max(settled-after, within))
				for i, seen := range f.seen {
					if seen.seenAt("new", false) < 0 {
						t.Errorf("follower %d has not seen a change of %v ago, made %v after the outage", i, max(settled-after, within), after)
					}
					if seen.seenAt("a", true) < 0 {
						t.Errorf("follower %d has not seen a removal of %v ago, made %v after the outage", i, max(settled-after, within), after)
					}
				}
			})
		})
	}
}

// Guards against an object that stays for good in a copy that switches to another neighbour: the
// first one retained it after an outage, the second had removed it already.
func TestRetainedObjectGoesWithAnotherNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		full := State{Kind: "workers", Revision: 9, Sequence: 4, Full: true, Objects: []Object{object("retained", 5), object("w", 6)}}
		other := NewKind(true)
		other.ApplyList([]Object{object("retained", 5), object("w", 6)}, 6, time.Now())
		other.ApplyEvents([]Event{{Object: object("retained", 5), Deleted: true}}, 9, time.Now())
		objects, removed, isFull := other.ChangesAfterRevision(9)
		switched := State{Kind: "workers", Revision: 9, Sequence: 2, Full: isFull, Objects: objects, Removed: removed}
		driver := NewDriver(Config{
			Kinds: map[string]bool{"workers": true}, Store: store, Log: zap.NewNop(), PullWait: 300 * time.Millisecond,
			Neighbours: &scriptedNeighbour{results: []PullResult{
				{Instance: 1, StoreReachable: true, StoreAvailableFor: time.Minute, States: []State{full}},
				{Instance: 2, StoreReachable: true, StoreAvailableFor: time.Minute, States: []State{switched}},
			}},
			StaleAfter:      func() time.Duration { return time.Minute },
			PreferredSource: func() Source { return NeighboursFirst }, OnChange: func(string, []Change) {},
		})
		go driver.pull(t.Context())
		<-time.After(time.Second)
		driver.mu.Lock()
		defer driver.mu.Unlock()
		if _, kept := driver.kinds["workers"].Get("retained"); kept {
			t.Error("object is kept that the new neighbour has removed")
		}
		if _, kept := driver.kinds["workers"].Get("w"); !kept {
			t.Error("object is lost that the new neighbour has")
		}
	})
}
