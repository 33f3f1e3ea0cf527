package hosted

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/quarantine"
	"laburnumgw/platform"
)

// Guards against an object in the store for each step on the way to a block: entries that heard of fewer
// requests than others block a part together with one that was always with it, beside the block of the part
// alone. Once that ends, the narrower block, which operators never saw, must not go on.
func TestBlockThatAnotherCoversIsNotWritten(t *testing.T) {
	for _, apart := range []time.Duration{0, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) { checkBlockThatAnotherCovers(t, apart) })
	}
}

// checkBlockThatAnotherCovers has two parts blocked together, and one of them alone after some time.
func checkBlockThatAnotherCovers(t *testing.T, apart time.Duration) {
	t.Helper()
	f := newPartFleet(t, 3, 2)
	merge := func(block quarantine.Block) {
		for _, d := range f.entries {
			v := d.front.view
			v.mu.Lock()
			known := v.quarantine.Blocks()
			v.quarantine.MergeBlock(block)
			v.logBlocks(known)
			v.mu.Unlock()
		}
	}
	// The narrower one is decided first.
	merge(quarantine.Block{Names: []string{"aa", "bb"}, Epoch: 1})
	<-time.After(apart)
	merge(quarantine.Block{Names: []string{"bb"}, Epoch: 1})
	ask := func() int { return f.entries[0].askWith(t, "aa:40,bb:9,cc:1").status }
	<-time.After(30 * time.Second)
	if len(f.store.calls) != 1 || f.store.calls[0] != "create bb" {
		t.Errorf("calls of the store: %v", f.store.calls)
	}
	if status := ask(); status != http.StatusServiceUnavailable {
		t.Errorf("blocked request: %d", status)
	}
	for _, d := range f.entries {
		d.rev++
		d.front.view.applyChanges(platform.KindBlockedParts, []mirror.Change{{Object: mirror.Object{Name: "bb", Revision: d.rev, Value: []byte(`{"parts":["bb"]}`)}, Deleted: true}})
	}
	<-time.After(30 * time.Second)
	if status := ask(); status != http.StatusOK || len(f.store.calls) != 1 {
		t.Errorf("released request: %d, calls of the store: %v", status, f.store.calls)
	}
	<-time.After(time.Minute)
	for _, d := range f.entries {
		for id := range d.scripts {
			d.front.conns.Forget(workerAddress(id))
		}
	}
}
