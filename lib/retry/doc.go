// Package retry decides what follows an attempt: a retry, a resumed stream, or the
// final response. All functions are deterministic; time and randomness are arguments.
//
//	budget := retry.NewBudget(retry.BudgetSettings{})
//	state := retry.NewState(retry.Request{Idempotent: true, Resumable: true, Deadline: deadline})
//	planner := retry.NewPlanner(retry.Settings{}, budget, rng)
//	budget.FirstAttempt(now)
//	for {
//		// Pick an endpoint, send the attempt and relay its frames. When Pick fails:
//		//	return state.NoEndpoint(err).Err
//		next := planner.Next(state, ended, now)
//		switch next.Action {
//		case retry.Respond:
//			return next.Err // nil: the attempt's response is complete
//		case retry.Retry, retry.Resume:
//			// Wait next.After; for Resume require next.VersionDigest.
//		case retry.Wait:
//			// Wait next.After, then call planner.NextAfterWait(state, now).
//		}
//	}
package retry
