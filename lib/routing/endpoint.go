package routing

import (
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

const (
	// loadStaleness is the age after which a load no longer describes the endpoint.
	loadStaleness = 3 * time.Second
	// othersSmoothing is the weight of a new observation of the load that other
	// entries cause in the score. An observation is late by up to a second and counts this entry's
	// attempts as of then; following it at once makes the entries oscillate.
	othersSmoothing = 0.25
)

// endpoint is the state of one endpoint.
type endpoint struct {
	vm          string
	address     string
	zone        string
	region      string
	incarnation Incarnation
	sequence    uint64

	zoneOut  bool
	leaving  bool
	cold     bool
	liveness Liveness
	adapters []string
	pools    []*pool
	health   health

	limit int32
	// own and ownTokens count this entry's running attempts.
	own       int32
	ownTokens int64
	// reported is the load of the last report, without corrections.
	reported float64
	// others estimates the load that other entries cause.
	others      float64
	othersKnown bool
	// othersSmooth averages others over the last observations.
	othersSmooth float64
	loadAt       time.Time
	frameAt      time.Time

	// affinity is the matched share of the request's prefixes in query affinityIn.
	affinity   float64
	affinityIn uint64
	prefixes   prefixLog
}

// available reports whether the endpoint counts as a member of its pools.
func (e *endpoint) available() bool {
	return e.liveness != Dead && !e.leaving && !e.zoneOut
}

// restart resets what a new incarnation does not inherit. Own attempts remain until
// they finish.
func (e *endpoint) restart(incarnation Incarnation) {
	e.incarnation = incarnation
	e.leaving = false
	e.others = 0
	e.othersKnown = false
	e.frameAt = time.Time{}
	e.adapters = nil
	e.health = health{}
}

func (e *endpoint) reportReceived(load *laburnumgwv1.Load, now time.Time) {
	e.reported = float64(load.GetInFlight() + load.GetQueued())
	if load.GetLeaving() {
		e.leaving = true
	}
	e.observe(load, now)
}

func (e *endpoint) frameReceived(load *laburnumgwv1.Load, now time.Time) {
	if load.GetLeaving() {
		e.leaving = true
	}
	e.frameAt = now
	e.observe(load, now)
}

// observe updates the limit and the estimate of the load that other entries cause.
func (e *endpoint) observe(load *laburnumgwv1.Load, now time.Time) {
	e.limit = load.GetLimit()
	e.cold = load.GetCold()
	e.loadAt = now
	others := float64(load.GetInFlight() + load.GetQueued() - e.own)
	others = max(others, 0)
	if !e.othersKnown {
		e.othersSmooth = others
	}
	e.othersKnown = true
	e.others = others
	e.othersSmooth += othersSmoothing * (others - e.othersSmooth)
}

// othersAt returns the load that other entries cause, as last observed and smoothed.
// When the observation is no longer current, both are at least the mean of the pool,
// so that silence attracts no requests.
func (e *endpoint) othersAt(now time.Time, mean float64) (latest, smooth float64) {
	if e.othersKnown && now.Sub(e.loadAt) < loadStaleness {
		return e.others, e.othersSmooth
	}
	return max(e.others, mean), max(e.othersSmooth, mean)
}

func (e *endpoint) capacity() float64 {
	if e.limit <= 0 {
		return defaultLimit
	}
	return float64(e.limit)
}
