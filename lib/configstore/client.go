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
	// maxAttempts bounds the repetitions of one platform call. With the backoff below
	// they last about 30 s.
	maxAttempts  = 20
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	applyIDBytes = 16
	// defaultParallel is the number of concurrent calls for file objects.
	defaultParallel = 8
)

// Client reads and changes the configuration on a platform.
type Client struct {
	store platform.Store
	// Wait pauses between attempts; tests replace it.
	Wait func(ctx context.Context, d time.Duration) error
	// MaxConcurrentCalls is the number of concurrent calls for file objects.
	MaxConcurrentCalls int
	// SweepEveryGenerations is the number of generations between removals of unused contents.
	SweepEveryGenerations uint64
}

// NewClient returns a client for a platform.
func NewClient(store platform.Store) *Client {
	return &Client{store: store, Wait: wait, MaxConcurrentCalls: defaultParallel, SweepEveryGenerations: sweepEvery}
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

// attempts paces the repetitions of one call.
type attempts struct {
	c       *Client
	backoff *backoff.ExponentialBackOff
	made    int
}

func (c *Client) attempts() *attempts {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	b.Reset()
	return &attempts{c: c, backoff: b}
}

// again waits before the call is repeated. It returns the call's error when the
// error is final or the attempts are used up.
func (a *attempts) again(ctx context.Context, err error) error {
	a.made++
	if a.made >= maxAttempts || !temporary(err) {
		return err
	}
	pause := a.backoff.NextBackOff()
	var limited *platform.RateLimitError
	if errors.As(err, &limited) && limited.RetryAfter > pause {
		pause = limited.RetryAfter
	}
	return a.c.Wait(ctx, pause)
}

// temporary reports whether repeating a call can succeed.
func temporary(err error) bool {
	var unavailable *platform.UnavailableError
	var limited *platform.RateLimitError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || platform.IsUnknown(err)
}

// retry repeats a call while it fails temporarily.
func (c *Client) retry(ctx context.Context, call func() error) error {
	for a := c.attempts(); ; {
		err := call()
		if err == nil {
			return nil
		}
		if err := a.again(ctx, err); err != nil {
			return err
		}
	}
}

// get reads an object and repeats temporary failures.
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

// list reads the objects below a prefix and repeats temporary failures.
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

// ensure creates an object with a value that never changes. A lost response needs no
// read: repeating the create finds the object.
func (c *Client) ensure(ctx context.Context, key string, value []byte) error {
	err := c.retry(ctx, func() error {
		_, err := c.store.Create(ctx, key, value)
		return err
	})
	switch {
	case errors.Is(err, platform.ErrExists):
		return c.checkSame(ctx, key, value)
	case err != nil && !errkind.Is(err, errkind.TooLarge):
		return errkind.Wrap(err, errkind.Unavailable, "try again when the platform responds", "create %s", key)
	default:
		return err
	}
}

func (c *Client) checkSame(ctx context.Context, key string, value []byte) error {
	object, err := c.get(ctx, key)
	if err != nil {
		return err
	}
	if Digest(object.Value) != Digest(value) {
		return &differsError{key: key}
	}
	return nil
}

// differsError is returned for an object that exists with another value.
type differsError struct{ key string }

// Error names the object.
func (e *differsError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the error its kind.
func (e *differsError) Unwrap() error {
	return errkind.New(errkind.Corrupt, "restore the object from a copy of the platform", "object %s has an unexpected value", e.key)
}

// readHead returns the head and the version of its object, or generation 0 and
// version 0 when no configuration was ever applied.
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

// writeHead stores a head in place of the object version that was read.
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

// isLostRace reports whether another writer changed the head first.
func isLostRace(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrExists) || errors.Is(err, platform.ErrNotFound)
}
