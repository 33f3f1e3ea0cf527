// Package configsync propagates accepted configurations between processes. Node is a
// state machine: it takes messages, answers of the platform and a clock value, and
// returns calls to make, alarms, and the bundle to act on. It performs no I/O and
// starts no goroutines. The clock is a time.Duration on the process's monotonic clock.
//
// In each zone, the two live entries that rank highest by rendezvous hash of the zone
// name watch the platform. A process that gets a newer generation notifies four entries
// of its zone, which pull the bundle from it. Generations in gossip, reports and their
// answers repair what the notices missed. A process never acts on a generation that is
// lower than one it has acted on.
//
// # Conventions on the wire
//
// A PushConfig without files is a notice: the receiver pulls the bundle from the sender.
// A PushConfig with files is an operator's push. GetConfig with the highest possible
// have_generation is a query: the answer holds only generation, digest and the
// placements without assignments. A GetConfig answer to a lower generation refers to the
// files and models that the caller has in that generation by the first 16 characters of
// their digests; the answer to an equal generation holds the complete placements.
//
// # Driving loop
//
//	n := configsync.NewNode(self, configsync.RoleEntry, seeds, clock(), rng)
//	for {
//		select {
//		case events := <-membershipEvents: // after any event of an entry
//			n.SetMembers(clock(), joined, liveEntries)
//		case h := <-heard: // generation in gossip, a report or an answer
//			n.Heard(clock(), h.peer, h.generation)
//		case call := <-pushes: // Node.PushConfig; from is empty for operators
//			call.answer <- n.Push(clock(), call.from, call.bundle)
//		case call := <-gets: // Node.GetConfig
//			call.answer <- n.Get(call.request)
//		case r := <-pullAnswers: // nil bundle when the call failed
//			n.PullResult(clock(), r.pull, r.bundle)
//		case r := <-pushAnswers: // nil response when the call failed
//			n.PushResult(clock(), r.push, r.response)
//		case r := <-reads:
//			n.ReadResult(clock(), r.bundle, r.version, r.err)
//		case r := <-watches:
//			n.WatchResult(clock(), r.changed, r.version, r.err)
//		case err := <-writeBacks:
//			n.WriteBackResult(clock(), err)
//		case <-timer.C:
//		}
//		out := n.Tick(clock())
//		if out.Act != nil {
//			// Validate, switch to out.Act, and tell membership its generation.
//		}
//		// Send out.Pulls with their timeouts and out.Pushes with CallTimeout, and run out.Read, out.Watch
//		// and out.WriteBack, each in its own goroutine that delivers its result.
//		// Cancel the watch on out.StopWatch and drop its result.
//		// Serve requests only while n.Ready() is true. Log out.Alarms.
//		timer.Reset(max(0, n.Next()-clock()))
//	}
//
// An endpoint process passes Endpoint.Joined and Endpoint.Entries of its membership to
// SetMembers once a second, and has no reads, watches or write-backs to run.
//
// A read gets config/head together with the version to watch from, creates the bundle
// from the files it names. It reuses files by digest, gets up to four missing files one by
// one, and lists config/ once when more are missing, so that a restart of everything
// stays within the platform's call rate. A write-back creates the files
// that are missing and then updates config/head conditionally on WriteBack.HeadVersion;
// version 0 means that the head does not exist and is to be created.
package configsync
