package suspend

import (
	"context"
	"sync"
	"time"
)

const (
	// pulseInterval is the time between two records of a Pulse.
	pulseInterval = 50 * time.Millisecond
	// MinStandstill is the shortest standstill of the process that is detected.
	MinStandstill = 100 * time.Millisecond
	// readTime is how long after a standstill the process may take to read what arrived during it.
	readTime = 250 * time.Millisecond
)

// Pulse records when the process was last running. A process that gets no processor time, or is
// stopped, stands still while the monotonic clock goes on: it reads what arrived meanwhile late.
type Pulse struct {
	onStandstill func(length time.Duration)

	mu   sync.Mutex
	last time.Time
	// from and until bound the last standstill, from that of the first one of several that followed
	// each other within readTime.
	from, until time.Time
}

// NewPulse returns a pulse that calls onStandstill, if it is not nil, with the length of each standstill.
func NewPulse(onStandstill func(length time.Duration)) *Pulse {
	return &Pulse{onStandstill: onStandstill, last: time.Now()}
}

// Beat records that the process is running.
func (p *Pulse) Beat() {
	p.mu.Lock()
	length := p.record(time.Now())
	p.mu.Unlock()
	if length > 0 && p.onStandstill != nil {
		p.onStandstill(length)
	}
}

// record records that the process runs now, and returns the length of a standstill that has ended. The
// caller holds the lock.
func (p *Pulse) record(now time.Time) time.Duration {
	gap := now.Sub(p.last)
	if gap < MinStandstill {
		p.last = now
		return 0
	}
	if p.until.IsZero() || p.last.Sub(p.until) >= readTime {
		p.from = p.last
	}
	p.until, p.last = now, now
	return gap
}

// EarliestArrival returns the earliest time at which something that is read now can have arrived: the
// beginning of a standstill that has just ended, else now. The caller may be the first to run after it.
func (p *Pulse) EarliestArrival() time.Time {
	p.Beat()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.until.IsZero() && p.last.Sub(p.until) < readTime {
		return p.from
	}
	return p.last
}

// Run records until the context ends.
func (p *Pulse) Run(ctx context.Context) {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Beat()
		}
	}
}
