package endpoint

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// endpointMetrics are the metrics of an endpoint process. docs/operations.md lists them.
type endpointMetrics struct {
	set           *metrics.Set
	replays       *metrics.Counter
	originBytes   *metrics.Counter
	peerBytes     *metrics.Counter
	uploadedBytes *metrics.Counter
	corruptChunks *metrics.Counter
	staleCommands *metrics.Counter
	coldStarts    *metrics.Counter
}

func newEndpointMetrics() *endpointMetrics {
	set := metrics.NewSet()
	return &endpointMetrics{
		set:           set,
		replays:       set.NewCounter("laburnumgw_endpoint_replays_total"),
		originBytes:   set.NewCounter("laburnumgw_weights_origin_bytes_total"),
		peerBytes:     set.NewCounter("laburnumgw_weights_peer_bytes_total"),
		uploadedBytes: set.NewCounter("laburnumgw_weights_uploaded_bytes_total"),
		corruptChunks: set.NewCounter("laburnumgw_weights_corrupt_chunks_total"),
		staleCommands: set.NewCounter("laburnumgw_engine_stale_commands_total"),
		coldStarts:    set.NewCounter("laburnumgw_engine_cold_total"),
	}
}

func (m *endpointMetrics) attempt(outcome laburnumgwv1.Outcome, started time.Time) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_endpoint_attempts_total{outcome=%q}", outcome)).Inc()
	m.set.GetOrCreateSummary("laburnumgw_endpoint_attempt_duration_seconds").UpdateDuration(started)
}
