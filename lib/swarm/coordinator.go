package swarm

import (
	"time"

	"laburnumgw/lib/weights"
)

// VersionAction is an action of the machine of one version.
type VersionAction struct {
	Digest weights.Digest
	Action Action
}

// Coordinator runs the machines of the versions that one VM receives or serves. It is
// not safe for concurrent use.
type Coordinator struct {
	entries []*entry
}

type entry struct {
	model   string
	machine *Machine
}

// NewCoordinator returns a coordinator that shares the slots of limits between models
// and receives at most maxParallel of them at a time.
func NewCoordinator(_ Limits, _ int) *Coordinator { return &Coordinator{} }

// Add starts a version.
func (c *Coordinator) Add(_ time.Duration, model string, machine *Machine) []VersionAction {
	c.entries = append(c.entries, &entry{model: model, machine: machine})
	return nil
}

// Step passes an event to the machine of a version.
func (c *Coordinator) Step(now time.Duration, digest weights.Digest, event Event) []VersionAction {
	var actions []VersionAction
	for _, e := range c.entries {
		if e.machine.Digest() != digest {
			continue
		}
		for _, action := range e.machine.Step(now, event) {
			actions = append(actions, VersionAction{Digest: digest, Action: action})
		}
	}
	return actions
}
