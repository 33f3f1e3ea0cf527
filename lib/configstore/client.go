package configstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	// maxAttempts bounds the attempts of one platform call. With the backoff below
	// they last about 30 s.
	maxAttempts  = 20
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	applyIDBytes = 16
	// defaultConcurrentCalls is the default of Client.MaxConcurrentCalls.
	defaultConcurrentCalls = 8
)

// Client reads and changes the configuration on a platform.
type Client struct {
	store platform.Store
	// Wait pauses between attempts; tests replace it.
	Wait func(ctx context.Context, d time.Duration) error
	// MaxConcurrentCalls bounds the concurrent platform calls for file objects.
	MaxConcurrentCalls int
	// SweepEveryGenerations is the number of generations between removals of unused
	// file contents.
	SweepEveryGenerations uint64
}

// NewClient returns a client for a platform.
func NewClient(store platform.Store) *Client {
	return &Client{store: store, Wait: wait, MaxConcurrentCalls: defaultConcurrentCalls, SweepEveryGenerations: sweepEveryGenerations}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// NewApplyID returns a random id for one apply.
func NewApplyID() string {
	var id [applyIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// retryLoop counts the attempts of one call and paces them with a backoff.
type retryLoop struct {
	c        *Client
	backoff  *backoff.ExponentialBackOff
	attempts int
}

func (c *Client) newRetryLoop() *retryLoop {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.Reset()
	return &retryLoop{c: c, backoff: b}
}

// waitOrFail waits before the call is repeated. It returns the call's error when the
// error is permanent or the call has had maxAttempts attempts.
func (r *retryLoop) waitOrFail(ctx context.Context, err error) error {
	return r.wait(ctx, err, temporary(err))
}

// waitAfterConflict is waitOrFail for a call that reads the object again before it is repeated.
func (r *retryLoop) waitAfterConflict(ctx context.Context, err error) error {
	return r.wait(ctx, err, temporary(err) || errors.Is(err, platform.ErrConflict))
}

func (r *retryLoop) wait(ctx context.Context, err error, mayRepeat bool) error {
	r.attempts++
	if r.attempts >= maxAttempts || !mayRepeat {
		return err
	}
	pause := r.backoff.NextBackOff()
	var limited *platform.RateLimitError
	if errors.As(err, &limited) && limited.RetryAfter > pause {
		pause = limited.RetryAfter
	}
	return r.c.Wait(ctx, pause)
}

// temporary reports whether repeating a call can succeed.
func temporary(err error) bool {
	var unavailable *platform.UnavailableError
	var limited *platform.RateLimitError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || platform.IsUnknown(err)
}

// retry repeats a call while it fails with a temporary error.
func (c *Client) retry(ctx context.Context, call func() error) error {
	for retries := c.newRetryLoop(); ; {
		err := call()
		if err == nil {
			return nil
		}
		if err := retries.waitOrFail(ctx, err); err != nil {
			return err
		}
	}
}

// get reads an object and retries temporary errors.
func (c *Client) get(ctx context.Context, key string) (platform.Object, error) {
	var object platform.Object
	err := c.retry(ctx, func() (err error) {
		object, err = c.store.Get(ctx, key)
		return err
	})
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		err = readError(err, key)
	}
	return object, err
}

// list reads the objects whose keys start with a prefix and retries temporary errors.
func (c *Client) list(ctx context.Context, prefix string) ([]platform.Object, error) {
	var objects []platform.Object
	err := c.retry(ctx, func() (err error) {
		objects, _, err = c.store.List(ctx, prefix)
		return err
	})
	if err != nil {
		return nil, readError(err, prefix)
	}
	return objects, nil
}

func readError(err error, key string) error {
	return errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "read %s", key)
}

// createImmutable creates an object with a value that never changes. After a lost
// response the repeated create finds the object. An existing object must have the same
// value.
func (c *Client) createImmutable(ctx context.Context, key string, value []byte) error {
	err := c.retry(ctx, func() error {
		_, err := c.store.Create(ctx, key, value)
		return err
	})
	switch {
	case errors.Is(err, platform.ErrExists):
		return c.checkSameValue(ctx, key, value)
	case err != nil && !errkind.Is(err, errkind.TooLarge):
		return errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "create %s", key)
	default:
		return err
	}
}

func (c *Client) checkSameValue(ctx context.Context, key string, value []byte) error {
	object, err := c.get(ctx, key)
	if err != nil {
		return err
	}
	if Digest(object.Value) != Digest(value) {
		return &valueMismatchError{key: key}
	}
	return nil
}

// valueMismatchError is returned for an immutable object that exists with another value.
type valueMismatchError struct{ key string }

// Error names the object.
func (e *valueMismatchError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the error its kind.
func (e *valueMismatchError) Unwrap() error {
	return errkind.New(errkind.Corrupt, "restore the object from a copy of the platform", "object %s has an unexpected value", e.key)
}

// readHead returns the head and the version of its object, or generation 0 and
// version 0 when the platform holds no head.
func (c *Client) readHead(ctx context.Context) (Head, int64, error) {
	object, err := c.get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := decodeHead(object.Value)
	return head, object.Version, err
}

// Head returns the accepted head; its generation is 0 when there is none.
func (c *Client) Head(ctx context.Context) (Head, error) {
	head, _, err := c.readHead(ctx)
	return head, err
}

// writeHead replaces the head if its object still has the version that was read. With
// version 0 it creates the object.
func (c *Client) writeHead(ctx context.Context, head Head, version int64) error {
	value, err := encodeHead(head)
	if err != nil {
		return err
	}
	if version == 0 {
		_, err = c.store.Create(ctx, HeadKey, value)
		return err
	}
	_, err = c.store.Update(ctx, HeadKey, value, version)
	return err
}

// isWriteConflict reports whether a conditional write failed because another writer
// changed the object first.
func isWriteConflict(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrExists) || errors.Is(err, platform.ErrNotFound)
}
