package swarm

import (
	"math/bits"
	"slices"
	"time"

	"laburnumgw/lib/weights"
)

const (
	// avoidChunkTimes is the first period, in chunk times, for which a peer is avoided
	// after a fault. It doubles with each further fault.
	avoidChunkTimes = 8
	// maxAvoidDoublings bounds that period.
	maxAvoidDoublings = 4
	// maxIntegrityFaults is the number of integrity faults (corrupt chunks, and chunks that
	// were advertised but not held) after which a peer is banned for this version.
	maxIntegrityFaults = 3
)

// peer is the state that a Machine keeps about another VM.
type peer struct {
	Member
	held      weights.Bitmap
	heldCount int
	neighbour bool
	// absent is set while the peer has not started the version or does not respond, as of the last exchange. It was asked
	// whether it is there at askedAt, if isAsked is set.
	absent  bool
	isAsked bool
	askedAt time.Duration
	// hasSentBitmap is set once the peer has sent its bitmap.
	hasSentBitmap bool
	// pendingFetches is the number of unfinished fetches from the peer.
	pendingFetches int
	// faults counts the faults since the last successful fetch.
	faults int
	// integrityFaults counts corrupt chunks, and chunks that were advertised but not held.
	integrityFaults int
	avoidUntil      time.Duration
	// slow is set when a fetch from the peer runs for slowChunkTimes, and cleared by a
	// faster successful one. Slow peers are asked only when no other usable peer offers a
	// missing chunk.
	slow      bool
	busyUntil time.Duration
	// refusals counts the requests that the peer refused for lack of an upload slot since
	// the last successful fetch.
	refusals int
	// slotRefused is set when this VM refused the peer an upload slot, at slotRefusedAt.
	slotRefused   bool
	slotRefusedAt time.Duration
	// reportedCount is the number of this VM's chunks in the last bitmap sent to the peer.
	reportedCount int
	hasExchanged  bool
	lastExchange  time.Duration
}

func (p *peer) banned() bool { return p.integrityFaults >= maxIntegrityFaults }

func (p *peer) trusted(now time.Duration) bool { return !p.banned() && now >= p.avoidUntil }

// setHeld replaces the peer's bitmap and updates the number of holders per chunk.
func (m *Machine) setHeld(p *peer, held weights.Bitmap) {
	counts := p.Region == m.cfg.Self.Region
	before, after := p.held.Words(), held.Words()
	for i := range after {
		gained := after[i] &^ before[i]
		lost := before[i] &^ after[i]
		for ; counts && gained != 0; gained &= gained - 1 {
			m.holders[i*64+bits.TrailingZeros64(gained)]++
		}
		for ; counts && lost != 0; lost &= lost - 1 {
			m.holders[i*64+bits.TrailingZeros64(lost)]--
		}
	}
	wasKnown := p.heldCount > 0
	p.held = held
	p.heldCount = held.Count()
	switch known := p.heldCount > 0; {
	case known && !wasKnown:
		m.peersWithChunks = append(m.peersWithChunks, p)
	case !known && wasKnown:
		m.peersWithChunks = slices.DeleteFunc(m.peersWithChunks, func(other *peer) bool { return other == p })
	}
}

// recordFault makes this VM avoid a peer for a period that doubles with each fault.
func (m *Machine) recordFault(now time.Duration, p *peer) {
	period := avoidChunkTimes * m.cfg.ChunkTime << min(p.faults, maxAvoidDoublings)
	p.faults++
	p.avoidUntil = max(p.avoidUntil, now+period)
}

// recordIntegrityFault is recordFault for a peer that sent wrong bytes or advertised a chunk
// that it does not hold. It discards the bitmap of a peer that is banned by it.
func (m *Machine) recordIntegrityFault(now time.Duration, p *peer) {
	m.recordFault(now, p)
	p.integrityFaults++
	if p.banned() {
		m.setHeld(p, weights.NewBitmap(m.cfg.Chunks))
	}
}

// handleMembers adds and removes peers and computes the plan for the new members.
func (m *Machine) handleMembers(members []Member) {
	m.plan = m.cfg.Planner(members)
	m.maxRegionMembers = max(m.maxRegionMembers, len(m.plan.vmsByRegion[m.cfg.Self.Region]))
	kept := m.peers[:0]
	for _, p := range m.peers {
		member, live := m.plan.members[p.VM]
		if live && member == p.Member {
			p.neighbour = false
			kept = append(kept, p)
			continue
		}
		m.dropPeer(p)
	}
	clear(m.peers[len(kept):])
	m.peers = kept
	for _, member := range members {
		if member.VM != m.cfg.Self.VM && m.byVM[member.VM] == nil {
			p := &peer{Member: member, held: weights.NewBitmap(m.cfg.Chunks)}
			m.byVM[member.VM] = p
			m.peers = append(m.peers, p)
		}
	}
	m.selectNeighbours()
	m.assignSourceChunks()
}

func (m *Machine) dropPeer(p *peer) {
	for _, f := range m.fetchesFrom(p) {
		m.cancel(f)
	}
	m.dropUploads(p.VM)
	m.setHeld(p, weights.NewBitmap(m.cfg.Chunks))
	delete(m.byVM, p.VM)
}

func (m *Machine) selectNeighbours() {
	var names []string
	switch m.cfg.Policy {
	case PolicyOriginOnly:
	case PolicyFixedTree:
		parent, children := m.plan.treeLinks(m.cfg.Self.VM)
		m.parent = m.byVM[parent]
		names = append(children, parent)
	default:
		names = m.plan.neighbours(m.cfg.Self, m.cfg.Limits.Neighbours)
	}
	m.neighbours = m.neighbours[:0]
	for _, name := range names {
		m.addNeighbour(m.byVM[name])
	}
	// A peer that selected this VM stays a neighbour across member changes.
	for _, p := range m.peers {
		if p.hasSentBitmap {
			m.addNeighbour(p)
		}
	}
}

// addNeighbour makes a peer a neighbour, up to three times the number that this VM
// selects by itself.
func (m *Machine) addNeighbour(p *peer) {
	if p == nil || p.neighbour || m.cfg.Policy == PolicyOriginOnly {
		return
	}
	otherRegion := p.Region != m.cfg.Self.Region && m.cfg.Policy != PolicyFixedTree
	if otherRegion || len(m.neighbours) >= 3*m.cfg.Limits.Neighbours {
		return
	}
	p.neighbour = true
	m.neighbours = append(m.neighbours, p)
}
