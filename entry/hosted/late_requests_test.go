package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// stopGrace is the time from SIGTERM to SIGKILL in the tests of a planned stop.
const stopGrace = 8 * time.Second

// plannedStop is a planned stop in virtual time.
type plannedStop struct {
	begun time.Time
	// ended delivers the result of the stop, and took how long it took.
	ended chan error
	took  time.Duration
}

// beginStop begins a planned stop.
func (s *callerServer) beginStop(grace time.Duration) *plannedStop {
	s.front.view.settings.Bounds.Grace = grace
	p := &plannedStop{begun: time.Now(), ended: make(chan error, 1)}
	go func() {
		err := s.process.stop(s.drain, time.After(leaveWait(grace)))
		p.took = time.Since(p.begun)
		p.ended <- err
	}()
	return p
}

// wait waits until some time after the begin of the stop.
func (p *plannedStop) wait(since time.Duration) { <-time.After(time.Until(p.begun.Add(since))) }

// Guards against a worker that is told of more time than the entry has left: a forwarded time budget
// ends with the planned stop of the entry, in first attempts and in repeats.
func TestForwardedTimeBudgetEndsWithThePlannedStop(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		for _, id := range []string{"w1", "w2"} {
			s.worker("llm", id, 1, func(e *workerExchange) {
				if len(s.arrived()) == 1 {
					e.crash()
					return
				}
				e.stream(1)
				e.events(0, 3)
				e.end()
			})
		}
		conn := s.connect()
		stop := s.beginStop(stopGrace)
		stop.wait(2 * time.Second)
		if got := conn.ask(requestText(http.MethodPost, "/chat/x", "p", deadlineHeader, "6000")); got.status != http.StatusOK || got.cut {
			t.Errorf("response %+v", got)
		}
		arrived := s.arrived()
		if len(arrived) != 2 {
			t.Fatalf("%d attempts", len(arrived))
		}
		for _, a := range arrived {
			ms, err := strconv.Atoi(a.header.Get(deadlineHeader))
			if end := a.at.Add(time.Duration(ms) * time.Millisecond).Sub(stop.begun); err != nil || end > stopGrace-stopMargin {
				t.Errorf("worker %s may work until %v of the grace: %v", a.worker, end, err)
			}
		}
		if err := <-stop.ended; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
}

// patientConfig is testConfig with routes whose requests may take 20 s, and streams whose callers wait
// 12 s for an event.
var patientConfig = strings.NewReplacer(`"version":7`, `"version":8`, `"timeout_ms":6000`, `"timeout_ms":20000`, `"timeout_ms":1200`, `"timeout_ms":20000`,
	`"target_latency_ms":400`, `"target_latency_ms":3000`).Replace(testConfig)

// Guards against a request that is cut without an answer because it still runs at the end of a planned
// stop. Each is answered with an unknown outcome, in time and for good, and none is sent again.
func TestRequestAtItsWorkerAtTheEndOfAPlannedStopIsAnswered(t *testing.T) {
	silent := func(*workerExchange) { <-time.After(time.Minute) }
	for name, c := range map[string]struct {
		method, target, service string
		respond                 workerScript
	}{
		"may be repeated":              {http.MethodGet, "/view/x", "desk", silent},
		"runs at most once":            {http.MethodPost, "/book/x", "desk", silent},
		"stream that has not begun":    {http.MethodPost, "/chat/x", "llm", silent},
		"answer that has begun":        {http.MethodPost, "/book/x", "desk", func(e *workerExchange) { e.head(200, sealHeader, "s", "Content-Length", "9"); silent(e) }},
		"stream without an event":      {http.MethodPost, "/chat/x", "llm", func(e *workerExchange) { e.stream(1); silent(e) }},
		"stream with part of an event": {http.MethodPost, "/chat/x", "llm", func(e *workerExchange) { e.stream(1); e.chunk("id: 0\ndata"); silent(e) }},
		"answer without length":        {http.MethodGet, "/view/x", "desk", func(e *workerExchange) { e.head(200, sealHeader, "s"); fmt.Fprint(e, "part"); silent(e) }},
	} {
		for _, sent := range []time.Duration{-2 * time.Second, 0, 2 * time.Second} {
			t.Run(fmt.Sprint(name, ", sent after ", sent), func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.put("config", "main", patientConfig)
					s.worker(c.service, "w1", 1, c.respond)
					conn := s.connect()
					if sent < 0 {
						conn.send(requestText(c.method, c.target, ""))
						<-time.After(-sent)
					}
					stop := s.beginStop(stopGrace)
					if sent >= 0 {
						stop.wait(sent)
						conn.send(requestText(c.method, c.target, ""))
					}
					got := conn.receive()
					if got.cut || got.status != http.StatusBadGateway || !got.last {
						t.Errorf("response %+v", got)
					}
					if err := <-stop.ended; err != nil || stop.took > stopGrace-stopMargin {
						t.Errorf("stop after %v: %v", stop.took, err)
					}
					if n := len(s.arrived()); n != 1 {
						t.Errorf("sent %d times", n)
					}
				})
			})
		}
	}
}

// Guards against a stream that a planned stop cuts within an event, ends as if it were complete, or
// ends sooner than the process has to.
func TestStreamAtTheEndOfAPlannedStopEndsAfterAnEvent(t *testing.T) {
	for name, end := range map[string]string{"chunked": "chunked", "without length": ""} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.put("config", "main", patientConfig)
				var last atomic.Pointer[time.Time]
				for _, id := range []string{"w1", "w2"} {
					s.worker("llm", id, 1, func(e *workerExchange) {
						fields := []string{sealHeader, "seal", versionHeader, "1", "Content-Type", "text/event-stream"}
						if end != "" {
							fields = append(fields, "Transfer-Encoding", end)
						}
						e.head(http.StatusOK, fields...)
						for id := 0; ; id++ {
							for _, part := range []string{fmt.Sprintf("id: %d\n", id), "data: x\n\n"} {
								if end != "" {
									part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
								}
								<-time.After(30 * time.Millisecond)
								if _, err := io.WriteString(e, part); err != nil {
									return
								}
								now := time.Now()
								last.Store(&now)
							}
						}
					})
				}
				conn := s.connect()
				stop := s.beginStop(stopGrace)
				stop.wait(time.Second)
				got := conn.ask(requestText(http.MethodPost, "/chat/x", "p"))
				if !got.cut || got.status != http.StatusOK || !strings.HasSuffix(got.body, "data: x\n\n") {
					t.Errorf("response ends with %q: %+v", got.body[max(0, len(got.body)-20):], got.status)
				}
				if at := last.Load().Sub(stop.begun); at < stopGrace-stopMargin-2*answerReserve {
					t.Errorf("ended after %v", at)
				}
				if err := <-stop.ended; err != nil {
					t.Errorf("stop: %v", err)
				}
				if n := len(s.arrived()); n != 1 {
					t.Errorf("sent %d times", n)
				}
			})
		})
	}
}
