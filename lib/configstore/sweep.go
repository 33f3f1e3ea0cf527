package configstore

import (
	"context"
	"errors"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// sweepEveryGenerations is the number of generations after which an apply removes file
// contents that the head no longer lists. Without the removal, a list of all contents
// would grow with every edit.
const sweepEveryGenerations = 64

// sweep removes file contents that the head does not list and that were last written
// before the head. An apply writes every content that it adds after it has read its
// base, so the contents of an apply on this head or a later one are newer than this
// head, and an apply on an earlier head fails. A failed sweep is harmless; the next
// one removes the rest.
func (c *Client) sweep(ctx context.Context) error {
	head, version, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	used := make(map[string]bool, len(head.Files))
	for _, file := range head.Files {
		used[fileKey(file.Digest)] = true
	}
	objects, err := c.list(ctx, filePrefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if used[object.Key] || object.Version >= version {
			continue
		}
		if err := c.store.Delete(ctx, object.Key, object.Version); err != nil {
			return err
		}
	}
	return nil
}

// storeFile stores a file content under its digest. An existing object is written
// again, because its new version protects it from a concurrent sweep.
func (c *Client) storeFile(ctx context.Context, digest string, content []byte) error {
	key := fileKey(digest)
	for retries := c.newRetryLoop(); ; {
		err := c.retry(ctx, func() error {
			_, err := c.store.Create(ctx, key, content)
			return err
		})
		if errors.Is(err, platform.ErrExists) {
			err = c.rewriteFile(ctx, key, content)
		}
		if err == nil {
			return nil
		}
		if isWriteConflict(err) {
			err = &platform.UnavailableError{Err: err}
		}
		if err := retries.waitOrFail(ctx, err); err != nil {
			return errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "write %s", key)
		}
	}
}

// rewriteFile writes an existing file content again. This also repairs an object whose
// value does not match its digest.
func (c *Client) rewriteFile(ctx context.Context, key string, content []byte) error {
	object, err := c.get(ctx, key)
	if err != nil {
		return err
	}
	return c.retry(ctx, func() error {
		_, err := c.store.Update(ctx, key, content, object.Version)
		return err
	})
}
