// Package storecalls counts the calls of the platform's store by kind of objects and operation.
package storecalls

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Counter counts the calls of one process. It is safe for concurrent use.
type Counter struct {
	set     *metrics.Set
	process string

	mu               sync.Mutex
	sent, unanswered map[call]*metrics.Counter
}

type call struct{ kind, operation string }

// New returns a counter that exports its counts in a set, for a kind of process.
func New(set *metrics.Set, process string) *Counter {
	return &Counter{set: set, process: process, sent: make(map[call]*metrics.Counter), unanswered: make(map[call]*metrics.Counter)}
}

// Sent counts a call that is sent to the store.
func (c *Counter) Sent(kind, operation string) {
	c.count(c.sent, "laburnumgw_store_calls_total", call{kind, operation})
}

// Unanswered counts a call that got no response, whether or not it could be sent.
func (c *Counter) Unanswered(kind, operation string) {
	c.count(c.unanswered, "laburnumgw_store_calls_unanswered_total", call{kind, operation})
}

func (c *Counter) count(counts map[call]*metrics.Counter, name string, of call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := counts[of]
	if counter == nil {
		counter = c.set.NewCounter(fmt.Sprintf("%s{process=%q,kind=%q,operation=%q}", name, c.process, of.kind, of.operation))
		counts[of] = counter
	}
	counter.Inc()
}

// Log logs all counts in one line.
func (c *Counter) Log(log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, calls := sum(c.sent)
	unanswered, unansweredCalls := sum(c.unanswered)
	log.Info("calls of the store", zap.String("process", c.process), zap.Uint64("sent", sent), zap.Uint64("unanswered", unanswered),
		zap.Any("calls", calls), zap.Any("unanswered_calls", unansweredCalls))
}

// sum returns the sum of counts, and the counts by kind and operation.
func sum(counts map[call]*metrics.Counter) (uint64, map[string]map[string]uint64) {
	total, calls := uint64(0), make(map[string]map[string]uint64)
	for of, counter := range counts {
		n := counter.Get()
		total += n
		if calls[of.kind] == nil {
			calls[of.kind] = make(map[string]uint64)
		}
		calls[of.kind][of.operation] = n
	}
	return total, calls
}
