package hosted

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/rendezvous"
	"laburnumgw/platform"
)

const (
	// blockWriters is the number of entries that write a block to the store. Each waits
	// blockWriterPause longer than the one that ranks before it, and writes only if the store
	// does not list the block by then.
	blockWriters     = 4
	blockWriterPause = 2 * time.Second
	// jointBlockDelay is added to it for a block of several parts: mostly a crash or the counts of other
	// entries soon tell which of them causes the crashes.
	jointBlockDelay = 2 * time.Second
	// blockWriteRetry is added to that pause before an entry writes the same block again.
	blockWriteRetry = 5 * time.Second
	// trialTimeout bounds the call in which a trial is recorded.
	trialTimeout = 500 * time.Millisecond
	// automaticReason is the reason of blocks that were found by crashes.
	automaticReason = "workers crashed on it"
)

// blockStore writes blocks to the store.
type blockStore interface {
	Create(ctx context.Context, kind, name string, value any) error
	Replace(ctx context.Context, kind, name string, value any, revision int64) (int64, error)
	Delete(ctx context.Context, kind, name string, revision int64) error
}

// storedBlock is an object of platform.KindBlockedParts.
type storedBlock struct {
	platform.BlockedPart
	name     string
	revision int64
}

// blockChanged applies a change of a block in the store, by an operator or another entry. The
// caller holds the lock.
func (v *view) blockChanged(change mirror.Change) {
	stored, err := platform.DecodeBlockedPart(change.Object.Name, change.Object.Value)
	if err != nil {
		v.metrics.objectsIgnored(platform.KindBlockedParts).Inc()
		v.log.Warn("blocked part ignored", zap.String("name", change.Object.Name), zap.Error(err))
		return
	}
	known := v.quarantine.Blocks()
	block := quarantine.Block{Names: stored.Parts}
	now := time.Now()
	if change.Deleted {
		delete(v.storedBlocks, block.Name())
		v.quarantine.Release(block.Name(), now)
		v.releaseUnlisted(block, now)
	} else {
		v.storedBlocks[block.Name()] = storedBlock{stored, change.Object.Name, change.Object.Revision}
		set := v.quarantine.SetBlock
		if stored.Reason == automaticReason {
			set = v.quarantine.SetFoundBlock
		}
		set(stored.Parts, stored.Workspaces, now)
		v.quarantine.RecordTrials(block.Name(), stored.Trials, now)
	}
	v.logBlocks(known)
	v.wakeQuarantine()
}

// releaseUnlisted ends the blocks that a released one had covered, which were therefore not written to the
// store. Operators could not see them. The caller holds the lock.
func (v *view) releaseUnlisted(released quarantine.Block, now time.Time) {
	for _, b := range v.quarantine.Blocks() {
		if _, listed := v.storedBlocks[b.Name()]; !listed && !b.Released && b.Holds(released.Names) {
			v.quarantine.Release(b.Name(), now)
		}
	}
}

// storeBlocks writes the blocks that the store does not list, and deletes those that were
// released, so that they outlast all entries and operators see them.
func (v *view) storeBlocks(ctx context.Context) {
	for _, write := range v.pendingBlockWrites(time.Now()) {
		if err := write(ctx); err != nil {
			v.log.Warn("block not written to the store", zap.Error(err))
		}
	}
}

// pendingBlockWrites returns the calls of the store for which it is this entry's turn.
func (v *view) pendingBlockWrites(now time.Time) []func(context.Context) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var writes []func(context.Context) error
	if v.blockStore == nil || !v.listedKinds[platform.KindBlockedParts] {
		return nil
	}
	for _, b := range v.quarantine.Blocks() {
		stored, listed := v.storedBlocks[b.Name()]
		upToDate := listed && !b.Released && len(stored.Workspaces) == len(b.Workspaces) && !v.rewriting[b.Name()]
		if upToDate || (!listed && (b.Released || v.quarantine.IsCovered(b))) || now.Before(v.blockedAt[b.Name()].Add(v.blockWriterDelay(b))) {
			continue
		}
		v.blockedAt[b.Name()] = now.Add(blockWriteRetry)
		writes = append(writes, v.blockWrite(b, stored, listed))
	}
	return writes
}

