package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// minReportInterval is the shortest interval between two reports to one entry.
	minReportInterval = 500 * time.Millisecond
	// maxReportInterval is the longest one. With its jitter and one repetition after
	// ReportTimeout, a report still arrives within SuspectAfter.
	maxReportInterval = 1230 * time.Millisecond
	// reportsPerSecond bounds the reports of one endpoint between the two intervals, so
	// that entries that many endpoints report to stay within their traffic bound.
	reportsPerSecond = 24
	// reportJitter is the largest relative deviation of the interval.
	reportJitter = 0.05
	// fullReportEvery is the number of reports to one entry per full report.
	fullReportEvery = 64
	// retryDelay is added for each failure to the time between repeated reports to an
	// entry that does not answer, up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// giveUpAfter is the time of failures after which the entry counts as failed.
	giveUpAfter = 1600 * time.Millisecond
	// failedRetry separates reports to an entry that does not answer.
	failedRetry = 2 * time.Second
	// leavingFor is how long the targets exclude an entry that leaves. The news of its
	// restart reaches endpoints of its zone through the zone's other entries only.
	leavingFor = 15 * time.Second
	// failedFor is how long the targets exclude an entry that did not answer.
	failedFor = 10 * time.Second
	// refusedFor is how long the targets exclude an entry that has enough endpoints.
	refusedFor = 5 * time.Minute
	// maxTargets bounds the table of entries.
	maxTargets = 1024
	// seedsPerFallback is the number of seeds asked at a time when no entry answers.
	seedsPerFallback = 2
)

// target is an entry that the endpoint knows of.
type target struct {
	peer        Peer
	incarnation Incarnation
	leaving     bool
	// leavingUntil is when the entry is tried again although it was leaving.
	leavingUntil time.Duration
	chosen       bool
	sequence     uint64
	sent         uint64
	dueAt        time.Duration
	failures     int
	// failingSince is the time of the first of the consecutive failures.
	failingSince time.Duration
	// failedUntil and refusedUntil exclude the entry from the targets until then.
	failedUntil  time.Duration
	refusedUntil time.Duration
	// fullSent is the revision of the last full report that the entry acknowledged.
	fullSent uint64
	leaveAck bool
	answered bool
	lastAck  time.Duration
}

// Load is what an endpoint process reports of itself.
type Load struct {
	Load     *pb.Load
	Serving  map[string]string
	Services []string
	Progress []*pb.WeightProgress
	Shards   map[string]*pb.ShardList
	// Models lists the models that the endpoint may be assigned, and WeightsMemory its
	// memory for them in bytes.
	Models        []string
	WeightsMemory int64
}

// Endpoint is the membership state machine of an endpoint process.
type Endpoint struct {
	self        Self
	incarnation Incarnation
	rng         *rand.Rand
	sequence    uint64
	joinAt      time.Duration
	joined      bool
	running     bool
	nextQuery   time.Duration
	lastAnswer  time.Duration
	leaving     bool
	leaveAt     time.Duration
	generation  uint64
	load        Load
	revision    uint64
	targets     map[string]*target
	order       []*target
	// reported lists the chosen targets.
	reported  []*target
	seeds     []Peer
	dirty     bool
	revisitAt time.Duration
}

// NewEndpoint returns the state machine of an endpoint process that starts at now.
func NewEndpoint(self Self, seeds []Peer, now time.Duration, rng *rand.Rand) *Endpoint {
	return &Endpoint{
		self:        self,
		incarnation: Incarnation{Counter: 1, ID: rng.Uint64()},
		rng:         rng,
		joinAt:      now + spread(rng, JoinSpread),
		nextQuery:   now + spread(rng, time.Second),
		lastAnswer:  now,
		load:        Load{Load: &pb.Load{}},
		revision:    1,
		targets:     make(map[string]*target),
		seeds:       slices.Clone(seeds),
	}
}

// SetLoad sets what the next reports carry. A change of anything but the load's numbers
// makes the next report to each entry a full one.
func (p *Endpoint) SetLoad(load Load) {
	if !sameStatic(p.load, load) {
		p.revision++
	}
	p.load = load
}

// SetConfigGeneration sets the generation that the process acts on.
func (p *Endpoint) SetConfigGeneration(generation uint64) { p.generation = generation }

// Incarnation returns the own incarnation.
func (p *Endpoint) Incarnation() Incarnation { return p.incarnation }

// Joined reports whether the process reports under its own incarnation.
func (p *Endpoint) Joined() bool { return p.joined }

// Leave starts to announce that the process stops.
func (p *Endpoint) Leave(now time.Duration) {
	if p.leaving {
		return
	}
	p.leaving = true
	p.leaveAt = now
	for _, t := range p.order {
		if !t.chosen && t.answered && now-t.lastAck < LeaveTimeout {
			t.chosen = true
			p.reported = append(p.reported, t)
		}
		t.dueAt = now
	}
}

