// Package membership decides which entries and endpoints are alive, suspect, dead or
// leaving. It consists of two state machines: Entry runs in entry processes and
// Endpoint runs in endpoint processes. Both take messages and a clock value and return
// messages to send and events; they perform no I/O and start no goroutines.
//
// The clock is a time.Duration on the process's monotonic clock, for example
// time.Since(processStart). Wall clocks of VMs may differ by minutes and are not used.
//
// # Conventions on the wire
//
// A report with a zone is full; one without a zone is compact and repeats only the
// values that change often. A ReportResponse or gossip message may contain an
// EntryInfo whose VM is the receiver's own: it holds the highest incarnation that the
// sender knows of the receiver, and an EntryInfo without an incarnation asks for a full
// report. An incarnation counter of 0 marks the query of a process that is joining.
// A probe is a Report call from an entry to an endpoint process; the answer contains
// the EntryInfo of the answering process, with heartbeat 0 when the process does not
// report to the prober. An answer to a report in which the answering entry describes
// itself as leaving asks the endpoint to report to the next entry instead: the entry
// stops, or as many endpoints report to it as its traffic bound allows. Gossip items
// without a zone are compact and update only entries that the receiver already knows.
//
// # Driving loop of an entry
//
//	m := membership.NewEntry(self, seeds, clock(), rng)
//	for {
//		select {
//		case call := <-reports: // Node.Report, also used by joining endpoints
//			call.answer <- m.Report(clock(), call.request)
//		case call := <-gossip: // Node.Gossip
//			call.answer <- m.Gossip(clock(), call.request)
//		case r := <-gossipAnswers: // nil response when the call failed
//			m.GossipResult(clock(), r.vm, r.response)
//		case r := <-probeAnswers: // nil response when the call failed
//			m.ProbeResult(clock(), r.vm, r.response)
//		case list := <-vmList:
//			m.Platform(clock(), list)
//		case <-timer.C:
//		}
//		out := m.Tick(clock())
//		// Send out.Gossip and out.Probes with a timeout of CallTimeout, each in its
//		// own goroutine that delivers to gossipAnswers or probeAnswers.
//		// Hand out.Events to routing, configsync and the log.
//		timer.Reset(max(0, m.Next()-clock()))
//	}
//
// # Driving loop of an endpoint process
//
//	m := membership.NewEndpoint(self, seeds, clock(), rng)
//	for {
//		select {
//		case call := <-reports: // Node.Report from an entry is a probe
//			call.answer <- m.Probe(call.request)
//		case r := <-answers: // nil response when the call failed
//			m.Ack(clock(), r.send, r.response)
//		case load := <-loads:
//			m.SetLoad(load)
//		case <-stop: // SIGTERM
//			m.Leave(clock())
//		case <-timer.C:
//		}
//		for _, send := range m.Tick(clock()) {
//			// Call Node.Report at send.To with ReportTimeout; deliver to answers.
//		}
//		if m.Left(clock()) {
//			// Refuse new work with NOT_RUN and finish running requests.
//		}
//		timer.Reset(max(0, m.Next()-clock()))
//	}
package membership
