package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/lib/quarantine"
	"laburnumgw/platform"
)

const authorizationHeader = "Authorization"

// Guards against a blocked whole request that still reaches workers, on any kind of route, and against
// a block that refuses others: of another path, body or caller.
func TestBlockedRequestIsRefusedAtOnce(t *testing.T) {
	for kind, path := range map[string]string{"unsafe": "/book/x", "safe": "/view/x", "streaming": "/chat/x"} {
		t.Run(kind, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("desk", "w1", 0, answers)
				d.worker("llm", "w2", 1, streamsWhole)
				large := strings.Repeat("large", 1<<18)
				for _, body := range []string{"bad", "", large} {
					d.put(platform.KindBlockedParts, quarantine.RequestName("a.example", path, "ws", []byte(body)), `{}`)
				}
				arrivals := 0
				for _, c := range []struct {
					method, target, body, key string
					chunked, blocked          bool
				}{
					{http.MethodPost, path, "bad", "key", false, true},
					{http.MethodPost, path, "bad", "second", false, true},
					{http.MethodPost, path, "bad", "key", true, true},
					{http.MethodPut, path + "?again=1", "bad", "key", false, true},
					{http.MethodGet, path, "", "key", false, true},
					{http.MethodHead, path, "", "key", false, true},
					{http.MethodPost, path, large, "key", true, true},
					{http.MethodPost, path, "bad", "other", false, false},
					{http.MethodPost, path, "good", "key", false, false},
					{http.MethodPost, path + "/y", "bad", "key", false, false},
					{http.MethodPost, path, large[1:], "key", true, false},
				} {
					fields := []string{deadlineHeader, "900", authorizationHeader, "Token " + c.key}
					var got callerResponse
					if c.chunked {
						got = d.askReading(t, c.target, unsized{strings.NewReader(c.body)}, fields...)
					} else {
						got = d.ask(t.Context(), c.method, c.target, c.body, fields...)
					}
					if !c.blocked {
						arrivals++
					}
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					refused := got.status == http.StatusServiceUnavailable && got.took == 0 && err == nil && after > 60
					if refused != c.blocked || (!c.blocked && got.status != http.StatusOK) || len(d.arrived()) != arrivals {
						t.Errorf("%s %s with %d bytes by %s: %d after %v, %d arrivals", c.method, c.target, len(c.body), c.key, got.status, got.took, len(d.arrived()))
					}
				}
			})
		})
	}
}

// Guards against a deadly request that callers without a key repeat, and that is not found because it has no
// workspace, or whose block holds for callers with one.
func TestRequestWithoutAWorkspaceIsBlocked(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.put(platform.KindConfig, "main", strings.Replace(testConfig, `"kind":"safe"`, `"public":true,"kind":"safe"`, 1))
		crash := func(e *workerExchange) {
			if string(e.body) != deadlyPart {
				answers(e)
				return
			}
			worker := e.request.Header.Get(instanceHeader)
			d.mu.Lock()
			d.refused[worker] = true
			d.mu.Unlock()
			e.Close()
		}
		go d.front.view.runQuarantine(t.Context(), func() bool { return false })
		for n := range 5 {
			worker := fmt.Sprint("w", n)
			d.worker("desk", worker, 0, crash)
			d.ask(t.Context(), http.MethodPost, "/view/x", deadlyPart, deadlineHeader, "900", authorizationHeader, "")
			<-time.After(time.Second)
		}
		if got := len(d.arrived()); got != 3 {
			t.Errorf("%d deadly requests reached workers", got)
		}
		if got := d.ask(t.Context(), http.MethodPost, "/view/x", deadlyPart, authorizationHeader, ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("response %+v", got)
		}
		if got := d.ask(t.Context(), http.MethodPost, "/view/x", "b", authorizationHeader, ""); got.status != http.StatusOK {
			t.Errorf("another body: %+v", got)
		}
		d.front.view.mu.Lock()
		defer d.front.view.mu.Unlock()
		if _, blocked := d.front.view.quarantine.Match([]string{quarantine.RequestName("a.example", "/view/x", "ws", []byte(deadlyPart))}, "ws"); blocked {
			t.Error("the request of a workspace is blocked")
		}
	})
}

// unsized hides the length of a body.
type unsized struct{ io.Reader }

// askReading sends a request whose body has no length.
func (d *deployment) askReading(t *testing.T, target string, body io.Reader, fields ...string) callerResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://a.example"+target, body)
	if err != nil {
		t.Fatal(err)
	}
	request.TransferEncoding, request.ContentLength = []string{"chunked"}, -1
	return d.askRequest(request, target, fields...)
}

// Guards against a request of a prompt that names a part like a whole request, and so has that one's
// evidence count against it.
func TestPartIsNeverTakenForARequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.worker("llm", "w1", 1, streamsWhole)
		name := quarantine.RequestName("a.example", "/chat/x", "other", nil)
		d.put(platform.KindBlockedParts, name, `{}`)
		if got := d.askWith(t, name+":9,cc:1"); got.status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
	})
}

