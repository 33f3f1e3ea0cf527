package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// unmarked writes the head of a stream without length and chunks, which ends with its connection.
func (e *workerExchange) unmarked() {
	e.head(http.StatusOK, sealHeader, "seal", versionHeader, "1", "Content-Type", "text/event-stream")
}

// Guards against a stream without length and chunks that breaks off inside an event, or before the
// first one, and is passed on as complete.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const event = "id: %d\ndata: x\n\n"
	for name, c := range map[string]struct {
		respond  workerScript
		status   int
		cut      bool
		body     string
		arrivals int
	}{
		"whole": {func(e *workerExchange) {
			e.unmarked()
			fmt.Fprintf(e, event+event, 1, 2)
			e.Close()
		}, http.StatusOK, false, events(1, 2), 1},
		"after an event, in a crash": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "1" {
				fmt.Fprintf(e, event, 2)
				e.Close()
				return
			}
			fmt.Fprintf(e, event, 1)
			e.crash()
		}, http.StatusOK, false, events(1, 2), 2},
		"inside an event, resumed": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "1" {
				fmt.Fprintf(e, event, 2)
			} else {
				fmt.Fprintf(e, event+"id: 2\nda", 1)
			}
			e.Close()
		}, http.StatusOK, false, events(1, 2), 2},
		"inside an event, each time": {func(e *workerExchange) {
			e.unmarked()
			if e.request.Header.Get("Last-Event-Id") == "" {
				fmt.Fprintf(e, event, 1)
			}
			fmt.Fprint(e, "id: 2\ndata")
			e.Close()
		}, http.StatusOK, true, events(1, 1), 2},
		"before the first event": {func(e *workerExchange) {
			e.unmarked()
			e.Close()
		}, http.StatusBadGateway, false, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				for _, worker := range []string{"w1", "w2"} {
					d.worker("llm", worker, 1, func(e *workerExchange) {
						e.crash = func() {
							d.mu.Lock()
							defer d.mu.Unlock()
							d.refused[worker] = true
							e.Close()
						}
						c.respond(e)
					})
				}
				got := d.askWith(t, "cc:1")
				if got.status != c.status || got.cut != c.cut || (c.body != "" && got.body != c.body) || len(d.arrived()) != c.arrivals {
					t.Errorf("response %+v, %d arrivals", got, len(d.arrived()))
				}
			})
		})
	}
}

// endState is what a worker has become when its response ends with its connection.
type endState struct {
	// listing changes the entry of the worker; nil for none.
	listing func(d *deployment, service string)
	// says is set when the response states that the worker is leaving.
	says bool
	// gone has the worker refuse connections from then on.
	gone bool
	// identify answers the question who the worker is; nil for its name and its start.
	identify workerScript
	// silence is how long the worker sends nothing after the response.
	silence time.Duration
	// isUnclear is set when the answers do not tell whether it is the same worker.
	isUnclear bool
	// isShown is set when the response is complete.
	isShown bool
}

// endStates returns the states of worker w1, whose entry has a version of the weights.
func endStates(version int) map[string]endState {
	leaves := func(d *deployment, service string) {
		d.put("servers", "w1", workerEntry(service, "w1", "draining", version))
	}
	lapses := func(d *deployment, _ string) { d.remove("servers", "w1") }
	isBack := func(d *deployment, service string) {
		d.put("servers", "w1", strings.Replace(workerEntry(service, "w1", "ready", version), `"born":1`, `"born":2`, 1))
	}
	closes := func(e *workerExchange) { e.Close() }
	resets := func(e *workerExchange) {
		fmt.Fprint(e, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"born\":1")
		e.Close()
	}
	nameless := func(e *workerExchange) { e.head(http.StatusOK, "Content-Length", "0") }
	another := func(e *workerExchange) {
		e.head(http.StatusMisdirectedRequest, "X-Laburnumgw-Instance-Id", "w1", "Content-Length", "0")
	}
	named := func(e *workerExchange) { e.identity("w9", 9) }
	refuses := func(e *workerExchange) {
		e.head(http.StatusServiceUnavailable, "X-Laburnumgw-Instance-Id", "w1", "Content-Length", "0")
	}
	without := func(e *workerExchange) {
		e.head(600, "X-Laburnumgw-Instance-Id", "w1", "Content-Length", "10")
		fmt.Fprint(e, `{"born":1}`)
	}
	return map[string]endState{
		"answers without a status":         {identify: without, isUnclear: true},
		"lives":                            {isShown: true},
		"lives and is unhealthy":           {identify: refuses, isShown: true},
		"is gone":                          {gone: true},
		"leaves":                           {listing: leaves, isShown: true},
		"leaves and is gone":               {listing: leaves, gone: true},
		"says that it leaves":              {says: true, isShown: true},
		"says that it leaves, and is gone": {says: true, gone: true},
		"leaves and is silent":             {listing: leaves, silence: time.Minute},
		"has lapsed":                       {listing: lapses, isShown: true},
		"has lapsed and is gone":           {listing: lapses, gone: true},
		"has lapsed and is silent":         {listing: lapses, silence: time.Minute},
		"has lapsed, its address is used":  {listing: lapses, identify: another},
		"is back under its name":           {listing: isBack, identify: func(e *workerExchange) { e.identity("w1", 2) }},
		"is back, an old answer":           {listing: isBack},
		"is another one":                   {identify: named},
		"is silent":                        {silence: time.Minute},
		"closes the connection":            {identify: closes, isUnclear: true},
		"breaks its answer off":            {identify: resets, isUnclear: true},
		"does not tell its name":           {identify: nameless, isUnclear: true},
	}
}

