package controlsim

import (
	"time"
)

// Bytes that one call adds to its messages: gRPC and HTTP/2 frames with indexed headers,
// one TLS 1.3 record, and IPv4 and TCP headers with timestamps, in each direction, and one
// TCP acknowledgement of the response. Connections stay open and windows are fixed, so that
// handshakes and window probes are not counted.
const (
	requestOverheadBytes  = 114
	responseOverheadBytes = 110
	ackOverheadBytes      = 52
)

// Base delays of one message within a zone, within a region, and between regions. The
// delay of a message is between one and two times the base.
const (
	zoneDelay        = 300 * time.Microsecond
	regionDelay      = time.Millisecond
	interRegionDelay = 2 * time.Millisecond
)

// delay returns the time that one message takes.
func (s *Sim) delay(a, b *Node) time.Duration {
	base := interRegionDelay
	switch {
	case a.Self.Zone == b.Self.Zone:
		base = zoneDelay
	case a.Self.Region == b.Self.Region:
		base = regionDelay
	}
	return base + time.Duration(s.Rng.Int64N(int64(base)))
}

// lost decides at random whether one message is lost.
func (s *Sim) lost() bool {
	return s.Options.Loss > 0 && s.Rng.Float64() < s.Options.Loss
}

// call is one RPC. The function handle runs at the receiver and returns the size of the
// response. The function done runs at the caller; ok is false when no response arrived
// within the timeout.
type call struct {
	kind            string
	from, to        *Node
	fromIncarnation int
	size            int
	timeout         time.Duration
	handle          func() int
	done            func(ok bool)
	started         time.Duration
	finished        bool
}

func (s *Sim) send(c *call) {
	c.started = s.now
	c.fromIncarnation = c.from.incarnation
	c.from.bytesByKind[c.kind] += int64(c.size + requestOverheadBytes)
	c.from.sent(c.size + requestOverheadBytes)
	if !s.passes(c.from, c.to) {
		s.fail(c)
		return
	}
	s.at(s.now+s.delay(c.from, c.to), func() { s.arrive(c) })
}

// passes decides whether one message from a to b arrives.
func (s *Sim) passes(a, b *Node) bool {
	return b != nil && b.Up && s.Reachable(a.Self.Zone, b.Self.Zone) && !s.lost()
}

func (s *Sim) arrive(c *call) {
	c.to.whenRunning(func() {
		c.to.received(c.size + requestOverheadBytes)
		size := c.handle()
		c.to.bytesByKind[c.kind] += int64(c.size + requestOverheadBytes + size + responseOverheadBytes + ackOverheadBytes)
		c.to.sent(size + responseOverheadBytes)
		if !s.passes(c.to, c.from) || c.from.incarnation != c.fromIncarnation {
			s.fail(c)
			return
		}
		s.at(s.now+s.delay(c.to, c.from), func() { s.respond(c, size) })
	}, func() { s.fail(c) })
}

func (s *Sim) respond(c *call, size int) {
	if c.finished || c.from.incarnation != c.fromIncarnation || !c.from.Up {
		return
	}
	if s.now-c.started > c.timeout {
		s.fail(c)
		return
	}
	c.finished = true
	c.from.whenRunning(func() {
		c.from.received(size + responseOverheadBytes)
		c.from.sent(ackOverheadBytes)
		c.from.bytesByKind[c.kind] += int64(size + responseOverheadBytes + ackOverheadBytes)
		c.to.received(ackOverheadBytes)
		c.done(true)
	}, func() {})
}

// fail makes a call fail at its timeout.
func (s *Sim) fail(c *call) {
	if c.finished {
		return
	}
	c.finished = true
	s.at(c.started+c.timeout, func() {
		if c.from.incarnation == c.fromIncarnation && c.from.Up {
			c.from.whenRunning(func() { c.done(false) }, func() {})
		}
	})
}
