package hosted

import (
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/mirror/topology"
	"laburnumgw/lib/senders"
	"laburnumgw/platform"
)

// entryCount returns the number of entries that share the limits of the deployment.
func (v *view) entryCount() float64 { return float64(max(len(v.entries), minEntries)) }

// otherAddresses returns the addresses of the other entries.
func (v *view) otherAddresses() []string {
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

// registered reports whether the store lists this entry with its current zone and address.
func (v *view) registered(own platform.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries[v.settings.VM] == own
}

// knowsEntries reports whether the entries of the deployment were read.
func (v *view) knowsEntries() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listedKinds[platform.KindEntries]
}

func (v *view) entryChanged(change mirror.Change) {
	v.mirrorTree = nil
	if change.Deleted {
		delete(v.entries, change.Object.Name)
		return
	}
	entry, err := platform.DecodeEntry(change.Object.Name, change.Object.Value)
	if err != nil {
		v.metrics.objectsIgnored(platform.KindEntries).Inc()
		v.log.Warn("entry ignored", zap.String("entry", change.Object.Name), zap.Error(err))
		return
	}
	v.entries[change.Object.Name] = entry
}

// entriesChanged divides the limits of the deployment among the entries again. The caller holds
// the lock.
func (v *view) entriesChanged() {
	zones := map[string]string{v.settings.VM: v.settings.Zone}
	for name, entry := range v.entries {
		zones[name] = entry.Zone
	}
	v.fleet = senders.NewFleet(zones)
	for _, state := range v.services {
		v.configureService(state.config)
	}
	v.updateAllRouting()
}

// tree returns the tree of mirrors. The caller holds the lock.
func (v *view) tree() *topology.Tree {
	if v.mirrorTree != nil {
		return v.mirrorTree
	}
	entries := make(map[string]topology.Entry, len(v.entries))
	for name, entry := range v.entries {
		entries[name] = topology.Entry(entry)
	}
	v.mirrorTree = topology.New(v.settings.VM, v.settings.Zone, entries)
	return v.mirrorTree
}

// probeInterval returns the interval at which the reader of the store probes it.
func (v *view) probeInterval() time.Duration {
	return mirror.ProbeInterval(v.settings.Bounds.ShortestPropagationBound())
}

// staleAfter returns the age of the last response of the store from which on the upstream is
// not relied on.
func (v *view) staleAfter() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tree().StaleAfter(v.probeInterval())
}

// holdOff returns the age of the last response of the store from which on this entry reads the
// store itself when its upstream does not respond.
func (v *view) holdOff() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tree().HoldOff(v.probeInterval())
}

// startupWait returns how long a start waits for the entries that rank above this one.
func (v *view) startupWait() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	tree := v.tree()
	return mirror.StartupWaitAt(len(tree.Upstreams()), tree.ZoneSize())
}

// maxProbePause returns the longest pause between two probes whether the store responds again.
func (v *view) maxProbePause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mirror.MaxProbePauseAt(len(v.tree().Upstreams()))
}

// source states whether this entry reads the store itself.
func (v *view) source() mirror.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tree().Source()
}

// neighbours returns the addresses of the entries to mirror from.
func (v *view) neighbours() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tree().Addresses(v.knowsAll())
}
