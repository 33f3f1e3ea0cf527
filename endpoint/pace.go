package endpoint

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceInterval separates two looks at the queue of the endpoint.
	paceInterval = 250 * time.Millisecond
	// degradedShare is the part of its share that distribution keeps while requests wait.
	degradedShare = 0.5
)

// transferRate returns the bytes per second that distribution may use of a link in each
// direction.
func transferRate(linkMbit, share float64, requestsWait bool) rate.Limit {
	limit := linkMbit * megabit * share
	if requestsWait {
		limit *= degradedShare
	}
	return rate.Limit(limit)
}

// pace sets the rate of transfers from the configuration and the endpoint's queue.
func (p *Process) pace() {
	snapshot := p.snapshot.Load()
	if snapshot == nil {
		return
	}
	limit := transferRate(p.settings.LinkMbit, snapshot.Distribution.LinkShare, p.gate.Load().Queued > 0)
	p.weights.transfer.Links.Set(limit)
}

// paceTransfers lets distribution give way while requests wait, until the context ends.
func (p *Process) paceTransfers(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.pace()
		}
	}
}
