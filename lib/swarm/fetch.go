package swarm

import (
	"math/bits"
	"slices"
	"time"

	"laburnumgw/lib/weights"
)

const (
	// firstByteChunkTimes bounds the wait for the first byte of a fetch from a peer.
	firstByteChunkTimes = 6
	// idleChunkTimes bounds the time without progress of a fetch from a peer after its first byte.
	idleChunkTimes = 6
	// sourceIdleChunkTimes bounds the time without progress of a fetch from the weight store,
	// whose link many fetches may share.
	sourceIdleChunkTimes = 32
	// slowChunkTimes is the age at which a fetch from a peer counts as slow. A peer whose
	// link is a quarter of what ChunkTime assumes needs 12 chunk times per upload slot.
	slowChunkTimes = 16
	// duplicateChunkTimes is the age at which one of the last chunks is requested from
	// a second peer.
	duplicateChunkTimes = 3
	// busyChunkTimes is the pause after a refusal; a bitmap from the peer ends it. At the
	// start of a distribution many VMs request the few chunks of the same peer, and with shorter
	// pauses their requests exceed the limit of control traffic.
	busyChunkTimes = 8
	// maxBusyDoublings bounds that pause: it doubles once, at the second refusal in a row.
	maxBusyDoublings = 1
	// searchesPerChunkTime limits searches: requests to peers other than the one that has
	// just sent a chunk.
	searchesPerChunkTime = 2
	// searchBurst is the number of searches that may start at once.
	searchBurst = 4
	// maxCopies is the number of concurrent fetches of one chunk.
	maxCopies = 2
)

// fetch is an unfinished request for a chunk.
type fetch struct {
	id    FetchID
	chunk int
	// from is nil for the weight store.
	from *peer
	// source is set for a fetch from the region's source.
	source    bool
	startedAt time.Duration
	// progressAt is when bytes last arrived; it equals startedAt before the first ones.
	progressAt time.Duration
	receiving  bool
	// slow is set once the fetch is older than slowChunkTimes. It continues, but it does not
	// count as a download, and the chunk may be requested elsewhere.
	slow bool
}

func (m *Machine) startFetch(now time.Duration, chunk int, from *peer, source bool) {
	m.lastFetchID++
	f := &fetch{id: m.lastFetchID, chunk: chunk, from: from, source: source, startedAt: now, progressAt: now}
	m.fetches = append(m.fetches, f)
	m.requested.Set(chunk)
	name := Origin
	if from != nil {
		from.pendingFetches++
		name = from.VM
	}
	m.emit(FetchChunk{ID: f.id, Chunk: chunk, From: name})
}

// endFetch removes a fetch.
func (m *Machine) endFetch(f *fetch) {
	m.fetches = slices.DeleteFunc(m.fetches, func(other *fetch) bool { return other == f })
	if f.from != nil {
		f.from.pendingFetches--
	}
	if m.copies(f.chunk) == 0 {
		m.requested.Clear(f.chunk)
	}
}

func (m *Machine) cancel(f *fetch) {
	m.endFetch(f)
	m.emit(CancelFetch{ID: f.id})
}

func (m *Machine) copies(chunk int) int {
	count := 0
	for _, f := range m.fetches {
		if f.chunk == chunk {
			count++
		}
	}
	return count
}

func (m *Machine) fetchesFrom(p *peer) []*fetch {
	var found []*fetch
	for _, f := range m.fetches {
		if f.from == p {
			found = append(found, f)
		}
	}
	return found
}

func (m *Machine) findFetch(id FetchID) *fetch {
	for _, f := range m.fetches {
		if f.id == id {
			return f
		}
	}
	return nil
}

func (m *Machine) handleProgress(now time.Duration, id FetchID) {
	if f := m.findFetch(id); f != nil {
		f.progressAt = now
		f.receiving = true
	}
}

// handleChunkDone ends a fetch. The result of a cancelled fetch is ignored.
func (m *Machine) handleChunkDone(now time.Duration, e ChunkDone) {
	f := m.findFetch(e.ID)
	if f == nil {
		return
	}
	m.endFetch(f)
	if f.from == nil {
		m.handleOriginResult(now, f, e, false)
	} else {
		m.handlePeerResult(now, f, e)
	}
	if e.Result != ResultOK {
		return
	}
	m.recordChunk(now, f)
	if f.from == nil && m.originRefuses {
		m.recoverOrigin(now)
	}
	if f.from != nil && m.cfg.Policy == PolicySwarm {
		m.fetchNextFrom(now, f.from)
	}
}

