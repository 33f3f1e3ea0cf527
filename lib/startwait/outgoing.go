package startwait

import (
	"time"

	"laburnumgw/lib/mirror"
)

const (
	// MaxStandstill outlasts the silence of a sound worker.
	MaxStandstill = 1500 * time.Millisecond
	// ReadingTime is how long a worker reads a request and its prompt that does not wait.
	ReadingTime = 100 * time.Millisecond
	// StartMargin is how long before the bound of a version a request that waits at a worker with older weights is given
	// up: the date of the naming may be late, and the way to the worker and the closing take wayTime.
	StartMargin = mirror.DateUncertainty + wayTime
	wayTime     = 175 * time.Millisecond
	// SendMargin is how long before the bound of a version older weights get no more requests, also where none waits: a
	// sound worker may stand still just before it reads one, and some run a request whose connection was closed meanwhile.
	SendMargin = StartMargin + MaxStandstill + ReadingTime
)

// OutgoingAllowance is what may delay a request to weights that a newer version replaces besides its wait.
func OutgoingAllowance() Allowance { return Allowance{Standstill: MaxStandstill, Reading: ReadingTime} }

// StartBound returns when the last request on weights must have begun that a version replaces which must apply within a
// time of its naming.
func StartBound(namedAt time.Time, apply time.Duration) time.Time {
	return namedAt.Add(apply - StartMargin)
}

// SendingEnds returns from when on weights that a version replaces get no more requests. Workers at which requests wait
// get none from earlier on.
func SendingEnds(namedAt time.Time, apply time.Duration) time.Time {
	return namedAt.Add(apply - SendMargin)
}
