package swarm

import (
	"slices"
	"time"
)

// uploadTimeoutChunkTimes frees the slot of an upload whose requester is gone.
const uploadTimeoutChunkTimes = 64

type upload struct {
	id      UploadID
	from    string
	chunk   int
	started time.Duration
}

// handleUpload grants a slot, queues the request, or refuses it.
func (m *Machine) handleUpload(now time.Duration, e UploadRequested) {
	if !m.held.Has(e.Chunk) {
		m.emit(RefuseUpload{ID: e.ID})
		return
	}
	u := &upload{id: e.ID, from: e.From, chunk: e.Chunk}
	if len(m.uploads) < m.cfg.Limits.UploadSlots {
		m.accept(now, u)
		return
	}
	m.waiting = append(m.waiting, u)
	if len(m.waiting) <= m.cfg.Limits.UploadQueue {
		return
	}
	last := m.pickWaiting(func(a, b int) bool { return a > b })
	m.emit(RefuseUpload{ID: m.waiting[last].id, Held: true})
	m.waiting = slices.Delete(m.waiting, last, last+1)
}

func (m *Machine) accept(now time.Duration, u *upload) {
	u.started = now
	m.uploads = append(m.uploads, u)
	m.emit(AcceptUpload{ID: u.id})
}

// pickWaiting returns the index of the waiting upload whose priority is before all
// others; among equals, the one that came first.
func (m *Machine) pickWaiting(before func(a, b int) bool) int {
	best, bestPriority := 0, 0
	for i, u := range m.waiting {
		priority := m.uploadPriority(u)
		if i == 0 || before(priority, bestPriority) {
			best, bestPriority = i, priority
		}
	}
	return best
}

// uploadPriority is lower for uploads that come first: those to the gateway of
// another region, then those to the peer that holds the fewest chunks, so that no VM
// is left behind.
func (m *Machine) uploadPriority(u *upload) int {
	p := m.byVM[u.from]
	switch {
	case p == nil:
		return m.cfg.Chunks
	case m.cfg.Policy == PolicyRandomPiece:
		return 0
	case p.Region != m.cfg.Self.Region:
		return -1
	default:
		return p.count
	}
}

func (m *Machine) handleUploadFinished(now time.Duration, id UploadID) {
	same := func(u *upload) bool { return u.id == id }
	m.uploads = slices.DeleteFunc(m.uploads, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.fillUploads(now)
}

func (m *Machine) fillUploads(now time.Duration) {
	for len(m.uploads) < m.cfg.Limits.UploadSlots && len(m.waiting) > 0 {
		next := m.pickWaiting(func(a, b int) bool { return a < b })
		u := m.waiting[next]
		m.waiting = slices.Delete(m.waiting, next, next+1)
		m.accept(now, u)
	}
}

// expireUploads frees slots whose transfer never ends, for example because the
// requester was cut off without closing its connection.
func (m *Machine) expireUploads(now time.Duration) {
	limit := uploadTimeoutChunkTimes * m.cfg.ChunkTime
	m.uploads = slices.DeleteFunc(m.uploads, func(u *upload) bool {
		if now-u.started < limit {
			return false
		}
		m.emit(RefuseUpload{ID: u.id, Held: true})
		return true
	})
	m.fillUploads(now)
}

// dropUploads ends the uploads to a VM, or to all VMs when vm is empty.
func (m *Machine) dropUploads(vm string) {
	drop := func(u *upload) bool {
		if vm != "" && u.from != vm {
			return false
		}
		m.emit(RefuseUpload{ID: u.id, Held: true})
		return true
	}
	m.uploads = slices.DeleteFunc(m.uploads, drop)
	m.waiting = slices.DeleteFunc(m.waiting, drop)
}
