package hosted

import (
	"math/rand/v2"
	"sync"
	"time"
)

// StagingFaults is how often calls of the process beside a worker go wrong, each as the share of the calls.
// The zero value has none go wrong.
type StagingFaults struct {
	// Spoilt pieces turn bad within MaxLate after they were staged.
	Spoilt float64
	// Late stagings and orders are executed up to MaxLate later.
	Late float64
	// Lost responses are not sent, Repeated ones are written once more, and Endless ones have no end.
	Lost, Repeated, Endless float64
	// Silent workers send nothing for up to MaxSilence.
	Silent float64
	// MaxLate and MaxSilence bound times.
	MaxLate, MaxSilence time.Duration
	// OrderFactor is by how much orders go wrong more often than other calls, of which there are many for each order.
	OrderFactor float64
}

// Seeded returns a function for OnCall that draws the faults of calls. Requests of callers have none.
func (f StagingFaults) Seeded(seed uint64) func(Call) CallFault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 11))
	return func(c Call) (fault CallFault) {
		mu.Lock()
		defer mu.Unlock()
		happens := func(share float64) bool {
			if c.Kind == CallOrder {
				share *= f.OrderFactor
			}
			return rng.Float64() < share
		}
		upTo := func(most time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(most)) }
		if c.Kind == CallRequest {
			return fault
		}
		if c.Kind == CallStage && happens(f.Spoilt) {
			fault.SpoiltAfter = max(1, upTo(f.MaxLate))
		}
		if (c.Kind == CallStage || c.Kind == CallOrder) && happens(f.Late) {
			fault.Late = upTo(f.MaxLate)
		}
		if happens(f.Silent) {
			fault.Silent = upTo(f.MaxSilence)
		}
		switch {
		case happens(f.Lost):
			fault.Lost = true
		case happens(f.Repeated):
			fault.Repeat = RepeatAtOnce + Repeat(rng.IntN(2))
		case happens(f.Endless):
			fault.Endless = EndlessInHead + Endless(rng.IntN(2))
		}
		return fault
	}
}
