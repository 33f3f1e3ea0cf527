package hosted

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumgw/lib/quarantine"
)

// Guards against a begun stream that can't be resumed any more since an attempt beside its silent worker was
// refused, not sent or superseded: its end was recorded without the version of the stream.
func TestStreamIsResumedAfterAHedgeThatEnded(t *testing.T) {
	for name, c := range map[string]struct {
		attempts string
		// goesOn has the first worker go on before it is lost, so that the hedge is superseded.
		goesOn bool
		// closes is when the worker is lost after the silence, zero for never.
		closes time.Duration
		hedge  func(s *callerServer, e *workerExchange)
	}{
		"refused": {attempts: "3", hedge: func(_ *callerServer, e *workerExchange) {
			e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
		}},
		"not sent":   {attempts: "2"},
		"superseded": {attempts: "3", goesOn: true, hedge: func(_ *callerServer, e *workerExchange) { <-time.After(10 * time.Second) }},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", newerConfig("8", `"attempts":2,"resumable"`, `"attempts":`+c.attempts+`,"resumable"`))
				var hedged atomic.Bool
				other := func(e *workerExchange) {
					if c.hedge != nil && hedged.CompareAndSwap(false, true) {
						c.hedge(s, e)
						return
					}
					pausingStream(0)(e)
				}
				first := true
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					if !first {
						other(e)
						return
					}
					first = false
					if c.hedge == nil {
						s.mu.Lock()
						s.refused["w2"] = true
						s.mu.Unlock()
						s.worker("llm", "w2", 1, other)
						time.AfterFunc(2100*time.Millisecond, func() { s.worker("llm", "w3", 1, other) })
					} else {
						s.worker("llm", "w2", 1, other)
						s.worker("llm", "w3", 1, other)
					}
					e.stream(1)
					e.events(1, 2)
					<-time.After(2250 * time.Millisecond)
					if c.goesOn {
						e.events(3, 3)
						<-time.After(50 * time.Millisecond)
					}
					e.Close()
				})
				got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
				if got.cut || got.body != events(1, 4) {
					t.Errorf("response %+v", got)
				}
				for _, a := range s.arrived() {
					t.Logf("%s after %q", a.worker, a.header.Get("Last-Event-Id"))
				}
			})
		})
	}
}

// Guards against a hedge that is given up before the request is over, once the first attempt is lost.
func TestHedgeThatIsLeftIsWaitedForUntilTheDeadline(t *testing.T) {
	for _, lost := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(lost.String(), func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
				begun := time.Now()
				s.worker("desk", "w1", 0, func(e *workerExchange) {
					s.worker("desk", "w2", 0, func(e *workerExchange) {
						<-time.After(time.Until(begun.Add(5500 * time.Millisecond)))
						done(e)
					})
					<-time.After(lost)
					e.Close()
				})
				got := s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000"))
				if got.status != http.StatusOK {
					t.Errorf("response %+v after %v, %d arrivals", got, time.Since(begun), len(s.arrived()))
				}
			})
		})
	}
}