// LeaveComplete reports whether each entry that answered lately has acknowledged the leaving
// state, or LeaveTimeout has passed, after which silent entries take the endpoint for dead.
func (p *Endpoint) LeaveComplete(now time.Duration) bool {
	if !p.leaving {
		return false
	}
	if now-p.leaveAt >= LeaveTimeout {
		return true
	}
	for _, t := range p.reported {
		if t.answered && p.leaveAt-t.lastAck < LeaveTimeout && !t.leaveAck {
			return false
		}
	}
	return true
}

// Entries returns the entries that are reported to and answer.
func (p *Endpoint) Entries() []Peer {
	var peers []Peer
	for _, t := range p.reported {
		if t.answered {
			peers = append(peers, t.peer)
		}
	}
	return peers
}

// Probe answers a probe of an entry. The heartbeat is 0 in the answer to an entry that is
// not reported to, so that it drops the endpoint instead of probing it for ever.
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
		next = min(next, p.revisitAt)
	}
	if !p.leaving && p.dirty {
		return 0
	}
	for _, t := range p.reported {
		next = min(next, t.dueAt)
	}
	return next
}

// Tick advances the clock and returns the reports that are due.
func (p *Endpoint) Tick(now time.Duration) []ReportSend {
	if !p.joined && now >= p.joinAt {
		p.joined = true
		p.lastAnswer = now
		p.dirty = true
	}
	var sends []ReportSend
	if now >= p.nextQuery {
		sends = p.query(now)
	}
	if !p.joined {
		return sends
	}
	if !p.leaving && (p.dirty || now >= p.revisitAt) {
		p.choose(now)
	}
	for _, t := range p.reported {
		if now >= t.dueAt {
			sends = append(sends, p.report(now, t))
		}
	}
	return sends
}

// query asks seeds while the process joins, and reports to seeds when no entry answers.
func (p *Endpoint) query(now time.Duration) []ReportSend {
	p.nextQuery = now + jittered(p.rng, time.Second)
	silent := p.joined && (len(p.order) == 0 || now-p.lastAnswer >= failedRetry)
	if (p.joined && !silent) || len(p.seeds) == 0 {
		return nil
	}
	start := p.rng.IntN(len(p.seeds))
	var sends []ReportSend
	for i := range min(seedsPerFallback, len(p.seeds)) {
		seed := p.seeds[(start+i)%len(p.seeds)]
		t := p.learn(now, seed, Incarnation{}, false)
		if p.joined {
			sends = append(sends, p.report(now, t))
			continue
		}
		request := &pb.ReportRequest{Vm: p.self.VM, Zone: p.self.Zone, Region: p.self.Region, Address: p.self.Address}
		sends = append(sends, ReportSend{To: seed, Request: request})
	}
	return sends
}