// fetchNextFrom requests another chunk from the peer that has just sent one, since its
// upload slot is free now. Pairs of VMs that stay together keep both links busy and avoid
// the refused requests of a search for free slots.
func (m *Machine) fetchNextFrom(now time.Duration, p *peer) {
	if m.paused || !m.usable(now, p) || m.peerFetches() >= m.downloadLimit() {
		return
	}
	if chunk := m.pickChunk(p.held.Words()); chunk >= 0 {
		m.startFetch(now, chunk, p, false)
	}
}

func (m *Machine) handlePeerResult(now time.Duration, f *fetch, e ChunkDone) {
	p := f.from
	switch e.Result {
	case ResultOK:
		p.faults = 0
		p.slow = f.slow
		p.refusals = 0
	case ResultCorrupt:
		m.recordIntegrityFault(now, p)
	case ResultNotHeld:
		// The peer may have restarted without its chunks, so its complete bitmap is discarded.
		m.setHeld(p, weights.NewBitmap(m.cfg.Chunks))
		p.hasExchanged = false
		m.recordIntegrityFault(now, p)
	case ResultFailed:
		m.recordFault(now, p)
	case ResultRefused:
		pause := m.timeout(busyChunkTimes) << min(p.refusals, maxBusyDoublings)
		p.refusals++
		p.busyUntil = now + m.jitter(pause)
	case ResultRateLimited:
		p.busyUntil = now + max(e.RetryAfter, m.cfg.ChunkTime)
	}
}

// jitter returns a random duration between half of d and d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// spread returns a random duration around d. VMs that fail at the same time retry at different times.
func (m *Machine) spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// recordChunk marks the chunk of a fetch as held and cancels the other fetches of it. When
// it came from the region's source, the gateways of other regions are notified.
func (m *Machine) recordChunk(now time.Duration, f *fetch) {
	if m.held.Has(f.chunk) {
		return
	}
	m.held.Set(f.chunk)
	m.heldCount++
	for _, other := range slices.Clone(m.fetches) {
		if other.chunk == f.chunk {
			m.cancel(other)
		}
	}
	if f.source {
		m.notifyGateways(now, f.chunk)
	}
}

// expireFetches cancels fetches that make no progress.
func (m *Machine) expireFetches(now time.Duration) {
	for _, f := range slices.Clone(m.fetches) {
		limit := m.timeout(idleChunkTimes)
		switch {
		case f.from == nil:
			limit = m.timeout(sourceIdleChunkTimes)
		case f.receiving:
		default:
			limit = m.timeout(firstByteChunkTimes)
		}
		if now-f.progressAt < limit {
			m.markSlow(now, f)
			continue
		}
		m.cancel(f)
		if f.from == nil {
			m.handleOriginResult(now, f, ChunkDone{ID: f.id, Result: ResultFailed}, true)
		} else {
			m.recordFault(now, f.from)
		}
	}
}

// markSlow marks a fetch older than slowChunkTimes, and its peer, as slow, so that the chunk
// may be requested elsewhere as well.
func (m *Machine) markSlow(now time.Duration, f *fetch) {
	if f.from != nil && !f.slow && now-f.startedAt >= m.timeout(slowChunkTimes) {
		f.slow = true
		f.from.slow = true
	}
}

// downloadLimit returns the number of concurrent fetches from peers: the configured number
// less one per fetch from the region's source, but at least one. The source's fetches
// come first, since the whole region waits for their chunks.
func (m *Machine) downloadLimit() int {
	limit := m.cfg.Limits.Downloads
	for _, f := range m.fetches {
		if f.source {
			limit--
		}
	}
	return max(1, limit)
}

func (m *Machine) peerFetches() int {
	count := 0
	for _, f := range m.fetches {
		if !f.source && !f.slow {
			count++
		}
	}
	return count
}

// fillFetches starts fetches from peers, up to downloadLimit and the limit of searches.
func (m *Machine) fillFetches(now time.Duration) {
	if m.Complete() || m.paused || m.cfg.Policy == PolicyOriginOnly {
		return
	}
	m.refillSearchTokens(now)
	for m.searchTokens >= 1 && m.peerFetches() < m.downloadLimit() {
		m.searchTokens--
		if !m.startDuplicate(now) && !m.startPeerFetch(now, false) && !m.startPeerFetch(now, true) {
			m.searchTokens++
			return
		}
	}
}

