package membership

import (
	"cmp"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// CallTimeout is the timeout of one gossip exchange or probe.
	CallTimeout = 250 * time.Millisecond
	// ReportTimeout is the timeout of one report.
	ReportTimeout = 150 * time.Millisecond
	// JoinSpread is the time over which processes spread their joins when all restart at once.
	JoinSpread = 10 * time.Second
	// SuspectAfter is the time without a report or probe response after which an endpoint
	// is suspect and probed.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the time without a report or probe response after which an endpoint is
	// dead.
	DeadAfter = 2500 * time.Millisecond
	// LeaveTimeout bounds the wait for acknowledgements of the leaving state.
	LeaveTimeout = 3 * time.Second
)

// Self describes this process.
type Self struct {
	VM      string
	Zone    string
	Region  string
	Address string
}

// Peer names another process and where to reach it.
type Peer struct {
	VM      string
	Zone    string
	Region  string
	Address string
}

// VM is one item of the platform's list of VMs, which lags behind the real state.
type VM struct {
	Peer
	Entry   bool
	Leaving bool
}

// Incarnation identifies one run of a VM's process and orders the runs. The counter is
// compared first, then the random id.
type Incarnation struct {
	Counter uint64
	ID      uint64
}

// Compare returns -1, 0 or 1 as i is before, equal to or after other.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Counter, other.Counter), cmp.Compare(i.ID, other.ID))
}

// Proto returns the wire form.
func (i Incarnation) Proto() *pb.Incarnation {
	return &pb.Incarnation{Counter: i.Counter, Id: i.ID}
}

func incarnationOf(p *pb.Incarnation) Incarnation {
	return Incarnation{Counter: p.GetCounter(), ID: p.GetId()}
}

func peerOf(info *pb.EntryInfo) Peer {
	return Peer{VM: info.GetVm(), Zone: info.GetZone(), Region: info.GetRegion(), Address: info.GetAddress()}
}

// State is the state of an endpoint or entry as one process sees it.
type State int

// States of members.
const (
	// Unverified members are known only from other members, from settings or from the
	// platform's list.
	Unverified State = iota
	// Alive members were seen recently, directly or, for entries, through gossip.
	Alive
	// Suspect members are unresponsive and are being probed. Routing chooses them last.
	Suspect
	// Dead members get no requests.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unverified", "alive", "suspect", "dead"}[s]
}

// EventKind classifies an event.
type EventKind int

// Kinds of events.
const (
	// EndpointAlive reports that an endpoint was seen for the first time, after a restart,
	// or again after it was suspect or dead.
	EndpointAlive EventKind = iota
	// EndpointSuspect reports that an endpoint was not seen for SuspectAfter.
	EndpointSuspect
	// EndpointDead reports that an endpoint was not seen for DeadAfter.
	EndpointDead
	// EndpointLeaving reports that an endpoint must get no new work.
	EndpointLeaving
	// EndpointCold reports that an endpoint became cold.
	EndpointCold
	// EndpointNewIncarnation reports that an endpoint process restarted.
	EndpointNewIncarnation
	// EndpointDropped reports that a live endpoint now reports to other entries.
	EndpointDropped
	// EntryAlive reports that an entry was seen for the first time, or again after it was
	// dead.
	EntryAlive
	// EntryDead reports that an entry was suspect and did not respond repeatedly.
	EntryDead
	// EntryLeaving reports that an entry is stopping.
	EntryLeaving
)

// String returns the kind's name.
func (k EventKind) String() string {
	return [...]string{"endpoint alive", "endpoint suspect", "endpoint dead", "endpoint leaving",
		"endpoint cold", "endpoint new incarnation", "endpoint dropped", "entry alive", "entry dead", "entry leaving"}[k]
}

// Event is one change of a member's state.
type Event struct {
	Kind EventKind
	VM   string
	// SinceLastSeen is the time since the member was last seen. It is 0 in events about
	// leaving or cold members, except for EndpointLeaving from the platform's list.
	SinceLastSeen time.Duration
}

// GossipSend is a gossip request and its receiver.
type GossipSend struct {
	To      Peer
	Request *pb.GossipRequest
}

// ReportSend is a report or a probe and its receiver.
type ReportSend struct {
	To      Peer
	Request *pb.ReportRequest
	// revision is the revision of the load that a full report carries; zero for other reports.
	revision uint64
}

// Output holds the messages to send and the events to handle after a tick of an Entry.
type Output struct {
	Gossip []GossipSend
	Probes []ReportSend
	Events []Event
}

// EndpointView is the state of one endpoint as passed to routing.
type EndpointView struct {
	Peer
	Incarnation Incarnation
	State       State
	Leaving     bool
	LastSeen    time.Duration
	// Report merges the last full report with the newer values of compact ones. Later
	// reports replace it and do not change it, so callers may keep it.
	Report *pb.ReportRequest
}

// EntryView is the state of one entry as passed to other packages.
type EntryView struct {
	Peer
	Incarnation Incarnation
	State       State
	Leaving     bool
}
