package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"laburnumgw/platform"
)

// Guards against an answer that is ended for the silence of its worker before another worker has begun
// one: the connection to the silent worker was closed first, and when the worker that was asked instead
// refused, closed its connection or had other weights, the caller got a cut stream or an error, although the
// first worker went on a moment later.
func TestSilentWorkerIsGivenUpOnlyOnceAnotherHasBegun(t *testing.T) {
	// Longer than the patience for silent workers, and shorter than callers wait.
	const midStreamSilence, firstSilence = 2300 * time.Millisecond, 2100 * time.Millisecond
	replacements := map[string]workerScript{
		"refuses": func(e *workerExchange) {
			e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
		},
		"closes":                       func(e *workerExchange) { e.Close() },
		"is misdirected":               func(e *workerExchange) { e.head(http.StatusMisdirectedRequest, "Content-Length", "0") },
		"fails":                        func(e *workerExchange) { e.complete(http.StatusInternalServerError, "failed") },
		"sends no seal":                func(e *workerExchange) { e.head(http.StatusOK, versionHeader, "1", "Content-Length", "0") },
		"is silent":                    func(*workerExchange) { <-time.After(10 * time.Second) },
		"sends a head and is silent":   func(e *workerExchange) { e.stream(1); <-time.After(10 * time.Second) },
		"closes before an event":       func(e *workerExchange) { e.stream(1); e.chunk("id: "); e.Close() },
		"answers with other weights":   func(e *workerExchange) { e.stream(2); e.events(3, 4); e.end() },
		"begins the stream once again": func(e *workerExchange) { e.stream(1); e.events(1, 4); e.end() },
	}
	wholeAgain := map[string]bool{"answers with other weights": true, "begins the stream once again": true}
	for name, replacement := range replacements {
		for _, route := range []string{"begun stream", "stream", "plain"} {
			if route != "begun stream" && wholeAgain[name] {
				continue // a proper answer there
			}
			t.Run(fmt.Sprintf("%s, the other worker %s", route, name), func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
					service, method, target, body := "llm", http.MethodPost, "/chat/x", events(1, 4)
					if route == "plain" {
						service, method, target, body = "desk", http.MethodGet, "/view/x", "done"
					}
					first := true
					respond := func(e *workerExchange) {
						if !first {
							replacement(e)
							return
						}
						first = false
						for _, id := range []string{"w2", "w3"} {
							s.worker(service, id, 1, replacement)
						}
						switch route {
						case "begun stream":
							e.stream(1)
							e.events(1, 2)
							<-time.After(midStreamSilence)
							e.events(3, 4)
							e.end()
						case "stream":
							<-time.After(firstSilence)
							e.stream(1)
							e.events(1, 4)
							e.end()
						case "plain":
							<-time.After(midStreamSilence)
							done(e)
						}
					}
					s.worker(service, "w1", 1, respond)
					got := s.connect().ask(requestText(method, target, "", deadlineHeader, "6000"))
					if got.cut || got.status != http.StatusOK || got.body != body {
						t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
					}
				})
			})
		}
	}
}

// pausingStream streams events 1 to 4, or what follows an event, and is silent for some time before the third one.
func pausingStream(silence time.Duration) workerScript {
	return func(e *workerExchange) {
		from := 1
		if after, err := strconv.Atoi(e.request.Header.Get("Last-Event-Id")); err == nil {
			from = after + 1
		}
		e.stream(1)
		if from <= 2 {
			e.events(from, 2)
		}
		<-time.After(silence)
		e.events(max(from, 3), 4)
		e.end()
	}
}

// Guards against events of two attempts in one answer, and against an answer without the events of either,
// whichever of a silent worker and the one that was asked beside it goes on first, or at the same moment.
func TestFirstOfTwoAttemptsIsRelayed(t *testing.T) {
	const patience = 2 * time.Second
	for first := 1905 * time.Millisecond; first <= 3*time.Second; first += 10 * time.Millisecond {
		for _, second := range []time.Duration{0, 105 * time.Millisecond, 305 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("%v and %v", first, second), func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.worker("llm", "w1", 1, func(e *workerExchange) {
						s.worker("llm", "w2", 1, pausingStream(second))
						pausingStream(first)(e)
					})
					got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
					// Callers leave 2.4 s after an event, and the entry ends a stream 0.2 s later.
					if served := min(first, patience+second) < 2600*time.Millisecond; got.cut == served || (served && got.body != events(1, 4)) {
						t.Errorf("response %+v", got)
					}
					want := 2
					if first < patience {
						want = 1
					}
					if n := len(s.arrived()); n != want {
						t.Errorf("%d arrivals, want %d", n, want)
					}
				})
			})
		}
	}
}

