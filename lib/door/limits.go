package door

import (
	"fmt"
	"syscall"
)

const (
	// ProbeConns is the number of connections at listeners for probes and metrics.
	ProbeConns = 16
	// ownFiles is the number of descriptors that a process keeps for files, where the platform states none.
	ownFiles = 64
	// maxDescriptors stands for a process without a limit.
	maxDescriptors = 1 << 20
	// callerShare, peerShare and nodeShare are the parts of the sockets of a process that callers and other processes may take:
	// peerShare at an entry, and nodeShare at a process without callers. The rest is for connections that the process opens.
	callerShare = 2
	peerShare   = 4
	nodeShare   = 2

	// fieldBytes is what a field of a head takes once it is parsed, its copy for the next hop included, beside its bytes.
	fieldBytes = 320
	// usualHeadBytes and usualFields are part of what a connection takes at least.
	usualHeadBytes = 4 << 10
	usualFields    = 40
)

// OwnSockets returns how many sockets this process may have open by the limit of the system.
func OwnSockets() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit on descriptors: %w", err)
	}
	return max(1, int(min(limit.Cur, maxDescriptors))-ownFiles), nil
}

// Sockets returns how many sockets a process may have open of which a number is stated; without one, that by the limit of the system, zero
// if that cannot be read.
func Sockets(stated int) int {
	if stated > 0 {
		return stated
	}
	own, err := OwnSockets()
	if err != nil {
		return 0
	}
	return own
}

// Callers returns how many connections of callers an entry with a number of sockets takes; zero stands for any number.
func Callers(sockets int) int { return part(sockets, callerShare) }

// Peers returns how many connections of other processes an entry takes.
func Peers(sockets int) int { return part(sockets, peerShare) }

// Nodes returns how many connections of other processes a process without callers takes.
func Nodes(sockets int) int { return part(sockets, nodeShare) }

func part(sockets, share int) int {
	if sockets <= 0 {
		return 0
	}
	return max(1, sockets/share)
}

// HeadBytes returns the memory that a head takes beyond a usual one, of which so many bytes with so many ends of lines have
// arrived.
func HeadBytes(size, lines int64) int64 {
	return max(0, size-usualHeadBytes) + fieldBytes*max(0, lines-usualFields)
}
