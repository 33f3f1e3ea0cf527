package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/retry"
)

// Guards against attempts beside a silent one beyond what repeats may do: the attempts of the route, the
// budget, the deadline, and what the request and the part of a stream that the caller has allow.
func TestHedgeKeepsTheLimitsOfRepeats(t *testing.T) {
	now := time.Unix(1000, 0)
	silent := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true}
	begun := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true, RelayedBytes: 10, VersionDigest: "3"}
	refused := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, Sent: true}
	refusedBeside := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, Sent: true, RelayedBytes: 10}
	crashed := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true, MayHaveCrashed: true}
	repeatable := retry.Request{Idempotent: true, Resumable: true, MaxSent: 3, Deadline: now.Add(time.Second)}
	for name, c := range map[string]struct {
		change  func(r *retry.Request)
		earlier []retry.Attempt
		silent  retry.Attempt
		budget  float64
		want    bool
		digest  string
	}{
		"repeatable":                {nil, nil, silent, 10, true, ""},
		"begun stream":              {nil, nil, begun, 10, true, "3"},
		"begun stream, not resumed": {func(r *retry.Request) { r.Resumable = false }, nil, begun, 10, false, ""},
		"runs once":                 {func(r *retry.Request) { r.Idempotent = false }, nil, silent, 10, false, ""},
		"deadline":                  {func(r *retry.Request) { r.Deadline = now }, nil, silent, 10, false, ""},
		"no budget":                 {nil, nil, silent, -1, false, ""},
		"one attempt":               {func(r *retry.Request) { r.MaxSent = 1 }, nil, silent, 10, false, ""},
		"one attempt left":          {nil, []retry.Attempt{refused}, silent, 10, true, ""},
		"no attempt left":           {nil, []retry.Attempt{refused, refused}, silent, 10, false, ""},
		"begun stream, refused by another endpoint": {nil, []retry.Attempt{refusedBeside}, begun, 10, true, "3"},
		"an earlier one has crashed":                {nil, []retry.Attempt{crashed}, silent, 10, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			request := repeatable
			if c.change != nil {
				c.change(&request)
			}
			planner := retry.NewPlanner(retry.Settings{}, retry.NewBudget(retry.BudgetSettings{Ratio: 0.001, PerSecond: c.budget}), rand.New(rand.NewPCG(1, 1)))
			state := retry.NewState(request)
			for _, a := range c.earlier {
				planner.Ended(state, a)
			}
			next, allowed := planner.MayHedge(state, c.silent, now)
			if allowed != c.want || next.VersionDigest != c.digest {
				t.Errorf("allowed: %t, %+v", allowed, next)
			}
			if state.Attempts() != len(c.earlier) {
				t.Errorf("%d attempts recorded", state.Attempts())
			}
		})
	}
}

// Guards against attempts beside silent ones that consume no budget.
func TestHedgesConsumeTheBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	planner := retry.NewPlanner(retry.Settings{}, retry.NewBudget(retry.BudgetSettings{Ratio: 0.001, PerSecond: 0.3}), rand.New(rand.NewPCG(1, 1)))
	state := retry.NewState(retry.Request{Idempotent: true, Deadline: now.Add(time.Second)})
	sent := 0
	for range 10 {
		if planner.Hedge(state, now) {
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d sent, want 3", sent)
	}
}

// Guards against a stream that is resumed on weights which its worker had left amid it: the version was taken
// from the first attempt for good.
func TestStreamIsResumedOnTheVersionOfItsLastEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	planner := retry.NewPlanner(retry.Settings{}, retry.NewBudget(retry.BudgetSettings{PerSecond: 10}), rand.New(rand.NewPCG(1, 1)))
	state := retry.NewState(retry.Request{Idempotent: true, Resumable: true, Deadline: now.Add(time.Minute)})
	for _, c := range []struct {
		relayed int64
		version string
		want    string
	}{{10, "3", "3"}, {20, "4", "4"}, {0, "5", "4"}} {
		ended := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true, RelayedBytes: c.relayed, VersionDigest: c.version}
		if next := planner.Next(state, ended, now); next.Action != retry.Resume || next.VersionDigest != c.want {
			t.Errorf("after %+v: %+v, want version %s", c, next, c.want)
		}
	}
}

// Guards against a stream that is not resumed since an attempt beside the silent one ended first, before it knew a
// version: that of the attempt that relayed the events counts.
func TestVersionOfAStreamOutlivesAnAttemptBesideIt(t *testing.T) {
	now := time.Unix(1000, 0)
	planner := retry.NewPlanner(retry.Settings{}, retry.NewBudget(retry.BudgetSettings{PerSecond: 10}), rand.New(rand.NewPCG(1, 1)))
	state := retry.NewState(retry.Request{Idempotent: true, Resumable: true, Deadline: now.Add(time.Minute)})
	planner.Ended(state, retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, Sent: true, RelayedBytes: 10})
	begun := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true, RelayedBytes: 10, VersionDigest: "3"}
	if next, allowed := planner.MayHedge(state, begun, now); !allowed || next.VersionDigest != "3" {
		t.Errorf("hedge allowed: %t, %+v", allowed, next)
	}
	if next := planner.Next(state, begun, now); next.Action != retry.Resume || next.VersionDigest != "3" {
		t.Errorf("next: %+v", next)
	}
}
