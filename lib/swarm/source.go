package swarm

import (
	"slices"
	"time"
)

const (
	// sourceWindowPart is the part of all chunks that may be outstanding at the region's
	// source. It bounds concurrent fetches when the source is slower than planned.
	sourceWindowPart = 1.0 / 4
	// takeoverChunkTimes is the delay after which the next in rank may fetch a chunk.
	takeoverChunkTimes = 24
	// takeoverRounds is the shortest such delay in rounds of exchanges, since a chunk
	// spreads no faster than the bitmaps that name it.
	takeoverRounds = 3
	// takeoverEvidencePart is the part of all chunks that must have appeared after a
	// chunk before the next in rank concludes that its fetcher failed. Without it, a
	// slow source would be asked for each chunk by every rank. A smaller part than 3/16
	// is no evidence, since the chunks of a slow source arrive out of order.
	takeoverEvidencePart = 3.0 / 16
	// takeoverTailPart is the part of unseen chunks that counts as evidence as well,
	// since the last chunks have no later ones.
	takeoverTailPart = 1.0 / 32
	// blindTakeoverChunkTimes replaces the evidence when it never comes.
	blindTakeoverChunkTimes = 192
	// starvedChunkTimes is the further delay after which a chunk that a peer offers may
	// be fetched again, if it has not spread like the others.
	starvedChunkTimes = 48
	// starvedRounds is the shortest such delay in rounds of exchanges.
	starvedRounds = 6
	// starvedRatio is how many times more peers hold the average chunk than one that
	// has not spread. Without faults, a chunk at that age is as common as the others.
	starvedRatio = 4
	// probeChunkTimes is the time given to a fetcher of lower rank to show its bitmap.
	probeChunkTimes = 4
	// maxSlowdown bounds the pause between chunks of a minority, so that the few VMs that
	// survive a large failure still complete.
	maxSlowdown = 4
	// sourceBackoffChunkTimes is the first pause after a failure of the source.
	sourceBackoffChunkTimes = 4
	// maxSourceDoublings and sourceTrySpacing bound that pause. The VMs of a region try 10
	// times a second together, so that a small region hears of the end of an outage at
	// once, and a large one does not fill the link of a source that is slow because that
	// link is full: 68 VMs that tried 100 times a second drew 10 copies over it.
	maxSourceDoublings = 6
	sourceTrySpacing   = 100 * time.Millisecond
)

// duty is a chunk that this VM may fetch from the region's source.
type duty struct {
	chunk  int
	rank   int
	probed bool
	// asked counts the questions to fetchers of the home region.
	asked int
	// probedAt is the time of the last question to other fetchers.
	probedAt time.Duration
	// offered is set once a peer has offered the chunk, at offeredAt.
	offered   bool
	offeredAt time.Duration
}

func (m *Machine) home() bool { return m.plan.Home() == m.cfg.Self.Region }

// assignDuties lists the chunks that this VM fetches from the region's source.
func (m *Machine) assignDuties() {
	m.duties = nil
	for chunk := range m.cfg.Chunks {
		rank := -1
		switch m.cfg.Policy {
		case PolicyOriginOnly:
			rank = 0
		case PolicyFixedTree:
			if m.parent == nil {
				rank = 0
			}
		default:
			rank = slices.Index(m.plan.Fetchers(m.cfg.Self.Region, chunk), m.cfg.Self.VM)
		}
		if rank >= 0 {
			m.duties = append(m.duties, &duty{chunk: chunk, rank: rank})
		}
	}
}

func (m *Machine) sourceFetches() int {
	count := 0
	for _, f := range m.fetches {
		if f.source {
			count++
		}
	}
	return count
}

// runSource starts the fetches from the region's source that are due.
func (m *Machine) runSource(now time.Duration) {
	if m.Complete() || m.paused || now < m.sourceUntil {
		return
	}
	for _, d := range m.duties {
		if m.sourceFetches() >= m.cfg.Limits.SourceFetches {
			return
		}
		if m.held.Has(d.chunk) || m.claimed(d.chunk) || !m.due(now, d) {
			continue
		}
		if m.home() || m.baseline() {
			m.startFetch(now, d.chunk, nil, true)
			continue
		}
		m.fetchFromHome(now, d)
	}
}

