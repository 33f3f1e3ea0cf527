package rpcmirror

import "time"

// failedAvoidance is how long a neighbour that did not respond is asked only when the
// others have failed as well. A process that was killed is back after some seconds.
const failedAvoidance = 5 * time.Second

// unreliableAvoidance is the same for a neighbour that responds but does not receive the store's
// state. While all are avoided, the one that was asked the longest ago is asked next, so that each
// of them is reached.
const unreliableAvoidance = 4 * time.Second

// leavingAvoidance is the same for a neighbour that is stopping. It outlasts the grace time of a
// planned stop, after which the process starts again.
const leavingAvoidance = 10 * time.Second

// choice selects the neighbour to ask. It is not safe for concurrent use.
type choice struct {
	// avoided maps neighbours that have failed or are unreliable to the time until which
	// they are asked last.
	avoided map[string]time.Time
}

// pick returns the first neighbour in the order of preference that is not avoided, else the
// one whose avoidance ends first. It returns "" when there is none.
func (c *choice) pick(preferred []string, now time.Time) string {
	soonest := ""
	for _, address := range preferred {
		until, failed := c.avoided[address]
		if !failed || !now.Before(until) {
			return address
		}
		if soonest == "" || until.Before(c.avoided[soonest]) {
			soonest = address
		}
	}
	return soonest
}

// avoid makes a neighbour be asked last for some time, and drops the neighbours for which
// that time has ended.
func (c *choice) avoid(address string, now time.Time, duration time.Duration) {
	if c.avoided == nil {
		c.avoided = make(map[string]time.Time)
	}
	for other, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, other)
		}
	}
	c.avoided[address] = now.Add(duration)
}
