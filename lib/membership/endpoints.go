package membership

import (
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// probeInterval is the interval between probes of a suspect endpoint. Ten probes fit
	// between SuspectAfter and DeadAfter. Five probes gave a false death at 5% loss while 750
	// endpoints joined after a full restart.
	probeInterval = checkInterval
	// minPauseGap is the time between two ticks above which this process is assumed to have
	// been paused. Missing reports during a pause say nothing about the endpoints, so those
	// found dead after it are probed once.
	minPauseGap = time.Second
	// deadRetention is how long dead endpoints and entries stay in the tables, counted from
	// when they were last seen, so that their incarnations are known when they restart.
	deadRetention = 10 * time.Minute
	// maxEndpoints is the largest number of endpoints in the table.
	maxEndpoints = 4096
	// maxReporters is the largest number of endpoints that may report to one entry.
	// Rendezvous hashing gives some entries a quarter more endpoints than the mean, which
	// exceeds the traffic bound.
	maxReporters = 77
	// maxProbesPerTick is the largest number of probes in one tick.
	maxProbesPerTick = 64
	// maxSample is the largest number of endpoints known only from gossip.
	maxSample = 32
	// sampleProbeInterval is the interval between probes of the endpoints known only from
	// gossip while this entry's zone has no live endpoint.
	sampleProbeInterval = time.Second
)

// endpointRecord is what an entry knows of one endpoint.
type endpointRecord struct {
	view          EndpointView
	sequence      uint64
	hasFullReport bool
	nextProbe     time.Duration
	// direct is set when the endpoint has reported or responded to a probe.
	direct bool
	// reprobe requests one probe although the endpoint is dead.
	reprobe bool
	cold    bool
	// listedVersion is one more than the version of the entry list up to which changes were
	// sent to the endpoint, or 0 before the first list.
	listedVersion uint64
}

// Report handles a report of an endpoint and returns the response. Reports with a lower
// incarnation, or with a sequence number that is not higher, change nothing. The caller
// must not use the request afterwards.
func (e *Entry) Report(now time.Duration, request *pb.ReportRequest) *pb.ReportResponse {
	response := &pb.ReportResponse{ConfigGeneration: e.generation}
	incarnation := incarnationOf(request.GetIncarnation())
	record := e.endpoints[request.GetVm()]
	if incarnation.Counter == 0 {
		response.Entries = e.answerQuery(now, request.GetVm(), record)
		return response
	}
	if record != nil && incarnation.Compare(record.view.Incarnation) < 0 {
		response.Entries = []*pb.EntryInfo{incarnationInfo(record)}
		return response
	}
	restarted := record == nil || incarnation != record.view.Incarnation
	if restarted && request.GetZone() == "" {
		response.Entries = []*pb.EntryInfo{{Vm: request.GetVm()}}
		return response
	}
	if record == nil && e.reporters >= maxReporters {
		response.Entries = []*pb.EntryInfo{e.refusal()}
		return response
	}
	if restarted {
		record = e.replaceEndpoint(now, record, request, incarnation)
	}
	if record == nil || (!restarted && request.GetSequence() <= record.sequence) {
		return response
	}
	record.mergeReport(request)
	e.markEndpointAlive(now, record)
	e.applyLoadState(record)
	if !record.hasFullReport {
		response.Entries = append(response.Entries, &pb.EntryInfo{Vm: request.GetVm()})
	}
	if e.leaving {
		response.Entries = append(response.Entries, e.refusal())
		return response
	}
	response.Entries = append(response.Entries, e.entryListFor(record)...)
	response.Peers = e.chunkPeers(record.view.Zone, record.view.VM)
	return response
}

// refusal returns the item that makes an endpoint report to the entry that ranks next
// instead. With an incarnation it states that this entry is leaving; without one it states
// that the entry stays but has enough endpoints.
func (e *Entry) refusal() *pb.EntryInfo {
	refusal := e.selfInfo()
	refusal.Leaving = true
	if !e.leaving {
		refusal.Incarnation = nil
	}
	return refusal
}

// answerQuery returns the response items for a joining process: the highest incarnation
// known of it, and this entry. An entry that has itself just started leaves itself out,
// because any listed entry makes the process shorten its join, and the joins after a full
// restart have to stay spread.
func (e *Entry) answerQuery(now time.Duration, vm string, record *endpointRecord) []*pb.EntryInfo {
	own := &pb.EntryInfo{Vm: vm}
	if record != nil {
		own = incarnationInfo(record)
	}
	infos := []*pb.EntryInfo{own}
	if e.settled(now) {
		infos = append(infos, e.selfInfo())
	}
	return infos
}

func incarnationInfo(record *endpointRecord) *pb.EntryInfo {
	return &pb.EntryInfo{Vm: record.view.VM, Incarnation: record.view.Incarnation.Proto()}
}

