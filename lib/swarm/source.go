package swarm

import (
	"slices"
	"time"
)

const (
	// sourceWindowFraction is the part of all chunks that may be outstanding at the region's
	// source. It bounds concurrent fetches when the source is slower than planned.
	sourceWindowFraction = 1.0 / 4
	// takeoverChunkTimes is the delay after which the next in rank may fetch a chunk.
	takeoverChunkTimes = 24
	// takeoverRounds is the shortest such delay in rounds of exchanges, since a chunk
	// spreads no faster than the bitmaps that name it.
	takeoverRounds = 3
	// takeoverEvidenceFraction is the part of all chunks that must have appeared after a
	// chunk before the next in rank concludes that its fetcher failed. Without it, a
	// slow source would be asked for each chunk by every rank. A smaller part than 3/16
	// is no evidence, since the chunks of a slow source arrive out of order.
	takeoverEvidenceFraction = 3.0 / 16
	// takeoverTailFraction is the part of unseen chunks that counts as evidence as well,
	// since the last chunks have no later ones.
	takeoverTailFraction = 1.0 / 32
	// unconfirmedTakeoverChunkTimes replaces the evidence when it never comes.
	unconfirmedTakeoverChunkTimes = 192
	// underReplicatedChunkTimes is the further delay after which a chunk that a peer offers may
	// be fetched again, if it has not spread like the others.
	underReplicatedChunkTimes = 48
	// underReplicatedRounds is the shortest such delay in rounds of exchanges.
	underReplicatedRounds = 6
	// underReplicatedRatio is how many times more peers hold the average chunk than one that
	// has not spread. Without faults, a chunk at that age is as common as the others.
	underReplicatedRatio = 4
	// probeChunkTimes is the time given to a fetcher of lower rank to show its bitmap.
	probeChunkTimes = 4
	// maxSlowdown bounds the pause between chunks of a minority, so that the few VMs that
	// survive a large failure still complete.
	maxSlowdown = 4
	// sourceBackoffChunkTimes is the first pause after a failure of the source.
	sourceBackoffChunkTimes = 4
	// maxSourceBackoffDoublings and sourceTrySpacing bound that pause. The VMs of a region try 10
	// times a second together, so that a small region hears of the end of an outage at
	// once, and a large one does not fill the link of a source that is slow because that
	// link is full: 68 VMs that tried 100 times a second drew 10 copies over it.
	maxSourceBackoffDoublings = 6
	sourceRetrySpacing        = 100 * time.Millisecond
)

// sourceAssignment is a chunk that this VM may fetch from the region's source.
type sourceAssignment struct {
	chunk  int
	rank   int
	probed bool
	// homeProbes counts the questions to fetchers of the home region.
	homeProbes int
	// probedAt is the time of the last question to other fetchers.
	probedAt time.Duration
	// offerSeen is set once a peer has offerSeen the chunk, at offeredAt.
	offerSeen   bool
	offerSeenAt time.Duration
}

func (m *Machine) inHomeRegion() bool { return m.plan.Home() == m.cfg.Self.Region }

