package hosted

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/senders"
	"laburnumgw/lib/workerlimit"
)

const (
	// announceRepeat is the time after which the announcement of a limit is sent once more. Until
	// then no other change of the limit is announced.
	announceRepeat = 150 * time.Millisecond
	// limitRefreshInterval is the pause between two checks for limits that this entry did not
	// hear of for limitStaleness. It asks another entry for those: one that may send nothing to a
	// worker would otherwise never notice the end of its limit if the announcement was lost.
	limitRefreshInterval = time.Second
	limitStaleness       = 2 * time.Second
	// limitsEntries is the number of entries that a starting process asks for the limits they know.
	limitsEntries = 3
	// minReturnPerSecond is the least rate from which the requests of all entries return to a
	// worker whose limit has ended.
	minReturnPerSecond = 1
)

// workerLimit is the part of a worker's state that concerns its limit.
type workerLimit struct {
	// perSecond is the limit in force last, and share this entry's part of it. The part is valid
	// if shareValid is set.
	perSecond  float64
	share      senders.LimitShare
	shareValid bool
	// unreadable is set once a statement could not be read, so that it is logged once.
	unreadable bool
	// borrowAfter is the time from which on this entry asks others again to lend it a request.
	borrowAfter time.Time
}

// limitStated records what a response states about the limit of a worker, to which the request
// was sent at sentAt, and announces a change to the other entries.
func (v *view) limitStated(vm string, startedAtMs int64, statement workerlimit.Statement, sentAt time.Time) {
	if known, peers := v.recordLimit(vm, startedAtMs, statement, sentAt); peers != nil {
		peers.Announce(known)
		time.AfterFunc(announceRepeat, func() { v.repeatAnnouncement(vm) })
	}
}

// recordLimit records what a response states about the limit of a worker. It returns the other
// entries if a change is to be announced to them.
func (v *view) recordLimit(vm string, startedAtMs int64, statement workerlimit.Statement, sentAt time.Time) (workerlimit.Limit, limitPeers) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.workers[vm]
	if w != nil && statement.Kind == workerlimit.Unusable && !w.limit.unreadable {
		w.limit.unreadable = true
		v.log.Warn("limit of a worker cannot be read", zap.String("vm", vm))
	}
	known, changed := v.limits.Observe(vm, startedAtMs, statement, sentAt, time.Now())
	if changed {
		v.limitChanged(known, "its response")
	}
	if !changed || v.limitPeers == nil || v.announcing[vm] {
		return known, nil
	}
	v.announcing[vm] = true
	return known, v.limitPeers
}

// repeatAnnouncement announces the limit of a worker once more, as it is known now: the first
// announcement may have been lost, and the limit may have changed since.
func (v *view) repeatAnnouncement(vm string) {
	v.mu.Lock()
	delete(v.announcing, vm)
	known, ok := v.limits.Known(vm)
	peers := v.limitPeers
	v.mu.Unlock()
	if ok {
		peers.Announce(known)
	}
}

// mergeLimit applies what another entry knows about the limit of a worker. The caller holds the
// lock.
func (v *view) mergeLimit(message *laburnumgwv1.WorkerLimit, from string) {
	limit := workerlimit.Limit{
		VM: message.GetVm(), StartedAtMs: message.GetBorn(), Revision: message.GetRevision(),
		Limited: message.GetLimited(), PerSecond: message.GetPerSecond(),
	}
	if !limit.Valid() {
		v.ignoreDatagram("limit without sense ignored", zap.String("vm", limit.VM), zap.Float64("per_second", limit.PerSecond), zap.String("told_by", from))
		return
	}
	if v.limits.Merge(limit, time.Now()) {
		v.limitChanged(limit, from)
	}
}

