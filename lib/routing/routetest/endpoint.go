package routetest

import (
	"slices"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// Mode is the behaviour of a fake endpoint.
type Mode uint8

// Modes of a fake endpoint.
const (
	// Serving endpoints run requests.
	Serving Mode = iota
	// Failing endpoints report a failure for each request at once and send reports.
	Failing
	// Crashed endpoints have no process: connections break and are refused.
	Crashed
	// Unresponsive endpoints neither respond nor report, as in a network partition.
	Unresponsive
	// ReportsLost endpoints serve and respond to membership probes, which keeps them alive,
	// but their reports are lost.
	ReportsLost
)

// failureLatency is the time in which a failing endpoint responds.
const failureLatency = 2 * time.Millisecond

// cachedPrefixes is the number of prefixes that an endpoint caches.
const cachedPrefixes = 32

// rampInterval is the time after which a cold endpoint's limit doubles.
const rampInterval = time.Second

// endpoint is a fake: it runs up to limit requests at once and queues the next ones.
type endpoint struct {
	sim     *Sim
	index   int
	vm      string
	zone    string
	mode    Mode
	counter uint64
	limit   int
	cold    bool
	// calls holds the running requests, then the queued ones.
	calls    []*call
	cached   []uint64
	running  int
	sequence uint64
}

// call is one attempt on an endpoint.
type call struct {
	entry    *entry
	endpoint *endpoint
	request  *request
	started  bool
	ended    bool
}

func newEndpoint(s *Sim, i int) *endpoint {
	return &endpoint{sim: s, index: i, vm: vmName(i), zone: zoneOf(i), counter: 1, limit: s.scenario.Limit}
}

func (e *endpoint) load() *laburnumgwv1.Load {
	return &laburnumgwv1.Load{
		InFlight: int32(e.running),
		Queued:   int32(len(e.calls) - e.running),
		Limit:    int32(e.limit),
		Cold:     e.cold,
	}
}

func (e *endpoint) frameLoad() *laburnumgwv1.Load {
	if e.sim.scenario.NoFrameLoads {
		return nil
	}
	return e.load()
}

func (e *endpoint) sendReport() {
	s := e.sim
	if e.mode != Crashed && e.mode != Unresponsive && e.mode != ReportsLost {
		e.sequence++
		report := &laburnumgwv1.ReportRequest{
			Vm: e.vm, Zone: e.zone, Region: "north", Address: e.vm,
			Incarnation: &laburnumgwv1.Incarnation{Counter: e.counter, Id: 1},
			Sequence:    e.sequence,
			Load:        e.load(),
			Serving:     map[string]string{Model: VersionDigest},
		}
		s.after(networkDelay+s.scenario.ReportLag, func() {
			for _, entry := range s.entries {
				entry.reportReceived(e, report)
			}
		})
	}
	if s.ended() {
		return
	}
	// The first reports of the endpoints are spread over the interval.
	delay := s.scenario.ReportInterval
	if e.sequence == 1 {
		delay = time.Duration(s.rng.Int64N(int64(delay)) + 1)
	}
	s.after(delay, e.sendReport)
}

// lookUp reports whether a prefix is cached, and caches it as the latest one.
func (e *endpoint) lookUp(prefix uint64) bool {
	i := slices.Index(e.cached, prefix)
	if i >= 0 {
		e.cached = slices.Delete(e.cached, i, i+1)
	} else if len(e.cached) == cachedPrefixes {
		e.cached = slices.Delete(e.cached, 0, 1)
	}
	e.cached = append(e.cached, prefix)
	return i >= 0
}

// receive admits, queues or refuses an attempt.
func (e *endpoint) receive(c *call) {
	s := e.sim
	switch e.mode {
	case Unresponsive:
		e.calls = append(e.calls, c)
		return
	case Crashed:
		s.after(networkDelay, func() { c.entry.ended(c, laburnumgwv1.Outcome_OUTCOME_NOT_RUN, false, nil) })
		return
	case Failing:
		s.after(networkDelay+failureLatency, func() {
			c.entry.ended(c, laburnumgwv1.Outcome_OUTCOME_FAILED, true, e.frameLoad())
		})
		return
	}
	if len(e.calls) >= e.limit+e.queueLength() {
		load := e.frameLoad()
		s.after(networkDelay, func() { c.entry.ended(c, laburnumgwv1.Outcome_OUTCOME_NOT_RUN, true, load) })
		return
	}
	for _, prefix := range c.request.routing.Prefixes {
		if e.lookUp(prefix) {
			s.result.CacheHits++
		}
	}
	e.calls = append(e.calls, c)
	if e.cold && len(e.calls) > e.limit {
		s.result.QueuedCold++
	}
	e.startNext()
}

func (e *endpoint) queueLength() int { return e.sim.scenario.Queue }

// startNext starts queued requests while the limit allows it.
func (e *endpoint) startNext() {
	s := e.sim
	for e.running < len(e.calls) && e.running < e.limit {
		c := e.calls[e.running]
		c.started = true
		e.running++
		s.result.checkLimit(e)
		load := e.frameLoad()
		s.after(networkDelay, func() { c.entry.headerReceived(c, load) })
		service := time.Duration(s.rng.ExpFloat64() * float64(s.scenario.ServiceTime))
		s.after(service, func() { e.finish(c) })
	}
}

func (e *endpoint) finish(c *call) {
	i := slices.Index(e.calls, c)
	if i < 0 || e.mode == Unresponsive {
		return
	}
	e.calls = slices.Delete(e.calls, i, i+1)
	e.running--
	e.startNext()
	load := e.frameLoad()
	e.sim.after(networkDelay, func() {
		c.entry.ended(c, laburnumgwv1.Outcome_OUTCOME_COMPLETE, true, load)
	})
}

func (e *endpoint) setMode(mode Mode) {
	wasDown := e.mode == Crashed || e.mode == Unresponsive
	e.mode = mode
	switch {
	case mode == Crashed:
		e.dropCalls()
	case wasDown && mode == Serving:
		e.dropCalls()
		e.counter++
		e.sequence = 1
	}
}

// dropCalls breaks the connections of all requests on the endpoint.
func (e *endpoint) dropCalls() {
	for _, c := range e.calls {
		e.sim.after(networkDelay, func() { c.entry.ended(c, laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, nil) })
	}
	e.calls = nil
	e.running = 0
}

func (e *endpoint) makeCold(limit int) {
	e.cold = true
	e.limit = limit
	e.sim.after(rampInterval, e.ramp)
}

func (e *endpoint) ramp() {
	e.limit = min(2*e.limit, e.sim.scenario.Limit)
	e.cold = e.limit < e.sim.scenario.Limit
	if e.cold {
		e.sim.after(rampInterval, e.ramp)
	}
}
