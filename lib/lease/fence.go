package lease

import (
	"sync"

	"laburnumgw/lib/errkind"
)

// Fence keeps the highest fencing number seen for each duty. It runs on the same VM as the
// engine, in front of it, because some engines ignore fencing numbers. It is safe for
// concurrent use.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// NewFence returns a fence that has seen no numbers. After a restart, the caller passes it
// the fencing numbers of the placements in the configuration before the first command.
func NewFence() *Fence {
	return &Fence{highest: make(map[string]uint64)}
}

// Check accepts the fencing number of a command, and refuses numbers lower than the
// highest one seen for the duty with an error of kind errkind.Stale.
func (f *Fence) Check(duty string, fencing uint64) error {
	return f.Run(duty, fencing, func() error { return nil })
}

// Run checks the number like Check and runs the command under the lock that all checks
// take, so that a command of an earlier holder cannot take effect after one of a later
// holder. The command must be short, because it delays all other checks.
func (f *Fence) Run(duty string, fencing uint64, command func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest := f.highest[duty]; fencing < highest {
		return errkind.New(errkind.Stale, "stop acting on this duty and read its lease",
			"command for %q carries fencing number %d, but %d was seen", duty, fencing, highest)
	}
	f.highest[duty] = fencing
	return command()
}

// Highest returns the highest number seen for a duty.
func (f *Fence) Highest(duty string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest[duty]
}
