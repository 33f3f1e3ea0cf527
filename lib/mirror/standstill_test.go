package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/suspend"
)

// standing is a process that stands still at times: its calls of the store neither begin nor return then, and its
// pulse rests.
type standing struct {
	Store
	pulse *suspend.Pulse
	// pulseFirst has the pulse run before everything else after a standstill; otherwise it runs last.
	pulseFirst bool

	mu    sync.Mutex
	until time.Time
}

func newStanding(ctx context.Context, store Store, pulseFirst bool) *standing {
	s := &standing{Store: store, pulse: suspend.NewPulse(nil), pulseFirst: pulseFirst}
	go func() {
		for sleep(ctx, 50*time.Millisecond) {
			if s.await() && !pulseFirst {
				<-time.After(5 * time.Millisecond)
			}
			s.pulse.Beat()
		}
	}()
	return s
}

// stand has the process stand still from now on.
func (s *standing) stand(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(length)
}

// await waits until the process runs, and reports whether it stood still.
func (s *standing) await() bool {
	s.mu.Lock()
	left := time.Until(s.until)
	s.mu.Unlock()
	if left <= 0 {
		return false
	}
	<-time.After(left)
	return true
}

// resume waits until the process runs and the order of pulse and reader allows the caller to go on.
func (s *standing) resume() {
	if s.await() && s.pulseFirst {
		<-time.After(time.Millisecond)
	}
}

func (s *standing) List(ctx context.Context, kind string) ([]Object, int64, error) {
	s.resume()
	defer s.resume()
	return s.Store.List(ctx, kind)
}

func (s *standing) Revision(ctx context.Context) (int64, error) {
	s.resume()
	defer s.resume()
	return s.Store.Revision(ctx)
}

func (s *standing) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error) {
	s.resume()
	defer s.resume()
	return s.Store.Watch(ctx, kind, after, wait)
}

// standingDriver starts a driver whose process stands still at times.
func standingDriver(ctx context.Context, store Store, pulseFirst bool) (*standing, *recorder) {
	process, seen := newStanding(ctx, store, pulseFirst), &recorder{started: time.Now()}
	driver := NewDriver(Config{Kinds: map[string]bool{"versions": false, "workers": true}, Store: process, Log: zap.NewNop(), OnChange: seen.onChange, EarliestArrival: process.pulse.EarliestArrival})
	go driver.Run(ctx)
	return process, seen
}

// eachStandstill runs a test for standstills of several lengths, a change at several times after their
// beginning, and both orders of the pulse and the reader after it.
func eachStandstill(t *testing.T, run func(t *testing.T, length, delay time.Duration, pulseFirst bool)) {
	for _, length := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for _, share := range []time.Duration{0, 1, 2} {
			for _, pulseFirst := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v_%d_%v", length, share, pulseFirst), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { run(t, length, length*share/2, pulseFirst) })
				})
			}
		}
	}
}

// Guards against a reader of the store that stands still while its watch waits and counts what arrived meanwhile
// as new: all entries dated a version as late as the reader had stood still, and sent requests to old weights after
// their bound.
func TestChangeThatArrivesDuringAStandstillIsNotDatedAfterIt(t *testing.T) {
	eachStandstill(t, func(t *testing.T, length, delay time.Duration, pulseFirst bool) {
		store := newFakeStore()
		store.put("versions", "a")
		process, seen := standingDriver(t.Context(), store, pulseFirst)
		<-time.After(3 * time.Second)
		process.stand(length)
		<-time.After(delay)
		store.put("versions", "b")
		made := time.Since(seen.started)
		<-time.After(5 * time.Second)
		checkLearnedAt(t, seen, "b", made, delay+100*time.Millisecond)
	})
}

// Guards against a watch that starts before a standstill, finds a change that was made before it and counts it as
// arrived with the standstill's beginning.
func TestChangeBeforeAWatchThatStandsStillIsNotDatedAfterTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("versions", "a")
		process, seen := standingDriver(t.Context(), store, false)
		<-time.After(3 * time.Second)
		store.put("versions", "b")
		<-time.After(batchWait / 4)
		store.put("versions", "c")
		made := time.Since(seen.started)
		<-time.After(batchWait*3/4 - time.Millisecond)
		process.stand(time.Second)
		<-time.After(4 * time.Second)
		checkLearnedAt(t, seen, "c", made, 300*time.Millisecond)
	})
}

// lateFailingStore is a store whose calls fail some time after they began while it is down.
type lateFailingStore struct {
	*fakeStore
	after time.Duration
}

func (s *lateFailingStore) failing() error {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		return nil
	}
	<-time.After(s.after)
	return errDown
}

