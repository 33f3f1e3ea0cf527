package swarm

import (
	"slices"
	"time"
)

const (
	// uploadIdleChunkTimes frees the slot of an upload without progress, for example
	// because the requester was cut off without closing its connection.
	uploadIdleChunkTimes = 16
	// reserveMarginDivisor is the part of all chunks by which a peer must be behind
	// another to get its slot.
	reserveMarginDivisor = 32
	// refusalValidChunkTimes is the time for which a refused peer counts as waiting.
	refusalValidChunkTimes = 6
)

type upload struct {
	id         UploadID
	from       string
	progressAt time.Duration
}

// handleUpload grants a slot or refuses the request. Requests do not wait for a slot:
// a request that waits occupies one of the requester's few downloads, and it would get
// the slot that the present pair of VMs is about to use again.
func (m *Machine) handleUpload(now time.Duration, e UploadRequested) {
	if !m.held.Has(e.Chunk) {
		m.emit(RefuseUpload{ID: e.ID})
		return
	}
	if len(m.uploads) >= m.uploadLimit(e.From) || m.slotReservedForOther(now, e.From) {
		if p := m.byVM[e.From]; p != nil {
			p.slotRefusedAt = now
			p.slotRefused = true
		}
		m.emit(RefuseUpload{ID: e.ID, ChunkHeld: true})
		return
	}
	if e.From == m.reservedFor {
		m.reservedFor = ""
	}
	m.uploads = append(m.uploads, &upload{id: e.ID, from: e.From, progressAt: now})
	m.emit(AcceptUpload{ID: e.ID})
}

// uploadLimit grants one more slot to other regions, since a whole region waits for
// the chunk that its gateway fetches.
// Uploads of other versions take slots, but each version keeps at least one.
func (m *Machine) uploadLimit(from string) int {
	limit := max(1, m.cfg.Limits.UploadSlots-m.otherUploads)
	if p := m.byVM[from]; p != nil && p.Region != m.cfg.Self.Region {
		limit++
	}
	return limit
}

func (m *Machine) handleUploadFinished(now time.Duration, id UploadID) {
	at := slices.IndexFunc(m.uploads, func(u *upload) bool { return u.id == id })
	if at < 0 {
		return
	}
	from := m.byVM[m.uploads[at].from]
	m.uploads = slices.Delete(m.uploads, at, at+1)
	if from != nil && m.cfg.Policy == PolicySwarm {
		m.reserveSlot(now, from)
	}
}

// reserveSlot keeps the slot that a peer has just used for the peer that was refused
// lately and holds far fewer chunks, and tells it so with a bitmap. Without it, a VM
// that found no free slots when the pairs formed stays behind until the others are
// complete.
func (m *Machine) reserveSlot(now time.Duration, from *peer) {
	if m.reservedFor != "" && now < m.reservedUntil {
		return
	}
	margin := max(1, m.cfg.Chunks/reserveMarginDivisor)
	needy := from
	for _, p := range m.neighbors {
		recent := p.slotRefused && now-p.slotRefusedAt < m.timeout(refusalValidChunkTimes)
		if recent && p.heldCount+margin < from.heldCount && p.heldCount < needy.heldCount {
			needy = p
		}
	}
	if needy == from {
		return
	}
	needy.slotRefused = false
	m.reservedFor = needy.VM
	m.reservedUntil = now + m.cfg.ChunkTime
	m.exchange(now, needy)
}

// announceFreeSlots tells refused peers that slots are free, those with the fewest chunks
// first, so that they need not ask again and again.
func (m *Machine) announceFreeSlots(now time.Duration) {
	free := m.cfg.Limits.UploadSlots - len(m.uploads)
	for ; free > 0 && m.exchangeTokens >= 1; free-- {
		var needy *peer
		for _, p := range m.neighbors {
			recent := p.slotRefused && now-p.slotRefusedAt < m.timeout(refusalValidChunkTimes)
			if recent && (needy == nil || p.heldCount < needy.heldCount) {
				needy = p
			}
		}
		if needy == nil {
			return
		}
		needy.slotRefused = false
		m.exchangeTokens--
		m.exchange(now, needy)
	}
}

// slotReservedForOther reports whether a free slot is reserved for another peer.
func (m *Machine) slotReservedForOther(now time.Duration, from string) bool {
	if m.reservedFor == "" || m.reservedFor == from || now >= m.reservedUntil {
		return false
	}
	return len(m.uploads) >= m.uploadLimit(from)-1
}

func (m *Machine) handleUploadProgress(now time.Duration, id UploadID) {
	for _, u := range m.uploads {
		if u.id == id {
			u.progressAt = now
		}
	}
}

// expireUploads ends uploads without progress. Uploads that are only slow continue;
// the requester decides on them.
func (m *Machine) expireUploads(now time.Duration) {
	limit := m.timeout(uploadIdleChunkTimes)
	m.uploads = slices.DeleteFunc(m.uploads, func(u *upload) bool {
		if now-u.progressAt < limit {
			return false
		}
		m.emit(RefuseUpload{ID: u.id, ChunkHeld: true})
		return true
	})
}

// dropUploads ends the uploads to a VM, or to all VMs when vm is empty.
func (m *Machine) dropUploads(vm string) {
	m.uploads = slices.DeleteFunc(m.uploads, func(u *upload) bool {
		if vm != "" && u.from != vm {
			return false
		}
		m.emit(RefuseUpload{ID: u.id, ChunkHeld: true})
		return true
	})
}