// endRoute is a route with what a caller gets when a response is complete, and when it is broken off.
type endRoute struct {
	target, service string
	version         int
	// config is what the configuration is changed to, from and to in turn.
	config       []string
	whole, other string
	// status is that of a response that is broken off, unless other is set.
	status   int
	isCut    bool
	decision endDecision
}

// Guards against a response without length and chunks that the end of its worker has cut short and that is passed on as
// complete, whatever state the worker is in, and against a whole one that is lost although its worker goes on.
func TestResponseIsCompleteOnlyIfItsWorkerLivesOn(t *testing.T) {
	for name, route := range map[string]endRoute{
		"resumable":     {"/chat/x", "llm", 1, nil, events(1, 2), events(1, 3), http.StatusOK, false, endResumed},
		"not resumable": {"/chat/x", "llm", 1, []string{`"resumable":true`, `"resumable":false`}, events(1, 2), "", http.StatusOK, true, endBrokenOff},
		"safe":          {"/view/x", "desk", 0, nil, "half", "done", http.StatusOK, false, endRepeated},
		"unsafe":        {"/book/x", "desk", 0, nil, "half", "", http.StatusBadGateway, false, endBrokenOff},
	} {
		for stateName, state := range endStates(route.version) {
			t.Run(name+", its worker "+stateName, func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) { checkEndAt(t, s, route, state) })
			})
		}
	}
}

// checkEndAt has worker w1 end a response in a state, and w2 take what is sent again.
func checkEndAt(t *testing.T, s *callerServer, route endRoute, state endState) {
	if route.config != nil {
		s.put("config", "main", newerConfig("8", route.config...))
	}
	s.worker(route.service, "w1", route.version, func(e *workerExchange) {
		s.worker(route.service, "w2", route.version, func(e *workerExchange) {
			if route.service == "desk" {
				done(e)
				return
			}
			e.stream(1)
			e.events(3, 3)
			e.end()
		})
		fields := []string{sealHeader, "seal", versionHeader, "1"}
		if route.service == "llm" {
			fields = append(fields, "Content-Type", "text/event-stream")
		}
		if state.says {
			fields = append(fields, "Server-Leaving", "1")
		}
		e.head(http.StatusOK, fields...)
		fmt.Fprint(e, route.whole)
		if state.listing != nil {
			state.listing(s.deployment, route.service)
		}
		s.mu.Lock()
		s.refused["w1"], s.identify, s.silentUntil = state.gone, state.identify, time.Now().Add(state.silence)
		s.mu.Unlock()
		e.Close()
	})
	got := s.connect().ask(requestText(http.MethodPost, route.target, "b", deadlineHeader, "2500"))
	wantStatus, wantBody, wantCut, arrivals, decision := http.StatusOK, route.whole, false, 1, endComplete
	if !state.isShown {
		wantStatus, wantCut, decision = route.status, route.isCut, route.decision
		if route.other != "" {
			wantBody, arrivals = route.other, 2
		}
	}
	if !state.isShown && state.isAskedOn(route) {
		wantStatus, arrivals, decision = http.StatusGatewayTimeout, 1, endBrokenOff
	}
	if wantStatus != http.StatusOK {
		wantBody = got.body
	}
	if got.status != wantStatus || got.body != wantBody || got.cut != wantCut || len(s.arrived()) != arrivals {
		t.Errorf("response %+v, %d arrivals", got, len(s.arrived()))
	}
	for _, d := range []endDecision{endComplete, endResumed, endRepeated, endBrokenOff} {
		if count := s.endsDecided(d); (count == 1) != (d == decision) || count > 1 {
			t.Errorf("%d ends counted as %s, decided is %s", count, d, decision)
		}
	}
}

