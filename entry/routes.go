package entry

import (
	"errors"
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

// shardKey identifies a journal shard.
type shardKey struct {
	service string
	shard   uint32
}

// routes protects the routing table with a mutex and logs every routing decision.
type routes struct {
	zone        string
	region      string
	detailEvery int
	log         *zap.Logger
	metrics     *entryMetrics

	mu              sync.Mutex
	table           *routing.Table
	recentDecisions *routing.RecentDecisions
	pickCount       int
	// owners holds the endpoint that owns a journal shard: it reported the shard as its
	// own or completed a request with a key of the shard.
	owners map[shardKey]string
	// serviceEndpoints holds the endpoints of each service. One of them is chosen for a
	// shard without an owner.
	serviceEndpoints map[string]map[string]struct{}
	zoneOutOfService map[string]bool
}

func newRoutes(s *Settings, metrics *entryMetrics, log *zap.Logger) (*routes, error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, err := routing.New(routing.Settings{Zone: s.Zone, Region: s.Region}, rng)
	if err != nil {
		return nil, err
	}
	return &routes{
		zone: s.Zone, region: s.Region, detailEvery: s.DetailEvery, log: log, metrics: metrics,
		table: table, recentDecisions: routing.NewRecentDecisions(s.RecentDecisions),
		owners:           make(map[shardKey]string),
		serviceEndpoints: make(map[string]map[string]struct{}),
		zoneOutOfService: make(map[string]bool),
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
	clear(t.zoneOutOfService)
	for name, zone := range snapshot.Zones {
		zones = append(zones, routing.Zone{Name: name, Region: zone.Region, OutOfService: zone.State == config.ZoneOutOfService})
		t.zoneOutOfService[name] = zone.State == config.ZoneOutOfService
	}
	t.table.SetZones(zones)
	return nil
}

// applyReport applies the report of an endpoint.
func (t *routes) applyReport(view membership.EndpointView) {
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
		if t.serviceEndpoints[service] == nil {
			t.serviceEndpoints[service] = make(map[string]struct{})
		}
		t.serviceEndpoints[service][vm] = struct{}{}
	}
}

// applyEvent applies a membership event.
func (t *routes) applyEvent(event membership.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch event.Kind {
	case membership.EndpointAlive:
		t.table.SetLiveness(event.VM, routing.Alive)
	case membership.EndpointSuspect:
		t.table.SetLiveness(event.VM, routing.Suspect)
	case membership.EndpointDead:
		t.table.SetLiveness(event.VM, routing.Dead)
		t.dropOwnership(event.VM)
	case membership.EndpointNewIncarnation, membership.EndpointLeaving:
		t.dropOwnership(event.VM)
	}
}

// dropOwnership removes an endpoint from the owners and from the services, so that its
// shards go to another endpoint. The caller holds the lock.
func (t *routes) dropOwnership(vm string) {
	for key, owner := range t.owners {
		if owner == vm {
			delete(t.owners, key)
		}
	}
	for _, members := range t.serviceEndpoints {
		delete(members, vm)
	}
}

// pick chooses an endpoint for an attempt and logs the decision.
func (t *routes) pick(r *request, number uint32, digest string, tried []string) (routing.Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := t.query(r, number, digest, tried)
	t.pickCount++
	query.Detail = t.pickCount%t.detailEvery == 0
	decision, err := t.table.Pick(query, time.Now())
	if err != nil {
		t.recentDecisions.AddRefusal(r.id, number, err)
		t.metrics.refusals.Inc()
		t.log.Warn("no endpoint chosen", zap.String("request", r.id), zap.Uint32("attempt", number),
			zap.String("workspace", r.workspace), zap.String("model", r.model), zap.String("service", r.service), zap.Error(err))
		return decision, err
	}
	t.recentDecisions.Add(decision)
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
	if r.promptPrefix != "" {
		query.Prefixes = []uint64{xxhash.Sum64String(r.promptPrefix)}
	}
	if r.shardCount > 0 {
		query.PreferredVM, query.OwnerOnly = t.owner(r)
		if query.OwnerOnly {
			query.TriedVMs = nil
		}
	}
	return query
}

// owner returns the endpoint for a request with an idempotency key, and whether it is
// known to own the key's shard. For a shard without a usable owner, rendezvous hashing
// gives the same endpoint on all entries that know the same usable endpoints. The caller
// holds the lock.
func (t *routes) owner(r *request) (vm string, known bool) {
	shard := journal.ShardOf(r.service, r.idempotencyKey, r.shardCount)
	if owner, ok := t.owners[shardKey{r.service, uint32(shard)}]; ok && t.usable(owner) {
		return owner, true
	}
	var candidates []string
	for member := range t.serviceEndpoints[r.service] {
		if t.usable(member) {
			candidates = append(candidates, member)
		}
	}
	return rendezvous.Best(fmt.Sprintf("%s/%d", r.service, shard), candidates), false
}

// usable reports whether an endpoint may receive new requests. The caller holds the lock.
func (t *routes) usable(vm string) bool {
	return t.table.Available(vm)
}

func (t *routes) attemptSent(decision routing.Decision, r *request, number uint32) routing.Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.AttemptSent(decision, t.query(r, number, "", nil), time.Now())
}

func (t *routes) loadReceived(a routing.Attempt, load *laburnumgwv1.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.LoadReceived(a, load, time.Now())
}

// attemptFinished records the end of an attempt and logs it. An endpoint that completed a
// request with an idempotency key owns the key's shard; its next report confirms that.
func (t *routes) attemptFinished(a routing.Attempt, decision routing.Decision, r *request, number uint32, result retry.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.shardCount > 0 && result.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE {
		shard := journal.ShardOf(r.service, r.idempotencyKey, r.shardCount)
		t.owners[shardKey{r.service, uint32(shard)}] = decision.VM
	}
	evidence := routing.Result{Outcome: result.Outcome, Sent: result.Sent}
	if errors.Is(result.Err, errSuperseded) {
		// That another attempt gives the response says nothing about this endpoint.
		evidence = routing.Result{Outcome: laburnumgwv1.Outcome_OUTCOME_UNSPECIFIED}
	}
	t.table.AttemptFinished(a, evidence, time.Now())
	t.recentDecisions.SetOutcome(r.id, number, result.Outcome.String())
	t.log.Info("attempt ended", zap.String("request", r.id), zap.Uint32("attempt", number), zap.String("vm", decision.VM),
		zap.Stringer("outcome", result.Outcome), zap.Bool("sent", result.Sent), zap.Error(result.Err))
}

func (t *routes) explain(requestID string) []*laburnumgwv1.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentDecisions.Explain(requestID)
}
