package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rendezvous"
)

const (
	// fanOut is the number of entries that a process notifies of a new generation.
	fanOut = 4
	// watchersPerZone is the number of entries per zone that watch the platform.
	watchersPerZone = 2
	// pushTries bounds the repetitions of a notice whose call failed.
	pushTries = 4
	// pauseGap is the time between ticks above which the process was paused and asks its
	// neighbours again before it serves.
	pauseGap = 2 * time.Second
	// checkInterval is the longest time between ticks.
	checkInterval = 500 * time.Millisecond
	// repairInterval separates the queries that compare digests and placements.
	repairInterval = 10 * time.Second
	// maxHeard bounds the table of generations heard from peers.
	maxHeard = 4096
)

// Node is the propagation state machine of one process.
type Node struct {
	self    membership.Self
	role    Role
	rng     *rand.Rand
	seeds   []Peer
	members []Peer
	zone    []Peer
	joined  bool

	// current is the bundle that the process acts on.
	current *pb.ConfigBundle
	history history
	heard   map[string]heardFrom
	out     Output
	// behind is set when a peer announced a higher generation.
	behind bool
	alarms map[Alarm]bool
	pushes []pendingPush

	join     joinState
	pull     pullState
	platform platformState

	nextRepair time.Duration
	// nextRevision is the time of the next query that a placement revision may cause.
	nextRevision time.Duration
	lastTick     time.Duration
	ticked       bool
}

// heardFrom is the last generation that a peer announced.
type heardFrom struct {
	peer       Peer
	generation uint64
	since      time.Duration
	retryAt    time.Duration
}

// pendingPush is a notice that is sent or waits for its repetition.
type pendingPush struct {
	push  Push
	tries int
	at    time.Duration
}

// NewNode returns the state machine of a process that starts at now. Seeds are entries
// known from settings.
func NewNode(self membership.Self, role Role, seeds []Peer, now time.Duration, rng *rand.Rand) *Node {
	n := &Node{self: self, role: role, rng: rng, heard: make(map[string]heardFrom), alarms: make(map[Alarm]bool)}
	for _, seed := range seeds {
		if seed.VM != self.VM {
			n.seeds = append(n.seeds, seed)
		}
	}
	n.nextRepair = now + jittered(rng, repairInterval)
	n.startJoin(now, nil)
	return n
}

func jittered(rng *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.5 + rng.Float64()))
}

// Ready reports whether the process may serve: it has a configuration, and it has asked
// its neighbours since it started or was paused.
func (n *Node) Ready() bool { return n.current != nil && n.join.done }

// Generation returns the generation that the process acts on, or 0.
func (n *Node) Generation() uint64 { return n.current.GetGeneration() }

// Current returns the bundle that the process acts on, or nil. It must not be changed.
func (n *Node) Current() *pb.ConfigBundle { return n.current }

// SetMembers sets the live entries, the own one left out, and whether the own process
// takes part in membership under its own incarnation.
func (n *Node) SetMembers(now time.Duration, joined bool, entries []Peer) {
	n.joined = joined
	n.members = entries
	n.zone = n.zone[:0]
	for _, peer := range entries {
		if peer.Zone == n.self.Zone {
			n.zone = append(n.zone, peer)
		}
	}
	n.updateWatcher(now)
}

// Watcher reports whether the process watches the platform.
func (n *Node) Watcher() bool { return n.platform.watcher }

