package hosted

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/routing"
)

const (
	// borrowTimeout bounds the time in which a request that would be refused borrows from the
	// entries that share the limit of a worker, and maxBorrowCalls their number.
	borrowTimeout  = 150 * time.Millisecond
	maxBorrowCalls = 3
	// minBorrowPause and maxBorrowPause bound the time for which an entry that could not borrow
	// does not ask again for the same worker.
	minBorrowPause = 20 * time.Millisecond
	maxBorrowPause = time.Second
)

// lender is an entry to ask for a request to a worker.
type lender struct {
	peers       limitPeers
	address     string
	vm          string
	startedAtMs int64
}

// lenders returns the entries to ask for a request to one of some workers.
func (v *view) lenders(vms []string) []lender {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.limitPeers == nil {
		return nil
	}
	vms = slices.Clone(vms)
	v.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	var list []lender
	for _, vm := range vms {
		w := v.workers[vm]
		if w == nil || time.Now().Before(w.limit.borrowAfter) {
			continue
		}
		for _, address := range v.limitSenders(w) {
			list = append(list, lender{v.limitPeers, address, vm, w.StartedAtMs})
			if len(list) == maxBorrowCalls {
				return list
			}
		}
	}
	return list
}

// pickBorrowed is called when only limits allow no worker for a request. It asks entries that
// share these limits for one request and picks again. It returns the refusal, with the time
// after which one may be lent, when nobody lends one.
func (c *call) pickBorrowed(query *routing.Request, limited []string, refusal error) (routing.Decision, error) {
	ctx, cancel := context.WithTimeout(c.r.Context(), borrowTimeout)
	defer cancel()
	var retryAfter time.Duration
	for _, l := range c.view.lenders(limited) {
		response, err := l.peers.Lend(ctx, l.address, l.vm, l.startedAtMs)
		if err != nil {
			c.log.Debug("request not lent", zap.String("entry", l.address), zap.String("vm", l.vm), zap.Error(err))
			c.view.pauseBorrowing(l.vm, 0)
			continue
		}
		if decision, err := c.view.applyLent(c, query, l, response); err == nil {
			c.metrics.borrowed.Inc()
			return decision, nil
		}
		after := time.Duration(response.GetRetryAfterMs()) * time.Millisecond
		if after > 0 && (retryAfter == 0 || after < retryAfter) {
			retryAfter = after
		}
	}
	var typed *errkind.Error
	if retryAfter > 0 && errors.As(refusal, &typed) && c.view.bounded(c) {
		typed.RetryAfter = max(retryAfter, noWorkerRetryAfter)
	}
	return routing.Decision{}, refusal
}

// errNotLent is returned when an entry did not lend a request.
var errNotLent = errors.New("entry did not lend a request")

// applyLent picks again after a response of a lender. The lender may have lent a request, or
// have told that the limit has ended.
func (v *view) applyLent(c *call, query *routing.Request, l lender, response *laburnumgwv1.LendResponse) (routing.Decision, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if response.GetLimit() != nil {
		v.mergeLimit(response.GetLimit(), l.address)
	}
	now := time.Now()
	if !response.GetLent() {
		v.setBorrowPause(l.vm, time.Duration(response.GetRetryAfterMs())*time.Millisecond)
		if _, limited := v.limits.Get(l.vm, l.startedAtMs); limited {
			return routing.Decision{}, errNotLent
		}
	} else {
		c.service.table.Borrowed(l.vm, now, now)
	}
	return c.pickAndTrack(query, now)
}

// pauseBorrowing records that nobody lends requests to a worker for some time.
func (v *view) pauseBorrowing(vm string, pause time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setBorrowPause(vm, pause)
}

// setBorrowPause is pauseBorrowing for callers that hold the lock.
func (v *view) setBorrowPause(vm string, pause time.Duration) {
	if w := v.workers[vm]; w != nil {
		w.limit.borrowAfter = time.Now().Add(min(max(pause, minBorrowPause), maxBorrowPause))
	}
}

// bounded reports whether pauses or limits allow a request to no worker of the service of a call.
func (v *view) bounded(c *call) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boundsLeft(c.service) > 0
}

// lendRequest takes one request from this entry's part of the limit of a start of a worker.
func (v *view) lendRequest(vm string, startedAtMs int64) *laburnumgwv1.LendResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	response := new(laburnumgwv1.LendResponse)
	if limit, known := v.limits.Known(vm); known {
		response.Limit = limitMessage(limit)
	}
	w := v.workers[vm]
	if w == nil || w.StartedAtMs != startedAtMs || v.services[w.Service] == nil {
		return response
	}
	lent, retryAfter := v.services[w.Service].table.Lend(vm, time.Now())
	if lent {
		v.metrics.lent.Inc()
	}
	response.Lent = lent
	response.RetryAfterMs = retryAfter.Milliseconds()
	return response
}
