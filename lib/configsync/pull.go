package configsync

import (
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rendezvous"
)

const (
	// pullRetryDelay separates a failed pull from the next pull from the same process. It is
	// jittered.
	pullRetryDelay = 300 * time.Millisecond
	// remotePullDelay is the time for which an endpoint process waits for a source in its own
	// zone before it pulls from another zone, so that the processes of a zone switch together
	// and inter-region links carry few copies.
	remotePullDelay = 700 * time.Millisecond
	// sourceExpiry is the time after which the announcement of a source that does not respond
	// to pulls is dropped.
	sourceExpiry = 5 * time.Second
)

// pullState is the state of the pull of a newer generation, of which at most one is in
// flight.
type pullState struct {
	inFlight bool
	toVM     string
	// needComplete is set when a delta could not be completed, so that the next pull
	// requests the complete bundle.
	needComplete bool
}

// ObserveGeneration handles the generation that a peer announced in any message.
func (n *Node) ObserveGeneration(now time.Duration, peer Peer, generation uint64) {
	if generation == 0 || peer.VM == n.self.VM {
		return
	}
	old, ok := n.announced[peer.VM]
	if generation <= old.generation {
		return
	}
	if !ok && len(n.announced) >= maxAnnouncements {
		clear(n.announced)
	}
	n.announced[peer.VM] = announcement{peer: peer, generation: generation, receivedAt: now}
	n.behind = n.behind || generation > n.newest().GetGeneration()
}

func (n *Node) highestAnnounced() uint64 {
	var highest uint64
	for _, a := range n.announced {
		highest = max(highest, a.generation)
	}
	return highest
}

// pickSource returns the process to pull from: one of the own zone if there is any.
func (n *Node) pickSource(now time.Duration) (announcement, bool) {
	own := n.newest().GetGeneration()
	var best announcement
	found := false
	for _, a := range n.announced {
		if a.generation <= own || now < n.readyAt(a) {
			continue
		}
		if !found || n.preferable(a, best) {
			best = a
			found = true
		}
	}
	return best, found
}

// readyAt returns the earliest time at which to pull from a process.
func (n *Node) readyAt(a announcement) time.Duration {
	at := a.retryAt
	if a.peer.Zone != n.self.Zone && len(n.zoneEntries) > 0 && n.role == RoleEndpoint {
		at = max(at, a.receivedAt+remotePullDelay)
	}
	return at
}

// preferable reports whether source a is preferable to source b. It orders sources by zone
// and generation, and spreads the pulls of a zone's processes over sources that are equal
// in both.
func (n *Node) preferable(a, b announcement) bool {
	if localA, localB := a.peer.Zone == n.self.Zone, b.peer.Zone == n.self.Zone; localA != localB {
		return localA
	}
	if a.generation != b.generation {
		return a.generation > b.generation
	}
	return rendezvous.Score(n.self.VM, a.peer.VM) > rendezvous.Score(n.self.VM, b.peer.VM)
}

func (n *Node) nextPull() time.Duration {
	if n.pull.inFlight || !n.behind {
		return never
	}
	own := n.newest().GetGeneration()
	next := never
	for _, a := range n.announced {
		if a.generation > own {
			next = min(next, n.readyAt(a))
		}
	}
	return next
}

func (n *Node) tickPull(now time.Duration) {
	if n.pull.inFlight || !n.behind {
		return
	}
	n.expireSources(now)
	n.behind = n.highestAnnounced() > n.newest().GetGeneration()
	from, found := n.pickSource(now)
	if !found {
		return
	}
	n.pull.inFlight = true
	n.pull.toVM = from.peer.VM
	have := n.newest().GetGeneration()
	if n.pull.needComplete {
		have = 0
	}
	pull := Pull{To: from.peer, Request: &pb.GetConfigRequest{HaveGeneration: have}, Timeout: deltaTimeout}
	if have == 0 {
		pull.Timeout = completeTimeout
	}
	n.out.Pulls = append(n.out.Pulls, pull)
}

// expireSources drops the announcements of processes that do not respond to pulls, so that
// a joining process does not wait for them.
func (n *Node) expireSources(now time.Duration) {
	own := n.newest().GetGeneration()
	for vm, a := range n.announced {
		if a.generation > own && a.retryAt > 0 && now-a.receivedAt >= sourceExpiry {
			delete(n.announced, vm)
		}
	}
}

// Get handles a GetConfig call.
func (n *Node) Get(request *pb.GetConfigRequest) *pb.ConfigBundle {
	if n.current == nil {
		return &pb.ConfigBundle{}
	}
	switch have := request.GetHaveGeneration(); {
	case have == n.current.GetGeneration():
		return placementNotice(n.current, n.current.GetPlacements())
	case have > n.current.GetGeneration():
		return summary(n.current)
	}
	return n.history.delta(n.current, request.GetHaveGeneration())
}

// PullResult handles the response to a pull; a nil bundle means that the call failed.
func (n *Node) PullResult(now time.Duration, pull Pull, bundle *pb.ConfigBundle) {
	if pull.Request.GetHaveGeneration() == queryGeneration {
		n.queryResult(now, pull, bundle)
		return
	}
	if n.pull.toVM == pull.To.VM {
		n.pull.inFlight = false
	}
	if bundle == nil {
		n.sourceFailed(now, pull.To.VM)
		return
	}
	have := pull.Request.GetHaveGeneration()
	switch {
	case bundle.GetGeneration() == have && bundle.GetGeneration() == n.Generation():
		n.checkDigest(pull.To.VM, bundle)
		n.mergePlacements(bundle)
	case bundle.GetGeneration() <= have:
		// The peer announced a generation that it no longer has, because it restarted.
		delete(n.announced, pull.To.VM)
	case have == 0:
		n.pull.needComplete = false
		n.accept(now, pull.To.VM, bundle)
	default:
		n.acceptDelta(now, pull, bundle)
	}
}

// acceptDelta completes a delta from the own bundle, or else causes a pull of the complete
// bundle.
func (n *Node) acceptDelta(now time.Duration, pull Pull, delta *pb.ConfigBundle) {
	own := n.newest()
	full, ok := completeDelta(own, delta)
	if !ok {
		n.pull.needComplete = true
		return
	}
	n.accept(now, pull.To.VM, full)
	if n.Generation() == delta.GetGeneration() && hasNewerPlacements(own, delta) {
		n.pullPlacements(pull.To)
	}
}

// pullPlacements pulls the complete placements from a process of the own generation.
func (n *Node) pullPlacements(from Peer) {
	request := &pb.GetConfigRequest{HaveGeneration: n.Generation()}
	n.out.Pulls = append(n.out.Pulls, Pull{To: from, Request: request, Timeout: completeTimeout})
}

func (n *Node) sourceFailed(now time.Duration, vm string) {
	a, ok := n.announced[vm]
	if !ok {
		return
	}
	a.retryAt = now + jittered(n.rng, pullRetryDelay)
	n.announced[vm] = a
}

// queryResult handles the response to a query, which holds only the generation, the digest
// and the placements without assignments.
func (n *Node) queryResult(now time.Duration, pull Pull, response *pb.ConfigBundle) {
	n.joinQueryResult(now, pull.To.VM, response)
	if response == nil {
		return
	}
	n.ObserveGeneration(now, pull.To, response.GetGeneration())
	if n.current == nil || response.GetGeneration() != n.Generation() {
		return
	}
	n.checkDigest(pull.To.VM, response)
	if hasNewerPlacements(n.current, response) && response.GetDigest() == n.current.GetDigest() {
		n.pullPlacements(pull.To)
	}
}
