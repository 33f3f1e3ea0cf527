package rpcmirror

import "time"

// avoidance is how long a neighbour that has not answered is asked only when the others
// have failed as well. A process that was killed is back after some seconds.
const avoidance = 5 * time.Second

// choice selects the neighbour to ask. It is not safe for concurrent use.
type choice struct {
	failedAt map[string]time.Time
}

// pick returns the first neighbour in the order of preference that has not failed lately,
// else the one whose failure is the oldest. It returns "" when there is none.
func (c *choice) pick(preferred []string, now time.Time) string {
	oldest := ""
	for _, address := range preferred {
		at, failed := c.failedAt[address]
		if !failed || now.Sub(at) >= avoidance {
			return address
		}
		if oldest == "" || at.Before(c.failedAt[oldest]) {
			oldest = address
		}
	}
	return oldest
}

// failed notes that a neighbour did not answer, and forgets failures that no longer count.
func (c *choice) failed(address string, now time.Time) {
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Time)
	}
	for other, at := range c.failedAt {
		if now.Sub(at) >= avoidance {
			delete(c.failedAt, other)
		}
	}
	c.failedAt[address] = now
}
