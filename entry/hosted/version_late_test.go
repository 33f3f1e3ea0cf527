package hosted

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/platform"
)

// stalledWatchStore names versions that its watches do not report: they stay open, but deliver
// no events.
type stalledWatchStore struct {
	mu      sync.Mutex
	version int
}

func (s *stalledWatchStore) List(context.Context, string) ([]mirror.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := json.RawMessage(`{"model":"m","version":` + string(rune('0'+s.version)) + `}`)
	return []mirror.Object{{Name: "m", Revision: int64(s.version), Value: value}}, int64(s.version), nil
}

func (s *stalledWatchStore) Revision(context.Context) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.version), nil
}

func (s *stalledWatchStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]mirror.Event, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// lateStore is a store whose responses take some time on the way. It names one version after the other.
type lateStore struct {
	stalledWatchStore
	way     time.Duration
	changed chan struct{}
}

func (s *lateStore) travel(ctx context.Context) {
	select {
	case <-time.After(s.way):
	case <-ctx.Done():
	}
}

func (s *lateStore) List(ctx context.Context, kind string) ([]mirror.Object, int64, error) {
	defer s.travel(ctx)
	return s.stalledWatchStore.List(ctx, kind)
}

func (s *lateStore) Revision(ctx context.Context) (int64, error) {
	defer s.travel(ctx)
	return s.stalledWatchStore.Revision(ctx)
}

func (s *lateStore) Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]mirror.Event, int64, error) {
	if _, revision, _ := s.stalledWatchStore.List(ctx, kind); revision <= after {
		select {
		case <-s.changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
	objects, revision, err := s.List(ctx, kind)
	if revision <= after || err != nil {
		return nil, after, err
	}
	return []mirror.Event{{Object: objects[0]}}, revision, nil
}

// readsLateStore has the entry learn of versions from a store whose responses take some time on the way.
func (d *deployment) readsLateStore(ctx context.Context, way time.Duration) {
	store := &lateStore{stalledWatchStore{version: 1}, way, make(chan struct{})}
	d.name = func(number int) {
		store.mu.Lock()
		store.version, d.rev = number, int64(number)
		store.mu.Unlock()
		close(store.changed)
	}
	kinds := map[string]bool{platform.KindVersions: false}
	go mirror.NewDriver(mirror.Config{
		Kinds: kinds, DatedKinds: map[string]bool{platform.KindVersions: true}, Store: store, Log: zap.NewNop(), OnChange: d.front.view.applyChanges,
	}).Run(ctx)
}

// Guards against requests that start on old weights after their bound: the entry had learned of
// the new version 0.4 s late and counted the bound from then on, while requests waited long at
// overloaded workers.
func TestNoRequestStartsOnOldWeightsWhenTheNewVersionIsLearntLate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		var mu sync.Mutex
		var latest time.Time
		d.worker("llm", "w1", 1, func(e *workerExchange) {
			<-time.After(800 * time.Millisecond)
			if _, err := e.Write([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": " + e.request.Header.Get(idHeader) + "\r\n" + sealHeader + ": seal\r\n" +
				versionHeader + ": 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
				return
			}
			mu.Lock()
			latest = time.Now()
			mu.Unlock()
			e.events(1, 1)
			e.end()
		})
		store := &stalledWatchStore{version: 1}
		driver := mirror.NewDriver(mirror.Config{
			Kinds: map[string]bool{platform.KindVersions: false}, Store: store, Log: zap.NewNop(), OnChange: d.front.view.applyChanges,
		})
		go driver.Run(t.Context())
		<-time.After(3 * time.Second)
		store.mu.Lock()
		store.version = 2
		store.mu.Unlock()
		named := time.Now()
		var asking sync.WaitGroup
		for time.Since(named) < 9*time.Second {
			asking.Go(func() { d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000") })
			<-time.After(100 * time.Millisecond)
		}
		asking.Wait()
		mu.Lock()
		defer mu.Unlock()
		if began := latest.Sub(named); began > d.front.view.settings.Bounds.VersionApply || began < 4*time.Second {
			t.Errorf("the last request on old weights started %v after the new version was named", began)
		}
	})
}

// Guards against a request that is sent to a worker after the bound of its weights and may start
// before the connection closes: entries that resumed from a suspension sent some.
func TestNothingIsSentToWeightsAfterTheirBound(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("llm", "w1", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
		d.version(2)
		// The bound is reached between the choice of the worker and the send, here while connecting.
		d.mu.Lock()
		d.connecting = versionMargin - startMargin + 2*time.Millisecond
		d.mu.Unlock()
		<-time.After(d.front.view.settings.Bounds.VersionApply - versionMargin - time.Millisecond)
		got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
		if sent := len(d.arrived()); sent != 0 || got.status != http.StatusServiceUnavailable {
			t.Errorf("%d requests sent, answered %d after %v", sent, got.status, got.took)
		}
	})
}
