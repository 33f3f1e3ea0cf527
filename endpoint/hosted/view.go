package hosted

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/rendezvous"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/senders"
	"laburnumgw/platform"
)

// view is the deployment as this process knows it from the mirrored store.
type view struct {
	settings *platform.Settings
	log      *zap.Logger
	// wake is signalled after each change.
	wake chan struct{}

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	workers  map[string]catalog.Worker
	// proven holds which weights of each listed worker are known to be whole.
	proven  map[string]catalog.Proven
	entries map[string]platform.Entry
	// targets caches the result of reportTargets; nil after a change of the configuration or of
	// the entries.
	targets  *targets
	versions map[string]namedVersion
	// totalSuspended is the total duration of all suspensions of the machine.
	totalSuspended time.Duration
	// listedKinds holds the kinds that were read at least once.
	listedKinds map[string]bool
}

// namedVersion is the newest named version of a model.
type namedVersion struct {
	number  int
	namedAt time.Time
	// suspendedBefore is the total duration of the suspensions up to when namedAt was set.
	suspendedBefore time.Duration
}

func newView(settings *platform.Settings, log *zap.Logger) *view {
	return &view{
		settings: settings, log: log, wake: make(chan struct{}, 1), workers: make(map[string]catalog.Worker), proven: make(map[string]catalog.Proven),
		entries: make(map[string]platform.Entry), versions: make(map[string]namedVersion),
		listedKinds: make(map[string]bool),
	}
}

// applyChanges applies changes of the mirrored store.
func (v *view) applyChanges(kind string, changes []mirror.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		v.apply(kind, change)
	}
	v.listedKinds[kind] = true
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

func (v *view) apply(kind string, change mirror.Change) {
	name, value := change.Object.Name, change.Object.Value
	switch kind {
	case platform.KindConfig:
		if !platform.IsConfig(name) || change.Deleted {
			return
		}
		snapshot, err := platform.DecodeConfig(value)
		if err != nil {
			v.log.Error("configuration ignored; the one in force stays", zap.String("revision", mirror.FormatRevision(change.Object.Revision)), zap.Error(err))
			return
		}
		v.snapshot = snapshot
		v.targets = nil
	case platform.KindWorkers:
		v.proven[name] = platform.DecodeProven(change.Object.Status)
		if change.Deleted {
			delete(v.proven, name)
		}
		worker, err := platform.DecodeWorker(name, value)
		if change.Deleted || err != nil {
			v.logIgnored(kind, change, err)
			delete(v.workers, name)
			return
		}
		v.workers[name] = worker
	case platform.KindVersions:
		model, version, err := platform.DecodeVersion(name, value)
		if change.Deleted || err != nil || v.versions[model].number >= version {
			v.logIgnored(kind, change, err)
			return
		}
		namedAt := change.Object.LearnedAt
		switch {
		case namedAt.IsZero() && !v.listedKinds[kind]:
			// The first read does not tell when a version was named. The whole bound is taken to
			// have passed.
			namedAt = time.Now().Add(-v.settings.Bounds.VersionApply)
		case namedAt.IsZero():
			namedAt = time.Now()
		}
		v.versions[model] = namedVersion{version, namedAt, v.totalSuspended}
		v.log.Info("version named", zap.String("model", model), zap.Int("version", version), zap.String("revision", mirror.FormatRevision(change.Object.Revision)))
	case platform.KindEntries:
		v.targets = nil
		entry, err := platform.DecodeEntry(name, value)
		if change.Deleted || err != nil {
			v.logIgnored(kind, change, err)
			delete(v.entries, name)
			return
		}
		v.entries[name] = entry
	}
}

// logIgnored logs a revision of an object that cannot be read.
func (v *view) logIgnored(kind string, change mirror.Change, err error) {
	if err == nil || change.Deleted {
		return
	}
	v.log.Warn("object of the store ignored", zap.String("kind", kind), zap.String("name", change.Object.Name),
		zap.String("revision", mirror.FormatRevision(change.Object.Revision)), zap.Error(err))
}

// addSuspension records a suspension of the machine, which the monotonic clock does not count.
func (v *view) addSuspension(length time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.totalSuspended += length
}

// assumeNamedNow returns a namedVersion without a number whose naming time is now, for a
// version that is opened before any naming is known.
func (v *view) assumeNamedNow() namedVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return namedVersion{namedAt: time.Now(), suspendedBefore: v.totalSuspended}
}

// namedTime returns when a version was named, on the current monotonic clock: it is moved back
// by the suspensions since then, which that clock has not counted.
func (v *view) namedTime(n namedVersion) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return n.namedAt.Add(n.suspendedBefore - v.totalSuspended)
}

// service returns the worker's service, or nil while the service or its engine is unknown.
func (v *view) service() *catalog.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snapshot == nil {
		return nil
	}
	service := v.snapshot.Service(v.settings.Service)
	if service == nil || service.Engine == nil {
		return nil
	}
	return service
}

// knowsWorkers reports whether the list of workers was read at least once.
func (v *view) knowsWorkers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listedKinds[platform.KindWorkers]
}

