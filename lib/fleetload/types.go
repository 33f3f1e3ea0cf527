package fleetload

import "time"

// Settings configure a view.
type Settings struct {
	// Zone is the availability zone of the entry, and StartedAtMs the start of its process in milliseconds since 1970.
	Zone        string
	StartedAtMs int64
	// TimeToLive is how long the facts of another entry hold that are not repeated; zero for DefaultTimeToLive.
	TimeToLive time.Duration
}

// DefaultTimeToLive outlasts the loss of a few messages in a row.
const DefaultTimeToLive = 4 * time.Second

// Statement is the load that a worker states in a response.
type Statement struct {
	Running, Queued, Slots int
	// HasRequests and HasSlots are set if the figures are usable.
	HasRequests, HasSlots bool
	// Pace is the time that work takes on the worker's machine, 1 as usual; zero if it is not stated.
	Pace float64
}

// Report is what the process beside a worker reports.
type Report struct {
	Running, Queued int
	// Pace is zero if it is unknown.
	Pace float64
	// UsedTokens is the memory that the worker's requests use and TotalTokens all that they may use; zero if unknown.
	UsedTokens, TotalTokens int64
}

// Work is the size of a request.
type Work struct {
	PromptTokens, OutputTokens int64
	Bytes                      int64
}

// Load is the best estimate of the load of a worker.
type Load struct {
	Running, Queued, Slots int
	// Pace is the time that work takes on the worker's machine, 1 as usual.
	Pace float64
	// WaitingPromptTokens are the prompt tokens of all entries that the worker has not read.
	WaitingPromptTokens int64
	// HeldBytes and HeldTokens are what the worker holds for the requests of all entries, and TotalTokens all that it can
	// hold; zero if unknown.
	HeldBytes, HeldTokens, TotalTokens int64
	// Age is that of the newest statement or report; Known is false without one that is recent.
	Age   time.Duration
	Known bool
}

// Rates are how fast a service's workers do their work at the usual pace.
type Rates struct {
	// PromptPerSecond is the rate at which prompts are read; zero for a service without prompts.
	PromptPerSecond float64
	// Pass is the time to the first byte besides the prompt, and SlotTime how long a request of mean size has its slot.
	Pass, SlotTime time.Duration
}

// Facts are what an entry knows first hand about load.
type Facts struct {
	Entry, Zone string
	// StartedAtMs is the start of the entry's process, and Sequence orders its messages. Several messages may have the
	// same sequence.
	StartedAtMs int64
	Sequence    uint64
	// Partial is set in all messages of a sequence but the last.
	Partial bool
	Demands []Demand
	Workers []WorkerFact
}

// Demand is what the callers of an entry ask of a service for one workspace, in units of work a second.
type Demand struct {
	Service, Workspace string
	// Rank is the urgency of the requests; 0 is the most urgent.
	Rank              int
	Offered, Admitted float64
	// TurnedAway is the part of Offered that found no room within the shares, and Usual the mean of Offered while there was
	// room enough.
	TurnedAway, Usual float64
}

// WorkerFact is the part of a worker's load that one entry has caused.
type WorkerFact struct {
	VM          string
	StartedAtMs int64
	Running     int
	// Waiting counts the requests that the worker has not begun to answer.
	Waiting             int
	WaitingPromptTokens int64
	// HeldBytes are the bytes of requests and of unread responses that the worker holds for the entry.
	HeldBytes int64
}

// part is the load that one entry, or several together, have caused at a worker.
type part struct {
	running, waiting      int
	waitingTokens         int64
	heldTokens, heldBytes int64
}

func (p part) requests() int { return p.running + p.waiting }

func (p *part) add(other part) {
	p.running += other.running
	p.waiting += other.waiting
	p.waitingTokens += other.waitingTokens
	p.heldTokens += other.heldTokens
	p.heldBytes += other.heldBytes
}

func (p *part) subtract(other part) {
	p.add(part{-other.running, -other.waiting, -other.waitingTokens, -other.heldTokens, -other.heldBytes})
}
