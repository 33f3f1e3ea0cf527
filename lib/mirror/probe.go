package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// probe compares the revision of the store with what the watches have delivered. It does
// so only while this process reads the store.
func (d *Driver) probe(ctx context.Context) {
	unseen := make(map[string]int)
	for sleep(ctx, probeInterval) {
		d.mu.Lock()
		idle := d.first() == NeighboursFirst && d.pulling
		d.mu.Unlock()
		if idle {
			continue
		}
		revision, err := d.config.Store.Revision(ctx)
		if err != nil {
			d.lost()
			d.Refresh("the store does not answer")
			continue
		}
		d.confirmed(0)
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

// behind returns the kinds that are not known up to a revision. A change of another kind
// is no reason to believe that nothing was missed. A kind that was not read yet is not
// behind: its start waits for neighbours or for its own list.
func (d *Driver) behind(revision int64) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	behind := make(map[string]bool)
	for name, kind := range d.kinds {
		if kind.Known() && kind.Revision() < revision {
			behind[name] = true
		}
	}
	return behind
}

// verify lists a kind, whose watch may be deaf. A list is the only answer that cannot be.
func (d *Driver) verify(ctx context.Context, name string) {
	kind := d.kinds[name]
	objects, revision, err := d.config.Store.List(ctx, name)
	if err != nil {
		return // the watch or the next probe notices an outage
	}
	d.mu.Lock()
	before := kind.Revision()
	d.mu.Unlock()
	changed := false
	d.apply(name, kind, func(now time.Time) []Change {
		changes := kind.Listed(objects, revision, now)
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

// lost notes that the store does not answer, and tells those who mirror from here.
func (d *Driver) lost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loseDirect()
}

// loseDirect wakes the neighbours that wait. The caller holds the lock.
func (d *Driver) loseDirect() {
	if !d.direct {
		return
	}
	d.direct = false
	close(d.moved)
	d.moved = make(chan struct{})
}

// Refresh lists all kinds again.
func (d *Driver) Refresh(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Log.Info("kinds are listed again", zap.String("reason", reason))
	for _, cancel := range d.cancels {
		cancel()
	}
}
