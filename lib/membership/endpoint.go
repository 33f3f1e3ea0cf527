package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// minReportInterval is the shortest interval between two reports to one entry.
	minReportInterval = 500 * time.Millisecond
	// maxReportInterval is the longest interval between two reports to one entry. With its
	// jitter and one repetition after ReportTimeout, a report still arrives within
	// SuspectAfter.
	maxReportInterval = 1230 * time.Millisecond
	// reportsPerSecond is the total rate of the reports of one endpoint to all entries, as
	// far as minReportInterval and maxReportInterval allow it. It keeps entries that many
	// endpoints report to within their traffic bound.
	reportsPerSecond = 24
	// reportJitter is the largest relative deviation of the interval.
	reportJitter = 0.05
	// fullReportEvery is the number of reports to one entry of which one is sent in full
	// although nothing changed.
	fullReportEvery = 64
	// retryDelay is the delay before the first repetition of a failed report. It grows by
	// retryDelay with each consecutive failure, up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// entryFailedAfter is the time since the first of consecutive failed reports after
	// which the entry counts as failed.
	entryFailedAfter = 1600 * time.Millisecond
	// failedRetryInterval is the interval between reports to an entry that counts as
	// failed. It is also the time without a response after which seeds are reported to.
	failedRetryInterval = 2 * time.Second
	// leavingExclusion is how long an entry that leaves is not selected. The time is bounded
	// because only other entries of its zone announce a restarted entry to endpoints, and
	// it may be the only entry of its zone.
	leavingExclusion = 15 * time.Second
	// failedExclusion is how long an entry that counts as failed is not selected.
	failedExclusion = 10 * time.Second
	// refusedExclusion is how long an entry that has enough endpoints is not selected.
	refusedExclusion = 5 * time.Minute
	// maxTargets is the largest number of entries in the table of targets.
	maxTargets = 1024
	// seedsPerQuery is the number of seeds contacted at a time while the process joins or
	// when no entry responds.
	seedsPerQuery = 2
)

// target is what the endpoint knows of one entry.
type target struct {
	peer        Peer
	incarnation Incarnation
	leaving     bool
	// leavingUntil is the time from which a leaving entry is selected again.
	leavingUntil time.Duration
	chosen       bool
	sequence     uint64
	reportCount  uint64
	dueAt        time.Duration
	failures     int
	// failingSince is the time of the first of the consecutive failures.
	failingSince time.Duration
	// Until failedUntil and refusedUntil, the entry is not selected.
	failedUntil  time.Duration
	refusedUntil time.Duration
	// fullReportAcked is the revision of the load in the full report that the entry last
	// acknowledged.
	fullReportAcked uint64
	leaveAcked      bool
	responsive      bool
	lastAck         time.Duration
}

// Load is the state that an endpoint process reports.
type Load struct {
	Load     *pb.Load
	Serving  map[string]string
	Services []string
	Progress []*pb.WeightProgress
	Shards   map[string]*pb.ShardList
	// Models lists the models that may be placed on the endpoint, and WeightsMemory is its
	// memory for their weights in bytes.
	Models        []string
	WeightsMemory int64
}

// Endpoint is the membership state machine of an endpoint process.
type Endpoint struct {
	self          Self
	incarnation   Incarnation
	rng           *rand.Rand
	sequence      uint64
	joinAt        time.Duration
	joined        bool
	systemRunning bool
	nextQuery     time.Duration
	lastResponse  time.Duration
	leaving       bool
	leaveAt       time.Duration
	generation    uint64
	load          Load
	revision      uint64
	targets       map[string]*target
	targetOrder   []*target
	// chosenTargets lists the targets that reports are sent to.
	chosenTargets  []*target
	seeds          []Peer
	selectionStale bool
	nextSelection  time.Duration
}

// NewEndpoint returns the state machine of an endpoint process that starts at now.
func NewEndpoint(self Self, seeds []Peer, now time.Duration, rng *rand.Rand) *Endpoint {
	return &Endpoint{
		self:         self,
		incarnation:  Incarnation{Counter: 1, ID: rng.Uint64()},
		rng:          rng,
		joinAt:       now + spread(rng, JoinSpread),
		nextQuery:    now + spread(rng, time.Second),
		lastResponse: now,
		load:         Load{Load: &pb.Load{}},
		revision:     1,
		targets:      make(map[string]*target),
		seeds:        slices.Clone(seeds),
	}
}

