package linkfake

import (
	"slices"
	"time"

	"laburnumgw/lib/swarm"
)

// requestOrigin handles a request for a chunk at the store.
func (r *Run) requestOrigin(t *transfer) {
	if t.ended {
		return
	}
	r.OriginRequests++
	if r.originGate != nil {
		result, retryAfter := r.originGate()
		if result != swarm.ResultOK {
			r.OriginRefused++
			t.to.finish(t, result, retryAfter)
			return
		}
	}
	if r.originUnresponsive {
		return
	}
	r.originQueue = append(r.originQueue, t)
	r.startQueuedOriginTransfers()
}

func (r *Run) startQueuedOriginTransfers() {
	for r.activeOriginTransfers < originConcurrency && len(r.originQueue) > 0 {
		t := r.originQueue[0]
		r.originQueue = r.originQueue[1:]
		if !t.ended {
			r.activeOriginTransfers++
			r.startTransfer(t)
		}
	}
}

// startTransfer starts the flow of an accepted request. The flow is frozen when the VMs cannot
// reach each other.
func (r *Run) startTransfer(t *transfer) {
	t.flow = r.startFlow(r.path(t), func() { r.complete(t) })
	if t.from != nil && t.from.side != t.to.side {
		r.setFrozen(t.flow, true)
	}
	r.reportProgress(t, 1)
}

// path returns the links that a transfer crosses.
func (r *Run) path(t *transfer) []*link {
	if t.from == nil {
		return []*link{r.origin, t.to.down}
	}
	links := []*link{t.from.up, t.to.down}
	if t.from.Region != t.to.Region {
		for _, l := range []*link{r.fromRegion[t.from.Region], r.toRegion[t.to.Region]} {
			if l != nil {
				links = append(links, l)
			}
		}
	}
	return links
}

// reportProgress reports at intervals to the requester that bytes have arrived, and to the
// sender, after the first interval, that they were sent. left is the remaining fraction of
// the chunk at the previous report, 1 at first.
func (r *Run) reportProgress(t *transfer, left float64) {
	const intervalChunkTimes = 2
	delay := intervalChunkTimes * r.chunkTime
	if left == 1 {
		delay = 2 * zoneLatency
	}
	r.after(delay, func() {
		if t.ended || t.flow.ended {
			return
		}
		r.settle(t.flow)
		if t.flow.remaining < left {
			t.to.step(swarm.ChunkProgress{ID: t.fetchID})
			if t.from != nil && left < 1 {
				t.from.step(swarm.UploadProgress{ID: t.id})
			}
		}
		if !t.ended {
			r.reportProgress(t, min(t.flow.remaining, 0.999))
		}
	})
}

// complete ends a transfer all of whose bytes have arrived.
func (r *Run) complete(t *transfer) {
	r.releaseSender(t)
	result := swarm.ResultOK
	corrupter := t.from != nil && t.from.SendsCorruptChunks
	if corrupter || (r.Scenario.CorruptProbability > 0 && r.Rand.Float64() < r.Scenario.CorruptProbability) {
		result = swarm.ResultCorrupt
		t.to.CorruptChunks++
	}
	if t.from != nil {
		t.to.PeerTransfers++
	}
	r.after(zoneLatency, func() { t.to.finish(t, result, 0) })
}

// releaseSender frees the sender's side of a transfer, once.
func (r *Run) releaseSender(t *transfer) {
	if t.senderReleased {
		return
	}
	t.senderReleased = true
	if t.from == nil {
		r.zoneOrigin[t.to.Zone] += 1 - t.flow.remaining
		r.activeOriginTransfers--
		r.startQueuedOriginTransfers()
		return
	}
	delete(t.from.uploads, t.id)
	t.from.step(swarm.UploadFinished{ID: t.id})
}

// cancelTransfer ends a transfer that its requester has cancelled.
func (r *Run) cancelTransfer(t *transfer) {
	if t.ended {
		return
	}
	t.ended = true
	delete(t.to.incoming, t.fetchID)
	if t.flow != nil {
		r.stopFlow(t.flow)
	}
	if t.from == nil {
		if t.flow != nil {
			r.releaseSender(t)
		}
		return
	}
	t.to.send(t.from, 0, func() { r.releaseSender(t) })
}

// Kill ends a VM without notice. Transfers from and to it stall; the slots of the VMs that
// send to it are freed after detectDelay.
func (r *Run) Kill(v *VM) {
	v.Dead = true
	r.setRate(v.up, 0)
	r.setRate(v.down, 0)
	r.after(detectDelay, func() {
		for _, t := range v.sortedIncoming() {
			r.stopDeadTransfer(t)
		}
	})
}

// stopDeadTransfer frees the sender's slot of a transfer to a dead VM.
func (r *Run) stopDeadTransfer(t *transfer) {
	t.ended = true
	if t.flow == nil {
		if t.from != nil {
			r.releaseSender(t)
		}
		return
	}
	r.stopFlow(t.flow)
	r.releaseSender(t)
}

func (v *VM) sortedIncoming() []*transfer {
	var list []*transfer
	for _, t := range v.incoming {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *transfer) int { return int(a.fetchID) - int(b.fetchID) })
	return list
}

// SetUp changes the rate of a VM's up link to a fraction of the permitted rate.
func (r *Run) SetUp(v *VM, fraction float64) { r.setRate(v.up, fraction*r.vmRate()) }

// SetDown changes the rate of a VM's down link to a fraction of the permitted rate.
func (r *Run) SetDown(v *VM, fraction float64) { r.setRate(v.down, fraction*r.vmRate()) }

// SetOrigin changes the rate of the store's link to a fraction of the permitted rate.
func (r *Run) SetOrigin(fraction float64) {
	r.setRate(r.origin, fraction*r.Scenario.OriginCopies*r.vmRate())
}

// SetOriginGate sets the function that returns the result of each request to the store,
// with the time of Retry-After; nil accepts all requests.
func (r *Run) SetOriginGate(gate func() (swarm.Result, time.Duration)) { r.originGate = gate }

// SetOriginUnresponsive makes the store drop new requests and stall its running transfers
// without notice to the requesters, or serve new requests again.
func (r *Run) SetOriginUnresponsive(unresponsive bool) {
	r.originUnresponsive = unresponsive
	for _, v := range r.VMs {
		for _, t := range v.sortedIncoming() {
			if unresponsive && t.from == nil && t.flow != nil {
				r.setFrozen(t.flow, true)
			}
		}
	}
}

// Partition moves the VMs of a zone or region to a side; VMs of different sides cannot reach
// each other. The store remains reachable from all sides.
func (r *Run) Partition(name string, side int) {
	for _, v := range r.VMs {
		if v.Zone == name || v.Region == name {
			v.side = side
		}
	}
	for _, v := range r.VMs {
		for _, t := range v.sortedIncoming() {
			if t.flow != nil && t.from != nil {
				r.setFrozen(t.flow, t.from.side != v.side)
			}
		}
	}
	r.AnnounceMembers()
}
