// Package fleetload estimates the load of workers for every decision of an entry that needs it: from what workers state in
// their responses, from the reports of the processes beside them, from this entry's own requests, and from what the other
// entries tell about theirs.
//
// A View is a deterministic state machine. It performs no I/O, starts no goroutine and does not read the clock; the caller
// serialises all calls. What is lost or late makes an estimate worse and expires after a time to live.
//
//	view := fleetload.New("frontend-3", fleetload.Settings{Zone: "a", StartedAtMs: started})
//	view.Stated(vm, workerStart, statement, now)
//	token := view.Sent(vm, workerStart, fleetload.Work{PromptTokens: 800}, now)
//	view.Began(token, now)
//	view.Ended(token, now)
//	view.Heard(factsOfAnotherEntry, now)
//	load := view.Worker(vm, now)
package fleetload
