package hosted

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/rollout"
	"laburnumgw/lib/swarm"
)

// target is a version that is being fetched or is complete.
type target struct {
	version      *version
	namedVersion namedVersion
	complete     bool
	completeAt   time.Time
	openedAt     time.Time
	// held of chunks are held, the last one since heldAt, and available of them are in the region, since availableAt.
	held, chunks, available int
	heldAt, availableAt     time.Time
	turn                    swarm.Turn
}

// observeChunks records which part of the version has arrived.
func (t *target) observeChunks(now time.Time) {
	if t.complete {
		return
	}
	replica := t.version.distribution.Replica()
	t.chunks = len(replica.Manifest().Chunks)
	if held := replica.Bitmap().Count(); held != t.held {
		t.held, t.heldAt = held, now
	}
	if available := t.version.distribution.AvailableChunks(); available != t.available {
		t.available, t.availableAt = available, now
	}
	if t.held == t.chunks {
		t.complete, t.completeAt = true, now
	}
}

// newest returns the newest target, or nil.
func (p *Process) newest() *target {
	if len(p.targets) == 0 {
		return nil
	}
	return p.targets[len(p.targets)-1]
}

// newestComplete returns a channel that is closed when the newest version is complete. It
// returns nil without a version, and once the completion has been recorded.
func (p *Process) newestComplete() <-chan struct{} {
	if newest := p.newest(); newest != nil && !newest.complete {
		return newest.version.distribution.Completed()
	}
	return nil
}

// openResult is a version that was opened, or the error that prevented it.
type openResult struct {
	version   *version
	requested namedVersion
	err       error
}

// openNewest starts the distribution of the newest named version. Reading the origin and the
// worker may take long, so that it runs in a goroutine and does not delay the reports.
func (p *Process) openNewest(ctx context.Context, model string) {
	newestNamed := p.view.newestNamed(model)
	if newest := p.newest(); newest != nil && newest.version.number >= newestNamed.number {
		return
	}
	if p.pendingOpen != nil || p.openRetry != nil || !p.mayFetch(time.Now()) {
		return
	}
	opening := make(chan openResult, 1)
	p.pendingOpen = opening
	go func() {
		opened, err := p.library.open(ctx, model, newestNamed.number)
		opening <- openResult{opened, newestNamed, err}
	}()
}

// mayFetch reports whether the other workers are known, from whose VMs most chunks come, or
// workerListWait has passed. A process that knows no other worker would fetch the complete
// version from the origin.
func (p *Process) mayFetch(now time.Time) bool {
	return p.view.knowsWorkers() || now.Sub(p.pollLoopStarted) >= workerListWait
}

// finishOpen adds an opened version to the targets, or schedules a retry after a failure.
func (p *Process) finishOpen(result openResult) {
	p.pendingOpen = nil
	if result.err != nil {
		p.log.Warn("version cannot be fetched yet", zap.Int("version", result.requested.number), zap.Error(result.err))
		p.openRetry = time.After(p.openBackoff.NextBackOff())
		return
	}
	p.openBackoff.Reset()
	if result.requested.namedAt.IsZero() {
		// No version was named when this one was opened. updateNamedAt corrects the time once
		// the naming is known.
		result.requested = p.view.assumeNamedNow()
	}
	p.targets = append(p.targets, &target{version: result.version, namedVersion: result.requested, openedAt: time.Now()})
	if len(p.targets) > keptVersions {
		dropped := rollout.Expendable(p.rolloutSettings, p.report.Weights.Version, p.rolloutTargets(), time.Now())
		p.library.drop(p.targets[dropped].version.number)
		p.targets = slices.Delete(p.targets, dropped, dropped+1)
	}
	p.dropSuperseded()
}

// dropSuperseded stops fetching versions that the newest one supersedes.
func (p *Process) dropSuperseded() {
	newest := p.rolloutTarget(p.newest())
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		if !p.rolloutSettings.Supersedes(newest, p.rolloutTarget(t)) {
			return false
		}
		p.library.drop(t.version.number)
		return true
	})
}

// updateNamedAt moves the naming time of the newest named version's target to an earlier one.
// A starting process may learn when a version was named only after it has opened the version.
func (p *Process) updateNamedAt(model string) {
	newestNamed := p.view.newestNamed(model)
	namedAt := p.view.namedTime(newestNamed)
	for _, t := range p.targets {
		if t.version.number == newestNamed.number && namedAt.Before(p.view.namedTime(t.namedVersion)) {
			p.log.Info("naming time of the version corrected", zap.Int("version", newestNamed.number), zap.Duration("known", time.Since(namedAt)))
			t.namedVersion = newestNamed
		}
	}
}