func (s *lateFailingStore) List(ctx context.Context, kind string) ([]Object, int64, error) {
	if err := s.failing(); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.List(ctx, kind)
}

func (s *lateFailingStore) Revision(ctx context.Context) (int64, error) {
	if err := s.failing(); err != nil {
		return 0, err
	}
	return s.fakeStore.Revision(ctx)
}

// Guards against a call that fails long after it began, by its timeout or because the process stood still, and
// shows that the copy was complete when the failure was noticed: what was changed meanwhile counted from then.
func TestFailureThatIsNoticedLateDoesNotMakeACopyComplete(t *testing.T) {
	t.Run("timeout", func(t *testing.T) {
		for phase := time.Duration(0); phase < 800*time.Millisecond; phase += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				store := &lateFailingStore{newFakeStore(), 700 * time.Millisecond}
				store.put("versions", "a")
				_, seen := standingDriver(t.Context(), store, true)
				<-time.After(3 * time.Second)
				store.set(func() { store.down = true })
				<-time.After(5*time.Second + phase)
				store.set(func() { store.down = false })
				store.put("versions", "b")
				made := time.Since(seen.started)
				<-time.After(4 * time.Second)
				checkLearnedAt(t, seen, "b", made, 2500*time.Millisecond)
			})
		}
	})
	t.Run("standstill", func(t *testing.T) {
		for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 10 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				store := &lateFailingStore{newFakeStore(), 30 * time.Millisecond}
				store.put("versions", "a")
				process, seen := standingDriver(t.Context(), store, true)
				<-time.After(3 * time.Second)
				store.set(func() { store.down = true })
				<-time.After(phase)
				process.stand(3 * time.Second)
				<-time.After(40 * time.Millisecond)
				store.set(func() { store.down = false })
				store.put("versions", "b")
				made := time.Since(seen.started)
				<-time.After(7 * time.Second)
				checkLearnedAt(t, seen, "b", made, 2*time.Second)
			})
		}
	})
}

// Guards against a date that is late by more than the bounds of old weights allow for, after standstills that are too short
// to be detected.
func TestDatesAreLateByNoMoreThanTheirUncertainty(t *testing.T) {
	worst := time.Duration(0)
	for length := time.Duration(0); length <= 400*time.Millisecond; length += 5 * time.Millisecond {
		for _, offset := range []time.Duration{0, maxStoreWay / 2, maxStoreWay - time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put("versions", "a")
				process, seen := standingDriver(t.Context(), &distantStore{store, maxStoreWay}, false)
				<-time.After(3 * time.Second)
				store.put("versions", "b")
				made := time.Since(seen.started)
				<-time.After(offset)
				process.stand(length)
				<-time.After(3 * time.Second)
				late := seen.learnedAt("b") - made
				worst = max(worst, late)
				if late > DateUncertainty || late < -200*time.Millisecond {
					t.Errorf("standstill of %v: dated %v late", length, late)
				}
			})
		}
	}
	t.Logf("dated %v late at most", worst)
}

// distantStore is a store whose watches return after some time on the way.
type distantStore struct {
	*fakeStore
	way time.Duration
}

func (s *distantStore) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Event, int64, error) {
	events, revision, err := s.fakeStore.Watch(ctx, kind, after, wait)
	sleep(ctx, s.way)
	return events, revision, err
}

// Guards against a version that counts as named when a response of the store that was late on the way arrived: entries sent
// requests with time limits that ended after the bound of the old weights. That holds for a second version as well, which
// was named while the response was on the way.
func TestDatedChangeIsNotDatedAfterItWasMadeByALateResponse(t *testing.T) {
	for _, way := range []time.Duration{maxStoreWay, 200 * time.Millisecond, time.Second, 3 * time.Second} {
		for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("%v late, %v after the start", way, 3*time.Second+phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, seen := newFakeStore(), &recorder{started: time.Now()}
					store.put("versions", "a")
					kinds := map[string]bool{"versions": false}
					go NewDriver(Config{
						Kinds: kinds, DatedKinds: map[string]bool{"versions": true}, Store: &distantStore{store, way}, Log: zap.NewNop(), OnChange: seen.onChange,
					}).Run(t.Context())
					<-time.After(3*time.Second + phase)
					store.put("versions", "b")
					first := time.Since(seen.started)
					<-time.After(way / 2)
					store.put("versions", "c")
					second := time.Since(seen.started)
					<-time.After(10 * time.Second)
					checkLearnedAt(t, seen, "b", first, ProbeInterval(0)+maxStoreWay)
					checkLearnedAt(t, seen, "c", second, way/2+ProbeInterval(0)+maxStoreWay)
				})
			})
		}
	}
}
