package swarm

import (
	"math/bits"
	"slices"
	"time"

	"laburnumgw/lib/weights"
)

const (
	// firstByteChunkTimes bounds the wait for a peer's first byte.
	firstByteChunkTimes = 6
	// idleChunkTimes bounds the time without progress of a fetch from a peer that has begun.
	idleChunkTimes = 6
	// sourceIdleChunkTimes bounds the time without progress of a fetch from the weight store,
	// whose link may be shared by many fetches.
	sourceIdleChunkTimes = 32
	// slowChunkTimes is the age at which a fetch from a peer counts as slow. A peer whose
	// link is a quarter of what ChunkTime assumes needs 12 chunk times per upload slot.
	slowChunkTimes = 16
	// duplicateChunkTimes is the age at which one of the last chunks is requested from
	// a second peer.
	duplicateChunkTimes = 3
	// busyChunkTimes is the pause after a refusal, which a bitmap from the peer ends. At
	// the start of a burst many VMs want the few chunks of the same peer, and with
	// shorter pauses their requests exceed the limit of control traffic.
	busyChunkTimes = 8
	// maxBusyDoublings bounds the pause, which doubles with each refusal.
	maxBusyDoublings = 1
	// searchesPerChunkTime limits requests to peers other than those that have just sent
	// a chunk.
	searchesPerChunkTime = 2
	// searchBurst is the number of such requests at once.
	searchBurst = 4
	// maxCopies is the number of concurrent fetches of one chunk.
	maxCopies = 2
)

// fetch is a request for a chunk that has not ended.
type fetch struct {
	id    FetchID
	chunk int
	// from is nil for the weight store.
	from *peer
	// source is set for a fetch from the region's source.
	source    bool
	startedAt time.Duration
	// progressAt is the time of the last bytes; it is started before the first ones.
	progressAt time.Duration
	receiving  bool
	// slow fetches continue, but the chunk may be requested elsewhere, and they do not
	// count as downloads.
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

// endFetch forgets a fetch.
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

// handleChunkDone ends a fetch. A result of a fetch that was cancelled is ignored.
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
	if f.from != nil && m.cfg.Policy == PolicySwarm {
		m.fetchNextFrom(now, f.from)
	}
}

// fetchNextFrom requests the next chunk from the peer that has just sent one, since
// its upload slot is free now. Pairs that stay together keep both links busy and save
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
		// The peer may have restarted without its chunks, so its whole bitmap is void.
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

// recordChunk records a chunk that is now held.
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
	if f.from == nil {
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

// markSlow records that a peer sends too slowly to wait for it alone.
func (m *Machine) markSlow(now time.Duration, f *fetch) {
	if f.from != nil && !f.slow && now-f.startedAt >= m.timeout(slowChunkTimes) {
		f.slow = true
		f.from.slow = true
	}
}

// downloadLimit leaves most of the link to a fetch from the region's source, since
// the whole region waits for that chunk.
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

// fillFetches starts fetches from peers up to the limit.
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

// refillSearchTokens limits the requests that look for a free slot. Without a limit, VMs
// that are refused try all their peers within milliseconds.
func (m *Machine) refillSearchTokens(now time.Duration) {
	elapsed := now - m.searchTokensAt
	m.searchTokensAt = now
	m.searchTokens += searchesPerChunkTime * float64(elapsed) / float64(m.cfg.ChunkTime)
	m.searchTokens = min(m.searchTokens, searchBurst)
}

// usable reports whether a chunk may be requested from a peer of the region now.
func (m *Machine) usable(now time.Duration, p *peer) bool {
	if m.cfg.Policy == PolicyFixedTree {
		return p == m.parent && p.trusted(now)
	}
	return p.Region == m.cfg.Self.Region && p.heldCount > 0 && p.pendingFetches == 0 && now >= p.busyUntil && p.trusted(now)
}

// startPeerFetch chooses a chunk that a usable peer holds, and the peer. It considers
// either the slow peers or the others.
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

// pickChunk returns a chunk that is offered and neither held nor requested, or -1.
// It prefers the one that the fewest peers hold and chooses at random among equals.
func (m *Machine) pickChunk(offered []uint64) int {
	best, ties := -1, 0
	var rarity int32
	held, requested := m.held.Words(), m.requested.Words()
	for i, word := range offered {
		for word &^= held[i] | requested[i]; word != 0; word &= word - 1 {
			chunk := i*64 + bits.TrailingZeros64(word)
			count := m.holders[chunk]
			switch m.cfg.Policy {
			case PolicyFixedTree:
				return chunk
			case PolicyRandomPiece:
				count = 0
			}
			switch {
			case best < 0 || count < rarity:
				best, rarity, ties = chunk, count, 1
			case count == rarity:
				ties++
				if m.rng.IntN(ties) == 0 {
					best = chunk
				}
			}
		}
	}
	return best
}

// pickPeer returns a random one of the peers that hold a chunk.
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

// startDuplicate requests a chunk from a second peer when the first is slow. One of
// the last chunks is requested again sooner, since nothing else is left to fetch.
func (m *Machine) startDuplicate(now time.Duration) bool {
	if m.cfg.Policy == PolicyFixedTree {
		return false
	}
	last := m.cfg.Chunks-m.heldCount == m.requested.Count()
	for _, f := range m.fetches {
		late := f.slow || (last && now-f.startedAt >= m.timeout(duplicateChunkTimes))
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

// hasFastFetch reports whether a chunk is requested from someone who is not slow.
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
