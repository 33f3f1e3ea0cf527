package hosted

import (
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
)

// errUnmarkedEnd marks a response that ended with its connection while nothing shows that it is complete.
var errUnmarkedEnd = errors.New("response ended with its connection")

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

// checkEnd returns nil if something shows that a response is complete that has ended with its connection. The close
// alone does not: the system closes the connections of a process that was killed in an orderly way as well. The
// response is complete if its worker answers afterwards, leaving or not, as the start that was asked: its process has lived
// on, and has closed the connection itself.
func (a *attempt) checkEnd() error {
	start := workerStart{Start: a.start(), vm: a.decision.VM}
	if a.engine == nil {
		start.healthPath = a.view.healthPath(a.service)
	}
	silence, failure := a.endPatience()
	err := a.answers(a.ctx, start, silence, failure)
	switch {
	case a.ctx.Err() != nil:
		// The worker may have stopped at the end of the request.
		err = a.ctx.Err()
	case errors.Is(err, errRefusesConnections):
		a.view.workerCrashed(start.Start, "its machine")
	case err == nil && a.view.isReplaced(start.vm, start.StartedAtMs):
		err = errAnotherStart
	}
	switch {
	case err == nil:
		a.recordEnd(true, "worker answers")
		return nil
	case errors.Is(err, errRefusesConnections), errors.Is(err, errAnotherStart):
		err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	a.recordEnd(false, err.Error())
	return fmt.Errorf("%w: %w", errUnmarkedEnd, err)
}

// endPatience returns how long a worker is asked after the end of a response while it is silent, and while questions
// fail otherwise. A response that must not be repeated is lost without an answer.
func (a *attempt) endPatience() (silence, failure time.Duration) {
	if !a.route.Repeatable() {
		// The request is over before.
		left := a.limits.Left(time.Now()) + crashWait
		return left, left
	}
	return silencePatience(a.route), crashWait
}

// healthPath returns the path of the health check of a service.
func (v *view) healthPath(state *service) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return state.config.HealthPath
}

// isReplaced reports whether another start of a worker is listed than one that was asked.
func (v *view) isReplaced(vm string, startedAtMs int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.workers[vm]
	return w != nil && w.StartedAtMs != startedAtMs
}