// Guards against a response that has begun at another worker and is ended, because the first worker has crashed.
func TestHedgeThatHasBegunOutlivesACrash(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		withCallers(t, func(t *testing.T, s *callerServer) {
			s.worker("llm", "w1", 1, func(e *workerExchange) {
				s.worker("llm", "w2", 1, func(e *workerExchange) {
					<-time.After(200 * time.Millisecond) // 2.0 s
					e.stream(1)
					e.events(1, 4)
					e.end()
				})
				<-time.After(1900 * time.Millisecond)
				e.Close()
				<-time.After(250 * time.Millisecond)
				s.front.view.workerCrashed(quarantine.Start{Address: workerAddress("w1"), StartedAtMs: 1}, "test")
			})
			got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000", prefixHeader, "aa:9,cc:1"))
			if got.status != http.StatusOK || got.body != events(1, 4) {
				t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
			}
		})
	})
	t.Run("plain", func(t *testing.T) {
		withCallers(t, func(t *testing.T, s *callerServer) {
			s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
			v, start := s.front.view, quarantine.Start{Address: "gone", StartedAtMs: 1}
			v.requestLost(start, []string{quarantine.RequestName("a.example", "/view/x", "ws", nil)}, "ws")
			v.mu.Lock()
			v.quarantine.Crashed(start, "a", time.Now())
			v.mu.Unlock()
			s.worker("desk", "w1", 0, func(e *workerExchange) {
				s.worker("desk", "w2", 0, func(e *workerExchange) {
					<-time.After(600 * time.Millisecond)
					done(e)
				})
				<-time.After(2300 * time.Millisecond)
				s.mu.Lock()
				s.connecting = 300 * time.Millisecond
				s.refused["w1"] = true
				s.mu.Unlock()
				e.Close()
			})
			got := s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000"))
			if got.status != http.StatusOK {
				t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
			}
		})
	})
}

// Guards against a whole response of one attempt that is thrown away while another attempt stalls after its head.
func TestWholeResponseIsRelayedWhileAnotherStalls(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":3500`))
		s.worker("desk", "w1", 0, func(e *workerExchange) {
			s.worker("desk", "w2", 0, func(e *workerExchange) {
				<-time.After(400 * time.Millisecond)
				done(e)
			})
			<-time.After(2050 * time.Millisecond)
			e.head(http.StatusOK, sealHeader, "seal", "Content-Length", "4")
			<-time.After(1900 * time.Millisecond)
			fmt.Fprint(e, "done")
		})
		got := s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "3500"))
		if got.status != http.StatusOK {
			t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
		}
	})
}

// Guards against a stream that is cut since the attempt that was waited for was ended at the moment at which it had
// begun, and the one beside it was dropped for it.
func TestAttemptsThatBeginTogetherAreNotBothEnded(t *testing.T) {
	config := strings.Replace(strings.Replace(patientConfig, `"version":7`, `"version":8`, 1), `"attempts":2,"resumable"`, `"attempts":3,"resumable"`, 1)
	for step := range 120 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", config)
				begun := time.Now()
				other := func(e *workerExchange) {
					arrivals := len(s.arrived()) - 1
					at := begun.Add(4200*time.Millisecond + time.Duration(step)*time.Millisecond/2)
					if arrivals == 2 { // the third worker
						at = begun.Add(4210 * time.Millisecond)
					}
					<-time.After(time.Until(at))
					e.stream(1)
					e.events(3, 3)
					<-time.After(300 * time.Millisecond)
					e.events(4, 4)
					e.end()
				}
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					s.worker("llm", "w2", 1, other)
					s.worker("llm", "w3", 1, other)
					e.stream(1)
					e.events(1, 2)
					<-time.After(3 * time.Second)
					e.Close()
				})
				got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "20000"))
				arrivals := len(s.arrived()) - 1
				if got.cut || got.body != events(1, 4) {
					t.Errorf("response %+v after %d", got, arrivals)
				}
				if arrivals != 2 {
					t.Logf("%d arrivals", arrivals)
				}
			})
		})
	}
}

// Guards against a first attempt that panics and counts as running at its worker for ever.
func TestPanicOfAnAttemptLeavesNothing(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		buffers := s.front.buffers
		s.front.buffers = nil
		s.worker("desk", "w1", 0, done)
		if got := s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000")); got.status != http.StatusBadGateway {
			t.Errorf("response %+v", got)
		}
		s.front.buffers = buffers
		requireNoAttempts(t, s.deployment)
	})
}

// requireNoAttempts fails if an attempt counts as running.
func requireNoAttempts(t *testing.T, d *deployment) {
	t.Helper()
	v := d.front.view
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, service := range v.services {
		for _, status := range service.table.Status() {
			if status.OwnAttempts != 0 {
				t.Errorf("%s of %s has %d attempts", status.VM, name, status.OwnAttempts)
			}
		}
	}
}

