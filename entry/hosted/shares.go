package hosted

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/fairshare"
	"laburnumgw/lib/fleetload"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
	"laburnumgw/platform"
)

const (
	// idlePart is the part of the places of the workers of a service up to which they count as having room for all.
	idlePart = 0.75
	// tooLateFactor is the multiple of the time left from which on a request is not sent whose wait is only estimated.
	tooLateFactor = 1.5
	// sharesLogInterval is the time between two lines on the shares in force.
	sharesLogInterval = 5 * time.Second
)

// errTooLate marks a request whose caller would have left before the first event.
var errTooLate = errors.New("no worker is expected to begin in time")

// serviceShares are the shares of one service.
type serviceShares struct {
	*fairshare.Service
	// snapshot is the configuration from which they are configured, and loggedAt the time of the last line on them.
	snapshot *catalog.Snapshot
	loggedAt time.Time
}

// sharedRequest is a request as the shares of its service know it.
type sharedRequest struct {
	fairshare.Request
	// beyond is set if its class asks for more than its share.
	beyond bool
	// told is set if the shares have named the time after which the caller may return, and drawn if it is the one that counts.
	told, drawn bool
}

// admitByShare refuses a request whose class asks for more than its share while room is short, before its body is read.
func (c *call) admitByShare() error {
	v, now := c.view, time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	shares := v.sharesOf(c.serviceName, c.service, c.snapshot, now)
	c.share.Request = fairshare.Request{
		Class: fairshare.Class{Workspace: c.workspaceName(), Rank: c.route.Priority}, Work: c.work(),
		Returned:  v.patience.Returned(c.route.Name, c.in.Deadline, c.route.Timeout) || c.in.LastEventID != "",
		Objective: c.route.Objective, Left: c.limits.Left(now),
	}
	decision := shares.Admit(c.share.Request, now)
	c.share.beyond = decision.Beyond
	if decision.Admitted {
		return nil
	}
	c.share.told, c.share.drawn = true, true
	c.metrics.shareRefused(c.serviceName, c.share.Class).Inc()
	return errkind.New(errkind.NotRun, "repeat the request after the time in Retry-After",
		"service %q has too little room, and workspace %q asks for more than its share at rank %d", c.serviceName, c.share.Workspace, c.share.Rank).
		WithRetryAfter(decision.RetryAfter)
}

// work returns what the request takes of the room: the time in a slot of an engine, or one request.
func (c *call) work() float64 {
	if c.engine != nil {
		return c.engine.Duration(c.in.PromptTokens, c.in.ExpectedOutputTokens).Seconds()
	}
	return 1
}

// shareEnded records a request that was not run for want of room. While room is short its caller is told when to return.
func (c *call) shareEnded(ended retry.Attempt, err error) error {
	if !isForWantOfRoom(ended, err) {
		return err
	}
	v := c.view
	v.mu.Lock()
	defer v.mu.Unlock()
	shares := c.service.shares
	after := shares.TurnedAway(c.share.Request, time.Now())
	var typed *errkind.Error
	if shares.Short() && errors.As(err, &typed) {
		c.share.told, c.share.drawn = true, after >= typed.RetryAfter
		typed.RetryAfter = max(typed.RetryAfter, after)
	}
	return err
}

// returnAfter returns the time after which the caller of a refused request is told to return. One that the shares have named was
// drawn at random, and leaves the caller time.
func (c *call) returnAfter(after time.Duration, random float64) time.Duration {
	if !c.share.drawn {
		after += time.Duration(random * retryAfterJitter * float64(after))
	}
	if c.share.told {
		after = fairshare.Bounded(after, c.limits.Left(time.Now()))
	}
	return after
}

// isForWantOfRoom reports whether a request was not run because the workers are full or have got this entry's share of
// arrivals. Workers that may not take requests at all, for example for their weights, are no reason to divide the others'
// room by shares.
func isForWantOfRoom(ended retry.Attempt, err error) bool {
	if !errkind.Is(err, errkind.NotRun) {
		return false
	}
	var none *routing.NoEndpointError
	if errors.As(err, &none) {
		full := none.Count(routing.FilterNoCapacity) + none.Count(routing.FilterSlots) + none.Count(routing.FilterPrompts)
		return full > 0 && 2*(full+none.Count(routing.FilterArrivals)) >= none.PoolSize
	}
	// A worker that asks for a pause may have room.
	return errors.Is(err, errTooLate) || (errors.Is(err, errFull) && ended.RetryAfter == 0)
}

