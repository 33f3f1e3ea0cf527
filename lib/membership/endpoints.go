package membership

import (
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// probeSpacing separates probes, so that ten fit between suspicion and death. Five gave
	// a false death at 5% loss while 750 endpoints settled after a full restart.
	probeSpacing = checkInterval
	// pauseGap is the time between ticks above which the own process was paused. Silence
	// during a pause says nothing about others, so dead endpoints are probed afterwards.
	pauseGap = time.Second
	// forgetAfter is how long a dead endpoint's incarnation is remembered.
	forgetAfter = 10 * time.Minute
	// maxEndpoints bounds the table of endpoints.
	maxEndpoints = 4096
	// maxReporters bounds the endpoints that report to one entry. Rendezvous ranking
	// gives some entries a quarter more than the mean, which is above the traffic bound.
	maxReporters = 77
	// maxProbesPerTick bounds the probes of one tick.
	maxProbesPerTick = 64
	// sampleSize bounds the endpoints known only from gossip.
	sampleSize = 32
	// sampleProbeInterval separates probes of gossiped endpoints while the own zone has
	// no endpoint alive.
	sampleProbeInterval = time.Second
)

// endpointRecord is what an entry knows of one endpoint.
type endpointRecord struct {
	view      EndpointView
	sequence  uint64
	full      bool
	nextProbe time.Duration
	// direct endpoints have reported or answered a probe.
	direct bool
	// reprobe asks for a probe although the endpoint is dead.
	reprobe bool
	cold    bool
	// listed is the version of the entry list that was last sent to the endpoint.
	listed uint64
}