// Guards against an attempt beside a silent one that panics and counts as running at its worker for ever.
func TestPanicOfAHedgeLeavesNothing(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
		buffers := s.front.buffers
		s.worker("desk", "w1", 0, func(e *workerExchange) {
			s.worker("desk", "w2", 0, func(e *workerExchange) {
				s.front.buffers = nil
				done(e)
			})
			<-time.After(2300 * time.Millisecond)
			s.front.buffers = buffers
			done(e)
		})
		got := s.connect().ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000"))
		if got.status != http.StatusOK || s.front.metrics.panics.Get() != 1 {
			t.Errorf("response %+v, %d panics", got, s.front.metrics.panics.Get())
		}
		requireNoAttempts(t, s.deployment)
	})
}

// Guards against a stream that waits for a worker that trickles bytes without an event, while another one has begun.
func TestTricklingWorkerIsReplaced(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			s.worker("llm", "w2", 1, pausingStream(100*time.Millisecond))
			e.stream(1)
			e.events(1, 2)
			for range 80 {
				e.chunk("d")
				<-time.After(50 * time.Millisecond)
			}
		})
		got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
		if got.cut || got.body != events(1, 4) || got.took > 2300*time.Millisecond {
			t.Errorf("response %+v", got)
		}
	})
}

// Guards against two attempts that work on for a caller that has left.
func TestCallerThatLeavesASilentStreamEndsBothAttempts(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		closed := make(chan time.Duration, 10)
		begun := time.Now()
		silent := func(e *workerExchange) {
			e.Read(make([]byte, 1))
			closed <- time.Since(begun)
		}
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			s.worker("llm", "w2", 1, silent)
			e.stream(1)
			e.events(1, 2)
			silent(e)
		})
		conn := s.connect()
		conn.send(requestText(http.MethodPost, "/chat/x", "", deadlineHeader, "6000"))
		go conn.receive()
		<-time.After(2200 * time.Millisecond)
		conn.Close()
		for range 2 {
			if at := <-closed; at > 2300*time.Millisecond {
				t.Errorf("ended after %v", at)
			}
		}
		<-time.After(time.Second)
	})
}

// Guards against a planned stop that leaves one of two attempts running, or an answer out.
func TestPlannedStopAnswersBesideTwoSilentWorkers(t *testing.T) {
	for _, target := range []string{"/chat/x", "/view/x"} {
		t.Run(target, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":60000`, `"timeout_ms":6000`, `"timeout_ms":60000`))
				begun := time.Now()
				ended := make(chan time.Duration, 10)
				silent := func(e *workerExchange) {
					_, _ = e.Read(make([]byte, 1))
					ended <- time.Since(begun)
				}
				for i := range 3 {
					s.worker("llm", fmt.Sprint("w", i), 1, silent)
					s.worker("desk", fmt.Sprint("d", i), 0, silent)
				}
				conn := s.connect()
				stop := s.beginStop(8 * time.Second)
				conn.send(requestText(http.MethodPost, target, "p", deadlineHeader, "60000"))
				got := conn.receive()
				t.Logf("%+v %d arrivals", got, len(s.arrived()))
				if got.cut {
					t.Error("cut")
				}
				for range len(s.arrived()) {
					t.Log(<-ended)
				}
				<-stop.ended
			})
		})
	}
}

