package hosted

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/workerconn"
)

var (
	// errSuperseded ends a hedge when another attempt has begun to respond.
	errSuperseded = errors.New("another attempt has begun to respond")
	// errAttemptPanicked ends a hedge whose code panicked.
	errAttemptPanicked = errors.New("attempt panicked")
)

// hedge is an attempt that was sent beside a silent one, whose connection stays open meanwhile.
// Whichever begins first is relayed, and the other one is ended.
type hedge struct {
	*attempt
	cancel context.CancelCauseFunc
	// done is closed once the attempt has begun to respond, or has ended. brought is the result, and not to
	// be read before.
	done    chan struct{}
	brought opened
}

// superseded reports whether the attempt was ended because another one has begun to respond.
func (a *attempt) superseded() bool {
	return a.beside && errors.Is(context.Cause(a.ctx), errSuperseded)
}

// hedgeHasBegun reports whether an attempt beside a silent one has begun to respond. Without one, it sends the
// request to another worker if it may.
func (c *call) hedgeHasBegun(silent *attempt) bool {
	if c.hedge != nil {
		select {
		case <-c.hedge.done:
		default:
			return false
		}
		if c.hedge.brought.hasBegun() {
			return true
		}
		c.hedgeEnded()
	}
	if now := time.Now(); !now.Before(c.nextHedgeAt) {
		c.nextHedgeAt = now.Add(reportPollInterval)
		c.startHedge(silent)
	}
	return false
}

// hedgeEnded records a hedge that has ended without a response.
func (c *call) hedgeEnded() {
	h := c.hedge
	c.hedge = nil
	c.record(h.attempt, h.brought.ended)
	c.hedges.Ended(h.brought.ended)
}

// startHedge sends the request to another worker while one is silent. A request that is blocked, or a
// trial of a block, is not sent to a second worker.
func (c *call) startHedge(silent *attempt) {
	if c.trial != nil || !c.fits() || c.isBlocked() {
		return
	}
	sent := c.hedges.Send(c.relayed(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, workerconn.ErrUnresponsive), c.pickHedge, c.undoPick)
	if !sent {
		return
	}
	a := c.picked
	c.requestName() // the hedge must not change the call
	ctx, cancel := context.WithCancelCause(c.r.Context())
	a.ctx, a.beside, a.sentAt = ctx, true, time.Now()
	c.attempts = a.number
	h := &hedge{attempt: a, cancel: cancel, done: make(chan struct{})}
	c.hedge = h
	c.metrics.retries.Inc()
	c.metrics.hedges.Inc()
	if a.continues {
		c.metrics.resumed.Inc()
	}
	c.log.Info("worker is silent; the request is sent to another one as well", zap.String("request", c.in.ID), zap.Uint32("attempt", a.number),
		zap.String("silent", silent.decision.VM), zap.String("vm", a.decision.VM), zap.Bool("resume", a.continues))
	remainder := a.unhedgedTimeout()
	go h.run(a.untilBound(remainder), remainder)
}

// run opens the attempt. One that has ended without a response is finished here, as that may wait for
// news of a crash.
func (h *hedge) run(firstEvent, remainder workerconn.TimeoutFunc) {
	defer close(h.done)
	defer func() {
		if cause := recover(); cause != nil {
			h.metrics.panics.Inc()
			h.log.Error("attempt panicked", zap.String("request", h.in.ID), zap.Any("panic", cause), zap.Stack("stack"))
			h.brought = opened{ended: h.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, "", fmt.Errorf("%w: %v", errAttemptPanicked, cause))}
			h.view.startWaitEnded(h.startWait, waitUnknown)
		}
	}()
	h.brought = h.open(firstEvent, remainder)
	if !h.brought.hasBegun() {
		h.brought.ended = h.finish(h.brought.ended)
	}
}

// pickHedge chooses the worker of a hedge. It does not ask other entries for a part of a limit, which takes time.
func (c *call) pickHedge(number uint32, digest string, tried []string) (routing.Decision, error) {
	return c.pick(c.query(number, digest, tried))
}

// undoPick takes back the choice of a worker that was not sent anything.
func (c *call) undoPick() {
	c.view.attemptFinished(c.service, c.picked.tracked, routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED})
	c.view.startWaitEnded(c.picked.startWait, waitUnknown)
}

// adoptHedge waits for the hedge in place of the attempt that has ended. While it is silent, the request may be
// sent to another worker in turn.
func (c *call) adoptHedge() (*attempt, opened) {
	h := c.hedge
	c.hedge = nil
	select {
	case <-h.done: // without the patience, which may be over
	default:
		c.await(h)
	}
	if h.brought.hasBegun() {
		c.metrics.hedgesRelayed.Inc()
	}
	return h.attempt, h.brought
}

// await waits until a hedge has begun or ended, as for the first event of any other attempt.
func (c *call) await(h *hedge) {
	timeout := h.hedgedTimeout(h.firstPatience())
	for {
		more := timeout(time.Since(h.sentAt))
		if more <= 0 {
			h.cancel(workerconn.ErrUnresponsive)
			<-h.done
			return
		}
		timer := time.NewTimer(more)
		select {
		case <-h.done:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// dropHedge ends the hedge, if there is one, since another attempt has begun to respond or the request is over.
func (c *call) dropHedge() {
	h := c.hedge
	if h == nil {
		return
	}
	c.hedge = nil
	h.cancel(errSuperseded)
	<-h.done
	ended := h.brought.ended
	if h.brought.hasBegun() {
		if h.brought.stream != nil {
			h.brought.stream.recordBegin()
		}
		h.brought.close()
		ended = h.finish(h.result(laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, versionDigest(h.weightVersion), errSuperseded))
	}
	c.record(h.attempt, ended)
	c.hedges.Ended(ended)
}

// isBlocked reports whether the request, or a part of its prompt, is blocked.
func (c *call) isBlocked() bool {
	_, _, blocked := c.block()
	return blocked
}
