package catalog

import (
	"time"

	"laburnumgw/lib/workerlimit"
)

// Weights are the layers that a worker has loaded.
type Weights struct {
	Model   string
	Version int
	// From and To bound the layers; To is exclusive. Both are zero without layers.
	From int
	To   int
}

// Complete reports whether all layers of a model are loaded.
func (w Weights) Complete(layers int) bool {
	return w.Version > 0 && w.From == 0 && w.To >= layers && w.To > 0
}

// Worker is an entry of the platform's list of workers.
type Worker struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving is set while the worker is draining.
	Leaving bool
	// ColdRemaining is how much longer the worker stays cold.
	ColdRemaining time.Duration
	// StartedAtMs is the start time of the worker in milliseconds since 1970. It identifies
	// the worker's incarnation: a restart under the same ID has a different value.
	StartedAtMs int64
	Weights     Weights
}

// Proven names weights that are known to have been whole when a worker took them. They stay so until the worker
// starts again or takes others.
type Proven struct {
	// StartedAtMs identifies the start of the worker; see Worker.
	StartedAtMs int64
	// Sequence is the number of load orders that the start had accepted when it held the weights.
	Sequence int
	// Version is zero for no weights.
	Version int
}

// Report is the state that a worker reports about itself.
type Report struct {
	StartedAtMs int64
	Weights     Weights
	// Busy is set while an order is in progress.
	Busy bool
	// Sequence is the number of orders that the worker has accepted since its start.
	Sequence int
	Queued   int
	Running  int
	// Pace is above 1 when the worker is slower than the configured figures of its engine.
	Pace float64
	// UsedTokens is the memory that the worker's requests use and that cannot yield, and TotalTokens all that they may use.
	UsedTokens, TotalTokens int64
	// SwitchoverIn is the time until the worker will be ordered to load other weights;
	// zero if no switchover is planned.
	SwitchoverIn time.Duration
	// ProvenVersion is the version of the loaded weights, if they are known to be whole; zero if not. Unproven is
	// set if they may not be.
	ProvenVersion int
	Unproven      bool
	// Leaving is set when the worker states that it is leaving.
	Leaving bool
	// Limit is what the worker states about its limit on requests.
	Limit workerlimit.Statement
	// Ignored names the figures that were left out, since they have no sense.
	Ignored string
}
