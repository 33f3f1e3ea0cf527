package transfer

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/swarm"
)

// timeline records how the chunks of one version arrived, for one log line when it is complete.
type timeline struct {
	mu              sync.Mutex
	first, half     time.Duration
	fetched         int
	fromOrigin      int
	refused, failed int
	cancelled       int
}

// add records the end of a fetch at a time since the start of the distribution of total chunks.
func (t *timeline) add(at time.Duration, total int, from string, result swarm.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch result {
	case swarm.ResultOK:
		t.fetched++
		if t.fetched == 1 {
			t.first = at
		}
		if 2*t.fetched <= total+1 {
			t.half = at
		}
		if from == swarm.Origin {
			t.fromOrigin++
		}
	case swarm.ResultRefused:
		t.refused++
	case swarm.ResultNotHeld, swarm.ResultCorrupt, swarm.ResultFailed, swarm.ResultRateLimited:
		t.failed++
	}
}

// cancel records a fetch that was ended because the chunk arrived from elsewhere or no bytes came.
func (t *timeline) cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelled++
}

func (t *timeline) fields() []zap.Field {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []zap.Field{
		zap.Duration("first", t.first), zap.Duration("half", t.half), zap.Int("fetched", t.fetched), zap.Int("from_origin", t.fromOrigin),
		zap.Int("refused", t.refused), zap.Int("failed", t.failed), zap.Int("cancelled", t.cancelled),
	}
}
