package endpoint

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/transfer"
)

// endpointMetrics are the metrics of an endpoint process. docs/OPERATIONS.md lists them.
type endpointMetrics struct {
	set           *metrics.Set
	transfer      *transfer.Metrics
	replays       *metrics.Counter
	staleCommands *metrics.Counter
	coldStarts    *metrics.Counter
}

func newEndpointMetrics() *endpointMetrics {
	set := metrics.NewSet()
	return &endpointMetrics{
		set:           set,
		transfer:      transfer.NewMetrics(set),
		replays:       set.NewCounter("laburnumgw_endpoint_replays_total"),
		staleCommands: set.NewCounter("laburnumgw_engine_stale_commands_total"),
		coldStarts:    set.NewCounter("laburnumgw_engine_cold_total"),
	}
}

func (m *endpointMetrics) recordAttempt(outcome laburnumgwv1.Outcome, started time.Time) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_endpoint_attempts_total{outcome=%q}", outcome)).Inc()
	m.set.GetOrCreateSummary("laburnumgw_endpoint_attempt_duration_seconds").UpdateDuration(started)
}
