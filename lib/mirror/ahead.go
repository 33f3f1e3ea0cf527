package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// aheadPause is the shortest time between two pulls from neighbours that are ahead.
const aheadPause = 100 * time.Millisecond

// NoteNeighbour records up to which revisions the neighbour at an address knows the kinds. If this
// process has lost the store and the neighbour is ahead of it, the neighbour is asked for the
// changes, whatever its rank: those that mirror from this process then receive them as well.
func (d *Driver) NoteNeighbour(address string, revisions map[string]int64) {
	if address == "" || !d.isBehind(revisions) {
		return
	}
	select {
	case d.neighboursAhead <- address:
	default: // another one is being asked
	}
}

// isBehind reports whether this process does not receive the store's state and any of its kinds is
// known elsewhere up to a later revision.
func (d *Driver) isBehind(revisions map[string]int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.receivesStoreState() {
		return false
	}
	for name, revision := range revisions {
		if kind := d.kinds[name]; kind != nil && kind.HasSynced() && kind.Revision() < revision {
			return true
		}
	}
	return false
}

// pullFromAhead asks neighbours that are ahead of this process for the changes.
func (d *Driver) pullFromAhead(ctx context.Context) {
	if d.config.Neighbours == nil {
		return
	}
	for {
		var address string
		select {
		case address = <-d.neighboursAhead:
		case <-ctx.Done():
			return
		}
		pulled, err := d.config.Neighbours.PullFrom(ctx, address, d.revisionCursor(), 0)
		if err != nil {
			d.config.Log.Debug("neighbour that is ahead does not respond", zap.String("neighbour", address), zap.Error(err))
		} else {
			d.applyStates(pulled, false)
		}
		if !sleep(ctx, aheadPause) {
			return
		}
	}
}

// revisionCursor returns the cursor for a neighbour whose sequence numbers are not known.
func (d *Driver) revisionCursor() Cursor {
	since := Cursor{Sequences: make(map[string]int64, len(d.kinds)), Revisions: make(map[string]int64, len(d.kinds))}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, kind := range d.kinds {
		since.Sequences[name] = -1
		if kind.HasSynced() {
			since.Revisions[name] = kind.Revision()
		}
	}
	return since
}
