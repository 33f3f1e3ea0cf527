package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// restoredNetwork is the second byte of the loopback addresses.
const restoredNetwork = 35

// Guards against a store that comes back from an older copy and is taken for one whose state is
// outdated: its revisions count from an earlier number again, so that confirmed changes are not put in force, and what
// the system itself had written is missing for good.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	const applyBound = 2 * time.Second
	options := soakOptions(t, buildPrograms(t), restoredNetwork)
	options.Entries, options.Models = 4, 3
	f := startHosted(t, options)
	w := &system{t: t}
	entryNames := func() []string { return f.Store.Names("entries") }
	w.until("all entries are registered", func() bool { return len(entryNames()) == len(f.Entries) })
	serves := func(status int, route string) func() bool {
		return func() bool {
			for _, p := range f.Entries {
				if got := f.Ask(p, route); got != status {
					return false
				}
			}
			return true
		}
	}
	f.Store.Delete("entries", f.Entries[0].Name)
	older := f.Store.Backup()
	f.Store.Put("entries", f.Entries[0].Name, map[string]any{"zone": f.Entries[0].Zone, "address": f.Entries[0].IP + ":8300"})
	f.Store.Put("blocked_parts", "0bad", map[string]any{"parts": []string{"0bad"}})
	for version := 2; version <= 6; version++ {
		f.Store.Put("config", "main", f.ConfigWithRoutes(version, "second"))
	}
	w.until("an added route is served", serves(http.StatusOK, "second"))

	f.Store.SetDown(true)
	lostAt := time.Now()
	w.until("the store was away for a moment", func() bool { return time.Since(lostAt) > 1500*time.Millisecond })
	f.Store.Restore(older)
	f.Store.SetDown(false)
	restoredAt := time.Now()
	for time.Since(restoredAt) < applyBound {
		if !serves(http.StatusOK, "second")() {
			t.Fatalf("route is not served %s after the store came back with an older state", time.Since(restoredAt))
		}
	}
	for version := 7; version <= 8; version++ {
		f.Store.Put("config", "main", f.ConfigWithRoutes(version, "second", fmt.Sprint("added-", version)))
		confirmedAt := time.Now()
		inForce := serves(http.StatusOK, fmt.Sprint("added-", version))
		for !inForce() {
			if took := time.Since(confirmedAt); took > applyBound {
				t.Fatalf("version %d is not in force %s after it was confirmed, bound %s", version, took, applyBound)
			}
		}
	}
	f.Store.Put("config", "main", f.ConfigWithRoutes(9))
	w.until("a dropped route is not served", serves(http.StatusNotFound, "second"))
	w.until("all entries are registered again", func() bool { return len(entryNames()) == len(f.Entries) })
	w.until("a block is stored again", func() bool { return slices.Contains(f.Store.Names("blocked_parts"), "0bad") })
	calls := f.Store.Calls()
	quietFrom := time.Now()
	const quietTime = 4 * time.Second
	w.until("the system was quiet for some time", func() bool { return time.Since(quietFrom) > quietTime })
	if perSecond := float64(f.Store.Calls()-calls) / quietTime.Seconds(); perSecond > 10 {
		t.Errorf("%.1f calls of the store a second long after it came back", perSecond)
	}
}
