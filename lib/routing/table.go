package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

// Defaults of the settings.
const (
	DefaultPolicy        = "least-estimated"
	DefaultAffinityBound = 1.2
	DefaultQueueLength   = 64
	DefaultRetryAfter    = time.Second
	// slabLength is the number of endpoints allocated together.
	slabLength = 64
)

// Settings configure a table.
type Settings struct {
	// Zone and Region are those of the entry.
	Zone   string
	Region string
	// Policy names the routing policy; empty for DefaultPolicy.
	Policy string
	// AffinityBound is the multiple of the mean load up to which an endpoint may be
	// chosen for its cached prefix; zero for DefaultAffinityBound.
	AffinityBound float64
	// QueueLength is the length of the queue of a warm endpoint; zero for
	// DefaultQueueLength.
	QueueLength int
	// ArrivalsPerSecond bounds the requests that this entry sends to one endpoint in any
	// second; zero for no bound. It is this entry's share of the requests that an endpoint
	// sustains while it is cold, and always applies, because an endpoint may become cold
	// without notice.
	ArrivalsPerSecond int
	// MaxWaitingPromptTokens bounds the prompt tokens of this entry that one endpoint has not
	// started to respond to; zero for no bound. One request may always wait. An endpoint reads
	// prompts one after the other, so that responses to many prompts sent at once, for example
	// to an endpoint that has just returned to service empty, are late.
	MaxWaitingPromptTokens int64
	// Senders is the number of entries that send to one endpoint and share its free capacity;
	// zero when free capacity is not shared.
	Senders int
	// FreeCapacityLimit bounds the free capacity, in requests, that the senders share after one
	// report, even if more is free; zero for no bound. Prompts are read one after the other, so
	// that as many requests as an empty endpoint has slots would start late.
	FreeCapacityLimit float64
	// RetryAfter is returned with refusals; zero for DefaultRetryAfter.
	RetryAfter time.Duration
	// FullRetryAfter is returned instead when more endpoints are full, which may change at any
	// moment, than are still reading prompts; zero for RetryAfter.
	FullRetryAfter time.Duration
}

// Zone is the state of one availability zone in the configuration.
type Zone struct {
	Name   string
	Region string
	// OutOfService is set when operators have taken the zone out of service.
	OutOfService bool
}

// Incarnation orders the starts of one VM's process.
type Incarnation struct {
	Counter uint64
	ID      uint64
}

// Compare returns -1, 0 or 1 as i is older than, equal to or newer than other.
func (i Incarnation) Compare(other Incarnation) int {
	if c := cmp.Compare(i.Counter, other.Counter); c != 0 {
		return c
	}
	return cmp.Compare(i.ID, other.ID)
}

// Liveness is the membership state of an endpoint.
type Liveness uint8

// Liveness states.
const (
	Alive Liveness = iota
	Suspect
	Dead
)

// Table holds the endpoints known to one entry. It is not safe for concurrent use.
type Table struct {
	settings Settings
	policy   policy
	rng      *rand.Rand
	// salt makes the seconds in which this entry may send as an unassigned sender independent
	// of those of other entries. It is drawn with the first share.
	salt      uint64
	endpoints map[string]*endpoint
	pools     map[poolKey]*pool
	zones     map[string]Zone
	prefixes  *prefixIndex
	// regions are those that endpoints have been in.
	regions []string
	// occupancy is the average share of occupied slots in the reports of all endpoints.
	occupancy float64
	query     query
	// spillover decides which requests leave the zone; nil for none.
	spillover Spillover
	// slab holds unused endpoints. Endpoints that are adjacent in memory are read faster by a
	// decision.
	slab []endpoint
	// origin is the time of the first event. The table stores most times relative to it,
	// because comparing durations is cheaper than comparing times.
	origin time.Time
}

// New returns an empty table. It fails when the policy is unknown.
func New(settings Settings, rng *rand.Rand) (*Table, error) {
	t := &Table{
		rng:       rng,
		endpoints: map[string]*endpoint{},
		pools:     map[poolKey]*pool{},
		prefixes:  newPrefixIndex(),
	}
	if err := t.Configure(settings); err != nil {
		return nil, err
	}
	return t, nil
}