// asked returns the number of questions that workers have received who they are.
func (d *deployment) asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.questions
}

// isAskedOn reports whether a worker is asked until the timeout of a route: it is shorter than the patience with silence, and a request
// that must not be repeated has no other bound.
func (s endState) isAskedOn(route endRoute) bool {
	return route.service == "desk" && (s.silence > 0 || (s.isUnclear && route.decision == endBrokenOff))
}

// endsDecided returns the number of ends that are counted with a decision.
func (d *deployment) endsDecided(decision endDecision) (count uint64) {
	for _, listing := range []string{"listed", "leaving", "unlisted"} {
		count += d.front.metrics.unmarkedEnd(decision, listing).Get()
	}
	return count
}

// Guards against a booking that is reported as lost, and a stream that is cut or runs twice, because a sound worker fell silent for a
// second after it had answered.
func TestSilenceAfterTheEndOfAResponseIsOutlasted(t *testing.T) {
	for name, route := range map[string]endRoute{
		"resumable":     {target: "/chat/x", service: "llm", version: 1, whole: events(1, 2)},
		"not resumable": {target: "/chat/x", service: "llm", version: 1, config: []string{`"resumable":true`, `"resumable":false`}, whole: events(1, 2)},
		"safe":          {target: "/view/x", service: "desk", whole: "half"},
		"unsafe":        {target: "/book/x", service: "desk", whole: "half"},
	} {
		t.Run(name, func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				checkEndAt(t, s, route, endState{silence: 900 * time.Millisecond, isShown: true})
			})
		})
	}
}

// Guards against a question that is lost with its connection, or whose connection is beyond the limit of the worker, and that is
// taken for the end of the worker.
func TestQuestionAfterTheEndOfAResponseIsRepeated(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		asked := 0
		lost := func(e *workerExchange) {
			if asked++; asked < 3 {
				e.Close()
				return
			}
			e.identity("w1", 1)
		}
		checkEndAt(t, s, endRoute{"/view/x", "desk", 0, nil, "half", "done", http.StatusOK, false, endRepeated}, endState{identify: lost, isShown: true})
		if s.asked() != 3 || s.front.metrics.identityQuestions.Get() != 3 {
			t.Errorf("%d questions arrived", s.asked())
		}
	})
}

// Guards against a whole stream that ends as broken off because the worker at which it was resumed had nothing more to
// write.
func TestResumedStreamMayHaveNoMoreEvents(t *testing.T) {
	for name, rest := range map[string]workerScript{
		"unmarked": func(e *workerExchange) { e.unmarked(); e.Close() },
		"marked":   func(e *workerExchange) { e.stream(1); e.end() },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, d *deployment) {
				d.worker("llm", "w1", 1, func(e *workerExchange) {
					d.worker("llm", "w2", 1, rest)
					e.unmarked()
					fmt.Fprint(e, events(1, 2))
					d.mu.Lock()
					d.refused["w1"] = true
					d.mu.Unlock()
					e.Close()
				})
				got := d.askWith(t, "cc:1")
				if got.status != http.StatusOK || got.cut || got.body != events(1, 2) || len(d.arrived()) != 2 {
					t.Errorf("response %+v, %d arrivals", got, len(d.arrived()))
				}
			})
		})
	}
}

// Guards against a whole response to HEAD that is lost because its worker has left: it has no body whose end could be
// missing.
func TestResponseToHeadEndsWithItsHead(t *testing.T) {
	withCallers(t, func(t *testing.T, s *callerServer) {
		s.worker("desk", "w1", 0, func(e *workerExchange) {
			s.mu.Lock()
			s.refused["w1"] = true
			s.mu.Unlock()
			e.head(http.StatusOK, sealHeader, "seal")
			e.Close()
		})
		conn := s.connect()
		conn.send(requestText(http.MethodHead, "/book/x", "", deadlineHeader, "2500"))
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodHead})
		if err != nil || response.StatusCode != http.StatusOK || s.asked() != 0 {
			t.Errorf("response %+v, %v, %d questions", response, err, s.asked())
		}
	})
}
