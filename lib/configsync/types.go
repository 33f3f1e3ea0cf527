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
	// deltaTimeout bounds one pull that carries only what has changed.
	deltaTimeout = 400 * time.Millisecond
	// wholeTimeout bounds one pull that may carry a whole bundle.
	wholeTimeout = 2 * time.Second
	// queryGeneration as have_generation asks only for the generation and digest.
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
	// PlatformGenerationOlder means that the platform shows a lower generation than is in force.
	PlatformGenerationOlder AlarmKind = iota
	// DigestDiffers means that a source shows the own generation with another digest.
	DigestDiffers
	// WroteBack means that the newer bundle was written to the platform.
	WroteBack
)

// String returns the kind's name.
func (k AlarmKind) String() string {
	return [...]string{"platform shows an older generation", "same generation with another digest",
		"newer bundle written back to the platform"}[k]
}

// Alarm is an event that operators need to see.
type Alarm struct {
	Kind AlarmKind
	// Source is a VM, or "platform".
	Source     string
	Generation uint64
	OwnGeneration        uint64
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

// Output is what a node wants to have done.
type Output struct {
	// Activate is the bundle to act on from now on, or nil.
	Activate       *pb.ConfigBundle
	Pulls     []Pull
	Pushes    []Push
	Read      bool
	Watch     *Watch
	StopWatch bool
	WriteBack *WriteBack
	Alarms    []Alarm
}
