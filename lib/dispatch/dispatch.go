// Package dispatch runs the attempts of a request: it picks an endpoint, sends the attempt
// and follows the decisions of the retry planner until there is a final response.
package dispatch

import (
	"context"
	"sync"
	"time"

	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
)

// Target is one request as the loop sees it.
type Target interface {
	// Pick chooses an endpoint for an attempt. The digest is the version that must
	// serve it, empty for any; tried names the VMs of earlier attempts.
	Pick(number uint32, digest string, tried []string) (routing.Decision, error)
	// Attempt sends the request and relays the response. It may send the request to further
	// endpoints while one is silent, as hedges allow, and returns the attempt that ended last.
	Attempt(ctx context.Context, decision routing.Decision, number uint32, hedges *Hedges) retry.Attempt
	// Retrying is called after each decision to send the request again, before the wait
	// for the next attempt.
	Retrying(decision routing.Decision, number uint32, ended retry.Attempt, next retry.Next)
}

// Loop shares a retry planner and its budget between requests.
type Loop struct {
	mu      sync.Mutex
	planner *retry.Planner
	budget  *retry.Budget
}

// NewLoop returns a loop that uses the planner and the retry budget.
func NewLoop(planner *retry.Planner, budget *retry.Budget) *Loop {
	return &Loop{planner: planner, budget: budget}
}

// Configure replaces the settings of the planner and of its budget.
func (l *Loop) Configure(maxAttempts int, budget retry.BudgetSettings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planner.Configure(maxAttempts)
	l.budget.Configure(budget)
}

// Run serves one request. It returns the last attempt and the error to respond with, nil
// when the response is complete.
func (l *Loop) Run(ctx context.Context, request retry.Request, target Target) (retry.Attempt, error) {
	state := retry.NewState(request)
	l.countFirst()
	hedges := &Hedges{loop: l, state: state}
	var ended retry.Attempt
	digest := ""
	for {
		if ctx.Err() != nil {
			// A worker that responds at once would run it before the end of the context stops the attempt.
			return ended, state.NoEndpoint(context.Cause(ctx)).Err
		}
		number := uint32(state.Attempts() + 1)
		decision, err := target.Pick(number, digest, hedges.tried)
		if err != nil {
			return ended, state.NoEndpoint(err).Err
		}
		hedges.tried = append(hedges.tried, decision.VM)
		ended = target.Attempt(ctx, decision, number, hedges)
		next := l.next(state, ended)
		if next.Action == retry.Respond {
			return ended, next.Err
		}
		target.Retrying(decision, number, ended, next)
		next = l.await(ctx, state, next)
		if next.Action == retry.Respond {
			return ended, next.Err
		}
		digest = next.VersionDigest
	}
}

// AllowsRetry reports whether the retry budget allows a retry now.
func (l *Loop) AllowsRetry(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.AllowsRetry(now)
}

func (l *Loop) countFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.FirstAttempt(time.Now())
}

func (l *Loop) next(state *retry.State, ended retry.Attempt) retry.Next {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.Next(state, ended, time.Now())
}

// await waits as the planner decided, again while the planner has no retry budget, until
// the next attempt may be sent or the request is abandoned.
func (l *Loop) await(ctx context.Context, state *retry.State, next retry.Next) retry.Next {
	for {
		if !Sleep(ctx, next.After) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.planner.Abandon(state)
			return state.NoEndpoint(context.Cause(ctx))
		}
		if next.Action != retry.Wait {
			return next
		}
		next = l.nextAfterWait(state)
	}
}

func (l *Loop) nextAfterWait(state *retry.State) retry.Next {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.NextAfterWait(state, time.Now())
}

// Sleep waits and reports whether the time passed before the context was cancelled.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