// blockWriterDelay returns how long after a change of a block this entry writes it. The caller
// holds the lock.
func (v *view) blockWriterDelay(b quarantine.Block) time.Duration {
	names := []string{v.settings.VM}
	for other := range v.entries {
		if other != v.settings.VM {
			names = append(names, other)
		}
	}
	rank := slices.Index(rendezvous.Rank("block/"+b.Name(), names), v.settings.VM)
	if rank >= blockWriters {
		return time.Duration(rank) * time.Hour
	}
	delay := time.Duration(rank) * blockWriterPause
	if len(b.Names) > 1 {
		delay += jointBlockDelay
	}
	return delay
}

// blockWrite returns the call that brings the store in line with a block. The caller holds the
// lock.
func (v *view) blockWrite(b quarantine.Block, stored storedBlock, listed bool) func(context.Context) error {
	store := v.blockStore
	isRewritten := v.rewriting[b.Name()]
	delete(v.rewriting, b.Name())
	switch {
	case b.Released:
		return func(ctx context.Context) error {
			return store.Delete(ctx, platform.KindBlockedParts, stored.name, stored.revision)
		}
	case listed && !isRewritten:
		changed := stored.BlockedPart
		changed.Workspaces = b.Workspaces
		return func(ctx context.Context) error {
			_, err := store.Replace(ctx, platform.KindBlockedParts, stored.name, changed, stored.revision)
			return err
		}
	}
	name, value := b.Name(), platform.BlockedPart{Parts: b.Names, Workspaces: b.Workspaces, Reason: automaticReason}
	if listed {
		name, value = stored.name, stored.BlockedPart
	}
	return func(ctx context.Context) error {
		err := store.Create(ctx, platform.KindBlockedParts, name, value)
		if err != nil && isRewritten {
			v.rewriteBlock(b.Name())
		}
		return err
	}
}

// rewriteBlocks has the blocks in force written to the store again, which came back from an older
// copy and may lack them.
func (v *view) rewriteBlocks() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range v.quarantine.Blocks() {
		if !b.Released {
			v.rewriting[b.Name()] = true
			v.blockedAt[b.Name()] = time.Now()
		}
	}
}

// rewriteBlock has a block written again after a failure.
func (v *view) rewriteBlock(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rewriting[name] = true
}

// claimTrial reports whether the request may be sent although it is blocked. Of
// all entries only the one that records the trial in the store may send it.
func (c *call) claimTrial(block quarantine.Block) bool {
	stored, store := c.view.dueTrial(block.Name())
	if store == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), trialTimeout)
	defer cancel()
	claimed := stored.BlockedPart
	claimed.Trials++
	revision, err := store.Replace(ctx, platform.KindBlockedParts, stored.name, claimed, stored.revision)
	if err != nil {
		c.log.Warn("trial of a blocked part not recorded", zap.Strings("parts", block.Names), zap.Error(err))
		return false
	}
	c.log.Warn("blocked part is tried", zap.String("request", c.in.ID), zap.Strings("parts", block.Names), zap.Int("trial", claimed.Trials))
	c.trial = &storedBlock{claimed, stored.name, revision}
	return true
}

// dueTrial returns the stored block of which a trial is due, or a nil store.
func (v *view) dueTrial(name string) (storedBlock, blockStore) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stored, listed := v.storedBlocks[name]
	if !listed || v.blockStore == nil || !v.quarantine.ClaimTrial(name, time.Now()) {
		return storedBlock{}, nil
	}
	return stored, v.blockStore
}

// trialSurvived records that the request of a trial has begun to write. After the last trial the
// block ends.
func (c *call) trialSurvived() {
	trial := c.trial
	if trial == nil {
		return
	}
	c.trial = nil
	store := c.view.blockStore
	trial.Survived++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), trialTimeout)
	defer cancel()
	var err error
	if trial.Survived >= quarantine.MaxTrials {
		err = store.Delete(ctx, platform.KindBlockedParts, trial.name, trial.revision)
	} else {
		_, err = store.Replace(ctx, platform.KindBlockedParts, trial.name, trial.BlockedPart, trial.revision)
	}
	if err != nil {
		c.log.Warn("result of a trial not recorded", zap.Strings("parts", trial.Parts), zap.Error(err))
	}
}
