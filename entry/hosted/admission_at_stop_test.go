package hosted

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// lateWork is how long workers take for a request in the tests of late requests, and lateBudget the
// time budget of the request.
const (
	lateWork   = 1500 * time.Millisecond
	lateBudget = 2500 * time.Millisecond
)

// lateRoutes are a route of each kind.
var lateRoutes = map[string]struct{ method, target string }{
	"may be repeated":   {http.MethodGet, "/view/x"},
	"runs at most once": {http.MethodPost, "/book/x"},
	"stream":            {http.MethodPost, "/chat/x"},
}

// slowWorkers adds workers of each service that take lateWork.
func (s *callerServer) slowWorkers() {
	s.put("config", "main", patientConfig)
	for _, id := range []string{"1", "2"} {
		s.worker("desk", "d"+id, 0, func(e *workerExchange) {
			<-time.After(lateWork)
			done(e)
		})
		s.worker("llm", "m"+id, 1, func(e *workerExchange) {
			e.stream(1)
			e.events(0, 0)
			<-time.After(lateWork)
			e.events(1, 1)
			e.end()
		})
	}
}

// expectLate checks a response near the end of a planned stop.
func (s *callerServer) expectLate(got callerResponse, want int) {
	s.t.Helper()
	if got.cut || got.status != want || !got.last {
		s.t.Errorf("want a complete last response with status %d, got %+v", want, got)
	}
	count := 0
	for _, a := range s.arrived() {
		if a.header.Get(idHeader) == "r1" {
			count++
		}
	}
	if ran := want != http.StatusServiceUnavailable; (count == 1) != ran || count > 1 {
		s.t.Errorf("answered %d, and sent to %d workers", got.status, count)
	}
	if want == http.StatusServiceUnavailable {
		if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after > 0.375 {
			s.t.Errorf("Retry-After %v: %v", after, err)
		}
	}
}

// expectStopped checks the end of a planned stop.
func (p *plannedStop) expectStopped(t *testing.T) {
	t.Helper()
	if err := <-p.ended; err != nil || p.took > stopGrace-stopMargin {
		t.Errorf("stop after %v: %v", p.took, err)
	}
}

// Guards against a request that arrives late in a planned stop, is passed on, and is cut at the end of
// the grace time, on whatever connection it comes. One that might outlast the entry is refused at once as not run.
func TestRequestThatArrivesLateInAPlannedStopIsServedOrRefused(t *testing.T) {
	const id = "Host: a.example\r\n" + idHeader + ": r0\r\nAuthorization: Token key\r\n\r\n"
	connections := map[string]func(s *callerServer, text string) (conn *callerConn, rest string){
		"silent connection": func(s *callerServer, text string) (*callerConn, string) { return s.connect(), text },
		"connection within a header": func(s *callerServer, text string) (*callerConn, string) {
			conn := s.connect()
			conn.send(text[:20])
			return conn, text[20:]
		},
		"kept connection within a header": func(s *callerServer, text string) (*callerConn, string) {
			conn := s.connect()
			if got := conn.ask("GET /missing HTTP/1.1\r\n" + id); got.status != http.StatusNotFound || got.last {
				s.t.Fatalf("first response %+v", got)
			}
			// The server waits for the next request by now.
			<-time.After(time.Millisecond)
			conn.send(text[:1])
			return conn, text[1:]
		},
	}
	for kind, route := range lateRoutes {
		for name, open := range connections {
			for _, arrives := range []time.Duration{100, 2400, 2600, 4700, 4900, 6500, 7000, 7250} {
				arrives *= time.Millisecond
				t.Run(fmt.Sprint(kind, ", ", name, ", arrives after ", arrives), func(t *testing.T) {
					withCallers(t, func(t *testing.T, s *callerServer) {
						s.slowWorkers()
						conn, rest := open(s, requestText(route.method, route.target, "", deadlineHeader, strconv.Itoa(int(lateBudget.Milliseconds()))))
						stop := s.beginStop(stopGrace)
						stop.wait(arrives)
						conn.send(rest)
						want := http.StatusOK
						if arrives > stopGrace-stopMargin-answerReserve-lateBudget {
							want = http.StatusServiceUnavailable
						}
						got := conn.receive()
						s.expectLate(got, want)
						if want != http.StatusOK && got.took > 0 {
							t.Errorf("refused after %v", got.took)
						}
						stop.expectStopped(t)
					})
				})
			}
		}
	}
}

// Guards against a body that arrives so late in a planned stop that its request is sent to a worker and
// cut, and against a connection that is closed on the caller before its request is answered.
func TestBodyThatArrivesLateInAPlannedStopIsServedOrRefused(t *testing.T) {
	const (
		ms    = time.Millisecond
		never = time.Minute
	)
	for kind, route := range lateRoutes {
		for _, c := range []struct {
			header, body time.Duration
			budget       string
			want         int
		}{
			{time.Second, 2 * time.Second, "20000", http.StatusOK},
			{time.Second, 5 * time.Second, "20000", http.StatusOK},
			{time.Second, 7290 * ms, "20000", http.StatusServiceUnavailable},
			{time.Second, never, "20000", http.StatusServiceUnavailable},
			{-time.Second, never, "20000", http.StatusServiceUnavailable},
			{3 * time.Second, never, "20000", http.StatusServiceUnavailable},
			{3 * time.Second, 3500 * ms, "4000", http.StatusOK},
			{3 * time.Second, never, "4000", http.StatusServiceUnavailable},
		} {
			t.Run(fmt.Sprintf("%s, header after %v, body after %v, budget %s ms", kind, c.header, c.body, c.budget), func(t *testing.T) {
				withCallers(t, func(t *testing.T, s *callerServer) {
					s.slowWorkers()
					conn := s.connect()
					text := requestText(http.MethodPost, route.target, "0123456789", deadlineHeader, c.budget)
					if c.header < 0 {
						conn.send(text[:len(text)-9])
						<-time.After(-c.header)
					}
					stop := s.beginStop(stopGrace)
					if c.header >= 0 {
						stop.wait(c.header)
						conn.send(text[:len(text)-9])
					}
					time.AfterFunc(time.Until(stop.begun.Add(c.body)), func() {
						// Fails once the connection is closed.
						_, _ = conn.Write([]byte(text[len(text)-9:]))
					})
					s.expectLate(conn.receive(), c.want)
					if at := time.Since(stop.begun); at > stopGrace-stopMargin {
						t.Errorf("answered after %v", at)
					}
					stop.expectStopped(t)
				})
			})
		}
	}
}

// Guards against a caller that is invited to send the body of a request which is refused, or waits for
// "100 Continue" until the entry is gone.
func TestLateRequestThatWaitsForContinueIsRefusedAtOnce(t *testing.T) {
	for _, arrives := range []time.Duration{3 * time.Second, 7 * time.Second, 7250 * time.Millisecond} {
		t.Run(arrives.String(), func(t *testing.T) {
			withCallers(t, func(t *testing.T, s *callerServer) {
				s.slowWorkers()
				conn := s.connect()
				stop := s.beginStop(stopGrace)
				stop.wait(arrives)
				conn.send(requestText(http.MethodPost, "/book/x", "", "Expect", "100-continue", "Content-Length", "10", deadlineHeader, "20000"))
				got := conn.receive()
				s.expectLate(got, http.StatusServiceUnavailable)
				if got.took > 0 {
					t.Errorf("refused after %v", got.took)
				}
				stop.expectStopped(t)
			})
		})
	}
}