// replaceEndpoint creates the record of a new incarnation. It returns nil when the table
// is full.
func (e *Entry) replaceEndpoint(now time.Duration, old *endpointRecord, request *pb.ReportRequest, incarnation Incarnation) *endpointRecord {
	if old == nil && len(e.endpoints) >= maxEndpoints {
		return nil
	}
	fresh := endpointRecord{view: EndpointView{
		Peer:        Peer{VM: request.GetVm(), Zone: request.GetZone(), Region: request.GetRegion(), Address: request.GetAddress()},
		Incarnation: incarnation,
		LastSeen:    now,
	}}
	if old == nil {
		e.addEndpoint(&fresh)
		return &fresh
	}
	e.emit(EndpointNewIncarnation, request.GetVm(), now-old.view.LastSeen)
	*old = fresh
	return old
}

func (e *Entry) addEndpoint(record *endpointRecord) {
	e.reporters++
	e.endpoints[record.view.VM] = record
	e.endpointOrder = append(e.endpointOrder, record)
}

// mergeReport merges a report into the record. It replaces the earlier merged report and
// does not change it.
func (r *endpointRecord) mergeReport(request *pb.ReportRequest) {
	r.sequence = request.GetSequence()
	if request.GetZone() != "" {
		r.view.Report = request
		r.hasFullReport = true
		return
	}
	old := r.view.Report
	if load := request.GetLoad(); load != nil {
		load.ModelVersions = old.GetLoad().GetModelVersions()
	}
	r.view.Report = &pb.ReportRequest{
		Vm: old.GetVm(), Zone: r.view.Zone, Region: r.view.Region, Address: r.view.Address,
		Incarnation: request.GetIncarnation(), Sequence: request.GetSequence(),
		Load: request.GetLoad(), ConfigGeneration: request.GetConfigGeneration(),
		Serving: old.GetServing(), Services: old.GetServices(),
		Progress: old.GetProgress(), Shards: old.GetShards(),
		Models: old.GetModels(), WeightsMemory: old.GetWeightsMemory(),
	}
}

func (e *Entry) markEndpointAlive(now time.Duration, record *endpointRecord) {
	sinceLastSeen := now - record.view.LastSeen
	if record.view.State != Alive {
		e.emit(EndpointAlive, record.view.VM, sinceLastSeen)
	}
	record.view.State = Alive
	record.view.LastSeen = now
	record.nextProbe = 0
	record.reprobe = false
	record.direct = true
	delete(e.sample, record.view.VM)
}

// applyLoadState takes over the leaving and the cold state from the record's report and
// emits their events.
func (e *Entry) applyLoadState(record *endpointRecord) {
	load := record.view.Report.GetLoad()
	if load.GetLeaving() && !record.view.Leaving {
		e.emit(EndpointLeaving, record.view.VM, 0)
	}
	record.view.Leaving = load.GetLeaving()
	if load.GetCold() && !record.cold {
		e.emit(EndpointCold, record.view.VM, 0)
	}
	record.cold = load.GetCold()
}

// ProbeResult handles the response to a probe; a nil response means that the probe
// failed.
func (e *Entry) ProbeResult(now time.Duration, vm string, response *pb.ReportResponse) {
	record := e.endpoints[vm]
	if record == nil {
		record = e.sample[vm]
	}
	if record == nil || response == nil {
		return
	}
	info := findInfo(response.GetEntries(), vm)
	if info == nil {
		return
	}
	incarnation := incarnationOf(info.GetIncarnation())
	if incarnation != record.view.Incarnation {
		// A restarted process reports by itself; its state is not known yet.
		return
	}
	// A dead endpoint that responds is alive, whichever entries it reports to. It is dropped when it is suspect again.
	if info.GetHeartbeat() == 0 && !e.needsSample() && record.view.State != Dead {
		e.dropEndpoint(now, record)
		return
	}
	if e.endpoints[vm] == nil {
		if len(e.endpoints) >= maxEndpoints {
			return
		}
		e.addEndpoint(record)
	}
	if info.GetLeaving() && !record.view.Leaving {
		record.view.Leaving = true
		e.emit(EndpointLeaving, vm, 0)
	}
	e.markEndpointAlive(now, record)
}

// dropEndpoint removes a suspect endpoint that responded to a probe but reports to other
// entries.
func (e *Entry) dropEndpoint(now time.Duration, record *endpointRecord) {
	vm := record.view.VM
	if e.endpoints[vm] != record || record.view.State != Suspect {
		return
	}
	delete(e.endpoints, vm)
	e.endpointOrder = slices.DeleteFunc(e.endpointOrder, func(r *endpointRecord) bool { return r == record })
	e.emit(EndpointDropped, vm, now-record.view.LastSeen)
}

func findInfo(infos []*pb.EntryInfo, vm string) *pb.EntryInfo {
	for _, info := range infos {
		if info.GetVm() == vm {
			return info
		}
	}
	return nil
}

