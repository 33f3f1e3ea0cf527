package swarm

import "time"

const (
	// minExchangeGap is the shortest time, in chunk times, between exchanges with a peer.
	minExchangeGap = 1
	// staleChunkTimes is the age, in chunk times, after which a peer's bitmap is
	// requested without news of this VM.
	staleChunkTimes = 16
)

// handleBitmap records what a peer holds. The adapter answers a request with Held,
// so both sides know the other's bitmap afterwards.
func (m *Machine) handleBitmap(now time.Duration, e BitmapReceived) {
	p := m.byVM[e.From]
	if p == nil || p.banned() || e.Bitmap.Len() != m.cfg.Chunks {
		return
	}
	m.setHeld(p, e.Bitmap.Clone())
	m.recordExchange(now, p)
	p.inbound = true
	p.busyUntil = now
	m.addNeighbor(p)
}

func (m *Machine) recordExchange(now time.Duration, p *peer) {
	p.told = m.count
	p.exchanged = true
	p.lastExchange = now
}

// gossip sends bitmaps to the neighbours that have waited longest, within the limit
// of exchanges per second.
func (m *Machine) gossip(now time.Duration) {
	m.refillTokens(now)
	for m.tokens >= 1 {
		p := m.nextExchange(now)
		if p == nil {
			return
		}
		m.tokens--
		m.exchange(now, p)
	}
}

func (m *Machine) exchange(now time.Duration, p *peer) {
	m.recordExchange(now, p)
	m.emit(SendBitmap{To: p.VM, Bitmap: m.held.Clone()})
}

func (m *Machine) refillTokens(now time.Duration) {
	elapsed := now - m.tokensAt
	m.tokensAt = now
	m.tokens += elapsed.Seconds() * float64(m.cfg.Limits.ExchangesPerSecond)
	m.tokens = min(m.tokens, float64(m.cfg.Limits.ExchangeBurst))
}

func (m *Machine) nextExchange(now time.Duration) *peer {
	var best *peer
	for _, p := range m.neighbors {
		if !m.wantsExchange(now, p) {
			continue
		}
		if best == nil || (!p.exchanged && best.exchanged) ||
			(p.exchanged == best.exchanged && p.lastExchange < best.lastExchange) {
			best = p
		}
	}
	return best
}

func (m *Machine) wantsExchange(now time.Duration, p *peer) bool {
	if p.banned() || p.count == m.cfg.Chunks {
		return false
	}
	if p.exchanged && now-p.lastExchange < minExchangeGap*m.cfg.ChunkTime {
		return false
	}
	if m.count > p.told {
		return true
	}
	if m.count == m.cfg.Chunks {
		return false
	}
	return now-p.lastExchange > staleChunkTimes*m.cfg.ChunkTime
}
