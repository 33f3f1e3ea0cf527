package configstore

import (
	"context"
	"errors"
	"testing"
	"time"

	"laburnumgw/lib/platform"
)

// conflictingStore answers a number of updates with a conflict, as if others had changed the object each time.
type conflictingStore struct {
	platform.Store
	conflicts, updates int
}

// Update implements platform.Store.
func (s *conflictingStore) Update(ctx context.Context, key string, value []byte, version int64) (platform.Object, error) {
	s.updates++
	if s.updates <= s.conflicts {
		return platform.Object{}, platform.ErrConflict
	}
	return s.Store.Update(ctx, key, value, version)
}

// Guards against a withdrawal that calls the platform without a pause and without end while others change the version.
func TestWithdrawalRepeatsConflictsWithinABound(t *testing.T) {
	for conflicts, withdrawn := range map[int]bool{3: true, 100 * maxAttempts: false} {
		store := &conflictingStore{Store: platform.NewMemory()}
		c := NewClient(store)
		pauses := 0
		c.Wait = func(context.Context, time.Duration) error {
			pauses++
			return nil
		}
		if err := c.PublishModel(t.Context(), testModel("rota", "v1", 1), "anna"); err != nil {
			t.Fatal(err)
		}
		store.updates, store.conflicts, pauses = 0, conflicts, 0
		err := c.WithdrawModel(t.Context(), "rota", "v1")
		if (err == nil) != withdrawn || (!withdrawn && !errors.Is(err, platform.ErrConflict)) {
			t.Errorf("%d conflicts: %v", conflicts, err)
		}
		if store.updates > maxAttempts || pauses != min(conflicts, maxAttempts-1) {
			t.Errorf("%d conflicts: %d updates with %d pauses", conflicts, store.updates, pauses)
		}
	}
}
