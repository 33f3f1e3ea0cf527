package configstore

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// Change is a complete set of files that replaces the accepted one.
type Change struct {
	Files []config.File
	// Base is the generation from which the files were edited; 0 for the first.
	Base     uint64
	Operator string
	// ApplyID identifies the change when its response is lost. An empty one is
	// replaced by a random id.
	ApplyID string
}

// ApplyResult is the result of an apply.
type ApplyResult struct {
	// Generation is the one that the change created, or the base when Unchanged is set.
	// Later ones may exist already.
	Generation uint64 `json:"generation"`
	// Unchanged is set when the files equal those of the base, which adds no generation.
	Unchanged bool   `json:"unchanged"`
	ApplyID   string `json:"apply_id"`
}

// Apply checks the files and makes them the generation after base.
func Apply(ctx context.Context, store platform.Store, files []config.File, base uint64, operator string) (ApplyResult, error) {
	return NewClient(store).Apply(ctx, Change{Files: files, Base: base, Operator: operator})
}

// Apply checks a change and makes it the generation after its base. It fails with a
// *config.InvalidError, with a *ConflictError when the accepted generation is not the
// base, and with the kind OutcomeUnknown when it cannot find out whether the change
// was accepted.
func (c *Client) Apply(ctx context.Context, change Change) (ApplyResult, error) {
	snapshot, err := config.Parse(change.Files)
	if err != nil {
		return ApplyResult{}, err
	}
	change.Files = slices.Clone(change.Files)
	config.SortFiles(change.Files)
	if change.ApplyID == "" {
		change.ApplyID = NewApplyID()
	}
	head, version, err := c.readHead(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	if err := checkBase(head, change.Base); err != nil {
		return ApplyResult{}, err
	}
	if head.Generation > 0 && head.equalFiles(change.Files) {
		return ApplyResult{Generation: head.Generation, Unchanged: true, ApplyID: head.ApplyID}, nil
	}
	if err := c.checkVersions(ctx, snapshot); err != nil {
		return ApplyResult{}, err
	}
	next := head.next(head.Generation+1, change.Files, change.ApplyID, change.Operator)
	if _, err := encodeHead(next); err != nil {
		return ApplyResult{}, err
	}
	if err := c.createFiles(ctx, head, change.Files); err != nil {
		return ApplyResult{}, err
	}
	applied, err := c.commit(ctx, next, version)
	if err == nil && applied.Generation%c.SweepEveryGenerations == 0 {
		_ = c.sweep(ctx)
	}
	return applied, err
}

func checkBase(head Head, base uint64) error {
	if base == head.Generation {
		return nil
	}
	if base > head.Generation {
		return errOlderCopy(head, base)
	}
	return newConflictError(head, base)
}

func errOlderCopy(head Head, expected uint64) error {
	return errkind.New(errkind.Stale, "wait until a watcher has written the newer generation back, then apply again",
		"the platform holds generation %d, older than %d; it was restored from an older copy", head.Generation, expected)
}

// createFiles stores the file contents that the head does not list.
func (c *Client) createFiles(ctx context.Context, head Head, files []config.File) error {
	known := make(map[string]bool, len(head.Files))
	for _, file := range head.Files {
		known[file.Digest] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.MaxConcurrentCalls)
	for _, file := range files {
		digest := Digest(file.Content)
		if known[digest] {
			continue
		}
		known[digest] = true
		group.Go(func() error { return c.storeFile(ctx, digest, file.Content) })
	}
	return group.Wait()
}

// commit writes the head conditionally. After a lost response it repeats the same
// update, which takes effect at most once. When the head is no longer the base, the
// apply ids in the head tell whether an earlier attempt was accepted, also when other
// operators have applied since.
func (c *Client) commit(ctx context.Context, next Head, version int64) (ApplyResult, error) {
	applied := ApplyResult{Generation: next.Generation, ApplyID: next.ApplyID}
	unknown := false
	for retries := c.newRetryLoop(); ; {
		err := c.writeHead(ctx, next, version)
		if err == nil {
			return applied, nil
		}
		if isWriteConflict(err) {
			return c.resolve(ctx, next, applied)
		}
		unknown = unknown || platform.IsUnknown(err)
		if err := retries.waitOrFail(ctx, err); err != nil {
			return c.resolveAfterRetries(ctx, next, applied, unknown, err)
		}
	}
}

// resolve determines the outcome of an update whose base is no longer the head.
func (c *Client) resolve(ctx context.Context, next Head, applied ApplyResult) (ApplyResult, error) {
	head, _, err := c.readHead(ctx)
	if err != nil {
		return ApplyResult{}, errOutcomeUnknown(next, err)
	}
	accepted, found := head.applyIDOf(next.Generation)
	switch {
	case accepted == next.ApplyID:
		return applied, nil
	case found:
		return ApplyResult{}, newConflictError(head, next.Parent)
	case head.Generation < next.Generation:
		return ApplyResult{}, errOlderCopy(head, next.Generation)
	default:
		return ApplyResult{}, errOutcomeUnknown(next, nil)
	}
}

// resolveAfterRetries determines the outcome of an update after its last attempt failed.
// unknown is set when the response of an attempt was lost.
func (c *Client) resolveAfterRetries(ctx context.Context, next Head, applied ApplyResult, unknown bool, cause error) (ApplyResult, error) {
	if !unknown {
		return ApplyResult{}, errkind.Wrap(cause, errkind.Unavailable, "apply again when the platform responds", "generation %d was not written", next.Generation)
	}
	head, _, err := c.readHead(ctx)
	if err != nil || head.Generation < next.Generation {
		return ApplyResult{}, errOutcomeUnknown(next, cause)
	}
	return c.resolve(ctx, next, applied)
}

func errOutcomeUnknown(next Head, cause error) error {
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "read the accepted configuration and apply again if it lacks the change",
		"it is unknown whether generation %d with apply id %s was accepted", next.Generation, next.ApplyID)
}
