package endpoint

import (
	"sync"
	"time"
)

// drainGrace is how long an endpoint process still accepts requests after it has learnt
// that its zone is out of service. Entries learn it at about the same time; without the
// grace period, requests in transit would be refused and use up the retry budget. It is
// less than the 3 s after which a zone must get no new request.
const drainGrace = 2 * time.Second

// zoneState states whether the own availability zone accepts requests.
type zoneState struct {
	mu         sync.Mutex
	out        bool
	outSince   time.Time
	generation uint64
}

// set applies the configuration of a generation.
func (z *zoneState) set(out bool, generation uint64, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if out && !z.out {
		z.outSince = now
	}
	z.out = out
	z.generation = generation
}

// isOut reports whether the zone is out of service.
func (z *zoneState) isOut() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.out
}

// refuses reports whether a request of an entry that acts on the given generation is
// refused. An entry with a newer generation may know that the zone is in service again.
func (z *zoneState) refuses(generation uint64, now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.out && generation <= z.generation && now.Sub(z.outSince) >= drainGrace
}
