package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/journal"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rendezvous"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
)

// shardKey names one journal shard.
type shardKey struct {
	service string
	shard   uint32
}

// routes guards the routing table and logs every decision.
type routes struct {
	zone        string
	region      string
	detailEvery int
	log         *zap.Logger
	metrics     *entryMetrics

	mu     sync.Mutex
	table  *routing.Table
	recent *routing.RecentDecisions
	picks  int
	// owners holds the endpoint that reported a journal shard as its own.
	owners map[shardKey]string
	// members holds the endpoints of each service, for shards without an owner.
	members map[string]map[string]struct{}
	out     map[string]bool
}

func newRoutes(s *Settings, metrics *entryMetrics, log *zap.Logger) (*routes, error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, err := routing.New(routing.Settings{Zone: s.Zone, Region: s.Region}, rng)
	if err != nil {
		return nil, err
	}
	return &routes{
		zone: s.Zone, region: s.Region, detailEvery: s.DetailEvery, log: log, metrics: metrics,
		table: table, recent: routing.NewRecentDecisions(s.Recent),
		owners:  make(map[shardKey]string),
		members: make(map[string]map[string]struct{}),
		out:     make(map[string]bool),
	}, nil
}

// configure applies a configuration.
func (t *routes) configure(snapshot *config.Snapshot) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	policy := snapshot.Routing.Policy
	if policy == config.PolicyScored {
		policy = routing.DefaultPolicy
	}
	err := t.table.Configure(routing.Settings{
		Zone: t.zone, Region: t.region, Policy: policy,
		AffinityBound: snapshot.Routing.AffinityBound, QueueLength: snapshot.Limits.QueueLength,
	})
	if err != nil {
		return err
	}
	zones := make([]routing.Zone, 0, len(snapshot.Zones))
	clear(t.out)
	for name, zone := range snapshot.Zones {
		zones = append(zones, routing.Zone{Name: name, Region: zone.Region, OutOfService: zone.State == config.ZoneOutOfService})
		t.out[name] = zone.State == config.ZoneOutOfService
	}
	t.table.SetZones(zones)
	return nil
}

// reported applies the report of an endpoint.
func (t *routes) reported(view membership.EndpointView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.ReportReceived(view.Report, time.Now())
	vm := view.VM
	for key, owner := range t.owners {
		if owner == vm && !slices.Contains(view.Report.GetShards()[key.service].GetShards(), key.shard) {
			delete(t.owners, key)
		}
	}
	for service, list := range view.Report.GetShards() {
		for _, shard := range list.GetShards() {
			t.owners[shardKey{service, shard}] = vm
		}
	}
	for _, service := range view.Report.GetServices() {
		if t.members[service] == nil {
			t.members[service] = make(map[string]struct{})
		}
		t.members[service][vm] = struct{}{}
	}
}

// changed applies a membership event.
func (t *routes) changed(event membership.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch event.Kind {
	case membership.EndpointAlive:
		t.table.SetLiveness(event.VM, routing.Alive)
	case membership.EndpointSuspect:
		t.table.SetLiveness(event.VM, routing.Suspect)
	case membership.EndpointDead:
		t.table.SetLiveness(event.VM, routing.Dead)
		t.disown(event.VM)
	case membership.EndpointNewIncarnation, membership.EndpointLeaving:
		t.disown(event.VM)
	}
}

// disown forgets what an endpoint owned. Its shards go to another endpoint. The
// caller holds the lock.
func (t *routes) disown(vm string) {
	for key, owner := range t.owners {
		if owner == vm {
			delete(t.owners, key)
		}
	}
	for _, members := range t.members {
		delete(members, vm)
	}
}

