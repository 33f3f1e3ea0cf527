package swarm

import (
	"slices"
	"time"
)

const (
	// sourceWindowFraction is the fraction of all chunks that may be outstanding at the
	// region's source. It bounds concurrent fetches when the source is slower than planned.
	sourceWindowFraction = 1.0 / 4
	// takeoverChunkTimes is the delay in chunk times, per rank, after which the fetcher of
	// the next rank may fetch a chunk.
	takeoverChunkTimes = 24
	// evidentTakeoverChunkTimes is that delay where the chunks that are available show that the fetchers before have failed, or have
	// a narrow link. They are probed first, so that bitmaps need not spread.
	evidentTakeoverChunkTimes = 16
	// takeoverRounds is a lower bound of that delay in rounds of bitmap exchanges, since a
	// chunk spreads no faster than the bitmaps that advertise it. Another one is the time in which the
	// source sends the chunks that may be outstanding.
	takeoverRounds = 3
	// takeoverEvidenceFraction is the fraction of all chunks that must be available beyond a
	// chunk before the next rank concludes that the chunk's fetcher failed. Without it, every
	// rank would request each chunk from a slow source. The chunks of a slow source arrive out
	// of order, so a fraction below 3/16 also occurs without a failed fetcher.
	takeoverEvidenceFraction = 3.0 / 16
	// earlyRanks is the number of fetchers that take chunks over before the last chunks. The others are for chunks of which
	// all of these have failed or have a narrow link.
	earlyRanks = 4
	// takeoverTailFraction is the fraction of unavailable chunks at or below which a takeover
	// needs no chunks beyond the missing one, since none follow the last chunks.
	takeoverTailFraction = 1.0 / 32
	// unconfirmedTakeoverChunkTimes is the further delay, doubled per rank, after which a
	// chunk is taken over without that evidence.
	unconfirmedTakeoverChunkTimes = 192
	// underReplicatedChunkTimes is the delay in chunk times, from the first offer of a chunk
	// by a peer, after which it may be fetched from the source again if too few peers hold it.
	underReplicatedChunkTimes = 48
	// underReplicatedTailChunkTimes is that delay, per rank, for one of the last chunks that this VM misses.
	underReplicatedTailChunkTimes = 16
	// underReplicatedRounds is the lower bound of that delay in rounds of bitmap exchanges.
	underReplicatedRounds = 6
	// underReplicatedRatio is the ratio of the mean number of holders per available chunk to
	// the holders of a chunk at which the chunk counts as under-replicated. Without faults,
	// a chunk of that age has as many holders as the others.
	underReplicatedRatio = 4
	// probeChunkTimes is the time, in chunk times, that probed fetchers have to send their bitmap.
	probeChunkTimes = 4
	// slowSourceIntervals is the age, in chunks at the region's source, at which a fetch from there counts as slow before one has ended.
	slowSourceIntervals = 48
	// relayChunkTimes is the time, in chunk times, that a region has to pass on a chunk which the home region holds.
	relayChunkTimes = 8
	// maxSlowdown bounds the factor by which a minority of a region's VMs stretches the
	// source interval, so that the few VMs that survive a large failure still complete.
	maxSlowdown = 4
	// sourceBackoffChunkTimes is the first pause, in chunk times, after a failure of the source.
	sourceBackoffChunkTimes = 4
	// maxAnnouncements is the number of fetchers that a VM tells that the source responds again.
	maxAnnouncements = 8
	// maxSourceBackoffDoublings and sourceRetrySpacing bound that pause. The VMs of a region
	// together retry 10 times a second, so that a small region detects the end of an outage
	// at once and a large one does not saturate a source that is slow because its link is
	// full: at 100 retries a second, a region of 68 VMs draws 10 copies over it.
	maxSourceBackoffDoublings = 6
	sourceRetrySpacing        = 100 * time.Millisecond
)

