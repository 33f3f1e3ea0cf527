// Package linkbudget divides one direction of a link between calls and transfers in the background. Calls never wait: their
// bytes are only counted. Chunks of a version with a bound get what calls leave, but over the time of a transfer no less than
// a promised share. Other transfers get only what is left. It takes bytes and a clock, and performs no I/O.
package linkbudget

import "time"

// Class is how urgent transfers in the background are.
type Class int

// Classes.
const (
	// Bounded transfers have a time by which they must have arrived.
	Bounded Class = iota
	// Unbounded transfers have none.
	Unbounded
)

const (
	// knownFor is how long the rate of calls holds that was seen last.
	knownFor = 500 * time.Millisecond
	// longestGap is the longest time between two calls of a Budget in which it knows what has passed.
	longestGap = time.Second
	// maxAhead bounds by how much of the promised bytes transfers may be ahead, and catchUp is the time within which they fall back.
	maxAhead = time.Second
	catchUp  = 250 * time.Millisecond
	// leastAhead and leastLeft are the least parts of the promised share for transfers that are ahead, and for unbounded ones.
	leastAhead = 0.25
	leastLeft  = 0.05
	// measureFor is the time over which the rate of a squeezed link is measured. Transfers that get less than squeezedBelow of
	// what they may take show one, of which usableMeasured may be taken. If they get freeAbove of that, and no more than draining, which shows that
	// earlier bytes are still under way, the measured rate grows by growth.
	measureFor     = time.Second
	squeezedBelow  = 0.6
	usableMeasured = 0.8
	freeAbove      = 0.9
	draining       = 1.05
	growth         = 1.15
)

// Settings describe one direction of a link.
type Settings struct {
	// Rate is what the link carries, in bytes per second; zero if it is not known.
	Rate float64
	// Promised is the fraction of Rate that bounded transfers get in any case, in bytes of their payload.
	Promised float64
	// Usable is the fraction of Rate that all traffic together may take, and Overhead what a byte of payload takes besides.
	Usable, Overhead float64
}

// Budget divides one direction of a link. It must not be used concurrently.
type Budget struct {
	settings Settings
	at       time.Time
	calls    float64
	callsAt  time.Time
	active   bool
	// unsettled is the payload that was sent since at, and rate what was granted then.
	unsettled, rate float64
	// ahead is the payload by which transfers are ahead of the promised share. It is negative after a time in which the link did not carry that.
	ahead float64
	// sent of granted payload has passed in the running measurement.
	sent, granted float64
	measured      time.Duration
	// carried is what the link carries if that is less than its rate; zero if not.
	carried float64
}

// New returns a budget for a link.
func New(settings Settings) *Budget { return &Budget{settings: settings} }

// Promised returns the rate, in bytes of payload per second, that bounded transfers get in any case.
func (b *Budget) Promised() float64 { return b.settings.Promised * b.settings.Rate }

// Calls counts the bytes that calls and messages have taken on the way within a time up to now.
func (b *Budget) Calls(bytes float64, within time.Duration, now time.Time) {
	if within > 0 && bytes >= 0 {
		b.calls, b.callsAt = bytes/within.Seconds(), now
	}
}

// Transferred counts payload of transfers that has passed.
func (b *Budget) Transferred(bytes float64) { b.unsettled += bytes }

// SetActive tells whether transfers are under way.
func (b *Budget) SetActive(active bool, now time.Time) {
	b.settle(now)
	if active != b.active {
		b.active = active
		b.forget()
	}
}

// Squeezed returns what the link carries if that is less than its rate.
func (b *Budget) Squeezed() (bytesPerSecond float64, ok bool) { return b.carried, b.carried > 0 }

// Rate returns the rate of payload that transfers of a class may take from now on, and zero for a link of unknown rate.
func (b *Budget) Rate(class Class, now time.Time) float64 {
	b.settle(now)
	b.rate = b.decide(class, now)
	return b.rate
}

func (b *Budget) decide(class Class, now time.Time) float64 {
	promised := b.Promised()
	if b.callsAt.IsZero() || now.Sub(b.callsAt) > knownFor {
		return promised
	}
	usable := b.settings.Usable * b.settings.Rate
	if b.carried > 0 {
		usable = min(usable, usableMeasured*b.carried)
	}
	free := (usable - b.calls) / (1 + b.settings.Overhead)
	switch {
	case class == Unbounded:
		return max(free, leastLeft*promised)
	case free >= promised:
		return free
	default:
		return max(free, min(promised, promised-b.ahead/catchUp.Seconds()), leastAhead*promised)
	}
}

// forget drops what is known of the transfers.
func (b *Budget) forget() {
	b.unsettled, b.ahead, b.carried = 0, 0, 0
	b.sent, b.granted, b.measured = 0, 0, 0
}

// settle accounts for the time since the last call.
func (b *Budget) settle(now time.Time) {
	passed := now.Sub(b.at)
	switch {
	case b.at.IsZero() || passed < 0 || passed > longestGap:
		// It has just started, the VM was suspended, or the clock was set.
		b.at, b.callsAt = now, time.Time{}
		b.forget()
		return
	case passed == 0:
		return
	}
	b.at = now
	if !b.active {
		b.unsettled = 0
		return
	}
	promised := b.Promised()
	most := promised * maxAhead.Seconds()
	b.ahead = min(max(-most, b.ahead+b.unsettled-promised*passed.Seconds()), most)
	b.sent += b.unsettled
	b.granted += b.rate * passed.Seconds()
	b.measured += passed
	b.unsettled = 0
	if b.measured >= measureFor {
		b.measure()
	}
}

// measure ends a measurement of what the link carries.
func (b *Budget) measure() {
	part, sent := b.sent/max(b.granted, 1), b.sent/b.measured.Seconds()
	switch {
	case b.carried == 0 && part >= squeezedBelow:
	case part < freeAbove:
		b.carried = b.calls + sent*(1+b.settings.Overhead)
	case sent >= freeAbove*b.Promised():
		b.carried = 0
	case part <= draining:
		b.carried *= growth
	}
	b.sent, b.granted, b.measured = 0, 0, 0
}
