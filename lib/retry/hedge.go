package retry

import (
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// MayHedge reports whether a further attempt may be sent beside one that is silent and goes on, and the
// version that must serve it. silent is the attempt as if it ended now.
func (p *Planner) MayHedge(s *State, silent Attempt, now time.Time) (Next, bool) {
	ended := *s
	ended.record(silent)
	action, _ := ended.nextAction(silent)
	if action == Respond || p.attemptsUsedUp(&ended) || !now.Before(s.request.end()) || !p.budget.AllowsRetry(now) {
		return Next{}, false
	}
	next := Next{Action: action}
	if action == Resume {
		next.VersionDigest = ended.digest
	}
	return next, true
}

// Hedge consumes the budget for a further attempt that MayHedge has allowed. It reports false when other
// requests have used it up since.
func (p *Planner) Hedge(s *State, now time.Time) bool { return p.budget.tryRetry(p.ahead(s, now), now) }

// MayGoOn reports whether another attempt that was sent beside one that has ended may still give the response. It goes on
// also when the one that has ended may have crashed its endpoint: the request has reached the other one by then.
func (p *Planner) MayGoOn(s *State, a Attempt) bool {
	switch a.outcome() {
	case laburnumgwv1.Outcome_OUTCOME_COMPLETE, laburnumgwv1.Outcome_OUTCOME_IN_PROGRESS:
		return false
	}
	return !s.inProgress
}

// Ended records the end of an attempt while another one goes on.
func (p *Planner) Ended(s *State, a Attempt) { s.record(a) }