// ownWorker returns the name of the entry of a start of this VM's worker, and what it says about the worker's weights.
func (v *view) ownWorker(startedAtMs int64) (id string, proven catalog.Proven, isListed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, worker := range v.workers {
		if worker.Address == v.settings.Worker && worker.StartedAtMs == startedAtMs {
			return id, v.proven[id], true
		}
	}
	return "", catalog.Proven{}, false
}

// origin returns the origin of weights, or nil while it is unknown.
func (v *view) origin() *catalog.Origin {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.snapshot == nil {
		return nil
	}
	return v.snapshot.Origin()
}

// newestNamed returns the newest named version of a model; its number is 0 without one.
func (v *view) newestNamed(model string) namedVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versions[model]
}

// assignments returns the VMs that hold or receive the weights, this one included. A VM
// is identified by its IP address, since a worker gets another id when it restarts.
func (v *view) assignments() []*laburnumgwv1.Assignment {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := []*laburnumgwv1.Assignment{v.assignment(v.settings.IP, v.settings.Zone)}
	for _, id := range slices.Sorted(maps.Keys(v.workers)) {
		worker := v.workers[id]
		ip := hostOf(worker.Address)
		if worker.Service == v.settings.Service && ip != v.settings.IP {
			list = append(list, v.assignment(ip, worker.Zone))
		}
	}
	return list
}

func (v *view) assignment(ip, zone string) *laburnumgwv1.Assignment {
	return &laburnumgwv1.Assignment{
		Vm: ip, Zone: zone, Region: v.settings.Zones[zone], Address: net.JoinHostPort(ip, strconv.Itoa(v.settings.FirstPort)),
	}
}

// zoneMembers returns the VMs of this availability zone that serve the model, and the versions that they serve.
func (v *view) zoneMembers() []rollout.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	members := []rollout.Member{{VM: v.settings.IP}}
	for id, worker := range v.workers {
		ip := hostOf(worker.Address)
		if worker.Service == v.settings.Service && worker.Zone == v.settings.Zone && ip != v.settings.IP {
			members = append(members, rollout.Member{VM: ip, Version: v.proven[id].Version})
		}
	}
	return members
}

// entryAddresses returns the addresses of the entries of this availability zone and of the
// other zones.
func (v *view) entryAddresses() (sameZone, otherZones []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		entry := v.entries[name]
		if entry.Zone == v.settings.Zone {
			sameZone = append(sameZone, entry.Address)
		} else {
			otherZones = append(otherZones, entry.Address)
		}
	}
	return sameZone, otherZones
}

// targets are the addresses of the entries that receive this worker's reports.
type targets struct {
	sameZone, otherZones []string
}

// reportTargets returns the entries that receive this worker's reports. Without a bound on the
// requests to the worker, or while there are no more entries than the bound, they are at most
// senders.UnboundedSubsetSize; the others may send requests without receiving reports.
func (v *view) reportTargets() targets {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.targets != nil {
		return *v.targets
	}
	zones := make(map[string]string, len(v.entries))
	for name, entry := range v.entries {
		zones[name] = entry.Zone
	}
	sameZone, otherZones := senders.NewFleet(zones).AssignedSenders(v.settings.Worker, v.settings.Zone, v.senderCount())
	v.targets = &targets{sameZone: v.addresses(sameZone), otherZones: v.addresses(otherZones)}
	return *v.targets
}

// senderCount returns the largest number of entries that receive this worker's reports. The bound
// is the number of requests that a cold worker may get in a second. With more entries than that,
// it is the number of assigned senders; unassigned senders send only at random moments and receive
// no reports. The caller holds the lock.
func (v *view) senderCount() int {
	if v.snapshot == nil {
		return senders.AssignedCountWithoutBound
	}
	service := v.snapshot.Service(v.settings.Service)
	if service == nil || service.ColdPerSecond <= 0 {
		return senders.AssignedCountWithoutBound
	}
	bounds := v.settings.Bounds
	bound := service.ColdPerSecond*bounds.ColdOverage + bounds.ColdSlack
	if float64(len(v.entries)) <= bound {
		return senders.AssignedCountWithoutBound
	}
	return senders.AssignedCount(bound)
}

func (v *view) addresses(names []string) []string {
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, v.entries[name].Address)
	}
	return list
}

// startupWait returns how long a starting process waits for the entries of its availability
// zone before it reads the store, since all of them may read the store first.
func (v *view) startupWait() time.Duration {
	sameZone, _ := v.entryAddresses()
	return mirror.StartupWaitAt(len(sameZone), len(sameZone))
}

// maxProbePause returns the longest pause between two probes whether the store responds
// again, which this process learns from the entries of the zone.
func (v *view) maxProbePause() time.Duration {
	sameZone, _ := v.entryAddresses()
	return mirror.MaxProbePauseAt(len(sameZone))
}

// neighbours returns the addresses of the entries to mirror from, those of this availability
// zone first.
func (v *view) neighbours() []string {
	sameZone, otherZones := v.entryAddresses()
	// Each process has its own order, which spreads the load over the entries.
	return append(rendezvous.Rank(v.settings.IP, sameZone), rendezvous.Rank(v.settings.IP, otherZones)...)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
