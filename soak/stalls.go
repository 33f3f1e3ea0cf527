package soak

import (
	"context"
	"sync"
	"time"
)

// A stall is a time in which the process of the stand-ins and the callers did not run. Requests arrive after it that were sent
// before.
const (
	stallCheck = 20 * time.Millisecond
	minStall   = 200 * time.Millisecond
)

// stalls records the stalls of this process.
type stalls struct {
	mu  sync.Mutex
	all []window
}

// watch records stalls until the context ends.
func (s *stalls) watch(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallCheck)
		now := time.Now()
		s.passed(last, now)
		last = now
	}
}

// passed takes in the times of two consecutive checks.
func (s *stalls) passed(last, now time.Time) {
	if now.Sub(last) < minStall {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, window{last, now})
}

// within returns how long the process did not run within a time span.
func (s *stalls) within(from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := time.Duration(0)
	for _, w := range s.all {
		start, end := w.from, w.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(start))
	}
	return total
}
