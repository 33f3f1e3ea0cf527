package mirror

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"laburnumgw/lib/suspend"
)

// probe reads the revision of the store periodically while this process reads the store
// itself.
func (d *Driver) probe(ctx context.Context) {
	pause := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, Multiplier: 2, RandomizationFactor: 0.3}
	for d.awaitProbe(ctx, pause) {
		if d.probesUnneeded() {
			continue
		}
		asked := suspend.Start()
		revision, err := d.config.Store.Revision(ctx)
		if err != nil {
			d.probeFailed(err, asked)
			continue
		}
		d.storeResponded()
		d.endWatchesOfEarlierEra(revision)
		d.markProbed(revision, asked)
		d.recordStoreResponse(0)
		select {
		case d.probedRevisions <- revision:
		default: // the last verification is still running
		}
	}
}

// endWatchesOfEarlierEra ends the watches when the store came back from an older copy: they wait for
// changes after a revision that means another state now.
func (d *Driver) endWatchesOfEarlierEra(revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, kind := range d.kinds {
		if kind.HasSynced() && EraOf(kind.Revision()) < EraOf(revision) {
			d.cancelWatches()
			return
		}
	}
}

// verifyAll compares the revisions that probes have seen with those that the watches have
// delivered, and verifies the kinds that are behind, each on its own. It runs apart from the
// probes, because long lists would delay them and neighbours rely on the age of the last one.
func (d *Driver) verifyAll(ctx context.Context) {
	var verifications sync.WaitGroup
	defer verifications.Wait()
	verifying := make(map[string]*atomic.Bool, len(d.kinds))
	verifiedAt := make(map[string]time.Time, len(d.kinds))
	for name := range d.kinds {
		verifying[name] = new(atomic.Bool)
	}
	for {
		var revision int64
		select {
		case revision = <-d.probedRevisions:
		case <-ctx.Done():
			return
		}
		if len(d.kindsBehind(revision)) == 0 || !sleep(ctx, probeGrace) {
			continue
		}
		for name := range d.kindsBehind(revision) {
			if time.Since(verifiedAt[name]) < d.verifyPause() || !verifying[name].CompareAndSwap(false, true) {
				continue
			}
			verifiedAt[name] = time.Now()
			verifications.Go(func() {
				defer verifying[name].Store(false)
				for d.verify(ctx, name, revision) {
					// A probe during a long list may have seen another change.
					if revision = d.revisionBeyond(name, revision); revision == 0 {
						return
					}
				}
			})
		}
	}
}

// markProbed records a probed revision, and that the kinds that are known up to it held every change
// when it was requested.
func (d *Driver) markProbed(revision int64, asked suspend.Stopwatch) {
	d.detectSuspension()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probedRevision = revision
	at := time.Now().Add(-asked.Elapsed())
	for _, kind := range d.kinds {
		if kind.HasSynced() && !kind.failing && kind.Revision() >= revision {
			kind.MarkComplete(at)
		}
	}
}

// kindsBehind returns the kinds that are not known up to a revision. A change of another
// kind raises the revision as well, but does not show that nothing was missed. A kind that
// was not read yet, or whose source has failed, does not count as behind: it waits for
// neighbours or for its own list.
func (d *Driver) kindsBehind(revision int64) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := make(map[string]bool)
	for name, kind := range d.kinds {
		if kind.HasSynced() && !kind.failing && kind.Revision() < revision {
			behind[name] = true
		}
	}
	return behind
}

// verifyPause returns the shortest time between two verifications of a kind. The reader of the
// deployment verifies at each probe, since nobody else would notice a watch that has stalled. The
// entries that read the store because their sources fail are many, and are given more time.
func (d *Driver) verifyPause() time.Duration {
	if d.preferredSource() == StoreFirst {
		return 0
	}
	return time.Duration(fallbackVerifyShare * float64(cmp.Or(d.config.PropagationBound, defaultPropagationBound)))
}

// verify reads what the watch of a kind may have missed up to a revision. It asks for the changes
// after the known revision alone, and lists the kind if that does not lead up to the revision. It
// reports whether another watch of the kind may miss changes as well.
func (d *Driver) verify(ctx context.Context, name string, revision int64) bool {
	kind := d.kinds[name]
	d.mu.Lock()
	before := kind.Revision()
	d.mu.Unlock()
	started := suspend.Start()
	changed, err := d.catchUp(ctx, name, kind)
	d.mu.Lock()
	isBehind := kind.Revision() < revision
	d.mu.Unlock()
	needsList := err != nil || isBehind
	if needsList {
		listed, err := d.listAgain(ctx, name, kind)
		if err != nil {
			return false // the watch or the next probe notices an outage
		}
		changed = changed || listed
	}
	if changed {
		d.config.Log.Warn("watch was behind the store", zap.String("kind", name), zap.String("revision", FormatRevision(before)),
			zap.Duration("found_after", started.Elapsed()))
		d.cancelWatch(name)
	}
	return changed || needsList
}