// Guards against mixed, doubled or missing events, attempts beyond those of the route, and attempts, memory or waits
// that are never returned, under random silences, losses and refusals of all workers.
func TestRandomSilencesKeepThePromises(t *testing.T) {
	const streamEvents = 6
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				var mu sync.Mutex
				rng := rand.New(rand.NewPCG(seed, 1))
				draw := func(n int) int {
					mu.Lock()
					defer mu.Unlock()
					return rng.IntN(n)
				}
				attempts := 2 + draw(2)
				s.put("config", "main", newerConfig("8", `"attempts":2`, fmt.Sprint(`"attempts":`, attempts), `"timeout_ms":1200`, `"timeout_ms":6000`))
				pause := func() {
					<-time.After(time.Duration([]int{0, 5, 300, 1800, 1900, 2020, 2100, 2300, 2500}[draw(9)]) * time.Millisecond)
				}
				misbehave := func(e *workerExchange) bool {
					switch draw(9) {
					case 0:
						e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
					case 1:
						e.Close()
					case 2:
						e.complete(http.StatusInternalServerError, "failed")
					case 3:
						e.head(http.StatusOK, versionHeader, "1", "Content-Length", "0")
					default:
						return false
					}
					return true
				}
				plain := func(e *workerExchange) {
					pause()
					if misbehave(e) {
						return
					}
					if draw(3) == 0 {
						e.head(http.StatusOK, sealHeader, "seal", "Content-Length", "4")
						pause()
						fmt.Fprint(e, "do")
						pause()
						fmt.Fprint(e, "ne")
						return
					}
					done(e)
				}
				stream := func(e *workerExchange) {
					pause()
					if misbehave(e) {
						return
					}
					from := 1
					if after, err := strconv.Atoi(e.request.Header.Get("Last-Event-Id")); err == nil {
						from = after + 1
					}
					version := 1
					if draw(8) == 0 {
						version = 2
					}
					e.stream(version)
					for id := from; id <= streamEvents; id++ {
						if draw(2) == 0 {
							pause()
						}
						if draw(10) == 0 {
							e.Close()
							return
						}
						e.chunk(fmt.Sprintf("id: %d\nda", id))
						if draw(4) == 0 {
							pause()
						}
						e.chunk("ta: x\n\n")
					}
					e.end()
				}
				for i := range 4 {
					s.worker("desk", fmt.Sprint("d", i), 0, plain)
					s.worker("llm", fmt.Sprint("w", i), 1, stream)
				}
				var callers sync.WaitGroup
				for n := range 6 {
					conn := s.connect()
					id := fmt.Sprint("q", n)
					leaves := time.Duration(draw(9000)) * time.Millisecond
					callers.Go(func() {
						<-time.After(time.Duration(100*n) * time.Millisecond)
						text := requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
						if n%2 == 0 {
							text = requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000")
						}
						time.AfterFunc(leaves, func() { conn.Close() })
						conn.send(strings.Replace(text, "r1", id, 1))
						got := conn.receive()
						switch {
						case n%2 == 0 && got.status == http.StatusOK && !got.cut && got.body != "done":
							t.Errorf("plain %+v", got)
						case n%2 == 1 && got.status == http.StatusOK && !got.cut && got.body != events(1, streamEvents):
							t.Errorf("stream %+v", got)
						case n%2 == 1 && got.status == http.StatusOK && !strings.HasPrefix(events(1, streamEvents), got.body):
							t.Errorf("cut stream %+v", got)
						}
						conn.Close()
					})
				}
				callers.Wait()
				<-time.After(30 * time.Second)
				sent := make(map[string]int)
				for _, a := range s.arrived() {
					sent[a.header.Get(idHeader)]++
				}
				for id, n := range sent {
					if n > attempts {
						t.Errorf("%s arrived %d times of %d", id, n, attempts)
					}
				}
				if used := s.held(); used != 0 {
					t.Errorf("%d bytes of responses are not released", used)
				}
				if n := s.front.metrics.panics.Get(); n != 0 {
					t.Errorf("%d panics", n)
				}
				requireNoAttempts(t, s.deployment)
				v := s.front.view
				v.mu.Lock()
				defer v.mu.Unlock()
				for id, w := range v.workers {
					if expected := w.waits.Expected(time.Now()); expected > 5*time.Second {
						t.Errorf("%s: waits of %v are expected", id, expected)
					}
				}
			})
		})
	}
}
