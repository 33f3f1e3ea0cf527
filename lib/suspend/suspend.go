// Package suspend notices that a machine was suspended. The monotonic clock, which
// durations are measured with, stands still meanwhile, so that everything dated before
// seems younger than it is.
package suspend

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// interval separates two comparisons of the clocks.
	interval = 250 * time.Millisecond
	// shortest is the shortest suspension that is reported. Clocks that are read one
	// after the other differ by scheduling delays.
	shortest = 400 * time.Millisecond
)

// clock returns the time since boot with suspensions, and without them.
type clock func() (boot, monotonic time.Duration, err error)

// Watch calls suspended with the length of each suspension until the context ends.
func Watch(ctx context.Context, suspended func(length time.Duration)) error {
	return watch(ctx, system, suspended)
}

func watch(ctx context.Context, read clock, suspended func(length time.Duration)) error {
	boot, monotonic, err := read()
	if err != nil {
		return err
	}
	known := boot - monotonic
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		boot, monotonic, err := read()
		if err != nil {
			return err
		}
		if gap := boot - monotonic - known; gap >= shortest {
			known += gap
			suspended(gap)
		}
	}
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
