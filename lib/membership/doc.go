// Package membership decides which entries and endpoints are alive, suspect, dead or
// leaving. It consists of two state machines: Entry runs in entry processes and
// Endpoint runs in endpoint processes. Both take messages and a clock value and return
// messages to send and events; they perform no I/O and start no goroutines.
//
// The clock is a time.Duration on the process's monotonic clock, for example
// time.Since(processStart). Wall clocks of VMs may differ by minutes and are not used.
//
// # Wire conventions
//
// A report with a zone is full; one without a zone is compact and repeats only the
// values that change often. A ReportResponse or gossip message may contain an
// EntryInfo whose VM is the receiver's own: it holds the highest incarnation that the
// sender knows of the receiver. In a ReportResponse, such an EntryInfo without an
// incarnation asks for a full report. An incarnation counter of 0 marks the query of a
// process that is joining.
//
// A probe is a Report call from an entry to an endpoint process. The response contains
// the EntryInfo of the probed process, with heartbeat 0 when the process does not report
// to the prober. A response to a report in which the responding entry describes itself
// as leaving asks the endpoint to report to the next entry instead: either the entry
// stops, or it already has as many reporting endpoints as its traffic bound allows.
// Gossip items without a zone are compact and update only entries that the receiver
// already knows.
//
// # Driving loop of an entry
//
//	m := membership.NewEntry(self, seeds, clock(), rng)
//	for {
//		select {
//		case call := <-reports: // Node.Report, also used by joining endpoints
//			call.response <- m.Report(clock(), call.request)
//		case call := <-gossip: // Node.Gossip
//			call.response <- m.Gossip(clock(), call.request)
//		case r := <-gossipResults: // nil response when the call failed
//			m.GossipResult(clock(), r.vm, r.response)
//		case r := <-probeResults: // nil response when the call failed
//			m.ProbeResult(clock(), r.vm, r.response)
//		case list := <-vmList:
//			m.ApplyPlatformList(clock(), list)
//		case <-timer.C:
//		}
//		out := m.Tick(clock())
//		// Send out.Gossip and out.Probes with a timeout of CallTimeout, each in its
//		// own goroutine that delivers to gossipResults or probeResults.
//		// Pass out.Events to routing, configsync and the log.
//		timer.Reset(max(0, m.Next()-clock()))
//	}
//
// # Driving loop of an endpoint process
//
//	m := membership.NewEndpoint(self, seeds, clock(), rng)
//	for {
//		select {
//		case call := <-reports: // Node.Report from an entry is a probe
//			call.response <- m.Probe(call.request)
//		case r := <-results: // nil response when the call failed
//			m.ReportResult(clock(), r.send, r.response)
//		case load := <-loads:
//			m.SetLoad(load)
//		case <-stop: // SIGTERM
//			m.Leave(clock())
//		case <-timer.C:
//		}
//		for _, send := range m.Tick(clock()) {
//			// Call Node.Report at send.To with ReportTimeout; deliver to results.
//		}
//		if m.LeaveComplete(clock()) {
//			// Refuse new work with NOT_RUN and finish running requests.
//		}
//		timer.Reset(max(0, m.Next()-clock()))
//	}
package membership
