package dispatch

import (
	"slices"
	"time"

	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
)

// Hedges are the attempts of one request that are sent beside an attempt that is silent, so that it is
// ended only once another one has begun to respond.
type Hedges struct {
	loop  *Loop
	state *retry.State
	// tried names the endpoints of all attempts.
	tried []string
}

// Send sends a hedge if the attempts and the retry budget allow one and pick chooses an endpoint. silent is
// the attempt that goes on, as if it ended now. pick gets the number of the hedge, the version that must serve
// it and the endpoints that were tried; undo takes its choice back.
func (h *Hedges) Send(silent retry.Attempt, pick func(number uint32, digest string, tried []string) (routing.Decision, error), undo func()) (sent bool) {
	next, allowed := h.allowed(silent)
	if !allowed {
		return false
	}
	// The silent attempt is not recorded yet.
	number := uint32(h.state.Attempts() + 2)
	decision, err := pick(number, next.VersionDigest, slices.Clone(h.tried))
	if err != nil {
		return false
	}
	if !h.consumeBudget() {
		undo()
		return false
	}
	h.tried = append(h.tried, decision.VM)
	return true
}

// MayGoOn reports whether a hedge that runs beside an attempt that has ended may still give the response.
func (h *Hedges) MayGoOn(ended retry.Attempt) bool {
	h.loop.mu.Lock()
	defer h.loop.mu.Unlock()
	return h.loop.planner.MayGoOn(h.state, ended)
}

// Ended records the end of an attempt beside another one that goes on.
func (h *Hedges) Ended(ended retry.Attempt) {
	h.loop.mu.Lock()
	defer h.loop.mu.Unlock()
	h.loop.planner.Ended(h.state, ended)
}

func (h *Hedges) allowed(silent retry.Attempt) (retry.Next, bool) {
	h.loop.mu.Lock()
	defer h.loop.mu.Unlock()
	return h.loop.planner.MayHedge(h.state, silent, time.Now())
}

func (h *Hedges) consumeBudget() bool {
	h.loop.mu.Lock()
	defer h.loop.mu.Unlock()
	return h.loop.planner.Hedge(h.state, time.Now())
}
