package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumgw/soak"
)

// oddEntryNetwork is the second byte of the loopback addresses.
const oddEntryNetwork = 41

// Guards against one odd entry of another writer that no process can read the list any more for: what
// changed after it was not followed, by entries and by the processes beside workers.
func TestListIsFollowedBesideOddEntries(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), oddEntryNetwork)
	options.Models = 3
	f := startHosted(t, options)
	w := &system{t: t}
	added, drained := f.PlainWorkers[0], f.PlainWorkers[1]
	f.Store.Delete("servers", added.ID)
	w.until("empty workers are filled", func() bool { return servesVersion(f, 1) })
	callers := f.StartCallers(1)
	// Entries of other writers: nested too deeply, and with numbers and ports out of range.
	deep := strings.Repeat(`{"a":`, 10_001) + "1" + strings.Repeat("}", 10_001)
	entry := func(slots, address string) []byte {
		return fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":"a","slots":%s,"state":"ready","cold_remaining_ms":0,"sequence":1}`, address, slots)
	}
	for _, kind := range []string{"servers", "entries", "versions", "evacuations", "blocked_parts", "config"} {
		f.Store.PutRaw(kind, "odd-deep", []byte(deep))
		f.Store.PutRaw(kind, "odd-number", []byte(`{"version":1e999,"slots":1e999}`))
	}
	f.Store.PutRaw("servers", "odd-slots", entry("1e999", drained.Address))
	f.Store.PutRaw("servers", "odd-port", entry("16", strings.Replace(drained.Address, ":8100", ":70000", 1)))

	f.Store.Put("servers", added.ID, added.Entry("ready"))
	addedAt := time.Now()
	w.until("an added worker gets requests", func() bool { return added.LastRun().After(addedAt) })
	f.Store.Put("servers", drained.ID, drained.Entry("draining"))
	drainedAt := time.Now()
	f.Origin.SetNewest(2)
	f.PublishVersion(2)
	w.until("version 2 is in force", func() bool { return servesVersion(f, 2) })
	w.until("a draining worker gets no requests", func() bool { return time.Since(drained.LastRun()) > drainBound })
	if last := drained.LastRun().Sub(drainedAt); last > drainBound {
		t.Errorf("draining worker got a request after %v", last)
	}
	// A process that starts now has to list the odd entries.
	f.Entries[1].Kill()
	if err := f.Entries[1].Start(); err != nil {
		t.Fatal(err)
	}
	w.until("a restarted entry is ready", f.Entries[1].Ready)
	served := 0
	for _, o := range callers.Stop() {
		if o.Violation != nil {
			t.Errorf("%s at %s: %v", o.ID, o.Entry, o.Violation)
		}
		if o.Status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
	for _, p := range append(append([]*soak.Process{}, f.Entries...), f.Endpoints...) {
		if p.Running().Ended() {
			t.Errorf("%s has ended by itself", p.Name)
		}
	}
}

func servesVersion(f *soak.Fleet, version int) bool {
	for _, m := range f.ModelWorkers {
		if m.Version() != version {
			return false
		}
	}
	return true
}
