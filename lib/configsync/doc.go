// Package configsync propagates accepted configurations between processes. Node is a
// state machine: it takes messages, responses of the platform and a clock value, and
// returns calls to make, alarms, and the bundle to activate. It performs no I/O and
// starts no goroutines. The clock is a time.Duration on the process's monotonic clock.
//
// In each zone, the two live entries that rank highest by rendezvous hash of the zone
// name watch the platform. An entry that activates a newer generation notifies four
// entries of its zone, which pull the bundle from it. The generations carried in gossip,
// reports and their responses reach processes whose notices were lost. A process never
// activates a generation that is lower than one it has activated.
//
// # Wire conventions
//
// A PushConfig without files is a notice: the receiver pulls the bundle from the sender.
// A PushConfig with files is an operator's push. GetConfig with the highest possible
// have_generation is a query: the response holds only the generation, the digest and the
// placements without assignments. The response to a lower generation refers to the files
// and models that the caller has in that generation by the first 16 characters of their
// digests. The response to an equal generation holds the complete placements.
//
// # Driving loop
//
//	n := configsync.NewNode(self, configsync.RoleEntry, seeds, clock(), rng)
//	for {
//		select {
//		case events := <-membershipEvents: // after any event of an entry
//			n.SetMembers(clock(), joined, liveEntries)
//		case a := <-announcements: // generation in gossip, a report or a response
//			n.ObserveGeneration(clock(), a.peer, a.generation)
//		case call := <-pushes: // Node.PushConfig; from is empty for operators
//			call.response <- n.Push(clock(), call.from, call.bundle)
//		case call := <-gets: // Node.GetConfig
//			call.response <- n.Get(call.request)
//		case r := <-pullResults: // nil bundle when the call failed
//			n.PullResult(clock(), r.pull, r.bundle)
//		case r := <-pushResults: // nil response when the call failed
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
//		if out.Activate != nil {
//			// Validate out.Activate, switch to it, and pass its generation to membership.
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
// A read gets config/head and the version to watch from, and builds the bundle from the
// files that the head names. It reuses files by digest, gets up to four missing files one
// by one, and lists config/ once when more are missing, so that a restart of all processes
// stays within the platform's call rate. A write-back creates the missing files and then
// updates config/head on condition that the head has not changed. WriteBack.HeadVersion is
// the version of the head that the last read returned; version 0 means that the head does
// not exist and is to be created.
package configsync