// Configure replaces the settings. An invalid setting leaves the table unchanged.
func (t *Table) Configure(settings Settings) error {
	settings.Policy = cmp.Or(settings.Policy, DefaultPolicy)
	settings.AffinityBound = cmp.Or(settings.AffinityBound, DefaultAffinityBound)
	settings.QueueLength = cmp.Or(settings.QueueLength, DefaultQueueLength)
	settings.RetryAfter = cmp.Or(settings.RetryAfter, DefaultRetryAfter)
	chosen, err := newPolicy(settings.Policy)
	if err != nil {
		return err
	}
	if settings.AffinityBound < 1 {
		return errkind.New(errkind.Invalid, "set affinity_bound to 1 or more",
			"affinity_bound %g is below the mean load", settings.AffinityBound)
	}
	t.settings = settings
	t.policy = chosen
	for _, e := range t.endpoints {
		e.distance = t.distance(e)
	}
	return nil
}

// SetZones replaces the zone states. Until the first call every zone is in service;
// afterwards a zone that the configuration does not name is out of service.
func (t *Table) SetZones(zones []Zone) {
	t.zones = make(map[string]Zone, len(zones))
	for _, zone := range zones {
		t.zones[zone.Name] = zone
	}
	for _, e := range t.endpoints {
		e.zoneOutOfService = t.zoneOutOfService(e.zone)
	}
	for _, p := range t.pools {
		p.limitEjections()
	}
}

func (t *Table) newEndpoint(vm string, incarnation Incarnation) *endpoint {
	if len(t.slab) == 0 {
		t.slab = make([]endpoint, slabLength)
	}
	e := &t.slab[0]
	t.slab = t.slab[1:]
	e.vm = vm
	e.incarnation = incarnation
	t.endpoints[vm] = e
	return e
}

func (t *Table) elapsed(now time.Time) time.Duration {
	if t.origin.IsZero() {
		t.origin = now
	}
	return now.Sub(t.origin)
}

func (t *Table) distance(e *endpoint) distance {
	switch {
	case e.zone == t.settings.Zone:
		return sameZone
	case e.region == t.settings.Region:
		return sameRegion
	}
	return otherRegion
}

// regionIndex returns the place of a region in the list, to which it adds it.
func (t *Table) regionIndex(region string) int32 {
	i := slices.Index(t.regions, region)
	if i < 0 {
		i = len(t.regions)
		t.regions = append(t.regions, region)
	}
	return int32(i)
}

func (t *Table) zoneOutOfService(name string) bool {
	if t.zones == nil {
		return false
	}
	zone, known := t.zones[name]
	return !known || zone.OutOfService
}

// ReportReceived applies a load report. It returns false for a report that is older
// than one already applied.
func (t *Table) ReportReceived(r *laburnumgwv1.ReportRequest, now time.Time) bool {
	incarnation := Incarnation{r.GetIncarnation().GetCounter(), r.GetIncarnation().GetId()}
	e := t.endpoints[r.GetVm()]
	if e == nil {
		e = t.newEndpoint(r.GetVm(), incarnation)
	}
	switch order := incarnation.Compare(e.incarnation); {
	case order < 0:
		return false
	case order == 0 && r.GetSequence() <= e.sequence && e.sequence > 0:
		return false
	case order > 0:
		e.restart(incarnation)
		t.prefixes.forget(e)
	}
	e.sequence = r.GetSequence()
	e.address = r.GetAddress()
	e.zone = r.GetZone()
	e.region = r.GetRegion()
	e.regionIndex = t.regionIndex(e.region)
	e.zoneOutOfService = t.zoneOutOfService(e.zone)
	e.distance = t.distance(e)
	e.liveness = Alive
	e.reportReceived(r.GetLoad(), t.elapsed(now))
	t.updatePools(e, r)
	t.limitEjections(e)
	return true
}

// SetLiveness applies a membership decision. The next newer report makes the
// endpoint alive again.
func (t *Table) SetLiveness(vm string, state Liveness) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	e.liveness = state
	t.limitEjections(e)
}

// SetLeaving marks an endpoint as leaving until it restarts. A mark for an older
// incarnation is ignored.
func (t *Table) SetLeaving(vm string, incarnation Incarnation) {
	e := t.endpoints[vm]
	if e == nil || incarnation.Compare(e.incarnation) < 0 {
		return
	}
	e.leaving = true
	t.limitEjections(e)
}