// sourceAssignment is a chunk that this VM may fetch from the region's source, at its rank.
type sourceAssignment struct {
	chunk  int
	rank   int
	probed bool
	// sourceProbes counts the fetchers of the source tried so far; it selects the next one.
	sourceProbes int
	// heldAtHome is set when a VM of the home region is first known to hold the chunk, at heldAtHomeSince.
	heldAtHome      bool
	heldAtHomeSince time.Duration
	// probedAt is the time of the last probe of other fetchers, and probedPeer the fetcher of the source that it went to.
	probedAt   time.Duration
	probedPeer *peer
	// offerSeen is set when a trusted peer is first seen to offer the chunk, at offerSeenAt.
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

// sourceFetches returns the number of fetches from the region's source that count against their limit. A slow one, from a peer
// with a narrow link, does not, so that the chunk is fetched from another.
func (m *Machine) sourceFetches() int {
	count, slow := 0, 0
	for _, f := range m.fetches {
		switch {
		case !f.source:
		case f.slow:
			slow++
		default:
			count++
		}
	}
	return count + max(0, slow-m.cfg.Limits.SourceFetches)
}

// runSource starts the fetches from the region's source that are due.
func (m *Machine) runSource(now time.Duration) {
	if m.Complete() || m.paused || m.sourceWaits || now < m.originPausedUntil {
		return
	}
	for _, a := range m.sourceAssignments {
		if m.sourceFetches() >= m.cfg.Limits.SourceFetches {
			return
		}
		if m.held.Has(a.chunk) || m.hasFastFetch(a.chunk) || !m.due(now, a) {
			continue
		}
		if m.inHomeRegion() || m.baseline() {
			m.startFetch(now, a.chunk, nil, true)
			continue
		}
		m.fetchFromRegion(now, a)
	}
}

// baseline reports whether the policy fetches without coordination between ranked fetchers.
func (m *Machine) baseline() bool {
	return m.cfg.Policy == PolicyOriginOnly || m.cfg.Policy == PolicyFixedTree
}

// due reports whether this VM may fetch a chunk from the region's source now. When the
// fetchers of lower rank have to be probed first, it sends the probes and reports false.
func (m *Machine) due(now time.Duration, a *sourceAssignment) bool {
	if m.baseline() {
		return true
	}
	at := m.sourceFrom + time.Duration(m.sourcePosition[a.chunk])*m.sourceInterval()
	window := m.chunkFraction(sourceWindowFraction)
	rank := m.turnRank(now, a, at)
	if now < at {
		return false
	}
	if rank > 0 && now < at+min(m.evidentTakeoverDelay(a.rank), m.takeoverDelay(rank)) {
		return false
	}
	if m.trustedHolder(now, a.chunk) {
		return a.rank > 0 && m.underReplicated(now, a)
	}
	available, later := m.countAvailable(a.chunk)
	stalled := m.availabilityStalled(now, available)
	if rank == 0 {
		return a.chunk <= available+window
	}
	tail := available >= m.cfg.Chunks-m.chunkFraction(takeoverTailFraction)
	if a.rank >= earlyRanks && (!tail || m.failuresSinceResponse > 0) {
		return false
	}
	evidence := later >= m.chunkFraction(takeoverEvidenceFraction) || tail || stalled
	if !evidence && now < at+m.takeoverDelay(rank)+m.timeout(unconfirmedTakeoverChunkTimes)<<rank {
		return false
	}
	return m.probeFetchers(now, a)
}

// evidentTakeoverDelay returns the delay after which the fetcher of a rank may fetch a chunk with such evidence. It is three times the
// time that the source took for this VM's last chunk at least, so that a slow source is not asked twice.
func (m *Machine) evidentTakeoverDelay(rank int) time.Duration {
	if m.sourceFetchTime == 0 || m.failuresSinceResponse > 0 {
		return m.takeoverDelay(rank)
	}
	return min(m.takeoverDelay(rank), time.Duration(rank)*max(m.timeout(evidentTakeoverChunkTimes), 3*m.sourceFetchTime))
}

// slowSourceAge returns the age from which a fetch from another region counts as slow. All fetchers share the link between the
// regions, so that one takes as long as many chunks do there.
func (m *Machine) slowSourceAge() time.Duration {
	expected := 2 * m.sourceFetchTime
	if expected == 0 {
		expected = slowSourceIntervals * m.cfg.SourceInterval
	}
	return max(m.timeout(slowChunkTimes), expected)
}

// takeoverDelay returns the delay after which the fetcher of a rank may fetch a chunk without evidence that the ones before it failed.
func (m *Machine) takeoverDelay(rank int) time.Duration {
	window := time.Duration(m.chunkFraction(sourceWindowFraction)) * m.sourceInterval()
	return time.Duration(rank) * max(m.timeout(takeoverChunkTimes), m.exchangeRounds(takeoverRounds), window)
}

// turnRank returns the number of fetchers of lower rank that are there. From takeoverChunkTimes after a chunk is due, those
// that this VM has not heard of are asked, one per chunk time; one that has not started the version or does not respond passes its turn on.
func (m *Machine) turnRank(now time.Duration, a *sourceAssignment, at time.Duration) int {
	if a.rank == 0 || a.rank >= earlyRanks || now < at+m.timeout(takeoverChunkTimes) || m.holders[a.chunk] > 0 {
		return a.rank
	}
	rank := 0
	for _, vm := range m.plan.Fetchers(m.cfg.Self.Region, a.chunk)[:a.rank] {
		p := m.byVM[vm]
		if p == nil {
			continue
		}
		if !p.hasSentBitmap && !p.isAsked && now >= m.askedAt+m.cfg.ChunkTime {
			m.askedAt = now
			p.isAsked, p.askedAt = true, now
			m.exchange(now, p)
		}
		silent := p.isAsked && now >= p.askedAt+m.timeout(probeChunkTimes)
		if !silent && (!p.isAsked || !p.absent) {
			rank++
		}
	}
	return rank
}

// sourceInterval returns the time between chunks at the region's source. A minority of
// the region's VMs, for example a partitioned zone, uses only its share of the source's
// rate, so that it does not slow the others down.
func (m *Machine) sourceInterval() time.Duration {
	regionMembers := len(m.plan.vmsByRegion[m.cfg.Self.Region])
	if regionMembers == 0 || 2*regionMembers >= m.maxRegionMembers {
		return m.cfg.SourceInterval
	}
	slowdown := min(float64(m.maxRegionMembers)/float64(regionMembers), maxSlowdown)
	return time.Duration(slowdown * float64(m.cfg.SourceInterval))
}

// availabilityStalled reports whether at least half of the chunks are available in the
// region and their number has not changed for takeoverChunkTimes. It covers the loss of
// several fetchers at once: more chunks are missing then than takeoverTailFraction allows.
// Once true, it stays true, since the chunks that are taken over appear one by one.
func (m *Machine) availabilityStalled(now time.Duration, available int) bool {
	if available != m.availableCount {
		m.availableCount = available
		m.lastAvailableAt = now
	}
	if 2*available >= m.cfg.Chunks && now-m.lastAvailableAt >= m.timeout(takeoverChunkTimes) {
		m.hasStalled = true
	}
	return m.hasStalled
}

// restartSource begins the schedule of the region's source again, with the chunks that the region lacks. No fetcher counts as
// failed for the time in which the source did not respond or another version had it.
func (m *Machine) restartSource(now time.Duration) {
	m.sourceFrom = now
	m.lastAvailableAt = now
	m.hasStalled = false
	missing := 0
	for chunk, holders := range m.holders {
		m.sourcePosition[chunk] = missing
		if holders == 0 && !m.held.Has(chunk) {
			missing++
		}
	}
	for _, a := range m.sourceAssignments {
		a.probed = false
	}
}

// AvailableChunks returns the number of chunks that this VM or a peer of its region holds, as far as it knows.
func (m *Machine) AvailableChunks() int {
	available, _ := m.countAvailable(m.cfg.Chunks)
	return available
}

// handleSourceTurn gives the source and the links to this version, or leaves them to another one.
func (m *Machine) handleSourceTurn(now time.Duration, e SourceTurn) {
	waited := m.sourceWaits || m.paused
	m.sourceWaits, m.paused = e.Turn != TurnFull, e.Turn == TurnNone
	if waited && e.Turn == TurnFull {
		m.restartSource(now)
	}
}

// resumeSource fetches from the weight store at once, since a peer has shown that it responds again.
func (m *Machine) resumeSource(now time.Duration) {
	if !m.originRefuses || now < m.originAskedAt+m.timeout(sourceBackoffChunkTimes) {
		return
	}
	m.resumedByPeer = true
	m.originPausedUntil = now
	m.restartSource(now)
}

// recoverOrigin continues after the first chunk from a weight store that refused fetches before.
func (m *Machine) recoverOrigin(now time.Duration) {
	m.originRefuses = false
	if !m.resumedByPeer {
		m.restartSource(now)
	}
	m.announceOrigin(now)
	m.resumedByPeer = false
}

// announceOrigin tells some fetchers of the chunks that the region lacks that the weight store responds again. They tell
// others in turn.
func (m *Machine) announceOrigin(now time.Duration) {
	told := make(map[string]bool)
	start := m.rng.IntN(m.cfg.Chunks)
	for i := range m.cfg.Chunks {
		chunk := (start + i) % m.cfg.Chunks
		if m.holders[chunk] > 0 || m.held.Has(chunk) {
			continue
		}
		for _, vm := range m.plan.earlyFetchers(m.cfg.Self.Region, chunk) {
			if p := m.byVM[vm]; p != nil && !told[vm] && len(told) < maxAnnouncements {
				told[vm] = true
				m.exchange(now, p)
			}
		}
	}
}

// chunkFraction returns a fraction of the number of chunks, but at least 4.
func (m *Machine) chunkFraction(fraction float64) int {
	const least = 4
	return max(least, int(fraction*float64(m.cfg.Chunks)))
}

// exchangeRounds returns the time in which a VM exchanges bitmaps a number of times with
// each neighbour that it selected.
func (m *Machine) exchangeRounds(count int) time.Duration {
	neighbours := max(1, min(m.cfg.Limits.Neighbours, len(m.peersWithChunks)))
	round := time.Second * time.Duration(neighbours) / time.Duration(m.cfg.Limits.ExchangesPerSecond)
	return time.Duration(count) * round
}

// countAvailable returns the number of chunks that this VM or a peer of its region holds,
// and how many of them have a higher number than chunk.
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

// underReplicated reports whether a chunk has been offered for long enough but has far fewer
// holders than the average available chunk. Its holders then send too slowly, or refuse
// because slow transfers occupy their slots.
func (m *Machine) underReplicated(now time.Duration, a *sourceAssignment) bool {
	if !a.offerSeen {
		a.offerSeen = true
		a.offerSeenAt = now
	}
	delay := max(m.timeout(underReplicatedChunkTimes), m.exchangeRounds(underReplicatedRounds))
	if m.cfg.Chunks-m.heldCount <= m.chunkFraction(takeoverTailFraction) {
		// Nothing else is left to fetch, and this VM's requests for the chunk are refused or slow.
		delay = min(delay, time.Duration(a.rank)*m.timeout(underReplicatedTailChunkTimes))
	}
	if now < a.offerSeenAt+delay {
		return false
	}
	var totalHolders, available int32
	for _, holders := range m.holders {
		if holders > 0 {
			totalHolders += holders
			available++
		}
	}
	return totalHolders >= underReplicatedRatio*m.holders[a.chunk]*available
}

// probeFetchers asks the fetchers of lower rank for their bitmaps, since a chunk that
// one of them holds may not have reached a neighbour yet. It reports whether they had
// time to respond.
func (m *Machine) probeFetchers(now time.Duration, a *sourceAssignment) bool {
	if a.probed {
		return now >= a.probedAt+m.timeout(probeChunkTimes)
	}
	a.probed = true
	a.probedAt = now
	for _, vm := range m.plan.Fetchers(m.cfg.Self.Region, a.chunk)[:a.rank] {
		if p := m.byVM[vm]; p != nil && p.trusted(now) {
			m.exchange(now, p)
		}
	}
	return false
}

// fetchFromRegion fetches a chunk from a VM of the region's source that holds it, or of the home region
// if the chunk is not passed on in time. When none is known, it asks the next of the chunk's fetchers there
// for its bitmap.
func (m *Machine) fetchFromRegion(now time.Duration, a *sourceAssignment) {
	source, home := m.plan.Source(m.cfg.Self.Region, a.chunk), m.plan.Home()
	var holders, homeHolders []*peer
	for _, p := range m.peersWithChunks {
		if !p.held.Has(a.chunk) || !p.trusted(now) || now < p.busyUntil {
			continue
		}
		switch p.Region {
		case source:
			holders = append(holders, p)
		case home:
			homeHolders = append(homeHolders, p)
		}
	}
	if len(homeHolders) > 0 && !a.heldAtHome {
		a.heldAtHome, a.heldAtHomeSince = true, now
	}
	if len(holders) == 0 && a.heldAtHome && now >= a.heldAtHomeSince+m.timeout(relayChunkTimes) {
		holders = homeHolders
	}
	holders = slices.DeleteFunc(holders, func(p *peer) bool { return p.pendingFetches > 0 })
	if fast := slices.DeleteFunc(slices.Clone(holders), func(p *peer) bool { return p.slow }); len(fast) > 0 {
		holders = fast
	}
	if len(holders) > 0 {
		m.startFetch(now, a.chunk, m.pickPeer(holders, a.chunk), true)
		return
	}
	if now < a.probedAt+m.timeout(probeChunkTimes) && (a.probedPeer == nil || !a.probedPeer.absent) {
		return
	}
	a.probedAt, a.probedPeer = now, nil
	// The fetchers are probed in turn, since one that is stalled does not respond.
	fetchers := m.plan.Fetchers(source, a.chunk)
	if source != home {
		fetchers = slices.Concat(fetchers, m.plan.Fetchers(home, a.chunk))
	}
	for range fetchers {
		p := m.byVM[fetchers[a.sourceProbes%len(fetchers)]]
		a.sourceProbes++
		if p != nil && p.trusted(now) {
			a.probedPeer = p
			m.exchange(now, p)
			return
		}
	}
}

// notifyGateways sends this VM's bitmap to the gateway of each other region, the first
// fetcher of chunk there, so that it learns that the chunk is available. A VM outside the home region
// notifies those that fetch the chunk from its region.
func (m *Machine) notifyGateways(now time.Duration, chunk int) {
	if m.baseline() {
		return
	}
	for _, region := range m.plan.regions {
		if region == m.cfg.Self.Region || (!m.inHomeRegion() && m.plan.Source(region, chunk) != m.cfg.Self.Region) {
			continue
		}
		for _, vm := range m.plan.Fetchers(region, chunk)[:1] {
			if p := m.byVM[vm]; p != nil {
				m.exchange(now, p)
			}
		}
	}
}

// reportOrigin emits OriginFailed for a failed fetch from the weight store, and
// OriginRecovered for the first response after failures. A corrupt chunk is a response.
func (m *Machine) reportOrigin(now time.Duration, f *fetch, e ChunkDone, timedOut bool) {
	if e.Result == ResultOK || e.Result == ResultCorrupt {
		if m.failuresSinceResponse > 0 {
			m.emit(OriginRecovered{Chunk: f.chunk, Failures: m.failuresSinceResponse, OutageDuration: now - m.outageStartedAt})
		}
		m.failuresSinceResponse = 0
		return
	}
	m.failuresSinceResponse++
	first := m.failuresSinceResponse == 1
	if first {
		m.outageStartedAt = f.startedAt
	}
	m.emit(OriginFailed{ID: f.id, Chunk: f.chunk, First: first, TimedOut: timedOut, Result: e.Result, Err: e.Err, Elapsed: now - f.startedAt})
}

// handleOriginResult delays the next fetch from the weight store after a failure, by a
// pause that doubles with each failure, and honours the store's Retry-After.
func (m *Machine) handleOriginResult(now time.Duration, f *fetch, e ChunkDone, timedOut bool) {
	m.reportOrigin(now, f, e, timedOut)
	m.originAskedAt = f.startedAt
	if e.Result == ResultOK {
		m.originFailures = 0
		return
	}
	// A fetch that drew no bytes may be repeated as soon as the store responds; others would fill its link.
	m.originRefuses = e.Result == ResultFailed && !timedOut && !f.receiving
	first := m.timeout(sourceBackoffChunkTimes)
	longest := max(first, time.Duration(len(m.plan.vmsByRegion[m.cfg.Self.Region]))*sourceRetrySpacing)
	pause := m.spread(min(first<<min(m.originFailures, maxSourceBackoffDoublings), longest))
	m.originFailures++
	// The pause separates the starts of two attempts, so that an attempt that ran for longer
	// before it failed is followed by the next one at once.
	until := f.startedAt + pause
	if e.Result == ResultRateLimited {
		until = now + max(e.RetryAfter, m.cfg.ChunkTime)
	}
	m.originPausedUntil = max(m.originPausedUntil, max(until, now)+m.jitter(m.cfg.ChunkTime))
}
