// Package routing holds one entry's view of the endpoints and chooses an endpoint
// for each attempt of a request.
//
// A Table is a deterministic state machine. Events (reports, membership, attempts,
// prefix-cache events, zone states) change it, and Pick reads it. It performs no I/O,
// starts no goroutine and does not read the clock; the caller serialises all calls.
//
//	table, err := routing.New(routing.Settings{Zone: "a", Region: "north"}, rng)
//	table.SetZones([]routing.Zone{{Name: "a", Region: "north"}})
//	table.ReportReceived(report, now)
//
//	request := routing.Request{ID: id, Attempt: 1, Model: "chat", Idempotent: true}
//	decision, err := table.Pick(&request, now)
//	if err != nil {
//		return err // errkind.NotRun with RetryAfter; errors.As yields *NoEndpointError
//	}
//	attempt := table.AttemptSent(decision, &request, now)
//	// For each frame that carries a load:
//	table.LoadReceived(attempt, load, now)
//	// Exactly once for each attempt, whatever its outcome:
//	table.AttemptFinished(attempt, routing.Result{Outcome: outcome, Sent: true}, now)
//
// RecentDecisions keeps the last decisions for the explain command, and Status lists the
// endpoints for operators.
//
// An attempt is retried by adding the chosen VM to Request.TriedVMs, raising
// Request.Attempt and calling Pick again; lib/retry decides whether to do so.
package routing
