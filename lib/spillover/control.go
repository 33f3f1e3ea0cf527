package spillover

import (
	"cmp"
	"math"
	"time"
)

const (
	// DefaultHold is the period of the reports that processes beside workers send to other zones.
	DefaultHold = 450 * time.Millisecond
	// marginPart is the part of the aim by which the own zone has to be slower than the others.
	marginPart = 0.25
	// gain is the step up for an excess of one aim, and minStep and maxStep bound it: a smaller one is none. stepDown is the
	// step down.
	gain     = 1.0
	minStep  = 0.01
	maxStep  = 0.5
	stepDown = 0.125
	// roomPart is the part of the room elsewhere that one step takes: two steps pass until figures show the first one, and two
	// zones may share the room.
	roomPart = 0.5
	// settledPart is the part of the margin by which the difference may change between two steps without being on its way.
	settledPart = 0.125
	// staleHolds is the age, in multiples of the hold, from which on figures decide nothing.
	staleHolds = 3
	// maxExpected bounds the expected times that are believed.
	maxExpected = 10 * time.Minute
)

// Settings configure a Control.
type Settings struct {
	// Hold is the time that a report takes to arrive, which a difference has to outlast; zero for DefaultHold.
	Hold time.Duration
}

// Figures are what an entry expects of a service now.
type Figures struct {
	// Near is the expected time to the first byte in the own zone, and Far that in the best of the others with the way there.
	Near, Far time.Duration
	// Aim is the time within which callers want the first byte.
	Aim time.Duration
	// Room is the part of the load of the own zone for which there are free places in the others.
	Room float64
}

func (f Figures) areValid() bool {
	inRange := func(d time.Duration) bool { return d >= 0 && d <= maxExpected }
	return inRange(f.Near) && inRange(f.Far) && f.Aim > 0 && f.Aim <= maxExpected && f.Room >= 0 && !math.IsInf(f.Room, 0)
}

// Change is a change of state.
type Change int

// Changes of state.
const (
	None Change = iota
	// Began means that requests begin to leave the zone, and Ended that no more do.
	Began
	Ended
)

// Control decides for one service.
type Control struct {
	hold time.Duration
	part float64
	// at is the time of the last figures, and aboveSince or belowSince that from which on the difference exceeds the margin, or
	// is below half of it.
	at, aboveSince, belowSince time.Time
	// steppedAt is the time of the last step, and lastDifference the difference then.
	steppedAt      time.Time
	lastDifference time.Duration
}

// New returns a Control that keeps all requests in the zone.
func New(settings Settings) *Control { return &Control{hold: cmp.Or(settings.Hold, DefaultHold)} }

// Observe takes figures into account. Figures that are out of range are ignored.
func (c *Control) Observe(f Figures, now time.Time) Change {
	before := c.part
	if c.isStale(now) {
		c.reset()
	}
	if f.areValid() {
		c.at = now
		c.observe(f, now)
	}
	switch {
	case before == 0 && c.part > 0:
		return Began
	case before > 0 && c.part == 0:
		return Ended
	}
	return None
}

func (c *Control) observe(f Figures, now time.Time) {
	difference := f.Near - f.Far
	margin := time.Duration(marginPart * float64(f.Aim))
	settled := time.Duration(settledPart * float64(margin))
	since(&c.aboveSince, difference > margin, now)
	since(&c.belowSince, difference < margin/2, now)
	switch {
	case c.lasts(c.aboveSince, now):
		if c.part == 0 || difference >= c.lastDifference-settled {
			excess := float64(difference-margin) / float64(f.Aim)
			if step := min(gain*excess, maxStep, roomPart*f.Room); step >= minStep {
				c.part = min(c.part+step, 1)
			}
		}
		c.stepped(difference, now)
	case c.part > 0 && c.lasts(c.belowSince, now):
		if difference <= c.lastDifference+settled {
			c.part = max(c.part-stepDown, 0)
		}
		c.stepped(difference, now)
	}
}

// since sets a time to now where a condition begins to hold, and to zero where it does not hold.
func since(t *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// lasts reports whether a condition has held, and the last step has had effect, for longer than a report takes.
func (c *Control) lasts(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= c.hold && now.Sub(c.steppedAt) >= c.hold
}

func (c *Control) stepped(difference time.Duration, now time.Time) {
	c.steppedAt, c.lastDifference = now, difference
}

func (c *Control) isStale(now time.Time) bool { return now.Sub(c.at) >= staleHolds*c.hold }

func (c *Control) reset() { *c = Control{hold: c.hold} }

// Part returns the part of the requests that leave the zone, which is zero without recent figures.
func (c *Control) Part(now time.Time) float64 {
	if c.isStale(now) {
		return 0
	}
	return c.part
}

// Suspended records that the machine was suspended, which the monotonic clock does not count: what is known is too old.
func (c *Control) Suspended() { c.at = time.Time{} }
