package hosted

import (
	"context"
	"net/http"
	"testing"
	"time"

	"laburnumgw/lib/catalog"
)

// silentChanges returns changes of the state of an entry that must end no request.
func silentChanges() map[string]func(s *callerServer) {
	return map[string]func(s *callerServer){
		"no change": func(*callerServer) {},
		"route to another": func(s *callerServer) {
			s.put("config", "main", newerConfig("9", `"service":"llm"`, `"service":"desk"`))
		},
		"route dropped": func(s *callerServer) {
			s.put("config", "main", newerConfig("9", "/chat/", "/talk/", "/view/", "/look/"))
		},
		"shorter timeout": func(s *callerServer) {
			s.put("config", "main", newerConfig("9", `"timeout_ms":6000`, `"timeout_ms":500`))
		},
		"key dropped":       func(s *callerServer) { s.put("config", "main", newerConfig("9", `"key"`, `"other"`)) },
		"storm":             func(s *callerServer) { s.storm(20) },
		"worker not listed": func(s *callerServer) { s.remove("servers", "w1"); s.remove("servers", "d1") },
		"settings reloaded": func(s *callerServer) { s.front.view.reconfigure(s.front.view.settings) },
		"shorter idle limit": func(s *callerServer) {
			s.put("config", "main", newerConfig("9", `"idle_timeout_ms":15000`, `"idle_timeout_ms":1000`))
		},
	}
}

// Guards against a request of a sound worker that is silent for a second and goes on: its stream was
// cut with a closed connection after three gaps, its plain requests were repeated after three
// objectives, and the worker was ejected. Neither the worker nor the process beside it sends
// anything while it is silent.
func TestSilenceOfASecondEndsNothing(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for name, change := range silentChanges() {
		for _, other := range []bool{false, true} {
			t.Run(name+map[bool]string{false: ", alone", true: ", another one comes"}[other], func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					// The plain route is not cut short by its own timeout.
					s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
					s.worker("llm", "w1", 1, func(e *workerExchange) {
						<-time.After(silence)
						e.stream(1)
						e.events(1, 2)
						<-time.After(silence)
						e.events(3, 4)
						e.end()
					})
					s.worker("desk", "d1", 0, func(e *workerExchange) {
						<-time.After(silence)
						done(e)
					})
					time.AfterFunc(silence/2, func() {
						if other {
							s.worker("llm", "w2", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
							s.worker("desk", "d2", 0, done)
						}
						change(s)
					})
					stream, plain := s.connect(), s.connect()
					stream.send(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
					plain.send(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000"))
					if got := plain.receive(); got.status != http.StatusOK || got.body != "done" || got.cut {
						t.Errorf("plain response %+v", got)
					}
					if got := stream.receive(); got.status != http.StatusOK || got.body != events(1, 4) || got.cut {
						t.Errorf("stream %+v", got)
					}
					if n := len(s.arrived()); n != 2 {
						t.Errorf("%d requests reached workers, want 2", n)
					}
					if n := s.front.metrics.cutResponse("stream_cut").Get(); n != 0 {
						t.Errorf("%d responses cut", n)
					}
				})
			})
		}
	}
}

// Guards against the ejection of a worker whose only fault is that it was silent for a second, and
// against leaving it out once it goes on.
func TestSilenceOfASecondEjectsNoWorker(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
		silentUntil := time.Now().Add(1200 * time.Millisecond)
		for _, id := range []string{"d1", "d2", "d3"} {
			d.worker("desk", id, 0, func(e *workerExchange) {
				if id == "d1" {
					<-time.After(time.Until(silentUntil))
				}
				done(e)
			})
		}
		responses := make(chan callerResponse)
		for range 30 {
			go func() {
				responses <- d.ask(context.Background(), http.MethodGet, "/view/x", "", deadlineHeader, "6000")
			}()
		}
		for range 30 {
			if got := <-responses; got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
		if n := d.front.metrics.retries.Get(); n != 0 {
			t.Errorf("%d retries", n)
		}
		counts := make(map[string]int)
		for range 30 {
			d.ask(context.Background(), http.MethodGet, "/view/x", "", deadlineHeader, "6000")
		}
		for _, a := range d.arrived()[30:] {
			counts[a.worker]++
		}
		if counts["d1"] == 0 {
			t.Errorf("the worker gets no requests after its silence: %v", counts)
		}
	})
}

// Guards against waiting for a worker that is gone for good until the caller gives up: one whose
// machine refuses or resets connections is replaced at once, whatever the patience for a silent one.
func TestWorkerThatIsGoneIsReplacedAtOnce(t *testing.T) {
	for name, respond := range map[string]workerScript{"refused": nil, "closed": func(e *workerExchange) { e.Close() }} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("llm", "w1", 1, respond)
				d.worker("llm", "w2", 1, func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go d.reportContinuously(ctx, "w2", 1)
				for range 6 {
					got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")
					if got.status != http.StatusOK || got.took > 500*time.Millisecond {
						t.Fatalf("response %+v", got)
					}
				}
			})
		})
	}
}

