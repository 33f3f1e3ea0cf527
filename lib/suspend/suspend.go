// Package suspend notices that a machine was suspended. The monotonic clock, which
// durations are measured with, stands still meanwhile, so that everything dated before
// seems younger than it is.
package suspend

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// interval separates two comparisons of the clocks.
	interval = 250 * time.Millisecond
	// MinSuspension is the shortest suspension that is noticed. It is below the margins before
	// bounds, the least of which is 300 ms.
	MinSuspension = 150 * time.Millisecond
	// readings is the number of comparisons at the start, of which the least delayed counts.
	readings = 5
)

// clock returns the time since boot with suspensions, and without them.
type clock func() (boot, monotonic time.Duration, err error)

// Monitor notices suspensions.
type Monitor struct {
	read      clock
	suspended func(length time.Duration)

	mu sync.Mutex
	// known is the length of all suspensions that were noticed.
	known time.Duration
}

// NewMonitor returns a monitor that calls suspended with the length of each suspension.
func NewMonitor(suspended func(length time.Duration)) (*Monitor, error) {
	return newMonitor(system, suspended)
}

func newMonitor(read clock, suspended func(length time.Duration)) (*Monitor, error) {
	m := &Monitor{read: read, suspended: suspended, known: math.MinInt64}
	for range readings {
		boot, monotonic, err := read()
		if err != nil {
			return nil, err
		}
		// The monotonic clock is read last, so that a delay between makes the gap smaller.
		m.known = max(m.known, boot-monotonic)
	}
	return m, nil
}

// Check notices a suspension that has ended. It returns when suspended has.
func (m *Monitor) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	boot, monotonic, err := m.read()
	if err != nil {
		return err
	}
	if gap := boot - monotonic - m.known; gap >= MinSuspension {
		m.known += gap
		m.suspended(gap)
	}
	return nil
}

// Run checks at intervals until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := m.Check(); err != nil {
			return err
		}
	}
}

// Stopwatch measures a time that counts suspensions.
type Stopwatch struct {
	began time.Time
	boot  time.Duration
}

// Start returns a stopwatch that runs from now on.
func Start() Stopwatch {
	return Stopwatch{began: time.Now(), boot: sinceBoot()}
}

// Elapsed returns the time since the start, suspensions included.
func (s Stopwatch) Elapsed() time.Duration {
	return max(time.Since(s.began), sinceBoot()-s.boot)
}

// Suspended returns the part of the time since the start in which the machine was suspended.
func (s Stopwatch) Suspended() time.Duration {
	return max(0, sinceBoot()-s.boot-time.Since(s.began))
}

// sinceBoot returns the time since boot, or zero where the clock cannot be read.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

func system() (boot, monotonic time.Duration, err error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, 0, fmt.Errorf("read the boot-time clock: %w", err)
	}
	boot = time.Duration(now.Nano())
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0, 0, fmt.Errorf("read the monotonic clock: %w", err)
	}
	return boot, time.Duration(now.Nano()), nil
}
