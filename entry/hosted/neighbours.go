package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rendezvous"
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

// mirrorKey is the key of the rendezvous ranking of entries, and of availability zones, that
// decides which entry mirrors from which.
const mirrorKey = "mirror"

// upstreams returns the entries that this one may mirror from: those of its availability zone
// that rank above it, or, for the first of a zone, the first ones of the zones that rank above.
// One entry, the reader, has none and reads the store for the deployment. The caller holds the
// lock.
func (v *view) upstreams() []string {
	ranked := rendezvous.Rank(mirrorKey, v.zoneEntries(v.settings.Zone))
	if at := slices.Index(ranked, v.settings.VM); at > 0 {
		return ranked[:at]
	}
	return v.otherZoneUpstreams()
}

// otherZoneUpstreams returns the first entry of each availability zone that ranks above this
// one's. The caller holds the lock.
func (v *view) otherZoneUpstreams() []string {
	zones := make(map[string]bool)
	for _, entry := range v.entries {
		zones[entry.Zone] = true
	}
	ranked := rendezvous.Rank(mirrorKey, slices.Sorted(maps.Keys(zones)))
	var upstreams []string
	for _, zone := range ranked[:max(0, slices.Index(ranked, v.settings.Zone))] {
		upstreams = append(upstreams, rendezvous.Best(mirrorKey, v.zoneEntries(zone)))
	}
	return upstreams
}

// isFirstOfZone reports whether this entry is the first of its availability zone. The caller
// holds the lock.
func (v *view) isFirstOfZone() bool {
	ranked := rendezvous.Rank(mirrorKey, v.zoneEntries(v.settings.Zone))
	return slices.Index(ranked, v.settings.VM) <= 0
}

// zoneEntries returns the entries of an availability zone. The caller holds the lock.
func (v *view) zoneEntries(zone string) []string {
	var names []string
	for name, entry := range v.entries {
		if entry.Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// upstreamRank returns the rank of the upstream of the entry of a rank above 0.
func upstreamRank(rank int) int { return (rank - 1) / mirrorFanout }

// staleAfter returns the age of the last response of the store from which on the upstream is
// not relied on. It grows with each level between this entry and the reader.
func (v *view) staleAfter() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit := mirror.ProbeInterval(v.settings.Bounds.ShortestPropagationBound()) + staleAgePerLevel
	if v.isFirstOfZone() {
		return limit
	}
	if len(v.otherZoneUpstreams()) > 0 {
		limit += staleAgePerLevel
	}
	for rank := len(v.upstreams()); rank > 0; rank = upstreamRank(rank) {
		if upstreamRank(rank) > 0 {
			limit += staleAgePerLevel
		}
	}
	return limit
}

// holdOff returns the age of the last response of the store from which on this entry reads the
// store itself when its upstream does not respond. The first entry of a zone
// does so at once; the others first give it the time to fail over.
func (v *view) holdOff() time.Duration {
	v.mu.Lock()
	isFirst := v.isFirstOfZone()
	v.mu.Unlock()
	if isFirst {
		return 0
	}
	return v.staleAfter()
}

// startupWait returns how long a start waits for the entries that rank above this one.
func (v *view) startupWait() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mirror.StartupWaitAt(len(v.upstreams()), len(v.zoneEntries(v.settings.Zone)))
}

// maxProbePause returns the longest pause between two probes whether the store responds again.
func (v *view) maxProbePause() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mirror.MaxProbePauseAt(len(v.upstreams()))
}

// source states whether this entry reads the store itself. One entry of the deployment does, so
// that the calls of the store do not grow with the number of entries.
func (v *view) source() mirror.Source {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.upstreams()) == 0 {
		return mirror.StoreFirst
	}
	return mirror.NeighboursFirst
}

// neighbours returns the addresses of the entries to mirror from: the upstreams, and all others
// if there are none or this entry does not know all kinds yet.
func (v *view) neighbours() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var addresses []string
	upstreams := v.upstreams()
	if len(upstreams) > 0 {
		// The preferred upstream comes first, then the others in the order of their rank.
		first := upstreamRank(len(upstreams))
		if v.isFirstOfZone() {
			first = 0
		}
		addresses = append(addresses, v.entries[upstreams[first]].Address)
		for i, upstream := range upstreams {
			if i != first {
				addresses = append(addresses, v.entries[upstream].Address)
			}
		}
		if v.knowsAll() {
			return addresses
		}
	}
	// Any other entry may know objects that this one has not read since its start.
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		if address := v.entries[name].Address; name != v.settings.VM && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
