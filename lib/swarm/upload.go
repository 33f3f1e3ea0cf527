package swarm

import (
	"slices"
	"time"
)

const (
	// uploadIdleChunkTimes is the time, in chunk times, without progress after which an upload
	// is ended and its slot freed, for example because the requester was cut off without
	// closing its connection.
	uploadIdleChunkTimes = 16
	// reserveMarginDivisor sets the margin for reserving a slot: a peer must have fewer chunks
	// than the one that used the slot by more than the number of chunks divided by it.
	reserveMarginDivisor = 32
	// refusalValidChunkTimes is the time, in chunk times, for which a refused peer counts as
	// waiting for a slot.
	refusalValidChunkTimes = 6
)

type upload struct {
	id         UploadID
	from       string
	startedAt  time.Duration
	progressAt time.Duration
}

// handleUpload grants a slot or refuses the request. Requests are not queued: a waiting
// request would occupy one of the requester's few downloads, and it would take the slot that
// the current pair of VMs is about to use again.
func (m *Machine) handleUpload(now time.Duration, e UploadRequested) {
	if !m.held.Has(e.Chunk) {
		m.emit(RefuseUpload{ID: e.ID})
		return
	}
	if m.usedSlots(now) >= m.uploadLimit(e.From) || m.slotReservedForOther(now, e.From) {
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
	m.uploads = append(m.uploads, &upload{id: e.ID, from: e.From, startedAt: now, progressAt: now})
	m.emit(AcceptUpload{ID: e.ID})
}

// uploadLimit returns the number of concurrent uploads up to which a request of a VM is
// accepted. Uploads of other versions use slots of the same link, but each version keeps
// at least one. VMs of other regions get one more, since their entire region waits for
// the chunk that the gateway fetches.
func (m *Machine) uploadLimit(from string) int {
	limit := max(1, m.cfg.Limits.UploadSlots-m.otherUploads)
	if p := m.byVM[from]; p != nil && p.Region != m.cfg.Self.Region {
		limit++
	}
	return limit
}

func (m *Machine) handleUploadFinished(now time.Duration, id UploadID) {
	index := slices.IndexFunc(m.uploads, func(u *upload) bool { return u.id == id })
	if index < 0 {
		return
	}
	from := m.byVM[m.uploads[index].from]
	if now-m.uploads[index].startedAt < m.timeout(slowChunkTimes) {
		m.uploadedFast = true
	}
	m.uploads = slices.Delete(m.uploads, index, index+1)
	if from != nil && m.cfg.Policy == PolicySwarm {
		m.reserveSlot(now, from)
	}
}

// reserveSlot reserves the slot that a peer has just used for the recently refused neighbour
// with the fewest chunks, if it holds far fewer, and notifies that neighbour with a bitmap.
// Without the reservation, a VM that found no free slots when the pairs formed stays behind
// until the others are complete.
func (m *Machine) reserveSlot(now time.Duration, from *peer) {
	if m.reservedFor != "" && now < m.reservedUntil {
		return
	}
	margin := max(1, m.cfg.Chunks/reserveMarginDivisor)
	candidate := from
	for _, p := range m.neighbours {
		recentlyRefused := p.slotRefused && now-p.slotRefusedAt < m.timeout(refusalValidChunkTimes)
		if recentlyRefused && p.heldCount+margin < from.heldCount && p.heldCount < candidate.heldCount {
			candidate = p
		}
	}
	if candidate == from {
		return
	}
	candidate.slotRefused = false
	m.reservedFor = candidate.VM
	m.reservedUntil = now + m.cfg.ChunkTime
	m.exchange(now, candidate)
}

// announceFreeSlots sends a bitmap to one recently refused neighbour per free slot, those
// with the fewest chunks first, so that they need not repeat their requests. The bitmap
// ends the recipient's pause after a refusal.
func (m *Machine) announceFreeSlots(now time.Duration) {
	free := m.cfg.Limits.UploadSlots - m.usedSlots(now)
	for ; free > 0 && m.exchangeTokens >= 1; free-- {
		var candidate *peer
		for _, p := range m.neighbours {
			recentlyRefused := p.slotRefused && now-p.slotRefusedAt < m.timeout(refusalValidChunkTimes)
			if recentlyRefused && (candidate == nil || p.heldCount < candidate.heldCount) {
				candidate = p
			}
		}
		if candidate == nil {
			return
		}
		candidate.slotRefused = false
		m.exchangeTokens--
		m.exchange(now, candidate)
	}
}

// slotReservedForOther reports whether the last free slot is reserved for another peer.
func (m *Machine) slotReservedForOther(now time.Duration, from string) bool {
	if m.reservedFor == "" || m.reservedFor == from || now >= m.reservedUntil {
		return false
	}
	return m.usedSlots(now) >= m.uploadLimit(from)-1
}

// usedSlots returns the number of uploads that count as slots. A slow one leaves its slot to others: a receiver with a
// narrow link takes little of this VM's link, and would keep the slot for as long as dozens of chunks take. As many as there are
// slots do once an upload was fast, which shows that this VM's own link is not the narrow one.
func (m *Machine) usedSlots(now time.Duration) int {
	slow := 0
	for _, u := range m.uploads {
		if now-u.startedAt >= m.timeout(slowChunkTimes) {
			slow++
		}
	}
	if !m.uploadedFast {
		return len(m.uploads) - min(slow, 1)
	}
	return len(m.uploads) - min(slow, m.cfg.Limits.UploadSlots)
}

func (m *Machine) handleUploadProgress(now time.Duration, id UploadID) {
	for _, u := range m.uploads {
		if u.id == id {
			u.progressAt = now
		}
	}
}

// expireUploads ends uploads without progress. Slow uploads continue; the requester decides
// whether to cancel them.
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
