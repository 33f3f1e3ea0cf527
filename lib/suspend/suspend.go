// Package suspend detects that a machine was suspended. The monotonic clock, by which
// durations are measured, stands still meanwhile, so that the age of everything recorded
// before the suspension is underestimated.
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
	// checkInterval is the time between two comparisons of the clocks.
	checkInterval = 250 * time.Millisecond
	// MinSuspension is the shortest suspension that is detected. It is below the margins that
	// other code keeps before time bounds, the least of which is 300 ms.
	MinSuspension = 150 * time.Millisecond
	// initialReadings is the number of comparisons at the start. The one with the least delay
	// between its two readings counts.
	initialReadings = 5
)

// clock returns the time since boot including suspensions, and excluding them.
type clock func() (boot, monotonic time.Duration, err error)

// Monitor detects suspensions.
type Monitor struct {
	read         clock
	onSuspension func(length time.Duration)

	mu sync.Mutex
	// knownGap is the difference between the clocks that is accounted for: all suspensions
	// since boot that ended before the start of the monitor or were reported.
	knownGap time.Duration
}

// NewMonitor returns a monitor that calls onSuspension with the length of each suspension.
func NewMonitor(onSuspension func(length time.Duration)) (*Monitor, error) {
	return newMonitor(readSystemClocks, onSuspension)
}

func newMonitor(read clock, onSuspension func(length time.Duration)) (*Monitor, error) {
	m := &Monitor{read: read, onSuspension: onSuspension, knownGap: math.MinInt64}
	for range initialReadings {
		boot, monotonic, err := read()
		if err != nil {
			return nil, err
		}
		// The monotonic clock is read last, so that a delay between the readings makes the gap
		// smaller; the largest gap is the most accurate.
		m.knownGap = max(m.knownGap, boot-monotonic)
	}
	return m, nil
}

// Check reports a suspension that has ended. It returns after the callback has returned.
func (m *Monitor) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	boot, monotonic, err := m.read()
	if err != nil {
		return err
	}
	if gap := boot - monotonic - m.knownGap; gap >= MinSuspension {
		m.knownGap += gap
		m.onSuspension(gap)
	}
	return nil
}

// Run calls Check at each checkInterval until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
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

// Stopwatch measures elapsed time including suspensions.
type Stopwatch struct {
	started time.Time
	boot    time.Duration
}

// Start returns a stopwatch that starts now.
func Start() Stopwatch {
	return Stopwatch{started: time.Now(), boot: sinceBoot()}
}

// IsZero reports whether the stopwatch was never started.
func (s Stopwatch) IsZero() bool { return s.started.IsZero() }

// Elapsed returns the time since the start, suspensions included.
func (s Stopwatch) Elapsed() time.Duration {
	return max(time.Since(s.started), sinceBoot()-s.boot)
}

// Suspended returns the part of the time since the start in which the machine was suspended.
func (s Stopwatch) Suspended() time.Duration {
	return max(0, sinceBoot()-s.boot-time.Since(s.started))
}

// sinceBoot returns the time since boot, or zero where the clock cannot be read.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

func readSystemClocks() (boot, monotonic time.Duration, err error) {
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