// refusal returns why a worker has not run a request: by the load that it has stated with that, or else by what is known of it, it is
// full. One that is not may not serve now, as while it loads weights. Of a plain worker of which nothing is known the first is
// assumed, since it has no weights.
func (a *attempt) refusal(stated *platform.Load) error {
	v, now := a.view, time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.workers[a.decision.VM]; w == nil || w.StartedAtMs != a.startedAtMs || (w.hasReport(now) && w.report.Busy) {
		return errRefused
	}
	isFull := a.engine == nil
	if load := loadOf(stated); load.GetLimit() > 0 {
		isFull = load.GetInFlight()+load.GetQueued() >= load.GetLimit()
	} else if known := v.load.fleet.Worker(a.decision.VM, now); known.Known && known.Slots > 0 {
		isFull = known.Running+known.Queued >= known.Slots
	}
	if isFull {
		return errFull
	}
	return errRefused
}

// refuseTooLate refuses a request at once that no eligible worker is expected to begin while its caller waits. Probes are sent,
// since nothing else shows that a worker is well again.
func (c *call) refuseTooLate(decision routing.Decision) error {
	err := c.tooLate(decision)
	if err != nil {
		c.picked.forget()
		c.metrics.refusedTooLate.Inc()
	}
	return err
}

// tooLate returns the refusal of a request that no eligible worker is expected to begin while its caller waits, or nil.
func (c *call) tooLate(decision routing.Decision) error {
	if decision.LeastWait == 0 {
		return nil
	}
	return errkind.Wrap(errTooLate, errkind.NotRun, "repeat the request after the time in Retry-After",
		"%v are expected until it begins, and %v left", decision.LeastWait, c.firstEventLeft())
}

// maxWait returns the longest expected time to the first byte with which the request is sent.
func (c *call) maxWait() time.Duration {
	return max(time.Duration(tooLateFactor*float64(c.firstEventLeft())), 1)
}

// firstEventLeft returns how long the caller waits for the response to begin, once its request was read.
func (c *call) firstEventLeft() time.Duration {
	left := c.limits.Left(time.Now())
	if c.route.Kind == catalog.Stream {
		left = min(left, c.route.CallerEventTimeout()-firstEventReserve)
	}
	return left
}

// sharesOf returns the shares of a service as of now. The caller holds the lock.
func (v *view) sharesOf(name string, state *service, snapshot *catalog.Snapshot, now time.Time) *serviceShares {
	shares := state.shares
	if shares == nil {
		// Settings without workspaces and ranks are valid.
		created, _ := fairshare.New(fairshare.Settings{}, v.newRand(), now)
		shares = &serviceShares{Service: created}
		state.shares = shares
	}
	if shares.snapshot != snapshot {
		shares.snapshot = snapshot
		was := shares.Short()
		if err := shares.Configure(shareSettings(snapshot, name)); err != nil {
			v.log.Error("service keeps the settings of its shares", zap.String("service", name), zap.Int64("config", snapshot.Version), zap.Error(err))
		}
		if was && !shares.Short() {
			v.metrics.shareRoomShort(name, false)
		}
	}
	if shares.UpdateDue(now) {
		v.updateShares(name, state, now)
	}
	return shares
}

// shareSettings returns the settings of the shares of a service.
func shareSettings(snapshot *catalog.Snapshot, service string) fairshare.Settings {
	settings := fairshare.Settings{
		Workspaces: make(map[string]fairshare.Workspace), Ranks: snapshot.RoutePriorities(service),
		Others: fairshare.Workspace{Rank: snapshot.WorkspacePriority(nil)},
	}
	for name, workspace := range snapshot.Workspaces() {
		settings.Workspaces[name] = fairshare.Workspace{Rank: snapshot.WorkspacePriority(workspace), Weight: workspace.Weight}
	}
	return settings
}

