package configsync

import (
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rendezvous"
)

const (
	// pullRetry separates pulls from one process that failed.
	pullRetry = 300 * time.Millisecond
	// remoteDelay is the time for which a process waits for a source in its own zone
	// before it pulls from another zone, so that zones stay together and inter-region
	// links carry few copies.
	remoteDelay = 700 * time.Millisecond
	// forgetSource is the time after which a source that does not answer is forgotten.
	forgetSource = 5 * time.Second
)

// pullState is the pull that is under way.
type pullState struct {
	busy bool
	to   string
	// whole is set after a delta could not be completed.
	whole bool
}

// ObserveGeneration handles the generation that a peer announced in any message.
func (n *Node) ObserveGeneration(now time.Duration, peer Peer, generation uint64) {
	if generation == 0 || peer.VM == n.self.VM {
		return
	}
	old, ok := n.heard[peer.VM]
	if generation <= old.generation {
		return
	}
	if !ok && len(n.heard) >= maxHeard {
		clear(n.heard)
	}
	n.heard[peer.VM] = heardFrom{peer: peer, generation: generation, since: now}
	n.behind = n.behind || generation > n.newest().GetGeneration()
}

func (n *Node) highestHeard() uint64 {
	var highest uint64
	for _, h := range n.heard {
		highest = max(highest, h.generation)
	}
	return highest
}

// source returns the process to pull from: one of the own zone if there is any.
func (n *Node) source(now time.Duration) (heardFrom, bool) {
	own := n.newest().GetGeneration()
	var best heardFrom
	found := false
	for _, h := range n.heard {
		if h.generation <= own || now < n.readyAt(h) {
			continue
		}
		if !found || n.prefer(h, best) {
			best = h
			found = true
		}
	}
	return best, found
}

// readyAt returns the time from which a process may be pulled from.
func (n *Node) readyAt(h heardFrom) time.Duration {
	at := h.retryAt
	if h.peer.Zone != n.self.Zone && len(n.zone) > 0 && n.role == RoleEndpoint {
		at = max(at, h.since+remoteDelay)
	}
	return at
}

// prefer orders sources by zone and generation, and spreads the pulls of a zone's
// processes over sources that are equal in both.
func (n *Node) prefer(a, b heardFrom) bool {
	if localA, localB := a.peer.Zone == n.self.Zone, b.peer.Zone == n.self.Zone; localA != localB {
		return localA
	}
	if a.generation != b.generation {
		return a.generation > b.generation
	}
	return rendezvous.Score(n.self.VM, a.peer.VM) > rendezvous.Score(n.self.VM, b.peer.VM)
}

func (n *Node) nextPull() time.Duration {
	if n.pull.busy || !n.behind {
		return never
	}
	own := n.newest().GetGeneration()
	next := never
	for _, h := range n.heard {
		if h.generation > own {
			next = min(next, n.readyAt(h))
		}
	}
	return next
}

func (n *Node) tickPull(now time.Duration) {
	if n.pull.busy || !n.behind {
		return
	}
	n.forgetSources(now)
	n.behind = n.highestHeard() > n.newest().GetGeneration()
	from, found := n.source(now)
	if !found {
		return
	}
	n.pull.busy = true
	n.pull.to = from.peer.VM
	have := n.newest().GetGeneration()
	if n.pull.whole {
		have = 0
	}
	pull := Pull{To: from.peer, Request: &pb.GetConfigRequest{HaveGeneration: have}, Timeout: deltaTimeout}
	if have == 0 {
		pull.Timeout = wholeTimeout
	}
	n.out.Pulls = append(n.out.Pulls, pull)
}

// forgetSources drops what was heard from processes that do not answer pulls, so that a
// joining process does not wait for them.
func (n *Node) forgetSources(now time.Duration) {
	own := n.newest().GetGeneration()
	for vm, h := range n.heard {
		if h.generation > own && h.retryAt > 0 && now-h.since >= forgetSource {
			delete(n.heard, vm)
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

// PullResult handles the answer to a pull; a nil bundle means that the call failed.
func (n *Node) PullResult(now time.Duration, pull Pull, bundle *pb.ConfigBundle) {
	if pull.Request.GetHaveGeneration() == queryGeneration {
		n.queryResult(now, pull, bundle)
		return
	}
	if n.pull.to == pull.To.VM {
		n.pull.busy = false
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
		// The peer announced a generation that it no longer has: it restarted.
		delete(n.heard, pull.To.VM)
	case have == 0:
		n.pull.whole = false
		n.accept(now, pull.To.VM, bundle)
	default:
		n.acceptDelta(now, pull, bundle)
	}
}

// acceptDelta completes a delta from the own bundle, or else pulls the whole bundle.
func (n *Node) acceptDelta(now time.Duration, pull Pull, short *pb.ConfigBundle) {
	own := n.newest()
	full, ok := fillIn(own, short)
	if !ok {
		n.pull.whole = true
		return
	}
	n.accept(now, pull.To.VM, full)
	if n.Generation() == short.GetGeneration() && placementsNewer(own, short) {
		n.pullPlacements(pull.To)
	}
}

// pullPlacements asks a process of the own generation for its placements.
func (n *Node) pullPlacements(from Peer) {
	request := &pb.GetConfigRequest{HaveGeneration: n.Generation()}
	n.out.Pulls = append(n.out.Pulls, Pull{To: from, Request: request, Timeout: wholeTimeout})
}

func (n *Node) sourceFailed(now time.Duration, vm string) {
	h, ok := n.heard[vm]
	if !ok {
		return
	}
	h.retryAt = now + jittered(n.rng, pullRetry)
	n.heard[vm] = h
}

// queryResult handles an answer that holds only generation, digest and placements.
func (n *Node) queryResult(now time.Duration, pull Pull, answer *pb.ConfigBundle) {
	n.joinAnswer(now, pull.To.VM, answer)
	if answer == nil {
		return
	}
	n.ObserveGeneration(now, pull.To, answer.GetGeneration())
	if n.current == nil || answer.GetGeneration() != n.Generation() {
		return
	}
	n.checkDigest(pull.To.VM, answer)
	if placementsNewer(n.current, answer) && answer.GetDigest() == n.current.GetDigest() {
		n.pullPlacements(pull.To)
	}
}
