package configstore

import (
	"context"
	"errors"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// sweepEvery is the number of generations after which an apply removes contents that
// no file uses any more. Without it, a list of all contents would grow by every edit.
const sweepEvery = 64

// sweep removes contents that the head does not list and that were last written before
// the head. An apply writes every content that it adds after it has read its base, so
// the contents of an apply on this head or a later one are younger than this head,
// and an apply on an earlier head fails. A failure does no harm; the next sweep
// removes the rest.
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

// ensureFile stores a content. A content that exists is written again, because its
// version protects it from a sweep.
func (c *Client) ensureFile(ctx context.Context, digest string, content []byte) error {
	key := fileKey(digest)
	for a := c.attempts(); ; {
		err := c.retry(ctx, func() error {
			_, err := c.store.Create(ctx, key, content)
			return err
		})
		if errors.Is(err, platform.ErrExists) {
			err = c.renew(ctx, key, content)
		}
		if err == nil {
			return nil
		}
		if isLostRace(err) {
			err = &platform.UnavailableError{Err: err}
		}
		if err := a.again(ctx, err); err != nil {
			return errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "write %s", key)
		}
	}
}

// renew writes an existing content again. Writing the right content also repairs an
// object that holds another one.
func (c *Client) renew(ctx context.Context, key string, content []byte) error {
	object, err := c.get(ctx, key)
	if err != nil {
		return err
	}
	return c.retry(ctx, func() error {
		_, err := c.store.Update(ctx, key, content, object.Version)
		return err
	})
}
