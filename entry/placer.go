package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/lease"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/placement"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rendezvous"
)

const (
	// placementLeaseName is the name of the lease that the entry that places models holds.
	placementLeaseName     = "placement"
	placementLeaseDuration = 10 * time.Second
	// placementInterval is the time between two placement decisions.
	placementInterval = time.Second
	// placementCandidates is the number of entries that try to hold the lease. It
	// bounds the calls to the platform whatever the number of entries.
	placementCandidates = 3
	// replicaRetention is how long an unresponsive VM keeps its replicas. Moving a
	// replica costs a transfer of its weights, and most restarts are shorter.
	replicaRetention = 30 * time.Second
	// minLeaseStepWait is the shortest wait between two checks of the lease.
	minLeaseStepWait = 10 * time.Millisecond
	// releaseTimeout bounds the release of the lease when the entry stops.
	releaseTimeout = time.Second
)

// placer places models while this entry holds the lease.
type placer struct {
	control *control
	store   *configstore.Client
	adapter lease.Adapter
	holder  *lease.Holder
	started time.Time
	log     *zap.Logger
	// writtenPlacements holds the newest placement of each model that this process has
	// written. The configuration in force contains them only after a delay.
	writtenPlacements map[string]*laburnumgwv1.Placement
	// loggedExplanations holds the last logged text of each model and availability zone.
	loggedExplanations map[string]string
}

func newPlacer(c *control, store platform.Store, log *zap.Logger) *placer {
	p := &placer{
		control: c, store: configstore.NewClient(store), started: time.Now(), log: log,
		writtenPlacements: make(map[string]*laburnumgwv1.Placement), loggedExplanations: make(map[string]string),
	}
	p.adapter = lease.Adapter{Store: store, Clock: p.clock}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	incarnation := c.members.incarnation()
	identity := lease.Identity{VM: c.self.VM, Counter: incarnation.Counter, ID: incarnation.ID}
	p.holder = lease.NewHolder(placementLeaseName, identity, placementLeaseDuration, 0, rng)
	return p
}

func (p *placer) clock() time.Duration { return time.Since(p.started) }

// run places models until the context ends, then releases the lease.
func (p *placer) run(ctx context.Context) {
	next := p.clock()
	for ctx.Err() == nil {
		if p.candidate() {
			p.step(ctx)
		}
		if _, valid := p.holder.Valid(p.clock()); valid && p.clock() >= next {
			p.place(ctx)
			next = p.clock() + placementInterval
		}
		wait := min(max(p.holder.Next()-p.clock(), minLeaseStepWait), placementInterval)
		if !dispatch.Sleep(ctx, wait) {
			break
		}
	}
	p.release()
}

func (p *placer) step(ctx context.Context) {
	if err := p.adapter.Step(ctx, p.holder); err != nil {
		p.log.Warn("placement lease call failed", zap.Error(err))
	}
}

func (p *placer) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := p.adapter.Release(ctx, p.holder); err != nil {
		p.log.Warn("placement lease not released; another entry can take it when it expires", zap.Error(err))
	}
}

// candidate reports whether this entry tries to hold the lease: it is the current holder,
// or it has joined, has a configuration and is one of the placementCandidates
// highest-ranking live entries.
func (p *placer) candidate() bool {
	if _, valid := p.holder.Valid(p.clock()); valid {
		return true
	}
	if !p.control.members.joined() || p.control.current.Load() == nil {
		return false
	}
	names := []string{p.control.self.VM}
	for _, peer := range p.control.liveEntries() {
		names = append(names, peer.VM)
	}
	return slices.Contains(rendezvous.Top(placementLeaseName, names, placementCandidates), p.control.self.VM)
}

// place decides the placements and writes those that changed.
func (p *placer) place(ctx context.Context) {
	current := p.control.current.Load()
	fencing, valid := p.holder.Valid(p.clock())
	if current == nil || !valid {
		return
	}
	views := p.control.members.endpoints()
	previous := p.previous(current)
	decision, err := placement.Decide(placement.Input{
		Config: current.snapshot, Versions: versions(current.bundle), Endpoints: p.endpoints(views),
		Previous: plans(previous), Fencing: fencing,
	})
	if err != nil {
		p.log.Warn("placement not decided", zap.Error(err))
		return
	}
	p.logDecision(decision)
	for _, plan := range decision.Plans {
		message := withAddresses(plan.Proto(), views, previous[plan.Model])
		switch {
		case slices.Contains(decision.Changed, plan.Model):
			p.write(ctx, message)
		case addressChanged(message, previous[plan.Model]):
			message.Generation++
			p.write(ctx, message)
		}
	}
}

// addressChanged reports whether a VM serves chunks at another address than before.
func addressChanged(message, previous *laburnumgwv1.Placement) bool {
	return !slices.EqualFunc(message.GetAssignments(), previous.GetAssignments(), func(a, b *laburnumgwv1.Assignment) bool {
		return a.GetAddress() == b.GetAddress()
	})
}

