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
	started time.Duration
}

// handleUpload grants a slot or refuses the request. Requests do not wait for a slot:
// a request that waits occupies one of the requester's few downloads, and it would get
// the slot that the present pair of VMs is about to use again.
func (m *Machine) handleUpload(now time.Duration, e UploadRequested) {
	if !m.held.Has(e.Chunk) {
		m.emit(RefuseUpload{ID: e.ID})
		return
	}
	if len(m.uploads) >= m.uploadLimit(e.From) {
		m.emit(RefuseUpload{ID: e.ID, Held: true})
		return
	}
	m.uploads = append(m.uploads, &upload{id: e.ID, from: e.From, started: now})
	m.emit(AcceptUpload{ID: e.ID})
}

// uploadLimit grants one more slot to other regions, since a whole region waits for
// the chunk that its gateway fetches.
func (m *Machine) uploadLimit(from string) int {
	limit := m.cfg.Limits.UploadSlots
	if p := m.byVM[from]; p != nil && p.Region != m.cfg.Self.Region {
		limit++
	}
	return limit
}

func (m *Machine) handleUploadFinished(id UploadID) {
	m.uploads = slices.DeleteFunc(m.uploads, func(u *upload) bool { return u.id == id })
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
}

// dropUploads ends the uploads to a VM, or to all VMs when vm is empty.
func (m *Machine) dropUploads(vm string) {
	m.uploads = slices.DeleteFunc(m.uploads, func(u *upload) bool {
		if vm != "" && u.from != vm {
			return false
		}
		m.emit(RefuseUpload{ID: u.id, Held: true})
		return true
	})
}
