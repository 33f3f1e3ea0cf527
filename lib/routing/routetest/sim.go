package routetest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumgw/lib/routing"
)

// Model and VersionDigest are served by every fake endpoint.
const (
	Model         = "chat"
	VersionDigest = "v1"
)

var epoch = time.Unix(1_000_000, 0)

// Sim is one run.
type Sim struct {
	scenario  Scenario
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	serial    uint64
	entries   []*entry
	endpoints []*endpoint
	zipf      *rand.Zipf
	requests  int
	result    *Result
}

// Run executes a scenario until its duration has passed and all requests have ended.
func Run(scenario Scenario) (*Result, error) {
	scenario = scenario.withDefaults()
	s := &Sim{
		scenario: scenario,
		rng:      rand.New(rand.NewPCG(scenario.Seed, 1)),
		result:   newResult(scenario),
	}
	if scenario.Prefixes > 0 {
		s.zipf = rand.NewZipf(s.rng, 1.2, 1, uint64(scenario.Prefixes-1))
	}
	for i := range scenario.Endpoints {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	for i := range scenario.Entries {
		e, err := newEntry(s, i)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	s.schedule()
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.result.finish(s)
	return s.result, nil
}

// schedule starts the periodic events and the changes.
func (s *Sim) schedule() {
	for _, e := range s.endpoints {
		e.sendReport()
	}
	for _, e := range s.entries {
		s.after(networkDelay+s.scenario.ReportLag, e.nextArrival)
		s.every(membershipInterval, e.checkMembership)
	}
	for _, change := range s.scenario.Changes {
		s.after(change.At, func() { change.Do(s) })
	}
	s.every(sampleInterval, s.sample)
}

func (s *Sim) after(delay time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, event{s.now + delay, s.serial, run})
}

func (s *Sim) every(interval time.Duration, run func()) {
	s.after(interval, func() {
		run()
		if !s.ended() {
			s.every(interval, run)
		}
	})
}

func (s *Sim) ended() bool { return s.now >= s.scenario.Duration }

func (s *Sim) clock() time.Time { return epoch.Add(s.now) }

func (s *Sim) sample() {
	if s.now < s.scenario.Warmup || s.ended() {
		return
	}
	loads := make([]float64, len(s.endpoints))
	for i, e := range s.endpoints {
		loads[i] = float64(len(e.calls))
	}
	s.result.sample(s.now, loads)
}

// TakeZoneOutOfService takes a zone out of service. Each entry learns of it after a random time of at
// most spread.
func (s *Sim) TakeZoneOutOfService(zone string, spread time.Duration) { s.setZone(zone, true, spread) }

// RestoreZone returns a zone to service. Each entry learns of it after a random time of at
// most spread.
func (s *Sim) RestoreZone(zone string, spread time.Duration) { s.setZone(zone, false, spread) }

func (s *Sim) setZone(name string, out bool, spread time.Duration) {
	for _, e := range s.entries {
		delay := time.Duration(s.rng.Int64N(int64(spread) + 1))
		s.after(delay, func() {
			e.outOfService[name] = out
			var states []routing.Zone
			for _, zone := range zones {
				states = append(states, routing.Zone{Name: zone, Region: "north", OutOfService: e.outOfService[zone]})
			}
			e.table.SetZones(states)
		})
	}
}

// SetMode changes the behaviour of the endpoints for which match returns true.
func (s *Sim) SetMode(mode Mode, match func(i int, zone string) bool) {
	for i, e := range s.endpoints {
		if match(i, e.zone) {
			e.setMode(mode)
		}
	}
}

// MakeCold gives an endpoint the limit of a cold engine, which doubles each second of
// the ramp until it reaches its warm limit.
func (s *Sim) MakeCold(i, limit int) { s.endpoints[i].makeCold(limit) }

// event is one step of the run; serial keeps events of the same time in order.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event for container/heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }
