package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// ensurePause is the shortest time between two questions to the store that ensure completeness, so
// that a fleet whose copies are all old asks no more often than the store allows.
const ensurePause = time.Second

// ensureTimeout bounds one question.
const ensureTimeout = 1500 * time.Millisecond

// CompleteWithin reports whether the copy of a kind is known to have held every change at some time
// within an age. It does not wait for changes that are being applied.
func (d *Driver) CompleteWithin(name string, age time.Duration) bool {
	known, ok := d.CompletenessAge(name)
	return ok && known <= age
}

// CompletenessAge returns how long ago the copy of a kind was last known to hold every change, and
// false if it never was. It does not wait for changes that are being applied.
func (d *Driver) CompletenessAge(name string) (time.Duration, bool) {
	kind := d.kinds[name]
	if kind == nil {
		return 0, false
	}
	at := kind.publishedCompleteAt.Load()
	if at == nil || at.IsZero() {
		return 0, false
	}
	return time.Since(*at), true
}

// EnsureComplete reports whether the copy of a kind is known to have held every change at some time
// within an age. If it is not, the store is asked for the changes that are missing. Callers that ask
// at the same time share one question, and those that ask soon after one that failed get no other.
func (d *Driver) EnsureComplete(ctx context.Context, name string, age time.Duration) bool {
	d.detectSuspension()
	if d.CompleteWithin(name, age) {
		return true
	}
	asked := d.ensuring.DoChan(name, func() (any, error) {
		d.askForMissing(name, age)
		return nil, nil
	})
	select {
	case <-asked:
	case <-ctx.Done():
	}
	return d.CompleteWithin(name, age)
}

// askForMissing asks the store for the changes of a kind after its known revision, and lists the
// kind if that does not show that the copy was complete within an age.
func (d *Driver) askForMissing(name string, age time.Duration) {
	kind := d.kinds[name]
	d.mu.Lock()
	skip := kind == nil || !kind.HasSynced() || time.Since(d.ensuredAt[name]) < ensurePause
	if !skip {
		d.ensuredAt[name] = time.Now()
	}
	d.mu.Unlock()
	if skip {
		return
	}
	// The question outlives the caller that asked first.
	ctx, cancel := context.WithTimeout(context.Background(), ensureTimeout)
	defer cancel()
	if _, err := d.catchUp(ctx, name, kind); err == nil && d.CompleteWithin(name, age) {
		return
	}
	if _, err := d.listAgain(ctx, name, kind); err != nil {
		d.config.Log.Info("copy is not known to be complete, and the store does not tell", zap.String("kind", name), zap.Error(err))
	}
}
