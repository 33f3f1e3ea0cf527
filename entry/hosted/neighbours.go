package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rendezvous"
	"laburnumgw/platform"
)

// entryCount returns the number of entries that share the limits of the deployment.
func (v *view) entryCount() float64 { return float64(max(len(v.entries), minEntries)) }

// others returns the addresses of other entries.
func (v *view) others() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addresses []string
	for name, entry := range v.entries {
		if name != v.settings.VM {
			addresses = append(addresses, entry.Address)
		}
	}
	return addresses
}

func (v *view) entryChanged(change mirror.Change) {
	if change.Deleted {
		delete(v.entries, change.Object.Name)
		return
	}
	entry, err := platform.DecodeEntry(change.Object.Name, change.Object.Value)
	if err != nil {
		v.log.Warn("entry ignored", zap.String("entry", change.Object.Name), zap.Error(err))
		return
	}
	v.entries[change.Object.Name] = entry
	for _, state := range v.services {
		v.configureService(state.config)
	}
}

// leaders returns the entries of this availability zone that rank above this one, the
// first of which reads the store for the zone. The caller holds the lock.
func (v *view) leaders() []string {
	ranked := rendezvous.Rank("mirror", v.zoneEntries())
	return ranked[:max(0, slices.Index(ranked, v.settings.VM))]
}

// zoneEntries returns the entries of this availability zone. The caller holds the lock.
func (v *view) zoneEntries() []string {
	var names []string
	for name, entry := range v.entries {
		if entry.Zone == v.settings.Zone {
			names = append(names, name)
		}
	}
	return names
}

// parentOf returns the rank of the entry that one of a rank above 0 mirrors from.
func parentOf(rank int) int { return (rank - 1) / mirrorFanout }

// staleAfter returns the age from which on the entry that this one mirrors from is not
// relied on.
func (v *view) staleAfter() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := staleAfter
	for rank := len(v.leaders()); rank > 0; rank = parentOf(rank) {
		if parentOf(rank) > 0 {
			limit += staleStep
		}
	}
	return limit
}

// patience returns how long a start waits for the entries that rank above this one.
func (v *view) patience() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mirror.PatienceAt(len(v.leaders()), len(v.zoneEntries()))
}

// source states whether this entry reads the store itself. One entry of a zone does, so
// that the calls do not grow with the number of entries.
func (v *view) source() mirror.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.leaders()) == 0 {
		return mirror.StoreFirst
	}
	return mirror.NeighboursFirst
}

// neighbours returns the addresses of the entries to mirror from: those that rank above
// this one, or any other while this one cannot reach the store itself.
func (v *view) neighbours() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addresses []string
	leaders := v.leaders()
	for i := range leaders {
		// The entry to mirror from comes first, then the others from the reader on.
		addresses = append(addresses, v.entries[leaders[(i+parentOf(len(leaders)))%len(leaders)]].Address)
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		if name != v.settings.VM {
			addresses = append(addresses, v.entries[name].Address)
		}
	}
	return addresses
}