// SetLoad sets the state that the next reports carry. A change that compact reports do
// not cover makes the next report to each entry a full one. A change of the served versions
// makes it due at once.
func (p *Endpoint) SetLoad(load Load) {
	if !sameStatic(p.load, load) {
		p.revision++
	}
	if !maps.Equal(p.load.Serving, load.Serving) {
		// Entries that do not know send requests that are refused.
		for _, t := range p.chosenTargets {
			t.dueAt = 0
		}
	}
	p.load = load
}

// SetConfigGeneration sets the configuration generation that the process uses.
func (p *Endpoint) SetConfigGeneration(generation uint64) { p.generation = generation }

// Incarnation returns the incarnation of this process.
func (p *Endpoint) Incarnation() Incarnation { return p.incarnation }

// Joined reports whether the process has joined and sends reports under its own
// incarnation.
func (p *Endpoint) Joined() bool { return p.joined }

// Leave makes the reports announce that the process stops. It also reports to entries
// that are no longer selected but responded within LeaveTimeout.
func (p *Endpoint) Leave(now time.Duration) {
	if p.leaving {
		return
	}
	p.leaving = true
	p.leaveAt = now
	for _, t := range p.targetOrder {
		if !t.chosen && t.responsive && now-t.lastAck < LeaveTimeout {
			t.chosen = true
			p.chosenTargets = append(p.chosenTargets, t)
		}
		t.dueAt = now
	}
}

// LeaveComplete reports whether each entry that responded within LeaveTimeout before the
// call of Leave has acknowledged the leaving state, or LeaveTimeout has passed since. After
// it, entries that were not reached consider the endpoint dead.
func (p *Endpoint) LeaveComplete(now time.Duration) bool {
	if !p.leaving {
		return false
	}
	if now-p.leaveAt >= LeaveTimeout {
		return true
	}
	for _, t := range p.chosenTargets {
		if t.responsive && p.leaveAt-t.lastAck < LeaveTimeout && !t.leaveAcked {
			return false
		}
	}
	return true
}

// Entries returns the entries that receive reports and respond to them.
func (p *Endpoint) Entries() []Peer {
	var peers []Peer
	for _, t := range p.chosenTargets {
		if t.responsive {
			peers = append(peers, t.peer)
		}
	}
	return peers
}

// Probe responds to a probe of an entry. The heartbeat is 0 in the response to an entry
// that receives no reports, so that it drops the endpoint instead of probing it for ever.
func (p *Endpoint) Probe(request *pb.ReportRequest) *pb.ReportResponse {
	own := &pb.EntryInfo{Vm: p.self.VM, Incarnation: p.incarnation.Proto(), Leaving: p.leaving}
	if t := p.targets[request.GetVm()]; t != nil && t.chosen {
		own.Heartbeat = p.sequence
	}
	return &pb.ReportResponse{ConfigGeneration: p.generation, Entries: []*pb.EntryInfo{own}}
}

// Next returns the time at which Tick is due.
func (p *Endpoint) Next() time.Duration {
	if !p.joined {
		return min(p.joinAt, p.nextQuery)
	}
	next := p.nextQuery
	if !p.leaving {
		next = min(next, p.nextSelection)
	}
	if !p.leaving && p.selectionStale {
		return 0
	}
	for _, t := range p.chosenTargets {
		next = min(next, t.dueAt)
	}
	return next
}

// Tick advances the clock and returns the reports that are due.
func (p *Endpoint) Tick(now time.Duration) []ReportSend {
	if !p.joined && now >= p.joinAt {
		p.joined = true
		p.lastResponse = now
		p.selectionStale = true
	}
	var sends []ReportSend
	if now >= p.nextQuery {
		sends = p.querySeeds(now)
	}
	if !p.joined {
		return sends
	}
	if !p.leaving && (p.selectionStale || now >= p.nextSelection) {
		p.selectTargets(now)
	}
	for _, t := range p.chosenTargets {
		if now >= t.dueAt {
			sends = append(sends, p.nextReport(now, t))
		}
	}
	return sends
}

