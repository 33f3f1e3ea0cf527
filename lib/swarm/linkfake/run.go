package linkfake

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"laburnumgw/lib/rollout"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

const (
	// defaultCopyTime is the default of V: the time in which a VM's entire link carries one copy.
	defaultCopyTime = 60 * time.Second
	// defaultOriginCopies is the default number of copies that the store's entire link
	// carries per V.
	defaultOriginCopies = 2
	// originConcurrency is the number of transfers that the store runs at once.
	originConcurrency = 64
	// zoneLatency and regionLatency are the one-way delays of messages within a region, also
	// between its zones and to the store, and between regions.
	zoneLatency   = 1 * time.Millisecond
	regionLatency = 2 * time.Millisecond
	// detectDelay is the time until live VMs detect dead and unreachable ones.
	detectDelay = 3 * time.Second
)

// Region describes the VMs of a region, which share one inter-region link.
type Region struct {
	Name  string
	VMs   int
	Zones int
	// LinkCopies is the number of copies per V that the region's inter-region link carries
	// in each direction; 0 means no limit, as for the first region, the home.
	LinkCopies float64
}

// Fault changes a run at a point in time, in V.
type Fault struct {
	At float64
	Do func(r *Run)
}

// Scenario describes a run. Zero values of the fields that NewRun defaults take those defaults.
type Scenario struct {
	Name    string
	Seed    uint64
	Policy  swarm.Policy
	Chunks  int
	Regions []Region
	// CopyTime is V, and OriginCopies the number of copies that the store's entire link
	// carries per V.
	CopyTime     time.Duration
	OriginCopies float64
	// LinkShare is the fraction of every link that the distribution may use.
	LinkShare float64
	Limits    swarm.Limits
	// StartSpread is the time, in V, within which each VM starts at random.
	StartSpread float64
	// Later holds when further versions of the same size are named, in V. Each VM starts them within StartSpread.
	Later []float64
	// Bound is the bound of versions, by which they take turns on the links; zero without turns. An order takes LoadTime.
	Bound, LoadTime time.Duration
	// CorruptProbability is the probability that a transfer arrives corrupted.
	CorruptProbability float64
	Faults             []Fault
	// Deadline is the time, in V, at which an incomplete run ends.
	Deadline float64
}

// Run is a scenario in progress.
type Run struct {
	clock
	Scenario Scenario
	VMs      []*VM
	Rand     *rand.Rand

	// byName holds the VMs by version and name.
	byName                map[string]*VM
	origin                *link
	originQueue           []*transfer
	activeOriginTransfers int
	// originGate returns the result of each request to the store, which serves it on ResultOK.
	originGate func() (swarm.Result, time.Duration)
	// originUnresponsive is set while the store responds to no request.
	originUnresponsive bool
	toRegion           map[string]*link
	fromRegion         map[string]*link
	plans              map[string]*swarm.Plan
	chunkTime          time.Duration

	OriginRequests int
	OriginRefused  int
	// zoneOrigin counts the chunks that each zone drew from the store.
	zoneOrigin map[string]float64
}

// NewRun prepares a scenario. All VMs start at time zero unless StartSpread is set.
func NewRun(s Scenario) *Run {
	s.Chunks = cmp.Or(s.Chunks, 256)
	s.LinkShare = cmp.Or(s.LinkShare, 1)
	s.CopyTime = cmp.Or(s.CopyTime, defaultCopyTime)
	s.OriginCopies = cmp.Or(s.OriginCopies, defaultOriginCopies)
	s.Deadline = cmp.Or(s.Deadline, 12)
	s.Policy = cmp.Or(s.Policy, swarm.PolicySwarm)
	r := &Run{
		Scenario:   s,
		Rand:       rand.New(rand.NewPCG(s.Seed, 0)),
		byName:     make(map[string]*VM),
		toRegion:   make(map[string]*link),
		fromRegion: make(map[string]*link),
		plans:      make(map[string]*swarm.Plan),
		zoneOrigin: make(map[string]float64),
		chunkTime:  time.Duration(float64(s.CopyTime) / float64(s.Chunks) / s.LinkShare),
	}
	r.origin = &link{rate: s.OriginCopies * r.vmRate()}
	for _, region := range s.Regions {
		r.addRegion(region)
	}
	for i, at := range s.Later {
		r.after(time.Duration(at*float64(s.CopyTime)), func() { r.nameVersion(i + 1) })
	}
	for _, fault := range s.Faults {
		r.after(time.Duration(fault.At*float64(s.CopyTime)), func() { fault.Do(r) })
	}
	return r
}

// vmRate returns the permitted rate of a VM's link in chunks per second.
func (r *Run) vmRate() float64 {
	return float64(r.Scenario.Chunks) / r.Scenario.CopyTime.Seconds() * r.Scenario.LinkShare
}

func (r *Run) addRegion(region Region) {
	if region.LinkCopies > 0 {
		r.toRegion[region.Name] = &link{rate: region.LinkCopies * r.vmRate()}
		r.fromRegion[region.Name] = &link{rate: region.LinkCopies * r.vmRate()}
	}
	for i := range region.VMs {
		r.AddVM(swarm.Member{
			VM:     fmt.Sprintf("%s-%03d", region.Name, i),
			Zone:   fmt.Sprintf("%s-z%d", region.Name, i%max(1, region.Zones)),
			Region: region.Name,
		}, region.LinkCopies)
	}
}

