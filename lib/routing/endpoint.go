package routing

import (
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

const (
	// maxLoadAge is the age from which a load no longer describes the endpoint.
	maxLoadAge = 3 * time.Second
	// othersSmoothing is the weight of a new observation in the average of the load
	// that other entries cause. An observation is up to a second old and includes this
	// entry's attempts of that time; without the average the entries oscillate.
	othersSmoothing = 0.25
)

// endpoint is the state of one endpoint. The fields that every decision reads come
// first, so that they share cache lines. Fields of type time.Duration are table time: the
// time since Table.origin.
type endpoint struct {
	zoneOutOfService bool
	leaving          bool
	cold             bool
	othersKnown      bool
	liveness         Liveness
	distance         distance
	limit            int32
	// regionIndex is the place of region in the list of the table.
	regionIndex int32
	// ownAttempts and ownTokens count this entry's running attempts.
	ownAttempts int32
	ownTokens   int64
	// waitingPromptTokens counts the prompt tokens of this entry's attempts that the endpoint
	// has not started to respond to.
	waitingPromptTokens int64
	// othersLoad estimates the load that other entries cause; othersLoadAverage averages it
	// over the last observations.
	othersLoad        float64
	othersLoadAverage float64
	// loadAt is the time of the last observation of the load.
	loadAt time.Duration
	// closesAt is the time at which the endpoint plans to stop serving for a while; zero
	// for no such plan. closesUntil is when the plan is forgotten.
	closesAt, closesUntil time.Duration
	// sendUntil is the time from which on requests would not begin before the bound of the
	// endpoint's weights; zero for no bound.
	sendUntil time.Duration
	// pausedUntil is the time until which the endpoint has asked this entry to send no
	// requests; zero for no pause. trialRunning is set while one request tries the endpoint
	// afterwards.
	pausedUntil  time.Duration
	trialRunning bool
	// stated is this entry's part of the limit that the endpoint has stated; nil without one.
	stated *statedLimit
	// source estimates the load by more than the reports; nil for none.
	source LoadSource
	// share bounds the requests of this entry in a second where shared is set. It is zero for
	// an unassigned sender, which may send one in a second with unassignedProbability.
	shared                bool
	share                 int32
	unassignedProbability float64
	// senders is the number of assigned senders of the endpoint where shared is set.
	senders int32
	// freeSlots is the number of requests left in this entry's part of the free capacity that
	// was reported last, at freeSlotsAt; freeSlotsKnown is set once there was such a report.
	freeSlots      int32
	freeSlotsKnown bool
	freeSlotsAt    time.Duration
	// triedIn and affinityIn are the queries in which the endpoint was marked as
	// tried, and in which affinity is the matched share of the request's prefixes.
	triedIn    uint64
	affinityIn uint64
	affinity   float64
	health     health

	vm          string
	address     string
	zone        string
	region      string
	incarnation Incarnation
	sequence    uint64
	// reportedLoad is the load of the last report, without corrections.
	reportedLoad float64
	adapters     []string
	pools        []*pool
	prefixes     prefixLog
	arrivals     arrivalWindow
}

// distance is the network distance of an endpoint from the entry.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// impaired reports whether a filter on the endpoint's state may apply.
func (e *endpoint) impaired() bool {
	return e.zoneOutOfService || e.leaving || e.liveness != Alive || e.health.ejected
}

// available reports whether the endpoint counts as a member of its pools.
func (e *endpoint) available() bool {
	return e.liveness != Dead && !e.leaving && !e.zoneOutOfService
}

// restart resets what a new incarnation does not inherit. Own attempts remain until
// they finish.
func (e *endpoint) restart(incarnation Incarnation) {
	e.incarnation = incarnation
	e.leaving = false
	e.closesAt = 0
	e.sendUntil = 0
	e.pausedUntil = 0
	e.trialRunning = false
	e.stated = nil
	e.freeSlotsKnown = false
	e.othersLoad = 0
	e.othersKnown = false
	e.adapters = nil
	e.health = health{}
}

func (e *endpoint) reportReceived(load *laburnumgwv1.Load, now time.Duration) {
	e.reportedLoad = float64(load.GetInFlight() + load.GetQueued())
	if load.GetLeaving() {
		e.leaving = true
	}
	e.observe(load, now)
}

func (e *endpoint) frameReceived(load *laburnumgwv1.Load, now time.Duration) {
	if load.GetLeaving() {
		e.leaving = true
	}
	e.observe(load, now)
}

// observe updates the limit and the estimate of the load that other entries cause.
func (e *endpoint) observe(load *laburnumgwv1.Load, now time.Duration) {
	e.limit = load.GetLimit()
	e.cold = load.GetCold()
	e.loadAt = now
	others := float64(load.GetInFlight() + load.GetQueued() - e.ownAttempts)
	others = max(others, 0)
	if !e.othersKnown {
		e.othersLoadAverage = others
	}
	e.othersKnown = true
	e.othersLoad = others
	e.othersLoadAverage += othersSmoothing * (others - e.othersLoadAverage)
}

// current reports whether the last observation still describes the endpoint.
func (e *endpoint) current(now time.Duration) bool {
	return e.othersKnown && now-e.loadAt < maxLoadAge
}

// capacity returns the limit, and one for an endpoint that accepts nothing, so that
// ratios to it stay finite.
func (e *endpoint) capacity() float64 {
	return float64(max(e.limit, 1))
}