// SetClosing sets the time at which an endpoint plans to stop serving for a while, for
// example to load other weights. Until then it gets only requests that are expected to end
// by that time; a zero time withdraws the plan. The plan is forgotten at until, unless it is set again.
func (t *Table) SetClosing(vm string, at, until time.Time) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	e.closesAt = 0
	if !at.IsZero() {
		e.closesAt, e.closesUntil = max(t.elapsed(at), 1), t.elapsed(until)
	}
}

// SetSendUntil sets the time from which on an endpoint gets no requests, because they would not
// begin before the bound of its weights; a zero time removes it.
func (t *Table) SetSendUntil(vm string, at time.Time) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	e.sendUntil = 0
	if !at.IsZero() {
		e.sendUntil = max(t.elapsed(at), 1)
	}
}

// SetAdapters replaces the adapters that are loaded on an endpoint.
func (t *Table) SetAdapters(vm string, adapters []string) {
	if e := t.endpoints[vm]; e != nil {
		e.adapters = slices.Clone(adapters)
	}
}

// Remove forgets an endpoint.
func (t *Table) Remove(vm string) {
	e := t.endpoints[vm]
	if e == nil {
		return
	}
	delete(t.endpoints, vm)
	t.prefixes.forget(e)
	for _, p := range e.pools {
		t.leavePool(e, p)
	}
	e.pools = nil
}

// AttemptSent records that the attempt of a decision was sent.
func (t *Table) AttemptSent(d Decision, r *Request, now time.Time) Attempt {
	e := t.endpoints[d.VM]
	if e == nil {
		return Attempt{}
	}
	a := Attempt{endpoint: e, incarnation: e.incarnation, tokens: r.Tokens, promptTokens: r.PromptTokens, sentAt: now}
	e.waitingPromptTokens += r.PromptTokens
	e.freeSlots--
	e.ownAttempts++
	e.ownTokens += r.Tokens
	if t.settings.ArrivalsPerSecond > 0 {
		e.arrivals.add(t.elapsed(now))
	}
	if e.stated != nil {
		e.stated.take(t.elapsed(now))
		a.limited = true
	}
	a.trial = e.startTrial(t.elapsed(now))
	if e.health.ejected {
		a.probe = true
		e.health.probeSent(now)
	}
	t.prefixes.learn(e, r.Prefixes)
	return a
}

// LoadReceived applies the load carried by a response frame of a running attempt.
func (t *Table) LoadReceived(a Attempt, load *laburnumgwv1.Load, now time.Time) {
	if a.endpoint == nil || load == nil || a.incarnation != a.endpoint.incarnation {
		return
	}
	t.frameReceived(a.endpoint, load, now)
}

func (t *Table) frameReceived(e *endpoint, load *laburnumgwv1.Load, now time.Time) {
	wasAvailable := e.available()
	e.frameReceived(load, t.elapsed(now))
	if wasAvailable && !e.available() {
		t.limitEjections(e)
	}
}

// AttemptFinished records the end of an attempt. It must be called once for each
// AttemptSent; the outcome is OUTCOME_UNSPECIFIED when the caller cancelled. The outcome
// of an attempt to an earlier incarnation says nothing about the endpoint.
func (t *Table) AttemptFinished(a Attempt, result Result, now time.Time) {
	e := a.endpoint
	if e == nil {
		return
	}
	e.ownAttempts--
	e.ownTokens -= a.tokens
	e.waitingPromptTokens -= a.promptTokens
	if a.incarnation != e.incarnation {
		return
	}
	if a.limited && !result.Sent && e.stated != nil {
		e.stated.giveBack(t.elapsed(now))
	}
	if a.trial && e.trialRunning {
		e.endTrial(result.Outcome == laburnumgwv1.Outcome_OUTCOME_COMPLETE, t.elapsed(a.sentAt))
	}
	if result.Load != nil {
		t.frameReceived(e, result.Load, now)
	}
	e.health.attemptFinished(classify(result), a, now)
	if e.health.shouldEject(now) && e.mayEject() {
		e.eject(now)
	}
}
