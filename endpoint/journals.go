package endpoint

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/journal"
)

// handOverTimeout bounds the wait for running requests when shards are handed over.
const handOverTimeout = time.Minute

// journals holds the journal of this process. Its shards are handed over when the
// availability zone goes out of service, so that another zone's process can take them
// at once and need not wait until this one looks dead.
type journals struct {
	open func() *journal.Journal
	log  *zap.Logger

	mu      sync.Mutex
	current *journal.Journal
}

func newJournals(open func() *journal.Journal, log *zap.Logger) *journals {
	return &journals{open: open, log: log, current: open()}
}

// get returns the journal in use.
func (j *journals) get() *journal.Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.current
}

// handOver finishes the running requests and releases all shards. The process can
// claim shards again afterwards.
func (j *journals) handOver() {
	j.mu.Lock()
	old := j.current
	j.current = j.open()
	j.mu.Unlock()
	owned := len(old.Owned())
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	err := old.Close(ctx)
	j.log.Info("journal shards handed over", zap.Int("shards", owned), zap.Error(err))
}
