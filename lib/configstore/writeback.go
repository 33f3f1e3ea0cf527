package configstore

import (
	"context"
	"fmt"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	// writeBackOperator is the operator of heads and model versions that WriteBack stores.
	writeBackOperator = "write-back"
	// writeBackDigestChars is the number of hexadecimal digits of the bundle's digest in
	// the apply id.
	writeBackDigestChars = 16
)

// WriteBackResult is the result of a write-back.
type WriteBackResult struct {
	// Written is false when the platform held the same or a higher generation.
	Written bool
	// FoundHead is the head that the platform held: when Written is set the older one
	// that was replaced, otherwise the one that was kept. Edits that were accepted on
	// the older copy are lost when it is replaced; the alarm must name them.
	FoundHead Head
}

// WriteBack stores the bundle of a process on a platform that was restored from an
// older copy.
func WriteBack(ctx context.Context, store platform.Store, bundle *Bundle) (WriteBackResult, error) {
	return NewClient(store).WriteBack(ctx, bundle)
}

// WriteBack stores a bundle's files, model versions and head when the platform holds
// a lower generation. The update is conditional, so of several processes one succeeds
// and the others find the same generation. The head keeps the bundle's generation.
func (c *Client) WriteBack(ctx context.Context, bundle *Bundle) (WriteBackResult, error) {
	for retries := c.newRetryLoop(); ; {
		head, version, err := c.readHead(ctx)
		if err != nil {
			return WriteBackResult{}, err
		}
		if head.Generation >= bundle.Generation {
			return WriteBackResult{FoundHead: head}, nil
		}
		if err := c.writeBackContent(ctx, head, bundle); err != nil {
			return WriteBackResult{}, err
		}
		id := fmt.Sprintf("%s-%d-%s", writeBackOperator, bundle.Generation, bundle.Digest[:writeBackDigestChars])
		next := head.next(bundle.Generation, bundle.Files, id, writeBackOperator)
		err = c.writeHead(ctx, next, version)
		if err == nil {
			return WriteBackResult{Written: true, FoundHead: head}, nil
		}
		if isWriteConflict(err) {
			err = &platform.UnavailableError{Err: err}
		}
		if err := retries.waitOrFail(ctx, err); err != nil {
			return WriteBackResult{}, errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "write back generation %d", bundle.Generation)
		}
	}
}

func (c *Client) writeBackContent(ctx context.Context, head Head, bundle *Bundle) error {
	if err := c.createFiles(ctx, head, bundle.Files); err != nil {
		return err
	}
	for _, m := range bundle.Models {
		err := c.PublishModel(ctx, m, writeBackOperator)
		if errkind.Is(err, errkind.Conflict) {
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}