// assignSourceChunks lists the chunks that this VM fetches from the region's source.
func (m *Machine) assignSourceChunks() {
	m.sourceAssignments = nil
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
			m.sourceAssignments = append(m.sourceAssignments, &sourceAssignment{chunk: chunk, rank: rank})
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
	if m.Complete() || m.paused || now < m.sourcePausedUntil {
		return
	}
	for _, d := range m.sourceAssignments {
		if m.sourceFetches() >= m.cfg.Limits.SourceFetches {
			return
		}
		if m.held.Has(d.chunk) || m.hasFastFetch(d.chunk) || !m.due(now, d) {
			continue
		}
		if m.inHomeRegion() || m.baseline() {
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
func (m *Machine) due(now time.Duration, d *sourceAssignment) bool {
	if m.baseline() {
		return true
	}
	at := m.startedAt + time.Duration(d.chunk)*m.sourceInterval()
	at += time.Duration(d.rank) * max(m.timeout(takeoverChunkTimes), m.exchangeRounds(takeoverRounds))
	if now < at {
		return false
	}
	if m.trustedHolder(now, d.chunk) {
		return d.rank > 0 && m.underReplicated(now, d)
	}
	seen, later := m.countAvailable(d.chunk)
	stalled := m.availabilityStalled(now, seen)
	if d.rank == 0 {
		return d.chunk <= seen+m.chunkFraction(sourceWindowFraction)
	}
	evidence := later >= m.chunkFraction(takeoverEvidenceFraction) || seen >= m.cfg.Chunks-m.chunkFraction(takeoverTailFraction) || stalled
	if !evidence && now < at+m.timeout(unconfirmedTakeoverChunkTimes)<<d.rank {
		return false
	}
	return m.probeFetchers(now, d)
}

// sourceInterval returns the time between chunks at the region's source. A minority of
// the region's VMs, for example a partitioned zone, takes only its part of the source,
// so that it does not slow the others down.
func (m *Machine) sourceInterval() time.Duration {
	local := len(m.plan.vmsByRegion[m.cfg.Self.Region])
	if local == 0 || 2*local >= m.maxRegionMembers {
		return m.cfg.SourceInterval
	}
	part := min(float64(m.maxRegionMembers)/float64(local), maxSlowdown)
	return time.Duration(part * float64(m.cfg.SourceInterval))
}

// availabilityStalled reports whether most chunks have appeared in the region and no other has for a
// while. When several fetchers are lost at once, too many of the last chunks are missing for
// any of them to be the last one. What was seen once holds: the chunks that are taken over
// appear one by one.
func (m *Machine) availabilityStalled(now time.Duration, seen int) bool {
	if seen != m.availableCount {
		m.availableCount = seen
		m.lastAvailableAt = now
	}
	if 2*seen >= m.cfg.Chunks && now-m.lastAvailableAt >= m.timeout(takeoverChunkTimes) {
		m.fetchersLost = true
	}
	return m.fetchersLost
}

// chunkFraction returns a chunkFraction of all chunks, but at least a few.
func (m *Machine) chunkFraction(part float64) int {
	const least = 4
	return max(least, int(part*float64(m.cfg.Chunks)))
}

// exchangeRounds returns the time in which a VM exchanges bitmaps with each peer that it
// selected a number of times.
func (m *Machine) exchangeRounds(count int) time.Duration {
	neighbors := max(1, min(m.cfg.Limits.Neighbors, len(m.peersWithChunks)))
	round := time.Second * time.Duration(neighbors) / time.Duration(m.cfg.Limits.ExchangesPerSecond)
	return time.Duration(count) * round
}

// countAvailable returns the number of chunks that have reached this VM or its peers, and how
// many of them come after a chunk.
func (m *Machine) countAvailable(chunk int) (total, later int) {
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

// underReplicated reports whether a chunk has been offered for long but far fewer peers hold it
// than hold the average one. Its holders then send too slowly, or refuse because slow
// transfers occupy their slots.
func (m *Machine) underReplicated(now time.Duration, d *sourceAssignment) bool {
	if !d.offerSeen {
		d.offerSeen = true
		d.offerSeenAt = now
	}
	if now < d.offerSeenAt+max(m.timeout(underReplicatedChunkTimes), m.exchangeRounds(underReplicatedRounds)) {
		return false
	}
	var total, seen int32
	for _, holders := range m.holders {
		if holders > 0 {
			total += holders
			seen++
		}
	}
	return total >= underReplicatedRatio*m.holders[d.chunk]*seen
}

// probeFetchers asks the fetchers of lower rank for their bitmaps, since a chunk that
// one of them holds may not have reached a neighbour yet. It reports whether they had
// time to answer.
func (m *Machine) probeFetchers(now time.Duration, d *sourceAssignment) bool {
	if d.probed {
		return now >= d.probedAt+m.timeout(probeChunkTimes)
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
func (m *Machine) fetchFromHome(now time.Duration, d *sourceAssignment) {
	var holders []*peer
	for _, p := range m.peersWithChunks {
		if p.Region == m.plan.Home() && p.held.Has(d.chunk) && p.trusted(now) && now >= p.busyUntil {
			holders = append(holders, p)
		}
	}
	if len(holders) > 0 {
		m.startFetch(now, d.chunk, m.pickPeer(holders, d.chunk), true)
		return
	}
	if now < d.probedAt+m.timeout(probeChunkTimes) {
		return
	}
	d.probedAt = now
	// The fetchers are asked in turn, since one that is stalled does not answer.
	fetchers := m.plan.Fetchers(m.plan.Home(), d.chunk)
	for range fetchers {
		p := m.byVM[fetchers[d.homeProbes%len(fetchers)]]
		d.homeProbes++
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
		if m.failuresSinceResponse > 0 {
			m.emit(SourceRecovered{Chunk: f.chunk, Failures: m.failuresSinceResponse, OutageDuration: now - m.outageStartedAt})
		}
		m.failuresSinceResponse = 0
		return
	}
	m.failuresSinceResponse++
	first := m.failuresSinceResponse == 1
	if first {
		m.outageStartedAt = f.startedAt
	}
	m.emit(SourceFailed{ID: f.id, Chunk: f.chunk, First: first, TimedOut: silent, Result: e.Result, Err: e.Err, Elapsed: now - f.startedAt})
}

// handleOriginResult spaces fetches from the weight store after a failure, by a period
// that doubles with each one, and obeys the store's Retry-After.
func (m *Machine) handleOriginResult(now time.Duration, f *fetch, e ChunkDone, silent bool) {
	m.reportSource(now, f, e, silent)
	if e.Result == ResultOK {
		m.sourceFailures = 0
		return
	}
	first := m.timeout(sourceBackoffChunkTimes)
	longest := max(first, time.Duration(len(m.plan.vmsByRegion[m.cfg.Self.Region]))*sourceRetrySpacing)
	pause := min(first<<min(m.sourceFailures, maxSourceBackoffDoublings), longest)
	m.sourceFailures++
	// The pause separates the starts of two tries, so that one that has waited in vain for
	// longer is followed by the next at once.
	until := f.startedAt + pause
	if e.Result == ResultRateLimited {
		until = now + max(e.RetryAfter, m.cfg.ChunkTime)
	}
	m.sourcePausedUntil = max(m.sourcePausedUntil, max(until, now)+m.jitter(m.cfg.ChunkTime))
}
