package retry

import (
	"cmp"
	"time"
)

// Defaults of the budget.
const (
	DefaultRatio     = 0.1
	DefaultPerSecond = 3.0
)

const (
	// budgetWindow is the length of the windows over which retries are bounded.
	budgetWindow = 10 * time.Second
	// slotWidth is the resolution of the counters.
	slotWidth = 100 * time.Millisecond
	// slotCount covers the window and the part of a slot at its start.
	slotCount = int64(budgetWindow/slotWidth) + 1
)

// BudgetSettings configure a Budget.
type BudgetSettings struct {
	// Ratio is the number of retries allowed for each first attempt; zero for
	// DefaultRatio.
	Ratio float64
	// PerSecond is the number of retries allowed in addition; zero for
	// DefaultPerSecond, negative for none. It is meant for one process; to bound the
	// sum over all entries, divide it by their number. Below 0.1 no retry is allowed,
	// because a window of 10 s may start with the retry and contain no first attempt.
	PerSecond float64
}

// Budget bounds the retries over any 10 s to Ratio of the first attempts in the same
// 10 s plus PerSecond for each second. It is not safe for concurrent use.
type Budget struct {
	settings BudgetSettings
	slots    [slotCount]slot
	latest   int64
	origin   time.Time
}

type slot struct {
	firstAttempts float64
	retries       float64
}

// NewBudget returns a budget without history.
func NewBudget(settings BudgetSettings) *Budget {
	b := &Budget{}
	b.Configure(settings)
	return b
}

// Configure replaces the settings and keeps the counters.
func (b *Budget) Configure(settings BudgetSettings) {
	settings.Ratio = cmp.Or(settings.Ratio, DefaultRatio)
	settings.PerSecond = max(cmp.Or(settings.PerSecond, DefaultPerSecond), 0)
	b.settings = settings
}

// FirstAttempt counts the first attempt of a request.
func (b *Budget) FirstAttempt(now time.Time) {
	b.current(now).firstAttempts++
}

// AllowsRetry reports whether the budget allows a retry, without counting one.
func (b *Budget) AllowsRetry(now time.Time) bool {
	b.current(now)
	return b.allows(0)
}

// TryRetry counts a retry and returns true when the budget allows it.
func (b *Budget) TryRetry(now time.Time) bool { return b.tryRetry(0, now) }

// tryRetry counts a retry when the budget also allows one for each of the given number of
// requests that have waited longer.
func (b *Budget) tryRetry(ahead int, now time.Time) bool {
	current := b.current(now)
	if !b.allows(ahead) {
		return false
	}
	current.retries++
	return true
}

// allows checks every window that ends now, because the first attempts that permit a
// retry must lie in the same 10 s as the retry. A window may start within a slot, so
// the first attempts of its oldest slot do not count.
func (b *Budget) allows(ahead int) bool {
	allowance := b.settings.PerSecond * budgetWindow.Seconds()
	firstAttempts, retries := 0.0, float64(ahead+1)
	for age := range slotCount {
		s := b.slot(b.latest - age)
		retries += s.retries
		if retries > b.settings.Ratio*firstAttempts+allowance {
			return false
		}
		firstAttempts += s.firstAttempts
	}
	return true
}

func (b *Budget) slot(number int64) *slot {
	return &b.slots[((number%slotCount)+slotCount)%slotCount]
}

// current returns the counters for now and clears those that left the window. A time
// before the latest one counts as the latest.
func (b *Budget) current(now time.Time) *slot {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin) / slotWidth)
	if number-b.latest >= slotCount {
		b.slots = [slotCount]slot{}
		b.latest = number
	}
	for b.latest < number {
		b.latest++
		*b.slot(b.latest) = slot{}
	}
	return b.slot(b.latest)
}
