package hosted

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumgw/lib/membudget"
)

// entryMetrics are the metrics of an entry on the platform. docs/OPERATIONS.md lists them.
type entryMetrics struct {
	set       *metrics.Set
	retries   *metrics.Counter
	resumed   *metrics.Counter
	attempts  *metrics.Histogram
	firstByte *metrics.Histogram
	duration  *metrics.Histogram
	// borrowed counts the requests to workers with a limit that other entries lent to this one,
	// and lent those that this entry lent to others.
	borrowed *metrics.Counter
	lent     *metrics.Counter
	// blockedRequests counts the requests that were refused for a blocked part of their prompt.
	blockedRequests *metrics.Counter
	// refusedAtStop counts the requests that were refused because they might have outlasted the entry.
	refusedAtStop *metrics.Counter
	// deniedUnconfirmed counts the requests that the configuration in force denies and that were refused
	// as not run, because nobody could tell whether it is the newest.
	deniedUnconfirmed *metrics.Counter
	// refusedTooLate counts the requests that no worker was expected to begin while their callers waited.
	refusedTooLate *metrics.Counter
	// panics counts the requests whose handler panicked.
	panics *metrics.Counter
	// abandonedStarts counts the requests that were given up at the bound of their weights while
	// they waited at a worker, and olderWeights the responses on older weights than those for which the
	// worker was chosen.
	abandonedStarts *metrics.Counter
	olderWeights    *metrics.Counter
	// refusedAtBound and brokenOffAtBound count the requests that workers ended at the bound of their weights, before and
	// after they had begun.
	refusedAtBound   *metrics.Counter
	brokenOffAtBound *metrics.Counter
	// outgoingStartWait is how long requests to weights that have a bound waited for their first event.
	outgoingStartWait *metrics.Histogram
	// movedNamings counts the naming times of versions that were taken from another entry.
	movedNamings *metrics.Counter
	// standstills counts the times at which this process stood still, and standstillSeconds how long.
	standstills       *metrics.Counter
	standstillSeconds *metrics.FloatCounter
	// silentAttempts counts the attempts that were given up because their worker sent nothing.
	silentAttempts *metrics.Counter
	// hedges counts the requests that were sent to another worker beside a silent one, and hedgesRelayed
	// those whose response was relayed.
	hedges        *metrics.Counter
	hedgesRelayed *metrics.Counter
	// identityQuestions counts the questions to workers who they are.
	identityQuestions *metrics.Counter
	// slowCallers counts the times at which a stream was read ahead of a slow caller, and unreadStreams the streams that were
	// given up because their callers did not read.
	slowCallers   *metrics.Counter
	unreadStreams *metrics.Counter
	// memoryCrashes counts the crashes of workers that held more than their memory.
	memoryCrashes *metrics.Counter
	// datagramsIgnored counts the datagrams without sense.
	datagramsIgnored *metrics.Counter
	// claimsCut counts how often another entry told of more bytes than a worker can hold.
	claimsCut *metrics.Counter
	// factsSent counts the messages with facts to other entries, loadFiguresIgnored the figures of workers' loads that were
	// out of range, and ordersHeld the requests that were held back behind one that others had passed too often.
	factsSent          *metrics.Counter
	loadFiguresIgnored *metrics.Counter
	ordersHeld         *metrics.Counter
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{
		set:       set,
		retries:   set.NewCounter("laburnumgw_entry_retries_total"),
		resumed:   set.NewCounter("laburnumgw_entry_resumed_streams_total"),
		attempts:  set.NewHistogram("laburnumgw_entry_attempt_duration_seconds"),
		firstByte: set.NewHistogram("laburnumgw_entry_first_byte_seconds"),
		duration:  set.NewHistogram("laburnumgw_entry_request_duration_seconds"),
		borrowed:  set.NewCounter("laburnumgw_entry_limit_borrowed_total"),
		lent:      set.NewCounter("laburnumgw_entry_limit_lent_total"),

		blockedRequests:   set.NewCounter("laburnumgw_entry_blocked_requests_total"),
		deniedUnconfirmed: set.NewCounter("laburnumgw_entry_denials_unconfirmed_total"),
		refusedAtStop:     set.NewCounter("laburnumgw_entry_refused_at_stop_total"),
		refusedTooLate:    set.NewCounter("laburnumgw_entry_refused_too_late_total"),
		panics:            set.NewCounter("laburnumgw_entry_panics_total"),
		abandonedStarts:   set.NewCounter("laburnumgw_entry_abandoned_starts_total"),
		olderWeights:      set.NewCounter("laburnumgw_entry_older_weights_total"),
		refusedAtBound:    set.NewCounter(`laburnumgw_entry_ended_at_bound_total{how="refused"}`),
		brokenOffAtBound:  set.NewCounter(`laburnumgw_entry_ended_at_bound_total{how="broken_off"}`),
		outgoingStartWait: set.NewHistogram("laburnumgw_entry_outgoing_start_wait_seconds"),
		movedNamings:      set.NewCounter("laburnumgw_entry_moved_namings_total"),
		standstills:       set.NewCounter("laburnumgw_entry_standstills_total"),
		standstillSeconds: set.NewFloatCounter("laburnumgw_entry_standstill_seconds_total"),
		silentAttempts:    set.NewCounter("laburnumgw_entry_silent_attempts_total"),
		hedges:            set.NewCounter("laburnumgw_entry_hedges_total"),
		hedgesRelayed:     set.NewCounter("laburnumgw_entry_hedges_relayed_total"),

		identityQuestions: set.NewCounter("laburnumgw_entry_identity_questions_total"),
		slowCallers:       set.NewCounter("laburnumgw_entry_slow_callers_total"),
		memoryCrashes:     set.NewCounter("laburnumgw_entry_worker_memory_crashes_total"),
		unreadStreams:     set.NewCounter("laburnumgw_entry_unread_streams_total"),

		factsSent:          set.NewCounter("laburnumgw_entry_facts_sent_total"),
		datagramsIgnored:   set.NewCounter("laburnumgw_entry_datagrams_ignored_total"),
		claimsCut:          set.NewCounter("laburnumgw_entry_memory_claims_cut_total"),
		loadFiguresIgnored: set.NewCounter("laburnumgw_entry_load_figures_ignored_total"),
		ordersHeld:         set.NewCounter("laburnumgw_entry_work_orders_held_total"),
	}
}

