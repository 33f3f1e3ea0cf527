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
	// fanOut is the number of entries that an entry notifies of a new generation.
	fanOut = 4
	// watchersPerZone is the number of entries per zone that watch the platform.
	watchersPerZone = 2
	// maxPushAttempts bounds how often a notice is sent until its call succeeds.
	maxPushAttempts = 4
	// suspensionThreshold is the time between ticks above which the machine is taken to have
	// been suspended; the process then queries its neighbours again before it serves.
	suspensionThreshold = 2 * time.Second
	// maxTickInterval is the longest scheduled time between ticks.
	maxTickInterval = 500 * time.Millisecond
	// repairInterval separates the queries that compare digests and placements.
	repairInterval = 10 * time.Second
	// maxAnnouncements bounds the table of generations that peers announced. The table is
	// cleared when it is full.
	maxAnnouncements = 4096
)

// Node is the propagation state machine of one process.
type Node struct {
	self    membership.Self
	role    Role
	rng     *rand.Rand
	seeds   []Peer
	members []Peer
	// zoneEntries are the members in the own zone.
	zoneEntries []Peer
	joined      bool

	// current is the active bundle, or nil.
	current   *pb.ConfigBundle
	history   history
	announced map[string]announcement
	out       Output
	// behind is set when a peer announced a higher generation than the newest bundle held.
	behind bool
	alarms map[Alarm]bool
	pushes []pendingPush

	join     joinState
	pull     pullState
	platform platformState

	// nextRepair is the time of the next periodic query to a random entry.
	nextRepair time.Duration
	// nextRevisionQuery is the time of the next query that a placement revision may cause.
	nextRevisionQuery time.Duration
	lastTick          time.Duration
	// ticked is set by the first tick.
	ticked bool
}

// announcement is the highest generation that a peer announced.
type announcement struct {
	peer       Peer
	generation uint64
	receivedAt time.Duration
	// retryAt is the time before which the peer is not pulled from after a failure, or 0.
	retryAt time.Duration
}

// pendingPush is a notice that is due or was sent without a response so far.
type pendingPush struct {
	push     Push
	attempts int
	dueAt    time.Duration
}

// NewNode returns the state machine of a process that starts at now. Seeds are the entries
// known from settings.
func NewNode(self membership.Self, role Role, seeds []Peer, now time.Duration, rng *rand.Rand) *Node {
	n := &Node{self: self, role: role, rng: rng, announced: make(map[string]announcement), alarms: make(map[Alarm]bool)}
	for _, seed := range seeds {
		if seed.VM != self.VM {
			n.seeds = append(n.seeds, seed)
		}
	}
	n.nextRepair = now + jittered(rng, repairInterval)
	n.startJoin(now, nil)
	return n
}

// jittered returns a random duration between 0.5 and 1.5 times the interval.
func jittered(rng *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.5 + rng.Float64()))
}

// Ready reports whether the process may serve: it has an active configuration, and it has
// queried its neighbours since it started and since the last suspension of its machine.
func (n *Node) Ready() bool { return n.current != nil && n.join.done }

// Generation returns the active generation, or 0.
func (n *Node) Generation() uint64 { return n.current.GetGeneration() }

// Current returns the active bundle, or nil. The caller must not change it.
func (n *Node) Current() *pb.ConfigBundle { return n.current }

// SetMembers sets the live entries other than the own process, and whether the own process
// takes part in membership under its current incarnation.
func (n *Node) SetMembers(now time.Duration, joined bool, entries []Peer) {
	n.joined = joined
	n.members = entries
	n.zoneEntries = n.zoneEntries[:0]
	for _, peer := range entries {
		if peer.Zone == n.self.Zone {
			n.zoneEntries = append(n.zoneEntries, peer)
		}
	}
	n.updateWatcher(now)
}

// Watcher reports whether the process watches the platform.
func (n *Node) Watcher() bool { return n.platform.watcher }