// revisionBeyond returns the latest probed revision if it is beyond another one and not known of a
// kind yet, else 0.
func (d *Driver) revisionBeyond(name string, revision int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probedRevision <= max(revision, d.kinds[name].Revision()) {
		return 0
	}
	return d.probedRevision
}

// catchUp reads the changes of a kind after its known revision, without waiting for one. It
// reports whether there were any.
func (d *Driver) catchUp(ctx context.Context, name string, kind *Kind) (bool, error) {
	asked := suspend.Start()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	d.mu.Lock()
	after := kind.Revision()
	d.mu.Unlock()
	events, revision, err := d.config.Store.Watch(ctx, name, after, catchUpWait)
	if err == nil {
		err = checkEra(revision, after)
	}
	if err != nil {
		return false, err
	}
	changed := false
	d.apply(name, kind, FromCatchUp, func(now time.Time) []Change {
		// The changes may have been made at any time since the copy was complete, which it still
		// was at the end of an outage.
		kind.MarkAvailable(0, now)
		earliest := kind.EarliestChange(now)
		for i := range events {
			events[i].Object.LearnedAt = earliest
		}
		changes := kind.ApplyEvents(events, revision, now)
		changed = len(changes) > 0
		if revision > after {
			kind.MarkComplete(now.Add(-asked.Elapsed()))
		}
		return changes
	})
	d.recordStoreResponse(0)
	return changed, nil
}

// listAgain lists a kind that is known, and reports whether it has changed. Unlike a watch, a list
// cannot miss changes.
func (d *Driver) listAgain(ctx context.Context, name string, kind *Kind) (bool, error) {
	asked := suspend.Start()
	objects, revision, err := d.config.Store.List(ctx, name)
	if err != nil {
		return false, err
	}
	changed := false
	d.apply(name, kind, FromList, func(now time.Time) []Change {
		changes := kind.applyStoreList(objects, revision, asked, now)
		changed = len(changes) > 0
		return changes
	})
	return changed, nil
}

func (d *Driver) cancelWatch(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.watchCancels[name]; cancel != nil {
		cancel()
	}
}

// probeInterval returns the time between two probes. A change of a kind that is dated counts from the last one of the reader of the
// deployment before it.
func (d *Driver) probeInterval() time.Duration {
	interval := ProbeInterval(d.config.PropagationBound)
	if len(d.config.DatedKinds) > 0 && d.preferredSource() == StoreFirst {
		return min(interval, datedProbeInterval)
	}
	return interval
}

// awaitProbe waits until the next probe of the store. While the store does not respond, the
// pause grows up to the configured maximum, so that a fleet makes few calls.
func (d *Driver) awaitProbe(ctx context.Context, pause *backoff.ExponentialBackOff) bool {
	d.mu.Lock()
	reachable := d.reachable
	d.mu.Unlock()
	if !reachable {
		pause.MaxInterval = maxRetryPause
		if d.config.MaxProbePause != nil {
			pause.MaxInterval = d.config.MaxProbePause()
		}
		return sleep(ctx, min(pause.NextBackOff(), pause.MaxInterval))
	}
	pause.Reset()
	timer := time.NewTimer(d.probeInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.probeRequests:
		return sleep(ctx, pause.NextBackOff())
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// probesUnneeded reports whether neighbours make probes unnecessary. The store then counts
// as reachable, whatever its last response was.
func (d *Driver) probesUnneeded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.servedByNeighbours() {
		return false
	}
	d.markReachable()
	return true
}

// storeResponded records that the store responds.
func (d *Driver) storeResponded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markReachable()
}

// markReachable lets the kinds ask the store again. The caller holds the lock.
func (d *Driver) markReachable() {
	if d.reachable {
		return
	}
	d.reachable = true
	d.recoveredAt = time.Now()
	close(d.recovered)
	d.recovered = make(chan struct{})
}

// probeFailed records that the store does not respond. It ends the watches, because they
// would not notice the end of the outage.
func (d *Driver) probeFailed(err error, asked suspend.Stopwatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servedByNeighbours() {
		return
	}
	now := time.Now()
	for name, kind := range d.kinds {
		d.trackOutage(name, kind, now, err, func() { kind.markFailed(now, now.Add(-asked.Elapsed())) })
	}
	d.markUnreachable()
	d.cancelWatches()
}

// cancelWatches ends the running watches. The caller holds the lock.
func (d *Driver) cancelWatches() {
	for _, cancel := range d.watchCancels {
		cancel()
	}
}

// markUnreachable leaves only the probe to ask the store, and wakes neighbours that wait
// for changes. The caller holds the lock.
func (d *Driver) markUnreachable() {
	if !d.reachable {
		return
	}
	d.reachable = false
	select {
	case d.probeRequests <- struct{}{}:
	default:
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Refresh ends the running watches, so that their kinds are read again: short kinds are
// listed, and long ones are watched from their known revision.
func (d *Driver) Refresh(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Log.Info("watches are restarted", zap.String("reason", reason))
	d.cancelWatches()
}