// querySeeds queries seeds while the process joins, and reports to seeds when no entry
// responds.
func (p *Endpoint) querySeeds(now time.Duration) []ReportSend {
	p.nextQuery = now + jittered(p.rng, time.Second)
	unresponsive := p.joined && (len(p.targetOrder) == 0 || now-p.lastResponse >= failedRetryInterval)
	if (p.joined && !unresponsive) || len(p.seeds) == 0 {
		return nil
	}
	start := p.rng.IntN(len(p.seeds))
	var sends []ReportSend
	for i := range min(seedsPerQuery, len(p.seeds)) {
		seed := p.seeds[(start+i)%len(p.seeds)]
		t := p.learnEntry(now, seed, Incarnation{}, false)
		if p.joined {
			sends = append(sends, p.nextReport(now, t))
			continue
		}
		request := &pb.ReportRequest{Vm: p.self.VM, Zone: p.self.Zone, Region: p.self.Region, Address: p.self.Address}
		sends = append(sends, ReportSend{To: seed, Request: request})
	}
	return sends
}

// selectTargets selects the entries to report to. Entries that leave, refuse reports or
// have failed are left out for a while. Failed entries are selected all the same when their
// zone has no others.
func (p *Endpoint) selectTargets(now time.Duration) {
	p.selectionStale = false
	p.nextSelection = now + failedExclusion
	zones := make(map[string][]string)
	failed := make(map[string][]string)
	for _, t := range p.targetOrder {
		t.chosen = false
		switch {
		case t.leaving && now < t.leavingUntil:
			p.nextSelection = min(p.nextSelection, t.leavingUntil)
		case now < t.refusedUntil:
		case now < t.failedUntil:
			failed[t.peer.Zone] = append(failed[t.peer.Zone], t.peer.VM)
			p.nextSelection = min(p.nextSelection, t.failedUntil)
		default:
			zones[t.peer.Zone] = append(zones[t.peer.Zone], t.peer.VM)
		}
	}
	for zone, members := range failed {
		if len(zones[zone]) == 0 {
			zones[zone] = members
		}
	}
	chosen := targets(p.self.VM, p.self.Zone, zones)
	p.chosenTargets = p.chosenTargets[:0]
	for _, vm := range chosen {
		t := p.targets[vm]
		p.chosenTargets = append(p.chosenTargets, t)
		t.chosen = true
		t.dueAt = max(t.dueAt, now)
		if t.sequence == 0 {
			t.dueAt = now + spread(p.rng, p.interval())
		}
	}
}

// interval returns the time between two reports to one entry.
func (p *Endpoint) interval() time.Duration {
	spaced := time.Duration(len(p.chosenTargets)) * time.Second / reportsPerSecond
	return min(max(minReportInterval, spaced), maxReportInterval)
}

// nextReport builds the next report to an entry and schedules the one after it.
func (p *Endpoint) nextReport(now time.Duration, t *target) ReportSend {
	p.sequence++
	t.sequence = p.sequence
	t.reportCount++
	t.dueAt = now + jitteredBy(p.rng, p.interval(), reportJitter)
	request := &pb.ReportRequest{Vm: p.self.VM, Incarnation: p.incarnation.Proto(), Sequence: p.sequence,
		Load: p.currentLoad(), ConfigGeneration: p.generation}
	if t.fullReportAcked == p.revision && t.reportCount%fullReportEvery != 0 {
		return ReportSend{To: t.peer, Request: request}
	}
	request.Zone = p.self.Zone
	request.Region = p.self.Region
	request.Address = p.self.Address
	request.Load.ModelVersions = p.load.Load.GetModelVersions()
	request.Serving = p.load.Serving
	request.Services = p.load.Services
	request.Progress = p.load.Progress
	request.Shards = p.load.Shards
	request.Models = p.load.Models
	request.WeightsMemory = p.load.WeightsMemory
	return ReportSend{To: t.peer, Request: request, revision: p.revision}
}

// currentLoad returns a copy of the load without the model versions.
func (p *Endpoint) currentLoad() *pb.Load {
	load := p.load.Load
	return &pb.Load{InFlight: load.GetInFlight(), Queued: load.GetQueued(), Limit: load.GetLimit(),
		Cold: load.GetCold(), Leaving: p.leaving || load.GetLeaving(), ServiceTimeUs: load.GetServiceTimeUs()}
}

