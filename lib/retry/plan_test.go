package retry_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/retry"
)

const (
	complete   = laburnumgwv1.Outcome_OUTCOME_COMPLETE
	notRun     = laburnumgwv1.Outcome_OUTCOME_NOT_RUN
	unknown    = laburnumgwv1.Outcome_OUTCOME_UNKNOWN
	failed     = laburnumgwv1.Outcome_OUTCOME_FAILED
	inProgress = laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS
)

func newPlanner(perSecond float64) *retry.Planner {
	budget := retry.NewBudget(retry.BudgetSettings{PerSecond: perSecond})
	return retry.NewPlanner(retry.Settings{}, budget, rand.New(rand.NewPCG(1, 1)))
}

// Guards against a wrong step after one attempt.
func TestPlanAfterOneAttempt(t *testing.T) {
	sent := retry.Attempt{Sent: true}
	with := func(outcome laburnumgwv1.Outcome, relayed int64, digest string) retry.Attempt {
		a := sent
		a.Outcome, a.RelayedBytes, a.VersionDigest = outcome, relayed, digest
		return a
	}
	cases := []struct {
		name                  string
		idempotent, resumable bool
		attempt               retry.Attempt
		action                retry.Action
		kind                  errkind.Kind
	}{
		{"complete", false, false, with(complete, 9, "v1"), retry.Respond, ""},
		{"not run is retried for all kinds", false, false, with(notRun, 0, ""), retry.Retry, ""},
		{"never sent is not run", false, false, retry.Attempt{Outcome: unknown}, retry.Retry, ""},
		{"unknown, idempotent", true, false, with(unknown, 0, ""), retry.Retry, ""},
		{"unknown, not idempotent", false, true, with(unknown, 0, ""), retry.Respond, errkind.OutcomeUnknown},
		{"unspecified counts as unknown", false, false, with(0, 0, ""), retry.Respond, errkind.OutcomeUnknown},
		{"failed, idempotent", true, false, with(failed, 0, ""), retry.Retry, ""},
		{"failed, not idempotent", false, false, with(failed, 0, ""), retry.Respond, errkind.Failed},
		{"in progress", true, false, with(inProgress, 0, ""), retry.Respond, errkind.InProgress},
		{"relayed, resumable", true, true, with(unknown, 9, "v1"), retry.Resume, ""},
		{"relayed, not resumable", true, false, with(unknown, 9, "v1"), retry.Respond, errkind.OutcomeUnknown},
		{"relayed, not idempotent", false, true, with(unknown, 9, "v1"), retry.Respond, errkind.OutcomeUnknown},
		{"relayed, version unknown", true, true, with(unknown, 9, ""), retry.Respond, errkind.OutcomeUnknown},
	}
	Convey("The step follows from the outcome and the request", t, func() {
		for _, c := range cases {
			state := retry.NewState(retry.Request{
				Idempotent: c.idempotent, Resumable: c.resumable, Deadline: start.Add(time.Minute)})
			next := newPlanner(0).Next(state, c.attempt, start)
			SoMsg(c.name, next.Action, ShouldEqual, c.action)
			SoMsg(c.name, errkind.Of(next.Err), ShouldEqual, c.kind)
			if c.action == retry.Resume {
				So(next.VersionDigest, ShouldEqual, "v1")
				So(state.AcceptsVersion("v2"), ShouldBeFalse)
			}
		}
	})
	Convey("The final response is immediate and keeps the longest Retry-After", t, func() {
		state := retry.NewState(retry.Request{Deadline: start.Add(time.Minute)})
		refusal := retry.Attempt{Sent: true, Outcome: notRun, RetryAfter: 7 * time.Second}
		next := newPlanner(-1).Next(state, refusal, start)
		So(next.Action, ShouldEqual, retry.Respond)
		So(next.After, ShouldEqual, 0)
		So(errkind.Of(next.Err), ShouldEqual, errkind.NotRun)
		var typed *errkind.Error
		So(errors.As(next.Err, &typed), ShouldBeTrue)
		So(typed.RetryAfter, ShouldEqual, 7*time.Second)
	})
	Convey("A Retry-After from the routing replaces the minimum of the request", t, func() {
		state := retry.NewState(retry.Request{Deadline: start.Add(time.Minute), RetryAfter: 250 * time.Millisecond})
		full := errkind.New(errkind.NotRun, "repeat the request", "no free capacity").WithRetryAfter(50 * time.Millisecond)
		var typed *errkind.Error
		So(errors.As(state.NoEndpoint(full).Err, &typed), ShouldBeTrue)
		So(typed.RetryAfter, ShouldEqual, 50*time.Millisecond)
		So(errors.As(state.NoEndpoint(errkind.New(errkind.NotRun, "repeat the request", "no free capacity")).Err, &typed), ShouldBeTrue)
		So(typed.RetryAfter, ShouldEqual, 250*time.Millisecond)
	})
	Convey("A resumed stream that is refused is resumed again on the same version", t, func() {
		state := retry.NewState(retry.Request{Idempotent: true, Resumable: true, Deadline: start.Add(time.Minute)})
		planner := newPlanner(0)
		planner.Next(state, with(unknown, 9, "v1"), start)
		next := planner.Next(state, with(notRun, 0, "v2"), start)
		So(next.Action, ShouldEqual, retry.Resume)
		So(next.VersionDigest, ShouldEqual, "v1")
		So(errkind.Of(state.NoEndpoint(nil).Err), ShouldEqual, errkind.OutcomeUnknown)
	})
}