// updateShares computes the shares of a service. The caller holds the lock.
func (v *view) updateShares(name string, state *service, now time.Time) {
	shares := state.shares
	workers := fairshare.Workers{Places: state.places(), HaveRoom: shares.MayBeShort() && v.workersHaveRoom(name, now)}
	changed := shares.Update(v.otherDemands(name, now), workers, now)
	if changed {
		v.metrics.shareRoomShort(name, shares.Short())
	}
	if changed || (shares.Short() && now.Sub(shares.loggedAt) >= sharesLogInterval) {
		shares.loggedAt = now
		v.log.Info("shares of a service", zap.String("service", name), zap.Bool("short", shares.Short()), zap.Float64("room", shares.Room()), zap.Int("places", workers.Places),
			zap.Any("partly_served", shares.Shares()))
	}
}

// places returns how many requests the workers run at once that may serve.
func (s *service) places() int {
	if s.config.Engine != nil {
		return s.table.Places(s.config.Name, "")
	}
	return s.table.Places("", s.config.Name)
}

// otherDemands returns what the other entries have told about a service. The caller holds the lock.
func (v *view) otherDemands(service string, now time.Time) []fairshare.Demand {
	told := v.load.fleet.Demands(service, now)
	demands := make([]fairshare.Demand, len(told))
	for i, d := range told {
		demands[i] = fairshare.Demand{
			Class:   fairshare.Class{Workspace: d.Workspace, Rank: d.Rank},
			Offered: d.Offered, Admitted: d.Admitted, TurnedAway: d.TurnedAway, Usual: d.Usual,
		}
	}
	return demands
}

// shareDemands returns what the callers of this entry ask for while room is short, in no more than some bytes. The caller holds the
// lock.
func (v *view) shareDemands(now time.Time, bytes int) []fleetload.Demand {
	var offers []fairshare.Offer
	for name, state := range v.services {
		if state.shares == nil {
			continue
		}
		if state.shares.UpdateDue(now) {
			// Without requests nothing else ends a shortage.
			v.updateShares(name, state, now)
		}
		offers = append(offers, state.shares.Offers(name, now)...)
	}
	if len(offers) == 0 {
		return nil
	}
	told := fairshare.Fold(offers, bytes, offerBytes, int(v.rng.Uint32()))
	demands, byService := make([]fleetload.Demand, len(told)), make(map[string][]fairshare.Offer)
	for i, o := range told {
		byService[o.Service] = append(byService[o.Service], o)
		demands[i] = fleetload.Demand{
			Service: o.Service, Workspace: o.Workspace, Rank: o.Rank, Offered: o.Offered, Admitted: o.Admitted, TurnedAway: o.TurnedAway, Usual: o.Usual,
		}
	}
	for name, offers := range byService {
		v.services[name].shares.Told(offers)
	}
	return demands
}

// offerBytes returns the most bytes that an offer takes in a message.
func offerBytes(o *fairshare.Offer) int {
	if size := len(o.Service) + len(o.Workspace) + demandBytes; size <= maxDemandBytes {
		return size
	}
	return math.MaxInt32
}

// sharesSuspended ends the shortage of all services. The caller holds the lock.
func (v *view) sharesSuspended() {
	for name, state := range v.services {
		if state.shares != nil && state.shares.Short() {
			state.shares.Suspended()
			v.metrics.shareRoomShort(name, false)
		}
	}
}

// workersHaveRoom reports whether most workers of a service are known to have free places, so that what is turned away has
// another cause than a lack of room. The caller holds the lock.
func (v *view) workersHaveRoom(service string, now time.Time) bool {
	workers, known, used, places := 0, 0, 0, 0
	for _, w := range v.workers {
		if w.Service != service || w.Leaving {
			continue
		}
		workers++
		if load := v.load.fleet.Worker(w.ID, now); load.Known && load.Slots > 0 {
			known++
			used += load.Running + load.Queued
			places += load.Slots
		}
	}
	return 2*known > workers && float64(used) < idlePart*float64(places)
}

// shareRefused counts the requests that were refused because their class asked for more than its share.
func (m *entryMetrics) shareRefused(service string, class fairshare.Class) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_entry_share_refusals_total{service=%q,workspace=%q,rank=\"%d\"}", service, class.Workspace, class.Rank))
}

// shareRoomShort states whether the room of a service is short.
func (m *entryMetrics) shareRoomShort(service string, short bool) {
	gauge := m.set.GetOrCreateGauge(fmt.Sprintf("laburnumgw_entry_share_room_short{service=%q}", service), nil)
	if short {
		gauge.Set(1)
	} else {
		gauge.Set(0)
	}
}
