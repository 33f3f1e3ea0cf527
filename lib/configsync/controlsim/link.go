package controlsim

import (
	"time"
)

// Bytes that one call adds to its messages: gRPC and HTTP/2 frames with indexed headers,
// one TLS 1.3 record, and IPv4 and TCP headers with timestamps, in each direction, and one
// TCP acknowledgement of the answer. Connections stay open, and windows are fixed, so
// that handshakes and window probes do not count.
const (
	requestOverhead  = 114
	responseOverhead = 110
	ackOverhead      = 52
)

const (
	zoneDelay   = 300 * time.Microsecond
	regionDelay = time.Millisecond
	remoteDelay = 2 * time.Millisecond
)

// delay returns the time one message takes.
func (s *Sim) delay(a, b *Node) time.Duration {
	base := remoteDelay
	switch {
	case a.Self.Zone == b.Self.Zone:
		base = zoneDelay
	case a.Self.Region == b.Self.Region:
		base = regionDelay
	}
	return base + time.Duration(s.Rng.Int64N(int64(base)))
}

func (s *Sim) lost() bool {
	return s.Options.Loss > 0 && s.Rng.Float64() < s.Options.Loss
}

// call is one RPC. Handle runs at the receiver and returns the size of the answer. Done
// runs at the caller; it is false when no answer came within the timeout.
type call struct {
	kind     string
	from, to *Node
	fromLife int
	size     int
	timeout  time.Duration
	handle   func() int
	done     func(ok bool)
	started  time.Duration
	finished bool
}

func (s *Sim) send(c *call) {
	c.started = s.now
	c.fromLife = c.from.life
	c.from.kinds[c.kind] += int64(c.size + requestOverhead)
	c.from.sent(c.size + requestOverhead)
	if !s.passes(c.from, c.to) {
		s.fail(c)
		return
	}
	s.at(s.now+s.delay(c.from, c.to), func() { s.arrive(c) })
}

func (s *Sim) passes(a, b *Node) bool {
	return b != nil && b.Up && s.Reachable(a.Self.Zone, b.Self.Zone) && !s.lost()
}

func (s *Sim) arrive(c *call) {
	c.to.whenRunning(func() {
		c.to.received(c.size + requestOverhead)
		size := c.handle()
		c.to.kinds[c.kind] += int64(c.size + requestOverhead + size + responseOverhead + ackOverhead)
		c.to.sent(size + responseOverhead)
		if !s.passes(c.to, c.from) || c.from.life != c.fromLife {
			s.fail(c)
			return
		}
		s.at(s.now+s.delay(c.to, c.from), func() { s.answer(c, size) })
	}, func() { s.fail(c) })
}

func (s *Sim) answer(c *call, size int) {
	if c.finished || c.from.life != c.fromLife || !c.from.Up {
		return
	}
	if s.now-c.started > c.timeout {
		s.fail(c)
		return
	}
	c.finished = true
	c.from.whenRunning(func() {
		c.from.received(size + responseOverhead)
		c.from.sent(ackOverhead)
		c.from.kinds[c.kind] += int64(size + responseOverhead + ackOverhead)
		c.to.received(ackOverhead)
		c.done(true)
	}, func() {})
}

// fail ends a call at its timeout.
func (s *Sim) fail(c *call) {
	if c.finished {
		return
	}
	c.finished = true
	s.at(c.started+c.timeout, func() {
		if c.from.life == c.fromLife && c.from.Up {
			c.from.whenRunning(func() { c.done(false) }, func() {})
		}
	})
}