// choose selects the entries to report to. Entries that did not answer are left out for
// a while, as long as their zone has others.
func (p *Endpoint) choose(now time.Duration) {
	p.dirty = false
	p.revisitAt = now + failedFor
	zones := make(map[string][]string)
	failed := make(map[string][]string)
	for _, t := range p.order {
		t.chosen = false
		switch {
		case t.leaving && now < t.leavingUntil:
			p.revisitAt = min(p.revisitAt, t.leavingUntil)
		case now < t.refusedUntil:
		case now < t.failedUntil:
			failed[t.peer.Zone] = append(failed[t.peer.Zone], t.peer.VM)
			p.revisitAt = min(p.revisitAt, t.failedUntil)
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
	p.reported = p.reported[:0]
	for _, vm := range chosen {
		t := p.targets[vm]
		p.reported = append(p.reported, t)
		t.chosen = true
		t.dueAt = max(t.dueAt, now)
		if t.sequence == 0 {
			t.dueAt = now + spread(p.rng, p.interval())
		}
	}
}

// interval returns the time between two reports to one entry.
func (p *Endpoint) interval() time.Duration {
	spaced := time.Duration(len(p.reported)) * time.Second / reportsPerSecond
	return min(max(minReportInterval, spaced), maxReportInterval)
}

// report builds the next report to an entry.
func (p *Endpoint) report(now time.Duration, t *target) ReportSend {
	p.sequence++
	t.sequence = p.sequence
	t.sent++
	t.dueAt = now + jitteredBy(p.rng, p.interval(), reportJitter)
	request := &pb.ReportRequest{Vm: p.self.VM, Incarnation: p.incarnation.Proto(), Sequence: p.sequence,
		Load: p.currentLoad(), ConfigGeneration: p.generation}
	if t.fullSent == p.revision && t.sent%fullReportEvery != 0 {
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
	return ReportSend{To: t.peer, Request: request}
}

// currentLoad returns a copy of the load without the model versions.
func (p *Endpoint) currentLoad() *pb.Load {
	load := p.load.Load
	return &pb.Load{InFlight: load.GetInFlight(), Queued: load.GetQueued(), Limit: load.GetLimit(),
		Cold: load.GetCold(), Leaving: p.leaving || load.GetLeaving(), ServiceTimeUs: load.GetServiceTimeUs()}
}

// ReportResult handles the answer to a report; a nil response means that the call failed.
func (p *Endpoint) ReportResult(now time.Duration, send ReportSend, response *pb.ReportResponse) {
	t := p.targets[send.To.VM]
	if t == nil {
		return
	}
	if response == nil {
		p.reportFailed(now, t, send)
		return
	}
	p.lastAnswer = now
	t.failures = 0
	t.answered = true
	t.lastAck = now
	if t.failedUntil > 0 {
		t.failedUntil = 0
		p.dirty = true
	}
	if send.Request.GetZone() != "" && send.Request.GetIncarnation().GetCounter() > 0 {
		t.fullSent = p.revision
	}
	if send.Request.GetLoad().GetLeaving() && incarnationOf(send.Request.GetIncarnation()) == p.incarnation {
		t.leaveAck = true
	}
	for _, item := range response.GetEntries() {
		p.learnItem(now, t, item)
	}
}

func (p *Endpoint) learnItem(now time.Duration, t *target, item *pb.EntryInfo) {
	if item.GetVm() == p.self.VM {
		p.noteOwn(now, t, incarnationOf(item.GetIncarnation()))
		return
	}
	if !p.joined && !p.running {
		p.running = true
		p.joinAt = min(p.joinAt, now+spread(p.rng, joinJitter))
	}
	if item.GetVm() == t.peer.VM && item.GetLeaving() {
		p.refused(now, t, item)
		return
	}
	p.learn(now, peerOf(item), incarnationOf(item.GetIncarnation()), item.GetLeaving())
}

// noteOwn raises the own incarnation above any that an entry knows of this VM. An entry
// that knows none wants a full report.
func (p *Endpoint) noteOwn(now time.Duration, t *target, known Incarnation) {
	if known.Compare(p.incarnation) > 0 {
		p.incarnation.Counter = known.Counter + 1
		p.revision++
		for _, t := range p.order {
			t.leaveAck = false
		}
	}
	if known != p.incarnation {
		t.fullSent = 0
		t.dueAt = now
	}
}

// refused excludes an entry that asked not to be reported to: for long when it has
// enough endpoints, for a restart when it leaves.
func (p *Endpoint) refused(now time.Duration, t *target, item *pb.EntryInfo) {
	p.dirty = true
	if item.GetIncarnation() == nil {
		t.refusedUntil = now + jittered(p.rng, refusedFor)
		return
	}
	t.leaving = true
	t.leavingUntil = now + leavingFor
}

func (p *Endpoint) learn(now time.Duration, peer Peer, incarnation Incarnation, leaving bool) *target {
	t := p.targets[peer.VM]
	if t == nil {
		p.evictTarget()
		t = &target{peer: peer, incarnation: incarnation, leaving: leaving, leavingUntil: now + leavingFor}
		p.targets[peer.VM] = t
		p.order = append(p.order, t)
		p.dirty = true
		return t
	}
	if incarnation.Compare(t.incarnation) < 0 {
		return t
	}
	if leaving {
		t.leavingUntil = now + leavingFor
	}
	if incarnation != t.incarnation || leaving != t.leaving {
		t.peer = peer
		t.incarnation = incarnation
		t.leaving = leaving
		t.failedUntil = 0
		t.fullSent = 0
		p.dirty = true
	}
	return t
}

// evictTarget keeps the table of entries within its bound.
func (p *Endpoint) evictTarget() {
	if len(p.order) < maxTargets {
		return
	}
	i := p.rng.IntN(len(p.order))
	for p.order[i].chosen {
		i = (i + 1) % len(p.order)
	}
	delete(p.targets, p.order[i].peer.VM)
	p.order = slices.Delete(p.order, i, i+1)
}

// reportFailed repeats a report soon, so that single losses do not make the endpoint
// suspect, and gives up on an entry that does not answer repeatedly.
func (p *Endpoint) reportFailed(now time.Duration, t *target, send ReportSend) {
	if send.Request.GetSequence() != t.sequence || send.Request.GetSequence() == 0 {
		return
	}
	t.failures++
	if t.failures == 1 {
		t.failingSince = now
	}
	if now-t.failingSince < giveUpAfter || p.leaving {
		t.dueAt = now + jittered(p.rng, min(time.Duration(t.failures)*retryDelay, maxRetryDelay))
		return
	}
	t.dueAt = now + jittered(p.rng, failedRetry)
	t.failedUntil = now + failedFor
	t.answered = false
	p.dirty = true
}
