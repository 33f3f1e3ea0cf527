package configsync

import (
	"math"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membership"
)

const (
	// CallTimeout bounds one call between processes.
	CallTimeout = 250 * time.Millisecond
	// deltaTimeout bounds one pull whose response holds only the changes.
	deltaTimeout = 400 * time.Millisecond
	// completeTimeout bounds one pull whose response may hold a complete bundle or complete
	// placements.
	completeTimeout = 2 * time.Second
	// queryGeneration, sent as have_generation, requests only the generation, the digest and
	// the placements without assignments.
	queryGeneration = math.MaxUint64
)

// Peer names another process.
type Peer = membership.Peer

// Role is the role of a process.
type Role int

// Roles of processes.
const (
	// RoleEntry processes may watch the platform and forward notices.
	RoleEntry Role = iota
	// RoleEndpoint processes only pull.
	RoleEndpoint
)

// AlarmKind classifies an alarm.
type AlarmKind int

// Kinds of alarms.
const (
	// PlatformGenerationOlder means that the platform holds a lower generation than the active
	// one.
	PlatformGenerationOlder AlarmKind = iota
	// DigestDiffers means that a source holds the own generation with another digest.
	DigestDiffers
	// WroteBack means that a write-back of the newer bundle succeeded, or found that the
	// platform already held it.
	WroteBack
)

// String returns a description of the kind.
func (k AlarmKind) String() string {
	return [...]string{"platform shows an older generation", "same generation with another digest",
		"newer bundle written back to the platform"}[k]
}

// Alarm is an event that operators need to see.
type Alarm struct {
	Kind AlarmKind
	// Source is a VM, "platform" or "operator".
	Source        string
	Generation    uint64
	OwnGeneration uint64
}

// Pull is a GetConfig call.
type Pull struct {
	To      Peer
	Request *pb.GetConfigRequest
	Timeout time.Duration
}

// Push is a PushConfig call that carries a notice or placements.
type Push struct {
	To     Peer
	Bundle *pb.ConfigBundle
}

// WriteBack is a conditional write of a bundle to the platform.
type WriteBack struct {
	Bundle      *pb.ConfigBundle
	HeadVersion int64
}

// Watch is a long poll for changes after a version.
type Watch struct {
	After int64
}

// ReadResult is the platform's configuration. A nil Bundle means that config/head does
// not exist.
type ReadResult struct {
	Bundle *pb.ConfigBundle
	// HeadVersion is the object version of config/head.
	HeadVersion int64
	// Version is the version to watch from.
	Version int64
}

// Output holds the actions that the driver of a Node must take after a tick.
type Output struct {
	// Activate is the bundle to switch to, or nil.
	Activate  *pb.ConfigBundle
	Pulls     []Pull
	Pushes    []Push
	Read      bool
	Watch     *Watch
	StopWatch bool
	WriteBack *WriteBack
	Alarms    []Alarm
}
