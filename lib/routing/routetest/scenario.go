// Package routetest runs routing tables, retry planners and small fakes of endpoints
// in virtual time. Runs with the same scenario repeat exactly.
package routetest

import (
	"cmp"
	"time"
)

// Defaults of a scenario.
const (
	defaultServiceTime    = time.Second
	defaultReportInterval = 500 * time.Millisecond
	defaultDeadline       = 30 * time.Second
	networkDelay          = time.Millisecond
	sampleInterval        = 10 * time.Millisecond
	membershipInterval    = 100 * time.Millisecond
	suspectAfter          = 1500 * time.Millisecond
	deadAfter             = 2500 * time.Millisecond
)

// Scenario describes a run.
type Scenario struct {
	Policy    string
	Seed      uint64
	Entries   int
	Endpoints int
	// Load is the offered number of requests in flight for each endpoint.
	Load float64
	// ServiceTime is the mean of the exponential service time.
	ServiceTime time.Duration
	// Limit and Queue bound the requests that an endpoint runs and queues.
	Limit int
	Queue int
	// ReportLag is the time from a report's creation to its arrival.
	ReportLag      time.Duration
	ReportInterval time.Duration
	// NoFrameLoads leaves the load out of response frames.
	NoFrameLoads bool
	Warmup       time.Duration
	Duration     time.Duration
	Deadline     time.Duration
	// NotIdempotent is the share of requests that must not run twice.
	NotIdempotent float64
	// Prefixes is the number of prompt prefixes, drawn with a Zipf distribution; zero
	// for none.
	Prefixes int
	// RetriesPerSecond is the allowance of each entry's retry budget.
	RetriesPerSecond float64
	// Changes are applied at their times.
	Changes []Change
}

// Change is an event in a scenario. At is the time since the start of the run.
type Change struct {
	At time.Duration
	Do func(*Sim)
}

func (s Scenario) withDefaults() Scenario {
	s.Entries = cmp.Or(s.Entries, 8)
	s.Endpoints = cmp.Or(s.Endpoints, 24)
	s.Load = cmp.Or(s.Load, 16)
	s.ServiceTime = cmp.Or(s.ServiceTime, defaultServiceTime)
	s.Limit = cmp.Or(s.Limit, 64)
	s.Queue = cmp.Or(s.Queue, 64)
	s.ReportInterval = cmp.Or(s.ReportInterval, defaultReportInterval)
	s.Warmup = cmp.Or(s.Warmup, 10*time.Second)
	s.Duration = cmp.Or(s.Duration, 60*time.Second)
	s.Deadline = cmp.Or(s.Deadline, defaultDeadline)
	s.RetriesPerSecond = cmp.Or(s.RetriesPerSecond, 3/float64(s.Entries))
	return s
}

var zones = []string{"a", "b", "c"}

// zoneOf spreads processes over the zones.
func zoneOf(i int) string { return zones[i%len(zones)] }
