package mirror

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/suspend"
)

// storeRequest is the next request to the store for a kind.
type storeRequest uint8

// The store responds to lists and resumptions at once, which shows the end of an outage, while
// a watch waits for the next change.
const (
	// list reads all objects.
	list storeRequest = iota
	// resume reads what has changed after the known revision.
	resume
	// awaitChange waits for the next change.
	awaitChange
)

func (d *Driver) readStore(ctx context.Context, name string, kind *Kind, next storeRequest) error {
	d.mu.Lock()
	after := kind.Revision()
	d.mu.Unlock()
	switch next {
	case list:
		asked := suspend.Start()
		objects, revision, err := d.config.Store.List(ctx, name)
		if err != nil {
			return err
		}
		if EraOf(revision) < EraOf(after) {
			return fmt.Errorf("%w: list at revision %s, copy at %s", ErrEarlierEra, FormatRevision(revision), FormatRevision(after))
		}
		if revision < after {
			d.config.Log.Warn("list of the store is older than the copy, and ignored", zap.String("kind", name),
				zap.String("revision", FormatRevision(revision)), zap.String("known", FormatRevision(after)))
		}
		d.apply(name, kind, FromList, func(now time.Time) []Change { return kind.applyStoreList(objects, revision, asked, now) })
		d.recordStoreResponse(0)
		return nil
	case resume:
		_, err := d.catchUp(ctx, name, kind)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			_, err = d.listAgain(ctx, name, kind)
		}
		return err
	}
	return d.watch(ctx, name, kind, after)
}

// watch waits for a change of a kind after a revision.
func (d *Driver) watch(ctx context.Context, name string, kind *Kind, after int64) error {
	started, asked := time.Now(), suspend.Start()
	events, revision, err := d.config.Store.Watch(ctx, name, after, watchWait)
	arrived := d.earliestArrival()
	if err == nil {
		err = checkEra(revision, after)
	}
	if err != nil {
		return err
	}
	// Events that were made before the watch started, or lay unread during a suspension,
	// are older than their arrival. Those of a dated kind may be: the response may have been late on the way.
	late := arrived.Sub(started) < batchWait || asked.Suspended() >= suspend.MinSuspension
	d.apply(name, kind, FromWatch, func(now time.Time) []Change {
		learnedAt := kind.EarliestChange(now)
		if !late && arrived.After(learnedAt) && (learnedAt.IsZero() || !kind.dated) {
			learnedAt = arrived
		}
		for i := range events {
			events[i].Object.LearnedAt = learnedAt
		}
		changes := kind.ApplyEvents(events, revision, now)
		switch {
		case len(events) == 0:
		case late, kind.dated:
			kind.MarkComplete(now.Add(-asked.Elapsed()))
		default:
			kind.MarkComplete(arrived)
		}
		return changes
	})
	return nil
}

// earliestArrival returns the earliest time at which what is read now can have reached this process.
func (d *Driver) earliestArrival() time.Time {
	if d.config.EarliestArrival == nil {
		return time.Now()
	}
	return d.config.EarliestArrival()
}

// applyStoreList applies the full list of a revision. The kind was complete when the list
// was requested.
func (k *Kind) applyStoreList(objects []Object, revision int64, asked suspend.Stopwatch, now time.Time) []Change {
	changes := k.ApplyList(objects, revision, now)
	k.MarkComplete(now.Add(-asked.Elapsed()))
	return changes
}
