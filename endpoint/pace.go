package endpoint

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceInterval is the interval between two checks of the endpoint's request queue.
	paceInterval = 250 * time.Millisecond
	// degradedShare is the fraction of their share of the link that transfers keep while
	// requests are queued.
	degradedShare = 0.5
)

// transferRate returns the rate, in bytes per second and direction, at which transfers may
// use a link.
func transferRate(linkMbit, share float64, requestsQueued bool) rate.Limit {
	limit := linkMbit * megabit * share
	if requestsQueued {
		limit *= degradedShare
	}
	return rate.Limit(limit)
}

// updateTransferRate sets the rate of transfers from the configuration and from whether
// requests are queued.
func (p *Process) updateTransferRate() {
	snapshot := p.snapshot.Load()
	if snapshot == nil {
		return
	}
	limit := transferRate(p.settings.LinkMbit, snapshot.Distribution.LinkShare, p.gate.Load().Queued > 0)
	p.weights.transfer.Links.Set(limit)
}

// runPacing lowers the rate of transfers while requests are queued, until the context ends.
func (p *Process) runPacing(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.updateTransferRate()
		}
	}
}