// pick chooses an endpoint for an attempt and logs the decision.
func (t *routes) pick(r *request, number uint32, digest string, tried []string) (routing.Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.query(r, number, digest, tried)
	t.picks++
	query.Detail = t.picks%t.detailEvery == 0
	decision, err := t.table.Pick(query, time.Now())
	if err != nil {
		t.recent.AddRefusal(r.id, number, err)
		t.metrics.refusals.Inc()
		t.log.Warn("no endpoint chosen", zap.String("request", r.id), zap.Uint32("attempt", number),
			zap.String("workspace", r.workspace), zap.String("model", r.model), zap.String("service", r.service), zap.Error(err))
		return decision, err
	}
	t.recent.Add(decision)
	t.logDecision(r, decision)
	return decision, nil
}

func (t *routes) logDecision(r *request, decision routing.Decision) {
	fields := []zap.Field{
		zap.String("request", r.id), zap.Uint32("attempt", decision.Attempt), zap.String("workspace", r.workspace),
		zap.String("model", r.model), zap.String("service", r.service), zap.String("vm", decision.VM),
		zap.String("zone", decision.Zone), zap.String("reason", string(decision.Reason)),
		zap.Int("eligible", decision.EligibleCount), zap.Int("pool", decision.PoolSize), zap.Float64("load", decision.Load),
	}
	if len(decision.Candidates) > 0 {
		fields = append(fields, zap.Any("candidates", decision.Candidates))
	}
	t.log.Info("endpoint chosen", fields...)
}

// query describes an attempt to the routing table. The caller holds the lock.
func (t *routes) query(r *request, number uint32, digest string, tried []string) *routing.Request {
	query := &routing.Request{
		ID: r.id, Attempt: number, Model: r.model, Service: r.service, VersionDigest: digest,
		Idempotent: r.idempotent, TriedVMs: tried,
	}
	if r.prefix != "" {
		query.Prefixes = []uint64{xxhash.Sum64String(r.prefix)}
	}
	if r.shards > 0 {
		query.PreferredVM, query.OwnerOnly = t.owner(r)
		if query.OwnerOnly {
			query.TriedVMs = nil
		}
	}
	return query
}

// owner returns the endpoint that is to run a request under its idempotency key.
// All entries agree on one endpoint when none has claimed the shard yet.
func (t *routes) owner(r *request) (vm string, known bool) {
	shard := journal.ShardOf(r.service, r.idempotencyKey, r.shards)
	if owner, ok := t.owners[shardKey{r.service, uint32(shard)}]; ok && t.usable(owner) {
		return owner, true
	}
	var members []string
	for member := range t.members[r.service] {
		if t.usable(member) {
			members = append(members, member)
		}
	}
	return rendezvous.Best(fmt.Sprintf("%s/%d", r.service, shard), members), false
}

// usable reports whether an endpoint may get new work. The caller holds the lock.
func (t *routes) usable(vm string) bool {
	return t.table.Available(vm)
}

func (t *routes) sent(decision routing.Decision, r *request, number uint32) routing.Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.AttemptSent(decision, t.query(r, number, "", nil), time.Now())
}

func (t *routes) loadReceived(a routing.Attempt, load *laburnumgwv1.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.LoadReceived(a, load, time.Now())
}

// finished records the end of an attempt and logs it. An endpoint that completed a
// request under its key owns the key's shard, which its next report will say.
func (t *routes) finished(a routing.Attempt, decision routing.Decision, r *request, number uint32, ended retry.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.shards > 0 && ended.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		shard := journal.ShardOf(r.service, r.idempotencyKey, r.shards)
		t.owners[shardKey{r.service, uint32(shard)}] = decision.VM
	}
	t.table.AttemptFinished(a, routing.Result{Outcome: ended.Outcome, Sent: ended.Sent}, time.Now())
	t.recent.SetOutcome(r.id, number, ended.Outcome.String())
	t.log.Info("attempt ended", zap.String("request", r.id), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.Stringer("outcome", ended.Outcome), zap.Bool("sent", ended.Sent), zap.Error(ended.Err))
}

func (t *routes) explain(requestID string) []*laburnumgwv1.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.Explain(requestID)
}
