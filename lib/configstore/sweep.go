package configstore

import "context"

// sweepEvery is the number of generations after which an apply removes contents that
// no file uses any more. Without it, a list of all contents would grow by every edit.
const sweepEvery = 64

// sweep removes contents that the head does not list. A failure does no harm; the
// next sweep removes the rest.
func (c *Client) sweep(ctx context.Context) error {
	head, _, err := c.readHead(ctx)
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
		if used[object.Key] {
			continue
		}
		if err := c.store.Delete(ctx, object.Key, object.Version); err != nil {
			return err
		}
	}
	return nil
}