// Guards against a begun stream that forgets its weights when the worker that is asked beside the silent one refuses:
// no third worker was asked then, neither beside the first one nor once that one had ended.
func TestBegunStreamIsResumedAfterARefusalBesideIt(t *testing.T) {
	for name, end := range map[string]func(e *workerExchange){
		"stays silent": func(*workerExchange) { <-time.After(10 * time.Second) },
		"breaks off":   func(e *workerExchange) { <-time.After(2050 * time.Millisecond); e.Close() },
	} {
		t.Run("the first worker "+name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", newerConfig("8", `"attempts":2,"resumable"`, `"attempts":3,"resumable"`))
				s.worker("llm", "w1", 1, func(e *workerExchange) {
					s.worker("llm", "w2", 1, func(e *workerExchange) {
						s.worker("llm", "w3", 1, pausingStream(0))
						e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
					})
					e.stream(1)
					e.events(1, 2)
					end(e)
				})
				got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
				if got.cut || got.status != http.StatusOK || got.body != events(1, 4) {
					t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
				}
			})
		})
	}
}

// Guards against an attempt beside a silent one that works on once the other has gone on, and against one that
// counts as a failure of its worker then.
func TestAttemptBesideASilentOneEndsWithIt(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		closed := make(chan time.Duration, 10)
		begun := time.Now()
		silent := func(e *workerExchange) {
			_, err := e.Read(make([]byte, 1)) // until the entry closes the connection
			if err == nil {
				t.Error("bytes after the request")
			}
			closed <- time.Since(begun)
		}
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			for i := range 3 {
				s.worker("llm", fmt.Sprint("w", i+2), 1, silent)
			}
			e.stream(1)
			e.events(1, 2)
			<-time.After(2300 * time.Millisecond)
			e.events(3, 4)
			<-time.After(time.Second)
			e.end()
		})
		got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000"))
		if got.cut || len(s.arrived()) != 2 {
			t.Fatalf("response %+v, %d arrivals", got, len(s.arrived()))
		}
		if at := <-closed; at > 2400*time.Millisecond {
			t.Errorf("the other attempt ended after %v", at)
		}
		m := s.front.metrics
		if m.hedges.Get() != 1 || m.hedgesRelayed.Get() != 0 || m.silentAttempts.Get() != 0 || m.retries.Get() != 1 {
			t.Errorf("%d hedges, %d relayed, %d given up, %d retries", m.hedges.Get(), m.hedgesRelayed.Get(), m.silentAttempts.Get(), m.retries.Get())
		}
		v := s.front.view
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, status := range v.services["llm"].table.Status() {
			if status.Ejected {
				t.Errorf("%s is ejected", status.VM)
			}
		}
	})
}

// Guards against a request that ends with its first attempt although the one beside it goes on: the
// connection of the silent worker was lost while another one had been asked.
func TestAttemptBesideASilentOneOutlivesIt(t *testing.T) {
	for name, c := range map[string]struct {
		service, method, target, want string
		begin                         func(e *workerExchange)
	}{
		"begun stream": {"llm", http.MethodPost, "/chat/x", events(1, 4), func(e *workerExchange) { e.stream(1); e.events(1, 2) }},
		"plain":        {"desk", http.MethodGet, "/view/x", "done", func(*workerExchange) {}},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
				s.worker(c.service, "w1", 1, func(e *workerExchange) {
					s.worker(c.service, "w2", 1, func(e *workerExchange) {
						<-time.After(300 * time.Millisecond)
						if c.service == "desk" {
							done(e)
							return
						}
						e.stream(1)
						e.events(3, 4)
						e.end()
					})
					c.begin(e)
					<-time.After(2100 * time.Millisecond)
					e.Close()
				})
				got := s.connect().ask(requestText(c.method, c.target, "", deadlineHeader, "6000"))
				if got.cut || got.body != c.want || len(s.arrived()) != 2 {
					t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
				}
			})
		})
	}
}

