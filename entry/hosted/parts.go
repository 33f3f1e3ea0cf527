package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/quarantine"
)

const (
	// partsInterval is the pause between two comparisons with another entry while a crash is
	// recent, and between two checks of what the store lists. partsStep is the resolution of
	// what is due earlier.
	partsInterval = time.Second
	partsStep     = 20 * time.Millisecond
	// evidenceEntries is the number of entries that a starting process, or one that was cut off,
	// asks for what they know.
	evidenceEntries = 3
)

func (v *view) wakeQuarantine() {
	select {
	case v.quarantineWake <- struct{}{}:
	default:
	}
}

// runQuarantine exchanges evidence with other entries and keeps the blocks in the store, until the
// context ends. receivesStoreState reports whether this process is in touch with the store.
func (v *view) runQuarantine(ctx context.Context, receivesStoreState func() bool) {
	ticker := time.NewTicker(partsInterval)
	defer ticker.Stop()
	inTouch, hasAsked := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.quarantineWake:
			for v.advanceQuarantine() {
				if !dispatch.Sleep(ctx, partsStep) {
					return
				}
			}
			if inTouch {
				v.storeBlocks(ctx)
			}
			continue
		case <-ticker.C:
		}
		v.advanceQuarantine()
		wasInTouch := inTouch
		inTouch = receivesStoreState()
		if v.compareEvidence(ctx, !hasAsked || (inTouch && !wasInTouch)) {
			hasAsked = true
		}
		if inTouch {
			v.storeBlocks(ctx)
		}
	}
}

// advanceQuarantine sends the messages that are due. It reports whether more will be due soon.
func (v *view) advanceQuarantine() bool {
	v.mu.Lock()
	known := v.quarantine.Blocks()
	messages := v.quarantine.Advance(time.Now())
	v.logBlocks(known)
	pending := v.quarantine.Pending()
	peers := v.partPeers
	v.mu.Unlock()
	if peers == nil {
		return pending
	}
	for _, m := range messages {
		for _, datagram := range splitEvidence(m) {
			peers.AnnounceEvidence(datagram)
		}
	}
	return pending
}

// logBlocks logs the blocks that have changed. The caller holds the lock.
func (v *view) logBlocks(before []quarantine.Block) {
	after := v.quarantine.Blocks()
	if len(after) == 0 {
		return
	}
	known := make(map[string]quarantine.Block, len(before))
	for _, b := range before {
		known[b.Name()] = b
	}
	for _, b := range after {
		if old, ok := known[b.Name()]; ok && old.Epoch == b.Epoch && len(old.Workspaces) == len(b.Workspaces) {
			continue
		}
		what, state := "part of prompts", "blocked"
		if quarantine.IsRequestName(b.Name()) {
			what = "whole request"
		}
		if b.Released {
			state = "released"
		}
		v.blockedAt[b.Name()] = time.Now()
		maps.DeleteFunc(v.blockedAt, func(name string, _ time.Time) bool { return !v.quarantine.Knows(name) })
		v.log.Warn(what+" is "+state, zap.Strings("parts", b.Names), zap.Strings("workspaces", b.Workspaces), zap.Uint64("epoch", b.Epoch))
	}
}

// mergeEvidence applies what another entry knows. The caller holds the lock.
func (v *view) mergeEvidence(evidence *laburnumgwv1.PartEvidence) {
	known := v.quarantine.Blocks()
	message := readEvidence(evidence)
	v.quarantine.Merge(message, time.Now())
	v.markCrashed(message.Crashes)
	v.logBlocks(known)
	if v.quarantine.Pending() {
		v.wakeQuarantine()
	}
}

// compareEvidence asks other entries for what they know: one while a crash is recent, and several
// when this process was out of touch, as it may have missed announcements. It reports whether any responded.
func (v *view) compareEvidence(ctx context.Context, wasCutOff bool) bool {
	v.mu.Lock()
	active := v.quarantine.Active(time.Now())
	v.mu.Unlock()
	count := 0
	switch {
	case wasCutOff:
		count = evidenceEntries
	case active:
		count = 1
	}
	if count == 0 {
		return false
	}
	hasResponse := false
	addresses := v.otherAddresses()
	v.shuffle(addresses)
	for _, address := range addresses[:min(count, len(addresses))] {
		if v.fetchEvidence(ctx, address) {
			hasResponse = true
		}
	}
	return hasResponse
}

func (v *view) shuffle(addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	slices.Sort(addresses)
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// fetchEvidence asks another entry for what it knows about parts of prompts, and reports whether it responded.
func (v *view) fetchEvidence(ctx context.Context, address string) bool {
	v.mu.Lock()
	peers := v.partPeers
	v.mu.Unlock()
	if peers == nil {
		return false
	}
	evidence, err := peers.ListPartEvidence(ctx, address)
	if err != nil {
		v.log.Debug("evidence not received from entry", zap.String("entry", address), zap.Error(err))
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mergeEvidence(evidence)
	return true
}
