// Package loop runs the tick function of a state machine when it is due or when it is woken.
package loop

import (
	"context"
	"time"
)

// minWait bounds how often a loop runs when its state machine is always due.
const minWait = 10 * time.Millisecond

// Run calls tick at once, then after the time that it returned, or earlier when wake
// delivers a value. It returns when the context ends. A nil wake never delivers.
func Run(ctx context.Context, wake <-chan struct{}, tick func() time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
		}
		timer.Reset(max(minWait, tick()))
	}
}