// baseline reports whether the policy fetches without a plan between VMs.
func (m *Machine) baseline() bool {
	return m.cfg.Policy == PolicyOriginOnly || m.cfg.Policy == PolicyFixedTree
}

// due reports whether it is this VM's turn to fetch a chunk.
func (m *Machine) due(now time.Duration, d *duty) bool {
	if m.baseline() {
		return true
	}
	at := m.started + time.Duration(d.chunk)*m.sourceInterval()
	at += time.Duration(d.rank) * max(m.after(takeoverChunkTimes), m.rounds(takeoverRounds))
	if now < at {
		return false
	}
	if m.trustedHolder(now, d.chunk) {
		return d.rank > 0 && m.starved(now, d)
	}
	seen, later := m.seen(d.chunk)
	stalled := m.stalled(now, seen)
	if d.rank == 0 {
		return d.chunk <= seen+m.part(sourceWindowPart)
	}
	evidence := later >= m.part(takeoverEvidencePart) || seen >= m.cfg.Chunks-m.part(takeoverTailPart) || stalled
	if !evidence && now < at+m.after(blindTakeoverChunkTimes)<<d.rank {
		return false
	}
	return m.probeFetchers(now, d)
}

// sourceInterval returns the time between chunks at the region's source. A minority of
// the region's VMs, for example a partitioned zone, takes only its part of the source,
// so that it does not slow the others down.
func (m *Machine) sourceInterval() time.Duration {
	local := len(m.plan.local[m.cfg.Self.Region])
	if local == 0 || 2*local >= m.mostLocal {
		return m.cfg.SourceInterval
	}
	part := min(float64(m.mostLocal)/float64(local), maxSlowdown)
	return time.Duration(part * float64(m.cfg.SourceInterval))
}

// stalled reports whether most chunks have appeared in the region and no other has for a
// while. When several fetchers are lost at once, too many of the last chunks are missing for
// any of them to be the last one. What was seen once holds: the chunks that are taken over
// appear one by one.
func (m *Machine) stalled(now time.Duration, seen int) bool {
	if seen != m.seenCount {
		m.seenCount = seen
		m.seenAt = now
	}
	if 2*seen >= m.cfg.Chunks && now-m.seenAt >= m.after(takeoverChunkTimes) {
		m.fetchersLost = true
	}
	return m.fetchersLost
}

// part returns a part of all chunks, but at least a few.
func (m *Machine) part(part float64) int {
	const least = 4
	return max(least, int(part*float64(m.cfg.Chunks)))
}

// rounds returns the time in which a VM exchanges bitmaps with each peer that it
// selected a number of times.
func (m *Machine) rounds(count int) time.Duration {
	neighbors := max(1, min(m.cfg.Limits.Neighbors, len(m.known)))
	round := time.Second * time.Duration(neighbors) / time.Duration(m.cfg.Limits.ExchangesPerSecond)
	return time.Duration(count) * round
}

// seen returns the number of chunks that have reached this VM or its peers, and how
// many of them come after a chunk.
func (m *Machine) seen(chunk int) (total, later int) {
	for i, holders := range m.holders {
		if holders == 0 && !m.held.Has(i) {
			continue
		}
		total++
		if i > chunk {
			later++
		}
	}
	return total, later
}

// starved reports whether a chunk has been offered for long but far fewer peers hold it
// than hold the average one. Its holders then send too slowly, or refuse because slow
// transfers occupy their slots.
func (m *Machine) starved(now time.Duration, d *duty) bool {
	if !d.offered {
		d.offered = true
		d.offeredAt = now
	}
	if now < d.offeredAt+max(m.after(starvedChunkTimes), m.rounds(starvedRounds)) {
		return false
	}
	var total, seen int32
	for _, holders := range m.holders {
		if holders > 0 {
			total += holders
			seen++
		}
	}
	return total >= starvedRatio*m.holders[d.chunk]*seen
}