// refillSearchTokens refills the token bucket that limits searches for a free slot. Without
// a limit, VMs that are refused would try all their peers within milliseconds.
func (m *Machine) refillSearchTokens(now time.Duration) {
	elapsed := now - m.searchTokensAt
	m.searchTokensAt = now
	m.searchTokens += searchesPerChunkTime * float64(elapsed) / float64(m.cfg.ChunkTime)
	m.searchTokens = min(m.searchTokens, searchBurst)
}

// usable reports whether a chunk may be requested from a peer now: a peer of the region, or
// the parent with PolicyFixedTree.
func (m *Machine) usable(now time.Duration, p *peer) bool {
	if m.cfg.Policy == PolicyFixedTree {
		return p == m.parent && p.trusted(now)
	}
	return p.Region == m.cfg.Self.Region && p.heldCount > 0 && p.pendingFetches == 0 && now >= p.busyUntil && p.trusted(now)
}

// startPeerFetch fetches a missing chunk from a usable peer, chosen among the slow peers
// or among the others. It reports whether it found one.
func (m *Machine) startPeerFetch(now time.Duration, slow bool) bool {
	clear(m.offeredWords)
	usable := m.usableBuffer[:0]
	for _, p := range m.peersWithChunks {
		if p.slow != slow || !m.usable(now, p) {
			continue
		}
		usable = append(usable, p)
		for i, word := range p.held.Words() {
			m.offeredWords[i] |= word
		}
	}
	m.usableBuffer = usable
	chunk := m.pickChunk(m.offeredWords)
	if chunk < 0 {
		return false
	}
	from := m.pickPeer(usable, chunk)
	m.startFetch(now, chunk, from, false)
	return true
}

// pickChunk returns a chunk that is offered and neither held nor requested, or -1. It
// prefers the chunk with the fewest holders and chooses at random among equals;
// PolicyRandomPiece ignores the holders, and PolicyFixedTree takes the first chunk.
func (m *Machine) pickChunk(offered []uint64) int {
	best, ties := -1, 0
	var fewestHolders int32
	held, requested := m.held.Words(), m.requested.Words()
	for i, word := range offered {
		for word &^= held[i] | requested[i]; word != 0; word &= word - 1 {
			chunk := i*64 + bits.TrailingZeros64(word)
			holders := m.holders[chunk]
			switch m.cfg.Policy {
			case PolicyFixedTree:
				return chunk
			case PolicyRandomPiece:
				holders = 0
			}
			switch {
			case best < 0 || holders < fewestHolders:
				best, fewestHolders, ties = chunk, holders, 1
			case holders == fewestHolders:
				ties++
				if m.rng.IntN(ties) == 0 {
					best = chunk
				}
			}
		}
	}
	return best
}

// pickPeer returns a random one of the peers that hold a chunk, or nil.
func (m *Machine) pickPeer(peers []*peer, chunk int) *peer {
	var best *peer
	ties := 0
	for _, p := range peers {
		if !p.held.Has(chunk) {
			continue
		}
		ties++
		if m.rng.IntN(ties) == 0 {
			best = p
		}
	}
	return best
}

// startDuplicate requests a chunk from a second peer when its fetch is slow. When every
// missing chunk is requested, it does so sooner, after duplicateChunkTimes, since nothing
// else is left to fetch.
func (m *Machine) startDuplicate(now time.Duration) bool {
	if m.cfg.Policy == PolicyFixedTree {
		return false
	}
	allRequested := m.cfg.Chunks-m.heldCount == m.requested.Count()
	for _, f := range m.fetches {
		late := f.slow || (allRequested && now-f.startedAt >= m.timeout(duplicateChunkTimes))
		if !late || m.copies(f.chunk) >= maxCopies {
			continue
		}
		for _, p := range m.peersWithChunks {
			if p != f.from && !p.slow && m.usable(now, p) && p.held.Has(f.chunk) {
				m.startFetch(now, f.chunk, p, false)
				return true
			}
		}
	}
	return false
}

// hasFastFetch reports whether a fetch of a chunk is in flight that is not slow.
func (m *Machine) hasFastFetch(chunk int) bool {
	for _, f := range m.fetches {
		if f.chunk == chunk && !f.slow {
			return true
		}
	}
	return false
}

// trustedHolder reports whether a peer of the region that is not slow offers a chunk.
func (m *Machine) trustedHolder(now time.Duration, chunk int) bool {
	if m.holders[chunk] == 0 {
		return false
	}
	for _, p := range m.peersWithChunks {
		if p.Region == m.cfg.Self.Region && p.held.Has(chunk) && !p.slow && p.trusted(now) {
			return true
		}
	}
	return false
}
