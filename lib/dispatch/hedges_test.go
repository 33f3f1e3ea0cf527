package dispatch_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
)

// hedgingTarget runs a function within its first attempt, which then completes.
type hedgingTarget struct {
	hedge func(hedges *dispatch.Hedges)
}

func (hedgingTarget) Pick(uint32, string, []string) (routing.Decision, error) {
	return routing.Decision{VM: "first"}, nil
}

func (t hedgingTarget) Attempt(_ context.Context, _ routing.Decision, _ uint32, hedges *dispatch.Hedges) retry.Attempt {
	t.hedge(hedges)
	return retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_COMPLETE, Sent: true}
}

func (hedgingTarget) Retrying(routing.Decision, uint32, retry.Attempt, retry.Next) {}

// Guards against attempts beside a silent one that go to the same endpoint, carry the number of another one, or keep
// the place that was chosen for them when others have used up the budget meanwhile.
func TestHedges(t *testing.T) {
	silent := retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_UNKNOWN, Sent: true}
	run := func(t *testing.T, perSecond float64, hedge func(hedges *dispatch.Hedges, budget *retry.Budget)) {
		t.Helper()
		budget := retry.NewBudget(retry.BudgetSettings{Ratio: 0.001, PerSecond: perSecond})
		loop := dispatch.NewLoop(retry.NewPlanner(retry.Settings{}, budget, rand.New(rand.NewPCG(1, 1))), budget)
		_, err := loop.Run(t.Context(), retry.Request{Idempotent: true, Deadline: time.Now().Add(time.Minute)}, hedgingTarget{func(h *dispatch.Hedges) { hedge(h, budget) }})
		if err != nil {
			t.Error(err)
		}
	}
	noUndo := func() { t.Error("choice taken back") }
	t.Run("numbers and tried endpoints", func(t *testing.T) {
		run(t, 10, func(h *dispatch.Hedges, _ *retry.Budget) {
			tried := []string{"first"}
			for number := uint32(2); number <= 3; number++ {
				vm := []string{"second", "third"}[number-2]
				sent := h.Send(silent, func(got uint32, _ string, known []string) (routing.Decision, error) {
					if got != number || !slices.Equal(known, tried) {
						t.Errorf("number %d after %v, want %d after %v", got, known, number, tried)
					}
					return routing.Decision{VM: vm}, nil
				}, noUndo)
				if !sent {
					t.Error("not sent")
				}
				tried = append(tried, vm)
				h.Ended(retry.Attempt{Outcome: laburnumgwv1.Outcome_OUTCOME_NOT_RUN, Sent: true})
			}
		})
	})
	t.Run("no endpoint", func(t *testing.T) {
		run(t, 10, func(h *dispatch.Hedges, budget *retry.Budget) {
			for range 200 {
				pick := func(uint32, string, []string) (routing.Decision, error) {
					return routing.Decision{}, errors.New("none")
				}
				if h.Send(silent, pick, noUndo) {
					t.Error("sent")
				}
			}
			if !budget.AllowsRetry(time.Now()) {
				t.Error("the budget is used up")
			}
		})
	})
	t.Run("budget used up meanwhile", func(t *testing.T) {
		run(t, 0.1, func(h *dispatch.Hedges, budget *retry.Budget) {
			undone := 0
			pick := func(uint32, string, []string) (routing.Decision, error) {
				budget.TryRetry(time.Now())
				return routing.Decision{VM: "second"}, nil
			}
			if h.Send(silent, pick, func() { undone++ }) || undone != 1 {
				t.Errorf("sent, or taken back %d times", undone)
			}
		})
	})
	t.Run("no budget", func(t *testing.T) {
		run(t, -1, func(h *dispatch.Hedges, _ *retry.Budget) {
			pick := func(uint32, string, []string) (routing.Decision, error) {
				t.Error("an endpoint was chosen")
				return routing.Decision{}, nil
			}
			if h.Send(silent, pick, noUndo) {
				t.Error("sent")
			}
		})
	})
}