// Guards against a planner that reports "not run" falsely, runs a request that is not
// idempotent a second time, retries past the deadline, or lets refusals use up the budget.
func TestPlanProperties(t *testing.T) {
	outcomes := []laburnumgwv1.Outcome{complete, notRun, unknown, failed, inProgress, 0}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		deadline := start.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline ms")) * time.Millisecond)
		state := retry.NewState(retry.Request{Idempotent: idempotent, Resumable: true, Deadline: deadline})
		budget := retry.NewBudget(retry.BudgetSettings{PerSecond: 0.3})
		planner := retry.NewPlanner(retry.Settings{MaxAttempts: 3}, budget, rand.New(rand.NewPCG(1, 1)))
		now, ranBefore, retries := start, false, 0
		for {
			a := retry.Attempt{
				Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
				Sent:    rapid.Bool().Draw(t, "sent"),
			}
			if a.Sent && a.Outcome != notRun {
				ranBefore = true
				a.RelayedBytes = int64(rapid.IntRange(0, 1).Draw(t, "relayed"))
				a.VersionDigest = "v1"
			}
			next := planner.Next(state, a, now)
			for next.Action == retry.Wait {
				now = now.Add(next.After)
				next = planner.NextAfterWait(state, now)
			}
			if next.Action == retry.Respond {
				if errkind.Is(next.Err, errkind.NotRun) == ranBefore && next.Err != nil {
					t.Fatalf("final error %v, but an attempt may have run: %v", next.Err, ranBefore)
				}
				break
			}
			retries++
			if ranBefore && !idempotent {
				t.Fatalf("%v after an attempt that may have run", next.Action)
			}
			now = now.Add(next.After)
			if !now.Before(deadline) {
				t.Fatalf("an attempt starts at or after the deadline")
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "attempt ms")) * time.Millisecond)
		}
		for range 3 - retries {
			if !budget.TryRetry(now) {
				t.Fatalf("%d retries used up a budget of 3", retries)
			}
		}
	})
}

// Guards against requests that wait for the budget longer than half of their remaining
// time, and against waiting requests that are not retried once the budget allows it.
func TestPlanWaitsForTheBudget(t *testing.T) {
	unknownOutcome := retry.Attempt{Sent: true, Outcome: unknown}
	request := retry.Request{Idempotent: true, Deadline: start.Add(4 * time.Second)}
	Convey("A request with an unknown outcome waits at most half of its remaining time", t, func() {
		planner := newPlanner(-1)
		state := retry.NewState(request)
		next := planner.Next(state, unknownOutcome, start)
		now := start
		for next.Action == retry.Wait {
			So(next.After, ShouldBeGreaterThan, 0)
			now = now.Add(next.After)
			next = planner.NextAfterWait(state, now)
		}
		So(next.Action, ShouldEqual, retry.Respond)
		So(errkind.Of(next.Err), ShouldEqual, errkind.OutcomeUnknown)
		So(now.Sub(start), ShouldBeBetween, 1900*time.Millisecond, 2001*time.Millisecond)
	})
	Convey("First attempts that arrive meanwhile allow the retry", t, func() {
		budget := retry.NewBudget(retry.BudgetSettings{PerSecond: 0.1})
		So(budget.TryRetry(start), ShouldBeTrue)
		planner := retry.NewPlanner(retry.Settings{}, budget, rand.New(rand.NewPCG(1, 1)))
		state := retry.NewState(request)
		So(planner.Next(state, unknownOutcome, start).Action, ShouldEqual, retry.Wait)
		for range 10 {
			budget.FirstAttempt(start.Add(100 * time.Millisecond))
		}
		next := planner.NextAfterWait(state, start.Add(300*time.Millisecond))
		So(next.Action, ShouldEqual, retry.Retry)
		So(next.After, ShouldEqual, 0)
	})
}