// previous returns the newest placements by model, including those that this process wrote.
func (p *placer) previous(current *activeConfig) map[string]*laburnumgwv1.Placement {
	newest := make(map[string]*laburnumgwv1.Placement)
	for _, known := range current.bundle.GetPlacements() {
		newest[known.GetModel()] = known
	}
	for model, own := range p.writtenPlacements {
		if known, ok := newest[model]; ok && !newer(own, known) {
			continue
		}
		newest[model] = own
	}
	return newest
}

func newer(a, b *laburnumgwv1.Placement) bool {
	if a.GetFencing() != b.GetFencing() {
		return a.GetFencing() > b.GetFencing()
	}
	return a.GetGeneration() > b.GetGeneration()
}

func plans(placements map[string]*laburnumgwv1.Placement) []placement.Plan {
	list := make([]placement.Plan, 0, len(placements))
	for _, message := range placements {
		list = append(list, placement.FromProto(message))
	}
	return list
}

func versions(bundle *laburnumgwv1.ConfigBundle) []placement.Version {
	list := make([]placement.Version, 0, len(bundle.GetModels()))
	for _, m := range bundle.GetModels() {
		list = append(list, placement.VersionOf(m))
	}
	return list
}

// endpoints converts the endpoints that report models to input for the placement decision.
func (p *placer) endpoints(views []membership.EndpointView) []placement.Endpoint {
	now := p.control.members.machine.Now()
	var list []placement.Endpoint
	for _, view := range views {
		report := view.Report
		if report == nil || len(report.GetModels()) == 0 {
			continue
		}
		list = append(list, placement.Endpoint{
			VM: view.VM, Zone: view.Zone, Models: report.GetModels(), MemoryMB: int(report.GetWeightsMemory() >> 20),
			Serving: report.GetServing(), CompleteDigests: completeDigests(report), Alive: now-view.LastSeen < replicaRetention,
		})
	}
	return list
}

// completeDigests returns the digests of the versions whose chunks are all present.
func completeDigests(report *laburnumgwv1.ReportRequest) []string {
	var digests []string
	for _, progress := range report.GetProgress() {
		if progress.GetChunksTotal() > 0 && progress.GetChunksHave() == progress.GetChunksTotal() {
			digests = append(digests, progress.GetVersionDigest())
		}
	}
	return digests
}

// withAddresses sets the address at which each VM serves chunks. A VM that membership does
// not know keeps the address of the previous placement.
func withAddresses(message *laburnumgwv1.Placement, views []membership.EndpointView, previous *laburnumgwv1.Placement) *laburnumgwv1.Placement {
	known := make(map[string]membership.Peer, len(views))
	for _, a := range previous.GetAssignments() {
		known[a.GetVm()] = membership.Peer{VM: a.GetVm(), Zone: a.GetZone(), Region: a.GetRegion(), Address: a.GetAddress()}
	}
	for _, view := range views {
		known[view.VM] = view.Peer
	}
	for _, a := range message.GetAssignments() {
		peer := known[a.GetVm()]
		a.Zone = peer.Zone
		a.Region = peer.Region
		a.Address = peer.Address
	}
	return message
}

func (p *placer) write(ctx context.Context, message *laburnumgwv1.Placement) {
	if _, valid := p.holder.Valid(p.clock()); !valid {
		return
	}
	err := p.store.WritePlacement(ctx, message)
	p.log.Info("placement written", zap.String("model", message.GetModel()), zap.Int("vms", len(message.GetAssignments())),
		zap.Uint64("fencing", message.GetFencing()), zap.Uint64("generation", message.GetGeneration()), zap.Error(err))
	if err == nil {
		p.writtenPlacements[message.GetModel()] = message
	}
}

// logDecision logs an explanation or a shortfall when its text differs from the last one
// of its model and availability zone.
func (p *placer) logDecision(decision placement.Decision) {
	for _, e := range decision.Explanations {
		key := e.Model + "/" + e.Zone
		text := e.String()
		if p.loggedExplanations[key] == text {
			continue
		}
		p.loggedExplanations[key] = text
		p.log.Info("placement decided", zap.String("model", e.Model), zap.String("zone", e.Zone), zap.String("explanation", text))
	}
	for _, u := range decision.Shortfalls {
		key := "unmet/" + u.Model + "/" + u.Zone
		text := string(u.Reason)
		if p.loggedExplanations[key] == text {
			continue
		}
		p.loggedExplanations[key] = text
		p.log.Warn("replicas missing", zap.String("model", u.Model), zap.String("zone", u.Zone), zap.Int("missing", u.Missing),
			zap.String("reason", text), zap.String("remedy", u.Remedy()))
	}
}
