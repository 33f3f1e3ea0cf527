// Package workorder decides in which order the requests that wait at a worker are to be admitted: by rank, then by the time
// that is left to the aim once the prompt is read. It bounds how often a request of this entry is passed over, so that none
// waits for ever.
//
// It performs no I/O and does not read the clock.
package workorder

import (
	"slices"
	"time"
)

// Bounds of an order. Workers admit lower orders first.
const (
	First = 0
	Last  = 9
)

const (
	// slackStep is the difference of slack that separates two orders, and maxSlackSteps bounds their number. A request that
	// can't be in time comes after those of its rank that can.
	slackStep     = 100 * time.Millisecond
	maxSlackSteps = 5
	lateStep      = maxSlackSteps + 1
	// rankSteps separates two ranks next to each other, and maxRankSteps the first from the last. With them, an urgent
	// request that is late comes after the next ranks.
	rankSteps    = 2
	maxRankSteps = 4
	// MaxPassed is how many of this entry's requests may pass a request that waits at a worker.
	MaxPassed = 2
)

// Request describes a request that is about to be sent.
type Request struct {
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Left is the time left until the first byte is late, and Read how long the worker reads the prompt.
	Left, Read time.Duration
}

// Ranks are the different ranks that the requests to a service may have, in order.
type Ranks []int

// Differ reports whether some requests are more urgent than others.
func (r Ranks) Differ() bool { return len(r) > 1 }

// Order returns the order of a request.
func (r Ranks) Order(request Request) int {
	base := 0
	if index, _ := slices.BinarySearch(r, request.Rank); r.Differ() {
		base = min(index*rankSteps, index*maxRankSteps/(len(r)-1))
	}
	step := lateStep
	if slack := request.Left - request.Read; slack >= 0 {
		step = int(min(slack/slackStep, maxSlackSteps))
	}
	return min(First+base+step, Last)
}

// Queue holds this entry's requests that wait at one worker. The zero value is empty.
type Queue struct {
	waiting []waiting
	added   uint64
}

type waiting struct {
	number uint64
	order  int
	passed int
}

// Add records a request and returns its number and the order that it is sent with: a later one than its own if it would pass
// a request that was passed over MaxPassed times, behind which it is then admitted.
func (q *Queue) Add(order int) (number uint64, sent int) {
	for _, w := range q.waiting {
		if w.passed >= MaxPassed {
			order = max(order, w.order)
		}
	}
	for i := range q.waiting {
		if q.waiting[i].order > order {
			q.waiting[i].passed++
		}
	}
	q.added++
	q.waiting = append(q.waiting, waiting{number: q.added, order: order})
	return q.added, order
}

// Clear records that no request waits any more.
func (q *Queue) Clear() { q.waiting = q.waiting[:0] }

// Remove records that a request does not wait any more.
func (q *Queue) Remove(number uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiting) bool { return w.number == number })
}