// AddVM adds a VM that starts now, or within the scenario's start spread.
func (r *Run) AddVM(member swarm.Member, linkCopies float64) *VM {
	v := &VM{
		Member:      member,
		run:         r,
		up:          &link{rate: r.vmRate()},
		down:        &link{rate: r.vmRate()},
		uploads:     make(map[swarm.UploadID]*transfer),
		incoming:    make(map[swarm.FetchID]*transfer),
		CompletedAt: never,
		startedAt:   r.now,
	}
	interval := time.Duration(float64(r.chunkTime) / r.Scenario.OriginCopies)
	if linkCopies > 0 {
		interval = max(interval, time.Duration(float64(r.chunkTime)/linkCopies))
	}
	v.config = swarm.Config{
		Self:           member,
		Digest:         r.digest(0),
		Chunks:         r.Scenario.Chunks,
		HomeRegion:     r.Scenario.Regions[0].Name,
		Policy:         r.Scenario.Policy,
		ChunkTime:      r.chunkTime,
		SourceInterval: interval,
		Limits:         r.Scenario.Limits,
	}
	r.startWithin(v)
	return v
}

// nameVersion starts a further version on the VMs of the first one, over the same links.
func (r *Run) nameVersion(version int) {
	for _, first := range slices.Clone(r.VMs) {
		if first.version > 0 {
			continue
		}
		v := &VM{
			Member: first.Member, run: r, config: first.config, version: version, up: first.up, down: first.down,
			uploads: make(map[swarm.UploadID]*transfer), incoming: make(map[swarm.FetchID]*transfer),
			Dead: first.Dead, CompletedAt: never, startedAt: r.now, side: first.side,
		}
		v.config.Digest = r.digest(version)
		r.startWithin(v)
	}
}

// shareLinks lets the newest two versions on a VM take turns.
func (r *Run) shareLinks(vm string) {
	if r.Scenario.Bound == 0 {
		return
	}
	now := time.Unix(0, 0).Add(r.now)
	var versions []*VM
	var targets []rollout.Target
	for version := range 1 + len(r.Scenario.Later) {
		v := r.byName[strconv.Itoa(version)+"/"+vm]
		if v == nil || v.Dead || v.machine == nil {
			continue
		}
		v.observe(now)
		versions, targets = append(versions, v), append(targets, v.target)
	}
	vmCopy := time.Duration(float64(r.Scenario.CopyTime) / r.Scenario.LinkShare)
	links := rollout.Links{Source: time.Duration(float64(vmCopy) / r.Scenario.OriginCopies), Copy: vmCopy}
	for i, turn := range rollout.Turns(rollout.DefaultSettings(r.Scenario.Bound), links, r.Scenario.LoadTime, targets, now) {
		if v := versions[i]; v.target.Turn != turn {
			v.target.Turn = turn
			v.step(swarm.SourceTurn{Turn: turn})
		}
	}
}

// digest returns the digest of a version.
func (r *Run) digest(version int) weights.Digest {
	name := fmt.Appendf(nil, "%s/%d", r.Scenario.Name, r.Scenario.Seed)
	if version > 0 {
		name = fmt.Appendf(name, "/%d", version)
	}
	return weights.Sum(name)
}

// startWithin adds a VM and starts it within the scenario's start spread.
func (r *Run) startWithin(v *VM) {
	v.config.Planner = func(members []swarm.Member) *swarm.Plan { return r.plan(v.config.Digest, members) }
	r.VMs = append(r.VMs, v)
	r.byName[v.key(v.VM)] = v
	var delay time.Duration
	if spread := int64(r.Scenario.StartSpread * float64(r.Scenario.CopyTime)); spread > 0 {
		delay = time.Duration(r.Rand.Int64N(spread))
	}
	number := uint64(len(r.VMs))
	r.after(delay, func() { v.start(number) })
}

// plan shares one plan of a version between all VMs that know the same members.
func (r *Run) plan(digest weights.Digest, members []swarm.Member) *swarm.Plan {
	key := weights.Sum(fmt.Appendf(nil, "%s %v", digest, members)).String()
	if r.plans[key] == nil {
		r.plans[key] = swarm.NewPlan(digest, r.Scenario.Chunks, r.Scenario.Regions[0].Name, members)
	}
	return r.plans[key]
}

// members returns the live VMs that a VM can reach, itself included.
func (r *Run) members(of *VM) []swarm.Member {
	var members []swarm.Member
	for _, v := range r.VMs {
		if !v.Dead && v.side == of.side && v.version == of.version {
			members = append(members, v.Member)
		}
	}
	return members
}

// AnnounceMembers sends each live VM the members that it can reach, after detectDelay.
func (r *Run) AnnounceMembers() {
	r.after(detectDelay, func() {
		type group struct{ side, version int }
		bySide := make(map[group][]swarm.Member)
		for _, v := range r.VMs {
			if v.Dead {
				continue
			}
			of := group{v.side, v.version}
			if bySide[of] == nil {
				bySide[of] = r.members(v)
				r.plans = map[string]*swarm.Plan{}
			}
			v.step(swarm.MembersChanged{Members: bySide[of]})
		}
	})
}

// Execute runs until every live VM is complete and all faults have happened, or until the
// deadline passes.
func (r *Run) Execute() Result {
	deadline := time.Duration(r.Scenario.Deadline * float64(r.Scenario.CopyTime))
	for r.now < deadline && !r.finished() && r.step() {
		continue
	}
	return r.result()
}

func (r *Run) finished() bool {
	return r.now > 0 && !slices.ContainsFunc(r.VMs, func(v *VM) bool {
		return !v.Dead && !v.Excluded && v.CompletedAt == never
	}) && r.now >= r.lastFault()
}

// lastFault returns the time of the scenario's last fault or naming, before which no run finishes.
func (r *Run) lastFault() time.Duration {
	var last float64
	for _, at := range r.Scenario.Later {
		last = max(last, at)
	}
	for _, fault := range r.Scenario.Faults {
		last = max(last, fault.At)
	}
	return time.Duration(last * float64(r.Scenario.CopyTime))
}
