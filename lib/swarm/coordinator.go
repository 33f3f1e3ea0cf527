package swarm

import (
	"slices"
	"time"

	"laburnumgw/lib/weights"
)

// VersionAction is an action of the Machine of one version.
type VersionAction struct {
	Digest weights.Digest
	Action Action
}

// Coordinator runs the Machines of the versions that one VM receives or serves, and
// shares the VM's upload and download slots between them. It is not safe for concurrent
// use.
type Coordinator struct {
	limits      Limits
	maxParallel int
	versions    []*versionEntry
}

type versionEntry struct {
	model   string
	machine *Machine
}

// NewCoordinator returns a Coordinator that shares the slots of limits between versions
// and downloads at most maxParallel of them at a time, in the order in which they were added.
func NewCoordinator(limits Limits, maxParallel int) *Coordinator {
	limits.setDefaults()
	return &Coordinator{limits: limits, maxParallel: max(1, maxParallel)}
}

// Add starts a version. It first withdraws the other versions of the same model, and an
// earlier Machine of the same version.
func (c *Coordinator) Add(now time.Duration, model string, machine *Machine) []VersionAction {
	var actions []VersionAction
	for _, e := range slices.Clone(c.versions) {
		if e.model == model || e.machine.Digest() == machine.Digest() {
			actions = append(actions, c.Remove(now, e.machine.Digest())...)
		}
	}
	c.versions = append(c.versions, &versionEntry{model: model, machine: machine})
	c.shareDownloads(now)
	return actions
}

// Remove withdraws a version. It has no effect when the version is unknown.
func (c *Coordinator) Remove(now time.Duration, digest weights.Digest) []VersionAction {
	at := c.index(digest)
	if at < 0 {
		return nil
	}
	actions := c.run(now, c.versions[at].machine, Withdrawn{})
	c.versions = slices.Delete(c.versions, at, at+1)
	c.shareDownloads(now)
	return actions
}

// Step passes an event to the Machine of a version. An UploadRequested event of an unknown
// version is refused; other events of it are ignored.
func (c *Coordinator) Step(now time.Duration, digest weights.Digest, event Event) []VersionAction {
	at := c.index(digest)
	if at < 0 {
		if e, ok := event.(UploadRequested); ok {
			return []VersionAction{{Digest: digest, Action: RefuseUpload{ID: e.ID}}}
		}
		return nil
	}
	return c.run(now, c.versions[at].machine, event)
}

// Tick runs the timers of all versions. The adapter calls it at the shortest TickInterval
// of its Machines.
func (c *Coordinator) Tick(now time.Duration) []VersionAction {
	var actions []VersionAction
	for _, e := range c.versions {
		actions = append(actions, c.run(now, e.machine, Tick{})...)
	}
	return actions
}

func (c *Coordinator) index(digest weights.Digest) int {
	return slices.IndexFunc(c.versions, func(e *versionEntry) bool { return e.machine.Digest() == digest })
}

func (c *Coordinator) run(now time.Duration, machine *Machine, event Event) []VersionAction {
	machine.otherUploads = 0
	for _, e := range c.versions {
		if e.machine != machine {
			machine.otherUploads += len(e.machine.uploads)
		}
	}
	complete := machine.Complete()
	var actions []VersionAction
	for _, action := range machine.Step(now, event) {
		actions = append(actions, VersionAction{Digest: machine.Digest(), Action: action})
	}
	if machine.Complete() != complete {
		c.shareDownloads(now)
	}
	return actions
}

// shareDownloads divides the downloads between the first maxParallel incomplete versions, in
// the order in which they were added; the others are paused and only serve the chunks that
// they hold.
func (c *Coordinator) shareDownloads(now time.Duration) {
	var active []*Machine
	for _, e := range c.versions {
		if !e.machine.Complete() && len(active) < c.maxParallel {
			active = append(active, e.machine)
		}
	}
	for _, e := range c.versions {
		share := 0
		if at := slices.Index(active, e.machine); at >= 0 {
			share = max(1, (c.limits.Downloads+len(active)-1-at)/len(active))
		}
		e.machine.setDownloads(now, share)
	}
}