// checkEndpoints marks unresponsive endpoints as suspect and dead and requests probes.
func (e *Entry) checkEndpoints(now time.Duration, out *Output) {
	paused := e.ticked && now-e.lastTick > minPauseGap
	kept := e.endpointOrder[:0]
	e.reporters = 0
	for _, record := range e.endpointOrder {
		sinceLastSeen := now - record.view.LastSeen
		if record.view.State == Dead && sinceLastSeen > deadRetention {
			delete(e.endpoints, record.view.VM)
			continue
		}
		kept = append(kept, record)
		e.checkEndpoint(now, record, paused, out)
		if record.view.State != Dead {
			e.reporters++
		}
	}
	e.endpointOrder = kept
}

func (e *Entry) checkEndpoint(now time.Duration, record *endpointRecord, paused bool, out *Output) {
	sinceLastSeen := now - record.view.LastSeen
	if record.view.State == Alive && sinceLastSeen >= SuspectAfter {
		record.view.State = Suspect
		record.nextProbe = now
		e.emit(EndpointSuspect, record.view.VM, sinceLastSeen)
	}
	if record.view.State == Suspect && sinceLastSeen >= DeadAfter {
		record.view.State = Dead
		record.reprobe = paused
		e.emit(EndpointDead, record.view.VM, sinceLastSeen)
	}
	due := record.view.State == Suspect && now >= record.nextProbe
	if (due || record.reprobe) && len(out.Probes) < maxProbesPerTick {
		record.nextProbe = now + probeInterval
		record.reprobe = false
		out.Probes = append(out.Probes, e.probe(record))
	}
}

func (e *Entry) probe(record *endpointRecord) ReportSend {
	request := &pb.ReportRequest{Vm: e.self.VM, ConfigGeneration: e.generation}
	return ReportSend{To: record.view.Peer, Request: request}
}

// addToSample adds an endpoint of another zone, known from gossip, to the sample. The
// relayed report has no age and does not show that the endpoint is alive, so the endpoint
// stays unverified until it responds to a probe.
func (e *Entry) addToSample(now time.Duration, report *pb.ReportRequest) {
	vm := report.GetVm()
	if e.endpoints[vm] != nil || report.GetZone() == "" || report.GetZone() == e.self.Zone {
		return
	}
	incarnation := incarnationOf(report.GetIncarnation())
	old := e.sample[vm]
	if old != nil && incarnation.Compare(old.view.Incarnation) < 0 {
		return
	}
	if old == nil && len(e.sample) >= maxSample {
		e.evictSample()
	}
	peer := Peer{VM: vm, Zone: report.GetZone(), Region: report.GetRegion(), Address: report.GetAddress()}
	if old == nil {
		e.sampleOrder = append(e.sampleOrder, vm)
	}
	e.sample[vm] = &endpointRecord{hasFullReport: true, sequence: report.GetSequence(),
		view: EndpointView{Peer: peer, Incarnation: incarnation, LastSeen: now, Report: report}}
}

func (e *Entry) evictSample() {
	for len(e.sample) >= maxSample {
		i := e.rng.IntN(len(e.sampleOrder))
		delete(e.sample, e.sampleOrder[i])
		e.sampleOrder[i] = e.sampleOrder[len(e.sampleOrder)-1]
		e.sampleOrder = e.sampleOrder[:len(e.sampleOrder)-1]
	}
}

// probeSample probes the sample while no endpoint of this entry's zone is alive.
func (e *Entry) probeSample(now time.Duration, out *Output) {
	if now < e.nextSampleProbe {
		return
	}
	e.nextSampleProbe = now + sampleProbeInterval
	kept := e.sampleOrder[:0]
	needed := e.needsSample()
	for _, vm := range e.sampleOrder {
		record := e.sample[vm]
		if record == nil {
			continue
		}
		kept = append(kept, vm)
		if needed && len(out.Probes) < maxProbesPerTick {
			out.Probes = append(out.Probes, e.probe(record))
		}
	}
	e.sampleOrder = kept
}

// needsSample reports whether this entry's zone has no live endpoint that stays, so that
// endpoints of other zones that do not report to this entry are needed.
func (e *Entry) needsSample() bool {
	for _, record := range e.endpointOrder {
		view := &record.view
		if view.Zone == e.self.Zone && view.State == Alive && !view.Leaving {
			return false
		}
	}
	return true
}

// Endpoints calls yield for each endpoint except those known only from gossip, in the
// order in which they were added.
func (e *Entry) Endpoints(yield func(EndpointView) bool) {
	for _, record := range e.endpointOrder {
		if !yield(record.view) {
			return
		}
	}
}

// Endpoint returns the view of one endpoint.
func (e *Entry) Endpoint(vm string) (EndpointView, bool) {
	record := e.endpoints[vm]
	if record == nil {
		return EndpointView{}, false
	}
	return record.view, true
}
