package hosted

import (
	"errors"
	"syscall"

	"go.uber.org/zap"
)

// endDecision is what was decided about a response that ended with its connection.
type endDecision string

const (
	endComplete  endDecision = "complete"
	endResumed   endDecision = "resumed"
	endRepeated  endDecision = "repeated"
	endBrokenOff endDecision = "broken_off"
)

// unmarkedEnd is the end of a response that has neither a length nor chunks.
type unmarkedEnd struct {
	// listing is how the worker was listed: "listed", "leaving" or "unlisted".
	listing string
	// evidence is what is known of the end.
	evidence string
}

// recordEnd counts and logs the end of a response without length and chunks.
func (a *attempt) recordEnd(complete bool, evidence string) {
	end := &unmarkedEnd{a.view.listing(a.start(), a.decision.VM), evidence}
	if complete {
		a.metrics.unmarkedEnd(endComplete, end.listing).Inc()
	} else {
		a.brokenEnd = end
	}
	a.logFor(complete && end.listing == "listed").Info("response ended with its connection", zap.String("request", a.in.ID), zap.Uint32("attempt", a.number),
		zap.String("vm", a.decision.VM), zap.String("worker", end.listing), zap.String("evidence", evidence), zap.Bool("complete", complete),
		zap.Bool("continued", a.continues), zap.String("last_event", a.call.lastEventID))
}

// goesOn counts a broken end that another attempt follows.
func (c *call) goesOn() {
	if c.brokenEnd == nil {
		return
	}
	decision := endRepeated
	if c.relayedBytes > 0 {
		decision = endResumed
	}
	c.metrics.unmarkedEnd(decision, c.brokenEnd.listing).Inc()
	c.brokenEnd = nil
}

// endsAfterBrokenEnd counts a broken end that no attempt followed. err is nil if an attempt that ran beside it gave the
// response.
func (c *call) endsAfterBrokenEnd(err error) {
	if err == nil {
		c.goesOn()
	}
	if c.brokenEnd != nil {
		c.metrics.unmarkedEnd(endBrokenOff, c.brokenEnd.listing).Inc()
	}
}

// endedInCrash reports whether the worker of a response that has ended with its connection may have
// crashed, so that the response may be incomplete.
func (a *attempt) endedInCrash() bool {
	start := a.start()
	if a.view.leaving(start) {
		a.recordEnd(true, "not asked")
		return false
	}
	err := a.view.connect(a.ctx, start.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.view.workerCrashed(start, "its machine")
		a.recordEnd(false, "refused")
		return true
	}
	// The end of the request leaves it unknown.
	over := a.ctx.Err() != nil
	evidence := "connected"
	if err != nil {
		evidence = "not connected"
	}
	a.recordEnd(!over, evidence)
	return over
}