// limitedAttempts counts the attempts that were sent to a worker while its limit was in force.
func (m *entryMetrics) limitedAttempts(vm string) *metrics.Counter {
	return m.set.GetOrCreateCounter(limitedAttemptsName(vm))
}

// limitedAttemptsName returns the name of the counter of limitedAttempts.
func limitedAttemptsName(vm string) string {
	return fmt.Sprintf("laburnumgw_entry_limited_attempts_total{vm=%q}", vm)
}

// factsHeard counts the messages with facts of other entries, by whether they were news.
func (m *entryMetrics) factsHeard(used bool) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_facts_heard_total{used=%q}", strconv.FormatBool(used)))
}

// workOrders counts the requests that were sent with an order.
func (m *entryMetrics) workOrders(order int) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_work_orders_total{order=%q}", strconv.Itoa(order)))
}

// memoryRefused counts what was refused because the memory for requests was used up.
func (m *entryMetrics) memoryRefused(what string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_memory_refusals_total{for=%q}", what))
}

// countMemoryRefusal counts an error if it is a refusal of memory, and returns it.
func (m *entryMetrics) countMemoryRefusal(what string, err error) error {
	var exceeded *membudget.ExceededError
	if errors.As(err, &exceeded) {
		m.memoryRefused(what).Inc()
	}
	return err
}

// cutResponse counts the responses whose connection was closed before they were complete.
func (m *entryMetrics) cutResponse(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_cut_responses_total{reason=%q}", reason))
}

// unmarkedEnd counts the responses without length and chunks that ended with their connection, by what was decided
// and by how the worker was listed then.
func (m *entryMetrics) unmarkedEnd(decision endDecision, listing string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_unmarked_ends_total{decision=%q,worker=%q}", decision, listing))
}

// objectsIgnored counts the revisions of objects in the store that cannot be read.
func (m *entryMetrics) objectsIgnored(kind string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_store_objects_ignored_total{kind=%q}", kind))
}

// countResponse counts a final response by its reason.
func (m *entryMetrics) countResponse(reason string, started time.Time) {
	m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_requests_total{reason=%q}", reason)).Inc()
	m.duration.UpdateDuration(started)
}