// ranksAsWatcher reports whether the own entry is among its zone's highest-ranking ones.
func (n *Node) ranksAsWatcher() bool {
	if n.role != RoleEntry || !n.joined {
		return false
	}
	own := rendezvous.Score(n.self.Zone, n.self.VM)
	higher := 0
	for _, peer := range n.zone {
		if rendezvous.Score(n.self.Zone, peer.VM) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

// Next returns the time at which Tick is due.
func (n *Node) Next() time.Duration {
	next := n.lastTick + checkInterval
	next = min(next, n.join.nextAt(), n.platform.nextAt(), n.nextPull())
	for _, p := range n.pushes {
		next = min(next, p.at)
	}
	return next
}

// Tick advances the clock and returns what is due.
func (n *Node) Tick(now time.Duration) Output {
	if n.ticked && now-n.lastTick > pauseGap {
		n.resume(now)
	}
	n.lastTick = now
	n.ticked = true
	n.tickJoin(now)
	n.tickPull(now)
	n.tickPlatform(now)
	n.tickRepair(now)
	n.tickPushes(now)
	out := n.out
	n.out = Output{}
	return out
}

// resume handles the return from a pause: answers that were under way are unknown, and
// neighbours may have moved on.
func (n *Node) resume(now time.Duration) {
	n.pull.busy = false
	n.startJoin(now, n.join.best)
}

// accept takes a complete bundle over if it is newer. It reports whether it was.
func (n *Node) accept(now time.Duration, source string, bundle *pb.ConfigBundle) bool {
	own := n.newest()
	switch {
	case bundle.GetGeneration() == 0:
		return false
	case bundle.GetGeneration() < own.GetGeneration():
		return false
	case own != nil && bundle.GetGeneration() == own.GetGeneration():
		n.checkDigest(source, bundle)
		return n.mergePlacements(bundle)
	}
	bundle = withPlacements(own, bundle, bundle.GetPlacements())
	if !n.join.done {
		n.join.best = bundle
		n.join.sourced = true
		return true
	}
	n.act(now, bundle)
	return true
}

// newest returns the newest bundle that the process holds, acted on or not.
func (n *Node) newest() *pb.ConfigBundle {
	if n.join.best.GetGeneration() > n.current.GetGeneration() {
		return n.join.best
	}
	return n.current
}

func (n *Node) checkDigest(source string, bundle *pb.ConfigBundle) {
	own := n.newest()
	if bundle.GetDigest() == own.GetDigest() {
		return
	}
	n.alarm(DigestDiffers, source, bundle.GetGeneration())
}

// alarm raises an alarm once per generation acted on.
func (n *Node) alarm(kind AlarmKind, source string, generation uint64) {
	alarm := Alarm{Kind: kind, Source: source, Generation: generation, OwnGeneration: n.newest().GetGeneration()}
	if n.alarms[alarm] {
		return
	}
	n.alarms[alarm] = true
	n.out.Alarms = append(n.out.Alarms, alarm)
}

// act switches to a bundle and notifies others of it.
func (n *Node) act(now time.Duration, bundle *pb.ConfigBundle) {
	n.current = bundle
	n.join.best = bundle
	clear(n.alarms)
	n.history.add(bundle)
	n.out.Activate = bundle
	n.notify(now, &pb.ConfigBundle{Generation: bundle.GetGeneration(), Digest: bundle.GetDigest()})
}

// notify sends a notice to random entries of the zone.
func (n *Node) notify(now time.Duration, notice *pb.ConfigBundle) {
	if n.role != RoleEntry {
		return
	}
	n.pushes = nil
	for _, peer := range n.sampleZone(fanOut) {
		if n.heard[peer.VM].generation >= notice.GetGeneration() && len(notice.GetPlacements()) == 0 {
			continue
		}
		n.pushes = append(n.pushes, pendingPush{push: Push{To: peer, Bundle: notice}, at: now})
	}
}

// sampleZone returns random live entries of the zone.
func (n *Node) sampleZone(count int) []Peer {
	order := n.rng.Perm(len(n.zone))
	peers := make([]Peer, 0, count)
	for _, i := range order[:min(count, len(order))] {
		peers = append(peers, n.zone[i])
	}
	return peers
}

func (n *Node) tickPushes(now time.Duration) {
	kept := n.pushes[:0]
	for _, p := range n.pushes {
		if now < p.at {
			kept = append(kept, p)
			continue
		}
		n.out.Pushes = append(n.out.Pushes, p.push)
		p.tries++
		p.at = now + 2*CallTimeout
		if p.tries < pushTries {
			kept = append(kept, p)
		}
	}
	n.pushes = kept
}

// PushResult handles the answer to a push; a nil response means that the call failed.
func (n *Node) PushResult(now time.Duration, push Push, response *pb.PushConfigResponse) {
	if response == nil {
		return
	}
	n.pushes = slices.DeleteFunc(n.pushes, func(p pendingPush) bool {
		return p.push.To.VM == push.To.VM && p.push.Bundle == push.Bundle
	})
	n.ObserveGeneration(now, push.To, response.GetConfigGeneration())
}

// Push handles a PushConfig call. From is the calling process; it is empty for an
// operator, who hands over a complete bundle that the platform has accepted.
func (n *Node) Push(now time.Duration, from Peer, bundle *pb.ConfigBundle) *pb.PushConfigResponse {
	if from.VM == "" {
		n.accept(now, "operator", bundle)
		return &pb.PushConfigResponse{ConfigGeneration: n.Generation()}
	}
	n.ObserveGeneration(now, from, bundle.GetGeneration())
	if n.current != nil && bundle.GetGeneration() == n.Generation() {
		n.checkDigest(from.VM, bundle)
		newer := newerPlacements(n.current, bundle)
		if n.mergePlacements(bundle) {
			n.notify(now, placementNotice(n.current, newer))
		}
	}
	return &pb.PushConfigResponse{ConfigGeneration: n.Generation()}
}

// tickRepair compares digest and placements with a random entry from time to time.
func (n *Node) tickRepair(now time.Duration) {
	if now < n.nextRepair {
		return
	}
	n.nextRepair = now + jittered(n.rng, repairInterval)
	if peers := n.sampleZone(1); len(peers) > 0 && n.join.done {
		n.out.Pulls = append(n.out.Pulls, query(peers[0]))
	}
}

func query(to Peer) Pull {
	return Pull{To: to, Request: &pb.GetConfigRequest{HaveGeneration: queryGeneration}, Timeout: CallTimeout}
}