// ranksAsWatcher reports whether the own process is one of the watchersPerZone entries that
// rank highest in its zone.
func (n *Node) ranksAsWatcher() bool {
	if n.role != RoleEntry || !n.joined {
		return false
	}
	own := rendezvous.Score(n.self.Zone, n.self.VM)
	higher := 0
	for _, peer := range n.zoneEntries {
		if rendezvous.Score(n.self.Zone, peer.VM) > own {
			higher++
		}
	}
	return higher < watchersPerZone
}

// Next returns the time at which Tick is due.
func (n *Node) Next() time.Duration {
	next := n.lastTick + maxTickInterval
	next = min(next, n.join.nextAt(), n.platform.nextAt(), n.nextPull())
	for _, p := range n.pushes {
		next = min(next, p.dueAt)
	}
	return next
}

// Tick advances the clock and returns the calls that are due, the alarms, and the bundle to
// activate.
func (n *Node) Tick(now time.Duration) Output {
	if n.ticked && now-n.lastTick > suspensionThreshold {
		n.handleSuspension(now)
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

// handleSuspension handles a suspension of the machine that has ended: the results of calls
// in flight are unknown, and neighbours may have activated newer generations.
func (n *Node) handleSuspension(now time.Duration) {
	n.pull.inFlight = false
	n.startJoin(now, n.join.best)
}

// accept adopts a complete bundle, or its placements, if they are newer. It reports whether
// they were.
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
		n.join.configFound = true
		return true
	}
	n.activate(now, bundle)
	return true
}

// newest returns the newest bundle that the process holds, active or not.
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

// alarm raises an alarm once per active generation.
func (n *Node) alarm(kind AlarmKind, source string, generation uint64) {
	alarm := Alarm{Kind: kind, Source: source, Generation: generation, OwnGeneration: n.newest().GetGeneration()}
	if n.alarms[alarm] {
		return
	}
	n.alarms[alarm] = true
	n.out.Alarms = append(n.out.Alarms, alarm)
}

// activate switches to a bundle and, on an entry, notifies others of it.
func (n *Node) activate(now time.Duration, bundle *pb.ConfigBundle) {
	n.current = bundle
	n.join.best = bundle
	clear(n.alarms)
	n.history.add(bundle)
	n.out.Activate = bundle
	n.notify(now, &pb.ConfigBundle{Generation: bundle.GetGeneration(), Digest: bundle.GetDigest()})
}

// notify replaces the pending notices by one to each of some random entries of the zone. It
// skips entries that have announced the generation, unless the notice carries placements.
func (n *Node) notify(now time.Duration, notice *pb.ConfigBundle) {
	if n.role != RoleEntry {
		return
	}
	n.pushes = nil
	for _, peer := range n.sampleZone(fanOut) {
		if n.announced[peer.VM].generation >= notice.GetGeneration() && len(notice.GetPlacements()) == 0 {
			continue
		}
		n.pushes = append(n.pushes, pendingPush{push: Push{To: peer, Bundle: notice}, dueAt: now})
	}
}

// sampleZone returns up to count random live entries of the zone.
func (n *Node) sampleZone(count int) []Peer {
	order := n.rng.Perm(len(n.zoneEntries))
	peers := make([]Peer, 0, count)
	for _, i := range order[:min(count, len(order))] {
		peers = append(peers, n.zoneEntries[i])
	}
	return peers
}

func (n *Node) tickPushes(now time.Duration) {
	kept := n.pushes[:0]
	for _, p := range n.pushes {
		if now < p.dueAt {
			kept = append(kept, p)
			continue
		}
		n.out.Pushes = append(n.out.Pushes, p.push)
		p.attempts++
		p.dueAt = now + 2*CallTimeout
		if p.attempts < maxPushAttempts {
			kept = append(kept, p)
		}
	}
	n.pushes = kept
}

// PushResult handles the response to a push; nil means that the call failed.
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
// operator, who pushes a complete bundle that the platform has accepted.
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

// tickRepair periodically queries a random entry of the zone to compare digest and
// placements.
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