// Report handles a report of an endpoint and returns the answer. Reports with a lower
// incarnation, or with a sequence number that is not higher, change nothing. The request
// must not be used afterwards.
func (e *Entry) Report(now time.Duration, request *pb.ReportRequest) *pb.ReportResponse {
	response := &pb.ReportResponse{ConfigGeneration: e.generation}
	incarnation := incarnationOf(request.GetIncarnation())
	record := e.endpoints[request.GetVm()]
	if incarnation.Counter == 0 {
		response.Entries = e.answerQuery(now, request.GetVm(), record)
		return response
	}
	if record != nil && incarnation.Compare(record.view.Incarnation) < 0 {
		response.Entries = []*pb.EntryInfo{ownInfo(record)}
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
	record.accept(request)
	e.endpointSeen(now, record)
	e.noteLoad(record)
	if !record.full {
		response.Entries = append(response.Entries, &pb.EntryInfo{Vm: request.GetVm()})
	}
	if e.leaving {
		response.Entries = append(response.Entries, e.refusal())
		return response
	}
	response.Entries = append(response.Entries, e.listFor(record)...)
	response.Peers = e.chunkPeers(record.view.Zone, record.view.VM)
	return response
}

// refusal tells an endpoint to report to the entry that ranks next instead. It is the
// news that this entry is leaving; without an incarnation it means that the entry has
// enough endpoints and stays.
func (e *Entry) refusal() *pb.EntryInfo {
	refusal := e.selfInfo()
	refusal.Leaving = true
	if !e.leaving {
		refusal.Incarnation = nil
	}
	return refusal
}

// answerQuery answers a joining process with the highest incarnation known of it. An
// entry that has itself just started lists no entries, so that the joins stay spread.
func (e *Entry) answerQuery(now time.Duration, vm string, record *endpointRecord) []*pb.EntryInfo {
	own := &pb.EntryInfo{Vm: vm}
	if record != nil {
		own = ownInfo(record)
	}
	infos := []*pb.EntryInfo{own}
	if e.settled(now) {
		infos = append(infos, e.selfInfo())
	}
	return infos
}

func ownInfo(record *endpointRecord) *pb.EntryInfo {
	return &pb.EntryInfo{Vm: record.view.VM, Incarnation: record.view.Incarnation.Proto()}
}

// replaceEndpoint starts the record of a new incarnation. It returns nil when the table
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

// accept merges a report into the record. Earlier merged reports are not changed.
func (r *endpointRecord) accept(request *pb.ReportRequest) {
	r.sequence = request.GetSequence()
	if request.GetZone() != "" {
		r.view.Report = request
		r.full = true
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

func (e *Entry) endpointSeen(now time.Duration, record *endpointRecord) {
	silent := now - record.view.LastSeen
	if record.view.State != Alive {
		e.emit(EndpointAlive, record.view.VM, silent)
	}
	record.view.State = Alive
	record.view.LastSeen = now
	record.nextProbe = 0
	record.reprobe = false
	record.direct = true
	delete(e.sample, record.view.VM)
}

// noteLoad emits the events of the leaving and the cold state.
func (e *Entry) noteLoad(record *endpointRecord) {
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

// ProbeResult handles the answer to a probe; a nil response means that it failed.
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
	if info.GetHeartbeat() == 0 && !e.needsSample() {
		e.drop(now, record)
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
	e.endpointSeen(now, record)
}

// drop forgets a live endpoint that reports to other entries.
func (e *Entry) drop(now time.Duration, record *endpointRecord) {
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

// checkEndpoints moves silent endpoints to suspect and dead and orders probes.
func (e *Entry) checkEndpoints(now time.Duration, out *Output) {
	paused := e.ticked && now-e.lastTick > pauseGap
	kept := e.endpointOrder[:0]
	e.reporters = 0
	for _, record := range e.endpointOrder {
		silent := now - record.view.LastSeen
		if record.view.State == Dead && silent > forgetAfter {
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
	silent := now - record.view.LastSeen
	if record.view.State == Alive && silent >= SuspectAfter {
		record.view.State = Suspect
		record.nextProbe = now
		e.emit(EndpointSuspect, record.view.VM, silent)
	}
	if record.view.State == Suspect && silent >= DeadAfter {
		record.view.State = Dead
		record.reprobe = paused
		e.emit(EndpointDead, record.view.VM, silent)
	}
	due := record.view.State == Suspect && now >= record.nextProbe
	if (due || record.reprobe) && len(out.Probes) < maxProbesPerTick {
		record.nextProbe = now + probeSpacing
		record.reprobe = false
		out.Probes = append(out.Probes, e.probe(record))
	}
}

func (e *Entry) probe(record *endpointRecord) ReportSend {
	request := &pb.ReportRequest{Vm: e.self.VM, ConfigGeneration: e.generation}
	return ReportSend{To: record.view.Peer, Request: request}
}

// learnEndpoint adds an endpoint of another zone, known from gossip, to the sample. A
// report without age is no sign of life, so that the endpoint stays unverified until it
// answers a probe.
func (e *Entry) learnEndpoint(now time.Duration, report *pb.ReportRequest) {
	vm := report.GetVm()
	if e.endpoints[vm] != nil || report.GetZone() == "" || report.GetZone() == e.self.Zone {
		return
	}
	incarnation := incarnationOf(report.GetIncarnation())
	old := e.sample[vm]
	if old != nil && incarnation.Compare(old.view.Incarnation) < 0 {
		return
	}
	if old == nil && len(e.sample) >= sampleSize {
		e.evictSample()
	}
	peer := Peer{VM: vm, Zone: report.GetZone(), Region: report.GetRegion(), Address: report.GetAddress()}
	if old == nil {
		e.sampleOrder = append(e.sampleOrder, vm)
	}
	e.sample[vm] = &endpointRecord{full: true, sequence: report.GetSequence(),
		view: EndpointView{Peer: peer, Incarnation: incarnation, LastSeen: now, Report: report}}
}

func (e *Entry) evictSample() {
	for len(e.sample) >= sampleSize {
		i := e.rng.IntN(len(e.sampleOrder))
		delete(e.sample, e.sampleOrder[i])
		e.sampleOrder[i] = e.sampleOrder[len(e.sampleOrder)-1]
		e.sampleOrder = e.sampleOrder[:len(e.sampleOrder)-1]
	}
}

// probeSample probes the sample while no endpoint of the own zone is alive.
func (e *Entry) probeSample(now time.Duration, out *Output) {
	if now < e.nextSample {
		return
	}
	e.nextSample = now + sampleProbeInterval
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

// needsSample reports whether no endpoint of the own zone is alive, so that endpoints of
// other zones that do not report here are needed.
func (e *Entry) needsSample() bool {
	for _, record := range e.endpointOrder {
		view := &record.view
		if view.Zone == e.self.Zone && view.State == Alive && !view.Leaving {
			return false
		}
	}
	return true
}

// Endpoints calls yield for each endpoint that is not only known from gossip, in the
// order in which they were first seen.
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
