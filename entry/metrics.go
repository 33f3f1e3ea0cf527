package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

// entryMetrics are the metrics of an entry. docs/OPERATIONS.md lists them.
type entryMetrics struct {
	set           *metrics.Set
	retries       *metrics.Counter
	refusals      *metrics.Counter
	foreignFrames *metrics.Counter
	alarms        *metrics.Counter
	duration      *metrics.Summary
	firstByte     *metrics.Summary
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{
		set:           set,
		retries:       set.NewCounter("laburnumgw_entry_retries_total"),
		refusals:      set.NewCounter("laburnumgw_entry_no_endpoint_total"),
		foreignFrames: set.NewCounter("laburnumgw_entry_foreign_frames_total"),
		alarms:        set.NewCounter("laburnumgw_config_alarms_total"),
		duration:      set.NewSummary("laburnumgw_entry_request_duration_seconds"),
		firstByte:     set.NewSummary("laburnumgw_entry_first_byte_seconds"),
	}
}

func (m *entryMetrics) countAttempt(outcome laburnumgwv1.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_attempts_total{outcome=%q}", outcome)).Inc()
}

// countRequest counts a request by the kind of its error, "" for success.
func (m *entryMetrics) countRequest(kind errkind.Kind) {
	if kind == "" {
		kind = "complete"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_requests_total{result=%q}", kind)).Inc()
}