// Guards against attempts beside silent workers that go beyond the retry budget: when all workers of a service
// fall silent, each of their requests would be sent twice.
func TestAttemptsBesideSilentOnesKeepTheRetryBudget(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		const requests, reserve = 60, 10.0
		bounds := &s.front.view.settings.Bounds
		bounds.RetryRatio, bounds.RetrySlack = 0.1, reserve
		s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`))
		for i := range 12 {
			s.worker("desk", fmt.Sprint("d", i), 0, func(e *workerExchange) {
				<-time.After(2500 * time.Millisecond)
				done(e)
			})
		}
		responses := make(chan callerResponse)
		for range requests {
			conn := s.connect()
			go func() { responses <- conn.ask(requestText(http.MethodGet, "/view/x", "", deadlineHeader, "6000")) }()
		}
		for range requests {
			if got := <-responses; got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
		repeats := len(s.arrived()) - requests
		if repeats < 1 || float64(repeats) > 0.1*requests+reserve {
			t.Errorf("%d repeats", repeats)
		}
	})
}

// Guards against a second worker that gets a request which is blocked by now, since workers have crashed on it
// or on a part of its prompt.
func TestBlockedRequestIsNotSentToAnotherWorkerAsWell(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("llm", "w1", 1, func(e *workerExchange) {
			s.worker("llm", "w2", 1, streamsWhole)
			s.put(platform.KindBlockedParts, "aa", `{"parts":["aa"]}`)
			e.stream(1)
			e.events(1, 2)
			<-time.After(2300 * time.Millisecond)
			e.events(3, 3)
			e.end()
		})
		got := s.connect().ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000", prefixHeader, "aa:9,cc:1"))
		if got.cut || got.body != events(1, 3) || len(s.arrived()) != 1 {
			t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
		}
	})
}

// Guards against an answer that is ended for a silence amid its bytes: each read of a response that had begun
// to arrive was bounded to 2 s, so that a sound worker that was silent for longer within a head, a body or an event
// lost its answer, with a closed connection for streams.
func TestSilenceAmidTheBytesOfAnAnswerEndsNothing(t *testing.T) {
	const silence = 2300 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\n" + sealHeader + ": seal\r\n" + versionHeader + ": 1\r\n"
	const streamHead = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		plain        bool
		before, rest string
		body         string
	}{
		"plain, head":            {true, head, "Content-Length: 4\r\n\r\ndone", "done"},
		"plain, body":            {true, head + "Content-Length: 4\r\n\r\ndo", "ne", "done"},
		"plain, chunked body":    {true, head + "Transfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n2", "\r\nne\r\n0\r\n\r\n", "done"},
		"stream, event":          {false, streamHead + "d\r\nid: 1\ndata: x", "\r\n2\r\n\n\n\r\n0\r\n\r\n", events(1, 1)},
		"stream, second event":   {false, streamHead + "f\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2", "\ndata: x\n\n\r\n0\r\n\r\n", events(1, 2)},
		"stream, before its end": {false, streamHead + "f\r\nid: 1\ndata: x\n\n\r\n0\r\n", "\r\n", events(1, 1)},
	} {
		for _, alone := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", only worker", false: ", the other one refuses"}[alone], func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.put("config", "main", newerConfig("8", `"timeout_ms":1200`, `"timeout_ms":6000`, `"target_latency_ms":400`, `"target_latency_ms":700`))
					service, target := "llm", "/chat/x"
					if c.plain {
						service, target = "desk", "/view/x"
					}
					s.worker(service, "w1", 1, func(e *workerExchange) {
						if !alone {
							s.worker(service, "w2", 1, func(e *workerExchange) {
								e.head(http.StatusServiceUnavailable, notRunHeader, "1", "Content-Length", "0")
							})
						}
						fmt.Fprint(e, c.before)
						<-time.After(silence)
						fmt.Fprint(e, c.rest)
					})
					got := s.connect().ask(requestText(http.MethodGet, target, "", deadlineHeader, "6000"))
					if got.cut || got.status != http.StatusOK || got.body != c.body {
						t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
					}
				})
			})
		}
	}
}
