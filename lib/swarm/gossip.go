package swarm

import (
	"time"

	"laburnumgw/lib/weights"
)

const (
	// minExchangeGapChunkTimes is the shortest time, in chunk times, between exchanges with a neighbour.
	minExchangeGapChunkTimes = 1
	// staleChunkTimes is the time, in chunk times, since the last exchange after which a
	// neighbour's bitmap is requested although this VM has no new chunks to report.
	staleChunkTimes = 16
)

// handleBitmap records which chunks a peer holds. The adapter responds to a request with
// HeldChunks, so that both sides know the other's bitmap afterwards.
func (m *Machine) handleBitmap(now time.Duration, e BitmapReceived) {
	p := m.byVM[e.From]
	if p == nil || p.banned() || e.Bitmap.Len() != m.cfg.Chunks {
		return
	}
	if p.Region == m.cfg.Self.Region && m.offersNew(e.Bitmap) {
		m.resumeSource(now)
	}
	m.setHeld(p, e.Bitmap.Clone())
	m.recordExchange(now, p)
	p.hasSentBitmap = true
	p.absent, p.isAsked = false, false
	p.busyUntil = now
	m.addNeighbour(p)
}

// offersNew reports whether a bitmap has a chunk that the region lacked so far.
func (m *Machine) offersNew(bitmap weights.Bitmap) bool {
	for chunk, holders := range m.holders {
		if holders == 0 && bitmap.Has(chunk) && !m.held.Has(chunk) {
			return true
		}
	}
	return false
}

func (m *Machine) recordExchange(now time.Duration, p *peer) {
	p.reportedCount = m.heldCount
	p.hasExchanged = true
	p.lastExchange = now
}

// exchangeBitmaps exchanges bitmaps with the neighbours whose last exchange is the longest
// ago, within the limit of exchanges per second.
func (m *Machine) exchangeBitmaps(now time.Duration) {
	m.refillExchangeTokens(now)
	for m.exchangeTokens >= 1 {
		p := m.nextExchange(now)
		if p == nil {
			return
		}
		m.exchangeTokens--
		m.exchange(now, p)
	}
}

func (m *Machine) exchange(now time.Duration, p *peer) {
	m.recordExchange(now, p)
	m.emit(SendBitmap{To: p.VM, Bitmap: m.held.Clone()})
}

func (m *Machine) refillExchangeTokens(now time.Duration) {
	elapsed := now - m.exchangeTokensAt
	m.exchangeTokensAt = now
	m.exchangeTokens += elapsed.Seconds() * float64(m.cfg.Limits.ExchangesPerSecond)
	m.exchangeTokens = min(m.exchangeTokens, float64(m.cfg.Limits.ExchangeBurst))
}

func (m *Machine) nextExchange(now time.Duration) *peer {
	var best *peer
	for _, p := range m.neighbours {
		if !m.wantsExchange(now, p) {
			continue
		}
		if best == nil || (!p.hasExchanged && best.hasExchanged) ||
			(p.hasExchanged == best.hasExchanged && p.lastExchange < best.lastExchange) {
			best = p
		}
	}
	return best
}

func (m *Machine) wantsExchange(now time.Duration, p *peer) bool {
	if p.banned() || p.heldCount == m.cfg.Chunks {
		return false
	}
	if p.hasExchanged && now-p.lastExchange < minExchangeGapChunkTimes*m.cfg.ChunkTime {
		return false
	}
	if m.heldCount > p.reportedCount {
		return true
	}
	if m.heldCount == m.cfg.Chunks {
		return false
	}
	return now-p.lastExchange > staleChunkTimes*m.cfg.ChunkTime
}