// limitChanged puts a change of a limit in force. The caller holds the lock.
func (v *view) limitChanged(limit workerlimit.Limit, from string) {
	message := "worker states no limit any more"
	if limit.Limited {
		message = "worker states a limit"
	}
	write := func() {
		v.log.Info(message, zap.String("vm", limit.VM), zap.Int64("born", limit.StartedAtMs), zap.Float64("per_second", limit.PerSecond),
			zap.Uint64("revision", limit.Revision), zap.String("told_by", from))
	}
	if w := v.workers[limit.VM]; w != nil {
		write()
		v.updateLimit(w)
	} else {
		v.unlistedLines.Do(write)
	}
	select {
	case v.limitsInForce <- struct{}{}:
	default:
	}
}

// updateLimit passes this entry's part of the limit of a worker to the routing table. The caller
// holds the lock.
func (v *view) updateLimit(w *worker) {
	state := v.services[w.Service]
	if state == nil {
		return
	}
	now := time.Now()
	perSecond, limited := v.limits.Get(w.ID, w.StartedAtMs)
	if !limited {
		if state.table.HasLimit(w.ID) {
			state.table.EndLimit(w.ID, max(w.limit.perSecond, minReturnPerSecond)/v.entryCount(), now)
		}
		return
	}
	if !w.limit.shareValid || w.limit.perSecond != perSecond {
		w.limit.perSecond, w.limit.shareValid = perSecond, true
		w.limit.share = v.fleet.LimitShareOf(v.settings.VM, w.Address, w.Zone, perSecond)
	}
	state.table.SetLimit(w.ID, w.limit.share, now)
}

// limitedWorkers returns the number of listed workers with a limit in force.
func (v *view) limitedWorkers() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, limit := range v.limits.All() {
		if w := v.workers[limit.VM]; limit.Limited && w != nil && w.StartedAtMs == limit.StartedAtMs {
			count++
		}
	}
	return count
}

// limitSenders returns the addresses of the other entries that share the limit of a worker, in
// random order. The caller holds the lock.
func (v *view) limitSenders(w *worker) []string {
	var addresses []string
	sameZone, otherZones := v.fleet.AssignedSenders(w.Address, w.Zone, senders.LimitSenderCount(w.limit.perSecond))
	for _, name := range slices.Concat(sameZone, otherZones) {
		if entry, ok := v.entries[name]; ok && name != v.settings.VM {
			addresses = append(addresses, entry.Address)
		}
	}
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// boundsLeft returns the time until pauses and limits allow a request to a worker of a service.
// The caller holds the lock.
func (v *view) boundsLeft(state *service) time.Duration {
	if state.config.Engine != nil {
		return state.table.BoundsLeft(state.config.Name, "", time.Now())
	}
	return state.table.BoundsLeft("", state.config.Name, time.Now())
}

// refreshLimits asks other entries for limits that this one has not heard of recently, until the
// context ends. It sleeps while no limit is in force.
func (v *view) refreshLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.limitsInForce:
		}
		for v.limitedWorkers() > 0 {
			if !dispatch.Sleep(ctx, limitRefreshInterval) {
				return
			}
			if address := v.limitSource(); address != "" {
				v.fetchLimits(ctx, address)
			}
		}
	}
}

// limitSource returns the address of an entry that shares a limit which this entry has not heard
// of for limitStaleness; empty if there is none.
func (v *view) limitSource() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addresses []string
	for _, limit := range v.limits.Stale(time.Now().Add(-limitStaleness)) {
		if w := v.workers[limit.VM]; w != nil && w.StartedAtMs == limit.StartedAtMs {
			addresses = append(addresses, v.limitSenders(w)...)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[v.rng.IntN(len(addresses))]
}

// fetchLimits asks another entry for the limits that it knows.
func (v *view) fetchLimits(ctx context.Context, address string) {
	v.mu.Lock()
	peers := v.limitPeers
	v.mu.Unlock()
	if peers == nil {
		return
	}
	response, err := peers.ListLimits(ctx, address)
	if err != nil {
		v.log.Debug("limits not received from entry", zap.String("entry", address), zap.Error(err))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, limit := range response.GetLimits() {
		v.mergeLimit(limit, address)
	}
}