// probeFetchers asks the fetchers of lower rank for their bitmaps, since a chunk that
// one of them holds may not have reached a neighbour yet. It reports whether they had
// time to answer.
func (m *Machine) probeFetchers(now time.Duration, d *duty) bool {
	if d.probed {
		return now >= d.probedAt+m.after(probeChunkTimes)
	}
	d.probed = true
	d.probedAt = now
	for _, vm := range m.plan.Fetchers(m.cfg.Self.Region, d.chunk)[:d.rank] {
		if p := m.byVM[vm]; p != nil && p.trusted(now) {
			m.exchange(now, p)
		}
	}
	return false
}

// fetchFromHome fetches a chunk from a VM of the home region, or asks the VMs that
// fetch it there whether they hold it.
func (m *Machine) fetchFromHome(now time.Duration, d *duty) {
	var holders []*peer
	for _, p := range m.known {
		if p.Region == m.plan.Home() && p.held.Has(d.chunk) && p.trusted(now) && now >= p.busyUntil {
			holders = append(holders, p)
		}
	}
	if len(holders) > 0 {
		m.startFetch(now, d.chunk, m.pickPeer(holders, d.chunk), true)
		return
	}
	if now < d.probedAt+m.after(probeChunkTimes) {
		return
	}
	d.probedAt = now
	// The fetchers are asked in turn, since one that is stalled does not answer.
	fetchers := m.plan.Fetchers(m.plan.Home(), d.chunk)
	for range fetchers {
		p := m.byVM[fetchers[d.asked%len(fetchers)]]
		d.asked++
		if p != nil && p.trusted(now) {
			m.exchange(now, p)
			return
		}
	}
}

// notifyGateways tells the gateway of each other region that a chunk is available.
func (m *Machine) notifyGateways(now time.Duration, chunk int) {
	if m.baseline() {
		return
	}
	for _, region := range m.plan.regions {
		if region == m.cfg.Self.Region {
			continue
		}
		for _, vm := range m.plan.Fetchers(region, chunk)[:1] {
			if p := m.byVM[vm]; p != nil {
				m.exchange(now, p)
			}
		}
	}
}

// reportSource tells the adapter what became of a fetch from the weight store. A corrupt
// chunk is an answer.
func (m *Machine) reportSource(now time.Duration, f *fetch, e ChunkDone, silent bool) {
	if e.Result == ResultOK || e.Result == ResultCorrupt {
		if m.sourceUnanswered > 0 {
			m.emit(SourceRecovered{Chunk: f.chunk, Failures: m.sourceUnanswered, OutageDuration: now - m.sourceFailedAt})
		}
		m.sourceUnanswered = 0
		return
	}
	m.sourceUnanswered++
	first := m.sourceUnanswered == 1
	if first {
		m.sourceFailedAt = f.started
	}
	m.emit(SourceFailed{ID: f.id, Chunk: f.chunk, First: first, TimedOut: silent, Result: e.Result, Err: e.Err, Elapsed: now - f.started})
}

// handleOriginResult spaces fetches from the weight store after a failure, by a period
// that doubles with each one, and obeys the store's Retry-After.
func (m *Machine) handleOriginResult(now time.Duration, f *fetch, e ChunkDone, silent bool) {
	m.reportSource(now, f, e, silent)
	if e.Result == ResultOK {
		m.sourceFailures = 0
		return
	}
	first := m.after(sourceBackoffChunkTimes)
	longest := max(first, time.Duration(len(m.plan.local[m.cfg.Self.Region]))*sourceTrySpacing)
	pause := min(first<<min(m.sourceFailures, maxSourceDoublings), longest)
	m.sourceFailures++
	// The pause separates the starts of two tries, so that one that has waited in vain for
	// longer is followed by the next at once.
	until := f.started + pause
	if e.Result == ResultRateLimited {
		until = now + max(e.RetryAfter, m.cfg.ChunkTime)
	}
	m.sourceUntil = max(m.sourceUntil, max(until, now)+m.jitter(m.cfg.ChunkTime))
}