// ReportResult handles the response to a report; a nil response means that the call
// failed.
func (p *Endpoint) ReportResult(now time.Duration, send ReportSend, response *pb.ReportResponse) {
	t := p.targets[send.To.VM]
	if t == nil {
		return
	}
	if response == nil {
		p.reportFailed(now, t, send)
		return
	}
	p.lastResponse = now
	t.failures = 0
	t.responsive = true
	t.lastAck = now
	if t.failedUntil > 0 {
		t.failedUntil = 0
		p.selectionStale = true
	}
	if send.revision > 0 {
		t.fullReportAcked = send.revision
	}
	if send.Request.GetLoad().GetLeaving() && incarnationOf(send.Request.GetIncarnation()) == p.incarnation {
		t.leaveAcked = true
	}
	for _, item := range response.GetEntries() {
		p.applyEntryInfo(now, t, item)
	}
}

func (p *Endpoint) applyEntryInfo(now time.Duration, t *target, item *pb.EntryInfo) {
	if item.GetVm() == p.self.VM {
		p.raiseIncarnation(now, t, incarnationOf(item.GetIncarnation()))
		return
	}
	if !p.joined && !p.systemRunning {
		p.systemRunning = true
		p.joinAt = min(p.joinAt, now+spread(p.rng, joinJitter))
	}
	if item.GetVm() == t.peer.VM && item.GetLeaving() {
		p.excludeTarget(now, t, item)
		return
	}
	p.learnEntry(now, peerOf(item), incarnationOf(item.GetIncarnation()), item.GetLeaving())
}

// raiseIncarnation raises the incarnation of this process above the one that an entry
// knows of this VM. An entry that knows another one or none needs a full report.
func (p *Endpoint) raiseIncarnation(now time.Duration, t *target, known Incarnation) {
	if known.Compare(p.incarnation) > 0 {
		p.incarnation.Counter = known.Counter + 1
		p.revision++
		for _, t := range p.targetOrder {
			t.leaveAcked = false
		}
	}
	if known != p.incarnation {
		t.fullReportAcked = 0
		t.dueAt = now
	}
}

// excludeTarget excludes an entry that asked to receive no reports: for refusedExclusion
// when it has enough endpoints, for leavingExclusion when it leaves.
func (p *Endpoint) excludeTarget(now time.Duration, t *target, item *pb.EntryInfo) {
	p.selectionStale = true
	if item.GetIncarnation() == nil {
		t.refusedUntil = now + jittered(p.rng, refusedExclusion)
		return
	}
	t.leaving = true
	t.leavingUntil = now + leavingExclusion
}

func (p *Endpoint) learnEntry(now time.Duration, peer Peer, incarnation Incarnation, leaving bool) *target {
	t := p.targets[peer.VM]
	if t == nil {
		p.evictTarget()
		t = &target{peer: peer, incarnation: incarnation, leaving: leaving, leavingUntil: now + leavingExclusion}
		p.targets[peer.VM] = t
		p.targetOrder = append(p.targetOrder, t)
		p.selectionStale = true
		return t
	}
	if incarnation.Compare(t.incarnation) < 0 {
		return t
	}
	if leaving {
		t.leavingUntil = now + leavingExclusion
	}
	if incarnation != t.incarnation || leaving != t.leaving {
		t.peer = peer
		t.incarnation = incarnation
		t.leaving = leaving
		t.failedUntil = 0
		t.fullReportAcked = 0
		p.selectionStale = true
	}
	return t
}

// evictTarget removes a random target that is not chosen when the table is full.
func (p *Endpoint) evictTarget() {
	if len(p.targetOrder) < maxTargets {
		return
	}
	i := p.rng.IntN(len(p.targetOrder))
	for p.targetOrder[i].chosen {
		i = (i + 1) % len(p.targetOrder)
	}
	delete(p.targets, p.targetOrder[i].peer.VM)
	p.targetOrder = slices.Delete(p.targetOrder, i, i+1)
}

// reportFailed schedules the repetition of a failed report soon, so that single losses do
// not make the endpoint suspect. After entryFailedAfter of failures, the entry counts as
// failed.
func (p *Endpoint) reportFailed(now time.Duration, t *target, send ReportSend) {
	if send.Request.GetSequence() != t.sequence || send.Request.GetSequence() == 0 {
		return
	}
	t.failures++
	if t.failures == 1 {
		t.failingSince = now
	}
	if now-t.failingSince < entryFailedAfter || p.leaving {
		t.dueAt = now + jittered(p.rng, min(time.Duration(t.failures)*retryDelay, maxRetryDelay))
		return
	}
	t.dueAt = now + jittered(p.rng, failedRetryInterval)
	t.failedUntil = now + failedExclusion
	t.responsive = false
	p.selectionStale = true
}
