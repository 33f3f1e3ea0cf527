package mirror

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"laburnumgw/lib/suspend"
)

// probe looks at the revision of the store while this process reads it.
func (d *Driver) probe(ctx context.Context) {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstRetry, Multiplier: 2, RandomizationFactor: 0.3}
	for d.awaitProbe(ctx, pause) {
		if d.spared() {
			continue
		}
		asked := suspend.Start()
		revision, err := d.config.Store.Revision(ctx)
		if err != nil {
			d.lost(err)
			continue
		}
		d.found()
		d.complete(revision, asked)
		d.confirmed(0)
		select {
		case d.probed <- revision:
		default: // the last verification is still under way
		}
	}
}

// verifyAll compares the revisions that probes have seen with what the watches have
// delivered. It is apart from the probes, because long lists would hold them up and
// neighbours rely on the age of the last one.
func (d *Driver) verifyAll(ctx context.Context) {
	unseen := make(map[string]int)
	for {
		var revision int64
		select {
		case revision = <-d.probed:
		case <-ctx.Done():
			return
		}
		if len(d.behind(revision)) == 0 || !sleep(ctx, probeGrace) {
			continue
		}
		behind := d.behind(revision)
		for name := range d.kinds {
			if !behind[name] {
				unseen[name] = 0
				continue
			}
			if unseen[name]%verifyEvery == 0 {
				d.verify(ctx, name)
			}
			unseen[name]++
		}
	}
}

// complete notes that no kind that is known up to the revision of the store, which was asked
// for at a time, misses a change.
func (d *Driver) complete(revision int64, asked suspend.Stopwatch) {
	d.awake()
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now().Add(-asked.Elapsed())
	for _, kind := range d.kinds {
		if kind.HasSynced() && !kind.failing && kind.Revision() >= revision {
			kind.MarkComplete(at)
		}
	}
}

// behind returns the kinds that are not known up to a revision. A change of another kind
// is no reason to believe that nothing was missed. A kind that was not read yet, or whose
// source has failed, is not behind: it waits for neighbours or for its own list.
func (d *Driver) behind(revision int64) map[string]bool {
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

// verify lists a kind, whose watch may be deaf. A list is the only answer that cannot be.
func (d *Driver) verify(ctx context.Context, name string) {
	kind := d.kinds[name]
	asked := suspend.Start()
	objects, revision, err := d.config.Store.List(ctx, name)
	if err != nil {
		return // the watch or the next probe notices an outage
	}
	d.mu.Lock()
	before := kind.Revision()
	d.mu.Unlock()
	changed := false
	d.apply(name, kind, func(now time.Time) []Change {
		changes := kind.listedSince(objects, revision, asked, now)
		changed = len(changes) > 0
		return changes
	})
	if changed {
		d.config.Log.Warn("watch was behind the store", zap.String("kind", name), zap.Int64("revision", before))
		d.cancel(name)
	}
}

func (d *Driver) cancel(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancels[name]; cancel != nil {
		cancel()
	}
}

// awaitProbe waits until the next look at the store. While it does not answer, the pause
// grows up to that of the configuration, so that the calls of a fleet stay few.
func (d *Driver) awaitProbe(ctx context.Context, pause *backoff.ExponentialBackOff) bool {
	d.mu.Lock()
	reachable := d.reachable
	d.mu.Unlock()
	if !reachable {
		pause.MaxInterval = lastRetry
		if d.config.MaxProbePause != nil {
			pause.MaxInterval = d.config.MaxProbePause()
		}
		return sleep(ctx, min(pause.NextBackOff(), pause.MaxInterval))
	}
	pause.Reset()
	timer := time.NewTimer(ProbeInterval(d.config.PropagationBound))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.kick:
		return sleep(ctx, pause.NextBackOff())
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// spared reports whether neighbours make probes needless. What the store did before is then
// forgotten.
func (d *Driver) spared() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.first() != NeighboursFirst || !d.pulling {
		return false
	}
	d.revive()
	return true
}

// found notes that the store answers.
func (d *Driver) found() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revive()
}

// revive lets the kinds ask the store again. The caller holds the lock.
func (d *Driver) revive() {
	if d.reachable {
		return
	}
	d.reachable = true
	d.revivedAt = time.Now()
	close(d.revived)
	d.revived = make(chan struct{})
}

// lost notes that the store does not answer. The watches end, because they would not notice
// the end of the outage.
func (d *Driver) lost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, kind := range d.kinds {
		kind.MarkFailed(now)
	}
	if d.reachable {
		d.config.Log.Warn("store does not answer; the mirrored state stays in force", zap.Error(err))
	}
	d.lose()
	d.cancelWatches()
}

// cancelWatches ends the watches that run. The caller holds the lock.
func (d *Driver) cancelWatches() {
	for _, cancel := range d.cancels {
		cancel()
	}
}

// lose lets only the probe ask the store, and wakes the neighbours that wait. The caller
// holds the lock.
func (d *Driver) lose() {
	if !d.reachable {
		return
	}
	d.reachable = false
	select {
	case d.kick <- struct{}{}:
	default:
	}
	close(d.moved)
	d.moved = make(chan struct{})
}

// Refresh lists all kinds again.
func (d *Driver) Refresh(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Log.Info("kinds are listed again", zap.String("reason", reason))
	d.cancelWatches()
}
