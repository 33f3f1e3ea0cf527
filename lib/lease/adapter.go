package lease

import (
	"context"
	"errors"
	"time"

	"laburnumgw/lib/platform"
)

// callTimeout bounds one platform call, so that the outcome of a call without a response
// is resolved before the lease expires.
const callTimeout = 2 * time.Second

// Adapter runs the calls of a Holder against a platform.Store.
type Adapter struct {
	Store platform.Store
	// Clock is the process's monotonic clock.
	Clock func() time.Duration
}

// Step runs the call that is due, if any, and passes its outcome to the holder. It
// returns only errors that operators need to see: losing a race for the lease is part of
// the protocol and returns nil.
func (a Adapter) Step(ctx context.Context, h *Holder) error {
	call := h.Tick(a.Clock())
	if call.Kind == CallNone {
		return nil
	}
	object, err := a.run(ctx, call)
	h.Result(a.Clock(), object, err)
	for _, expected := range []error{platform.ErrNotFound, platform.ErrExists, platform.ErrConflict} {
		if errors.Is(err, expected) {
			return nil
		}
	}
	return err
}

// Release frees the lease on a graceful shutdown if it is valid and no call is in flight.
func (a Adapter) Release(ctx context.Context, h *Holder) error {
	call := h.Release(a.Clock())
	if call.Kind == CallNone {
		return nil
	}
	_, err := a.run(ctx, call)
	return err
}

func (a Adapter) run(ctx context.Context, call Call) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call.Kind {
	case CallCreate:
		return a.Store.Create(ctx, call.Key, call.Value)
	case CallUpdate:
		return a.Store.Update(ctx, call.Key, call.Value, call.Version)
	default:
		return a.Store.Get(ctx, call.Key)
	}
}
