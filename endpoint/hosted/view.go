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
	"laburnumgw/lib/senders"
	"laburnumgw/platform"
)

// view is what the process believes of the deployment.
type view struct {
	settings *platform.Settings
	log      *zap.Logger
	// wake is signalled at each change.
	wake chan struct{}

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	workers  map[string]catalog.Worker
	entries  map[string]platform.Entry
	// targets is nil after a change of the entries.
	targets  *targets
	versions map[string]named
	// slept is the length of all suspensions of the machine.
	slept time.Duration
	// listed holds the kinds that were read once.
	listed map[string]bool
}

// named is the newest named version of a model.
type named struct {
	version int
	since   time.Time
	// slept is the length of all suspensions up to when since was set.
	slept time.Duration
}

func newView(settings *platform.Settings, log *zap.Logger) *view {
	return &view{
		settings: settings, log: log, wake: make(chan struct{}, 1), workers: make(map[string]catalog.Worker),
		entries: make(map[string]platform.Entry), versions: make(map[string]named),
		listed: make(map[string]bool),
	}
}

// changed applies changes of the mirrored store.
func (v *view) changed(kind string, changes []mirror.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		v.apply(kind, change)
	}
	v.listed[kind] = true
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
			v.log.Error("configuration ignored; the one in force stays", zap.Int64("revision", change.Object.Revision), zap.Error(err))
			return
		}
		v.snapshot = snapshot
		v.targets = nil
	case platform.KindWorkers:
		worker, err := platform.DecodeWorker(name, value)
		if change.Deleted || err != nil {
			delete(v.workers, name)
			return
		}
		v.workers[name] = worker
	case platform.KindVersions:
		model, version, err := platform.DecodeVersion(name, value)
		if change.Deleted || err != nil || v.versions[model].version >= version {
			return
		}
		since := change.Object.LearnedAt
		switch {
		case since.IsZero() && !v.listed[kind]:
			// How long ago a version was named is not known when it is read at the start.
			since = time.Now().Add(-v.settings.Bounds.VersionApply)
		case since.IsZero():
			since = time.Now()
		}
		v.versions[model] = named{version, since, v.slept}
		v.log.Info("version named", zap.String("model", model), zap.Int("version", version), zap.Int64("revision", change.Object.Revision))
	case platform.KindEntries:
		v.targets = nil
		entry, err := platform.DecodeEntry(name, value)
		if change.Deleted || err != nil {
			delete(v.entries, name)
			return
		}
		v.entries[name] = entry
	}
}

// suspended notes a suspension of the machine, which the monotonic clock has not counted.
func (v *view) suspended(length time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slept += length
}

// unnamed returns the date of a version that nothing has named, which is now.
func (v *view) unnamed() named {
	v.mu.Lock()
	defer v.mu.Unlock()
	return named{since: time.Now(), slept: v.slept}
}

// date returns when a version was named, on the monotonic clock as it is now.
func (v *view) date(n named) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return n.since.Add(n.slept - v.slept)
}

// service returns the service of the worker with its engine, or nil while it is unknown.
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

// knowsWorkers reports whether the workers were listed once.
func (v *view) knowsWorkers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed[platform.KindWorkers]
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

// named returns the newest named version of a model, version 0 without one.
func (v *view) named(model string) named {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.versions[model]
}

// assignments returns the VMs that hold or receive the weights, this one included. A VM
// is named by its address, since a worker changes its id when it starts again.
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

// zone returns the VMs of this availability zone that serve the model.
func (v *view) zone() []string {
	var vms []string
	for _, a := range v.assignments() {
		if a.GetZone() == v.settings.Zone {
			vms = append(vms, a.GetVm())
		}
	}
	return vms
}

// entryAddresses returns the entries, those of this availability zone first.
func (v *view) entryAddresses() (near, far []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		entry := v.entries[name]
		if entry.Zone == v.settings.Zone {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	return near, far
}

// targets are the entries that hear this worker's reports.
type targets struct {
	near, far []string
}

// reportTargets returns the entries that hear this worker's reports, which are those that
// send to it: the entries of the own zone, and the others.
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
	near, far := senders.NewFleet(zones).Members(v.settings.Worker, v.settings.Zone, v.senders())
	v.targets = &targets{near: v.addresses(near), far: v.addresses(far)}
	return *v.targets
}

// senders returns the number of entries that send to the worker. The caller holds the lock.
func (v *view) senders() int {
	if v.snapshot == nil {
		return senders.UnboundedSubsetSize
	}
	service := v.snapshot.Service(v.settings.Service)
	if service == nil || service.ColdPerSecond <= 0 {
		return senders.UnboundedSubsetSize
	}
	bounds := v.settings.Bounds
	bound := service.ColdPerSecond*bounds.ColdOverage + bounds.ColdSlack
	if float64(len(v.entries)) <= bound {
		return senders.UnboundedSubsetSize
	}
	return senders.SubsetSize(bound)
}

func (v *view) addresses(names []string) []string {
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, v.entries[name].Address)
	}
	return list
}

// patience returns how long a start waits for the entries of its availability zone, all of
// which may read the store before.
func (v *view) patience() time.Duration {
	near, _ := v.entryAddresses()
	return mirror.StartupWaitAt(len(near), len(near))
}

// probing returns the longest pause between two looks whether the store is back. The
// entries of the zone tell this process.
func (v *view) probing() time.Duration {
	near, _ := v.entryAddresses()
	return mirror.MaxProbePauseAt(len(near))
}

// neighbours returns the entries to mirror from.
func (v *view) neighbours() []string {
	near, far := v.entryAddresses()
	// Each process has its own order, so that the entries share the load.
	return append(rendezvous.Rank(v.settings.IP, near), rendezvous.Rank(v.settings.IP, far)...)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