// Guards against a patience that leaves no time for a repeat: of each route, a repeat after it can
// still begin within the objective before callers of a stream give up, and one of a stream without an event before
// the entry ends it.
func TestPatienceLeavesTimeForARepeat(t *testing.T) {
	for _, route := range []catalog.Route{
		{}, {Objective: 150 * time.Millisecond}, {Objective: 500 * time.Millisecond}, {Objective: 400 * time.Millisecond, EventGapTarget: 300 * time.Millisecond}, {Objective: 3 * time.Second},
	} {
		patience, first := silencePatience(&route), firstEventPatience(&route)
		if patience < 1500*time.Millisecond || patience+route.Objective > route.CallerEventTimeout() {
			t.Errorf("%v for objective %v and gap %v, callers wait %v", patience, route.Objective, route.EventGapTarget, route.CallerEventTimeout())
		}
		// The entry ends a stream without an event 0.2 s before its caller.
		left := route.CallerEventTimeout() - 200*time.Millisecond - first
		if first < 1500*time.Millisecond || left < min(max(route.Objective, 200*time.Millisecond), 300*time.Millisecond) {
			t.Errorf("%v before the first event, %v left, for objective %v and gap %v", first, left, route.Objective, route.EventGapTarget)
		}
	}
}

// Guards against a patience that grows with the time for which callers of a route wait: a stream at a
// worker that had gone dark was answered 504 at the end of its time, without an attempt at another one.
func TestStreamOfAPatientRouteIsRepeatedInTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *deployment) {
		d.put("config", "main", newerConfig("8", `"target_latency_ms":400`, `"target_latency_ms":500`, `"gap_target_ms":300`, `"gap_target_ms":500`))
		respond := func(e *workerExchange) { e.stream(1); e.events(1, 1); e.end() }
		d.worker("llm", "w1", 1, func(*workerExchange) { <-time.After(time.Minute) })
		d.worker("llm", "w2", 1, respond)
		for range 6 {
			if got := d.ask(t.Context(), http.MethodPost, "/chat/x", "p", deadlineHeader, "2500"); got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
	})
}

// Guards against a closed connection in place of the rest of an answer: a stream whose worker was
// silent for a second after its first events was cut, since no other worker had its weights.
func TestBegunStreamOutlastsTheSilenceOfItsWorker(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			e.stream(1)
			e.events(1, 2)
			<-time.After(1200 * time.Millisecond)
			e.events(3, 4)
			e.end()
		})
		got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
		if got.cut || got.body != events(1, 4) || len(s.arrived()) != 1 {
			t.Errorf("stream %+v, %d attempts", got, len(s.arrived()))
		}
	})
}

// Guards against an answer that is ended for the silence of its worker although nothing can take its
// place: a stream that was resumed once was cut with a closed connection when its second worker
// was silent for longer than a worker is waited for otherwise, and so was one without another worker.
func TestSilenceEndsNothingThatCannotBeRepeated(t *testing.T) {
	// Longer than silencePatience, and shorter than callers wait.
	const silence = 2300 * time.Millisecond
	pausing := func(e *workerExchange) {
		e.stream(1)
		e.events(1, 2)
		<-time.After(silence)
		e.events(3, 4)
		e.end()
	}
	closing := func(e *workerExchange) { e.stream(1); e.events(1, 2); e.Close() }
	resumed := func(e *workerExchange) {
		e.stream(1)
		<-time.After(silence)
		e.events(3, 4)
		e.end()
	}
	for name, c := range map[string]struct {
		prepare  func(s *callerServer)
		request  string
		body     string
		arrivals int
	}{
		"stream, only worker": {
			func(s *callerServer) { s.worker("llm", "w1", 1, pausing) },
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"), events(1, 4), 1,
		},
		"stream, the other worker has other weights": {
			func(s *callerServer) {
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					s.worker("llm", "w2", 2, closing)
					pausing(e)
				})
			},
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"), events(1, 4), 1,
		},
		"stream, last attempt": {
			func(s *callerServer) {
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					s.worker("llm", "w2", 1, resumed)
					s.worker("llm", "w3", 1, resumed)
					closing(e)
				})
			},
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"), events(1, 4), 2,
		},
		"stream, no retry budget": {
			func(s *callerServer) {
				s.withoutRetryBudget()
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					s.worker("llm", "w2", 1, closing)
					pausing(e)
				})
			},
			requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"), events(1, 4), 1,
		},
		"plain, only worker": {
			func(s *callerServer) {
				s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
				s.worker("desk", "d1", 0, func(e *workerExchange) {
					<-time.After(2 * silence)
					done(e)
				})
			},
			requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000"), "done", 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				c.prepare(s)
				if got := s.connect().ask(c.request); got.cut || got.body != c.body || len(s.arrived()) != c.arrivals {
					t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
				}
			})
		})
	}
}