// Guards against a request that an entry sends to one worker after the other although it was lost in
// another crash, and against giving up a sound one that was lost beside it.
func TestRequestOfAnotherCrashIsNotSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		earlier, refuses bool
		begun            int
		target           string
		status, arrivals int
	}{
		"first crash":                        {false, true, 0, "/view/x", http.StatusOK, 2},
		"lost in another crash":              {true, true, 0, "/view/x", http.StatusBadGateway, 1},
		"lost in another crash, stream":      {true, true, 0, "/chat/x", http.StatusBadGateway, 1},
		"lost in another crash, begun since": {true, true, 9, "/view/x", http.StatusOK, 2},
		"only a lost connection now":         {true, false, 0, "/view/x", http.StatusOK, 2},
		"at most once":                       {true, true, 0, "/book/x", http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				lost := false
				respond := func(e *workerExchange) {
					if !lost {
						lost = true
						worker := e.request.Header.Get(instanceHeader)
						d.mu.Lock()
						d.refused[worker] = c.refuses
						d.mu.Unlock()
						e.Close()
						if c.target == "/chat/x" {
							d.front.view.workerCrashed(quarantine.Start{Address: workerAddress(worker), StartedAtMs: 1}, "test")
						}
						return
					}
					if c.target == "/chat/x" {
						streamsWhole(e)
						return
					}
					answers(e)
				}
				for _, worker := range []string{"w1", "w2"} {
					d.worker("desk", "d"+worker, 0, respond)
					d.worker("llm", "l"+worker, 1, respond)
				}
				requestName := quarantine.RequestName("a.example", c.target, "ws", []byte("b"))
				if c.earlier {
					v, start := d.front.view, quarantine.Start{Address: "gone", StartedAtMs: 1}
					v.requestLost(start, []string{requestName}, "ws")
					v.mu.Lock()
					v.quarantine.Crashed(start, "a", time.Now())
					v.mu.Unlock()
				}
				for range c.begun {
					d.front.view.requestBegan([]string{requestName})
				}
				got := d.ask(t.Context(), http.MethodPost, c.target, "b", deadlineHeader, "900")
				if got.status != c.status || len(d.arrived()) != c.arrivals {
					t.Errorf("response %+v, %d arrivals", got, len(d.arrived()))
				}
			})
		})
	}
}

// Guards the path from whole requests of callers to the block at all entries and in the store: three
// workers of a plain service go down together, and again when they are back.
func TestEntriesTogetherBlockADeadlyRequest(t *testing.T) {
	for path, most := range map[string]int{"/view/x": 6, "/book/x": 6} {
		for _, entries := range []int{3, 8, 40} {
			t.Run(fmt.Sprint(path, " ", entries, " entries"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, "desk", entries, 3)
					var callers sync.WaitGroup
					sound, served := 0, 0
					for n := range 400 {
						<-time.After(50 * time.Millisecond)
						d, body, isDeadly := f.entries[n%entries], fmt.Sprint(n), n%5 == 4
						if n%5 == 3 {
							body = "poll"
						}
						if isDeadly {
							body = deadlyPart
						}
						callers.Go(func() {
							got := d.ask(t.Context(), http.MethodPost, path, body, deadlineHeader, "900")
							f.mu.Lock()
							defer f.mu.Unlock()
							if !isDeadly && len(f.crashes) > 0 && time.Since(f.crashes[0]) > 6*time.Second {
								sound++
								if got.status == http.StatusOK {
									served++
								}
							}
						})
					}
					callers.Wait()
					if len(f.arrivals) > most || len(f.crashes) < 3 {
						t.Errorf("%d deadly requests reached workers, %d crashes", len(f.arrivals), len(f.crashes))
					}
					if served < sound*49/50 || sound == 0 {
						t.Errorf("%d of %d sound requests served", served, sound)
					}
					name := quarantine.RequestName("a.example", path, "ws", []byte(deadlyPart))
					if _, stored := f.store.objects[name]; !stored || len(f.store.calls) != 1 {
						t.Errorf("calls of the store: %v", f.store.calls)
					}
					for _, d := range f.entries {
						if got := d.ask(t.Context(), http.MethodPost, path, deadlyPart); got.status != http.StatusServiceUnavailable {
							t.Errorf("%s answers %d", d.front.view.settings.VM, got.status)
						}
					}
					t.Logf("%d crashes, %d arrivals, %d of %d sound requests served", len(f.crashes), len(f.arrivals), served, sound)
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
}

// Guards against a whole request that stays blocked for good although it is sound again.
func TestTrialOfABlockedRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		name := quarantine.RequestName("a.example", "/book/x", "ws", []byte("b"))
		store := &fakeBlocks{objects: map[string]platform.BlockedPart{name: {Parts: []string{name}}}, rev: 7}
		d.front.view.blockStore = store
		d.worker("desk", "w1", 0, answers)
		store.list(t, d, name)
		for range 48 {
			<-time.After(15 * time.Minute)
			d.ask(t.Context(), http.MethodPost, "/book/x", "b")
			if _, listed := store.objects[name]; listed {
				store.list(t, d, name)
			}
		}
		if got := len(d.arrived()); got != quarantine.MaxTrials || len(store.objects) != 0 {
			t.Errorf("%d requests let through, calls %v", got, store.calls)
		}
	})
}

// BenchmarkRequestName tells what the name of a request costs.
func BenchmarkRequestName(b *testing.B) {
	for _, size := range []int{1 << 10, 4 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(fmt.Sprint(size>>10, " KB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				quarantine.RequestName("a.example", "/view/x", "ws", body)
			}
		})
	}
}
