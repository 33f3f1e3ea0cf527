package membership

import (
	"cmp"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
)

const (
	// CallTimeout bounds one gossip exchange or probe.
	CallTimeout = 250 * time.Millisecond
	// ReportTimeout bounds one report.
	ReportTimeout = 150 * time.Millisecond
	// JoinSpread is the time over which joins are spread when everything restarts.
	JoinSpread = 10 * time.Second
	// SuspectAfter is the silence after which an endpoint is suspect and probed.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the silence after which an endpoint whose probes failed is dead.
	DeadAfter = 2500 * time.Millisecond
	// LeaveTimeout bounds the wait for acknowledgements of the leaving state.
	LeaveTimeout = 3 * time.Second
)

// Self describes the own process.
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

// VM is one line of the platform's lagging list of VMs.
type VM struct {
	Peer
	Entry   bool
	Leaving bool
}

// Incarnation orders the lives of one VM's process. The counter is compared first,
// then the random id.
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
	// Unverified members are known only from others or from the platform's list.
	Unverified State = iota
	// Alive members have given a recent sign of life.
	Alive
	// Suspect members are silent and being probed. They are chosen last.
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
	// EndpointAlive reports an endpoint's first sign of life, or the first after silence.
	EndpointAlive EventKind = iota
	// EndpointSuspect reports silence for SuspectAfter.
	EndpointSuspect
	// EndpointDead reports silence for DeadAfter.
	EndpointDead
	// EndpointLeaving reports that an endpoint is to get no new work.
	EndpointLeaving
	// EndpointCold reports that an endpoint became cold.
	EndpointCold
	// EndpointNewIncarnation reports that an endpoint process restarted.
	EndpointNewIncarnation
	// EndpointDropped reports that a live endpoint now reports to other entries.
	EndpointDropped
	// EntryAlive reports an entry's first sign of life, or the first after silence.
	EntryAlive
	// EntryDead reports that an entry is silent and does not answer.
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
	// SinceLastSeen is the time since the member's last sign of life.
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
}

// Output is what an Entry wants to have done after a tick.
type Output struct {
	Gossip []GossipSend
	Probes []ReportSend
	Events []Event
}

// EndpointView is one endpoint as routing sees it.
type EndpointView struct {
	Peer
	Incarnation Incarnation
	State       State
	Leaving     bool
	LastSeen    time.Duration
	// Report merges the last full report and the newer values of compact ones. It is
	// replaced, not changed, by later reports, so that it may be kept.
	Report *pb.ReportRequest
}

// EntryView is one entry as other packages see it.
type EntryView struct {
	Peer
	Incarnation Incarnation
	State       State
	Leaving     bool
}
