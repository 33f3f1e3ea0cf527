package mirror

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// Guards against the age of new weights without a suspension of the entry that tells it: one
// that started again counted their bound from 4 s late.
func TestSuspensionAgesWhatNeighboursAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("versions", "a")
		driver := NewDriver(Config{Kinds: map[string]bool{"versions": false}, Store: store, Log: zap.NewNop(), Changed: func(string, []Change) {}})
		go driver.Run(t.Context())
		<-time.After(3 * time.Second)
		store.put("versions", "b")
		made := time.Now()
		<-time.After(300 * time.Millisecond)
		age := driver.Age()
		driver.Suspended(4 * time.Second)
		if got := driver.Age(); got < age+4*time.Second {
			t.Errorf("last answer of the store %v ago, told as %v", age+4*time.Second, got)
		}
		for _, state := range driver.Newer(t.Context(), Since{Sequences: map[string]int64{"versions": -1}}, 0) {
			for _, o := range state.Objects {
				if known := time.Since(o.Learnt); o.Name == "b" && known < time.Since(made)+4*time.Second {
					t.Errorf("version named %v ago is told as %v old", time.Since(made)+4*time.Second, known)
				}
			}
		}
	})
}
