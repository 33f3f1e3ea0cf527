// Package platform is the client side of the platform's object API: versioned
// objects, conditional updates and watches. The interface is narrow, so that a
// platform with another protocol needs only one adapter.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the platform stores in one object.
const MaxValueBytes = 1 << 20

// Errors of the object API.
var (
	ErrNotFound = errors.New("object not found")
	ErrExists   = errors.New("object already exists")
	ErrConflict = errors.New("object changed since it was read")
	ErrTooOld   = errors.New("watch version is no longer available; list again")
)

// RateLimitError is returned when the platform rejects a call because of its rate limit.
type RateLimitError struct {
	RetryAfter time.Duration
}

// Error names the time after which the call may be repeated.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("platform rate limit reached; retry after %s", e.RetryAfter)
}

// UnavailableError is returned when the platform did not run the call.
type UnavailableError struct {
	Err error
}

// Error describes the failure.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %v; the call had no effect, retry with backoff", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError is returned for a write whose response was lost. The write may
// have taken effect; the caller must read the object to find out.
type UnknownOutcomeError struct {
	Err error
}

// Error describes the failure.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("response to a platform write was lost: %v; read the object to learn its outcome", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Object is one versioned value. Version grows with every write to the platform.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Event is one change of an object. Deleted events carry no value.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the part of the object API that the system uses.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects below a prefix in key order and the version to watch from.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Create stores a new object or fails with ErrExists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces an object of the given version or fails with ErrConflict.
	Update(ctx context.Context, key string, value []byte, version int64) (Object, error)
	// Delete removes an object of the given version or fails with ErrConflict.
	Delete(ctx context.Context, key string, version int64) error
	// Watch waits for changes below the prefixes after a version. It returns an empty
	// list when the platform ends the wait, and ErrTooOld when events after the version
	// are no longer kept.
	Watch(ctx context.Context, prefixes []string, after int64) ([]Event, int64, error)
}

// IsUnknown reports whether err leaves the outcome of a write unknown.
func IsUnknown(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}
