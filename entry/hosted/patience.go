package hosted

import (
	"errors"
	"os"
	"slices"
	"strconv"
	"time"

	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/workerconn"
)

// endedForSilence reports whether an attempt was given up because its worker sent nothing, while the
// connection was open.
func endedForSilence(err error) bool {
	return errors.Is(err, workerconn.ErrUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
}

// maxSent returns the largest number of workers that the request is sent to.
func (c *call) maxSent() int { return max(1, c.route.Attempts) }

// canRepeat reports whether the request could be sent to another worker if the current attempt were
// given up: otherwise waiting on is all that can bring an answer.
func (c *call) canRepeat(current routing.Decision) bool {
	if c.sentAttempts+1 >= c.maxSent() || c.attempts >= retry.DefaultMaxAttempts || !c.service.loop.AllowsRetry(time.Now()) || !c.fits() {
		return false
	}
	digest := ""
	if c.relayedBytes > 0 {
		if !c.route.Resumable {
			return false
		}
		digest = strconv.Itoa(c.weightVersion)
	}
	query := c.query(c.attempts+1, digest, append(slices.Clone(c.tried), current.VM))
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	_, err := c.service.table.Pick(query, time.Now())
	return err == nil
}
