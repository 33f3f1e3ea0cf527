package timelimit

import (
	"sync/atomic"
	"time"
)

// Phase is a phase of a planned stop.
type Phase uint8

// Phases.
const (
	// Serving is the time before the stop.
	Serving Phase = iota
	// Leaving is the time in which callers are told to leave and may still be sent here.
	Leaving
	// Draining is the time in which no connections are accepted any more.
	Draining
)

// Schedule holds the times of a planned stop.
type Schedule struct {
	// Drain is when the process stops accepting connections.
	Drain time.Time
	// RequestsEnd is when the requests that still run are ended, ResponsesEnd when their responses have
	// to be written, and ProcessEnd when the process ends.
	RequestsEnd, ResponsesEnd, ProcessEnd time.Time
}

// Earlier returns the schedule moved forward by some time.
func (s Schedule) Earlier(by time.Duration) Schedule {
	return Schedule{Drain: s.Drain.Add(-by), RequestsEnd: s.RequestsEnd.Add(-by), ResponsesEnd: s.ResponsesEnd.Add(-by), ProcessEnd: s.ProcessEnd.Add(-by)}
}

// Shutdown is the planned stop of a process. It is safe for concurrent use. The zero value and nil are
// those of a process that serves.
type Shutdown struct {
	schedule atomic.Pointer[Schedule]
	draining atomic.Bool
}

// Begin begins the stop, or replaces the schedule of one that has begun.
func (s *Shutdown) Begin(schedule Schedule) { s.schedule.Store(&schedule) }

// Drain ends the time in which callers leave.
func (s *Shutdown) Drain() { s.draining.Store(true) }

// Phase returns the phase of the stop.
func (s *Shutdown) Phase() Phase {
	switch {
	case s == nil || s.schedule.Load() == nil:
		return Serving
	case s.draining.Load():
		return Draining
	}
	return Leaving
}

// IsStopping reports whether the stop has begun.
func (s *Shutdown) IsStopping() bool { return s.Phase() != Serving }

// Schedule returns the times of the stop. It reports false before the stop.
func (s *Shutdown) Schedule() (schedule Schedule, stopping bool) {
	if current := s.schedule.Load(); current != nil {
		return *current, true
	}
	return Schedule{}, false
}

// RequestsEnd returns when the requests that still run are ended. It reports false before the stop.
func (s *Shutdown) RequestsEnd() (end time.Time, stopping bool) {
	if s == nil {
		return time.Time{}, false
	}
	schedule := s.schedule.Load()
	if schedule == nil {
		return time.Time{}, false
	}
	return schedule.RequestsEnd, true
}
