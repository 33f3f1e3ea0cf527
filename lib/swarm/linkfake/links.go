// Package linkfake simulates swarm Machines over rate-limited links in virtual time. It
// models the up and down link of each VM, the weight store's link, and the links between
// regions, but no packets: the transfers on a link share its rate equally, and a transfer
// runs at the smallest of its shares. A share that a transfer leaves unused is not given to
// the others, so that the simulated times are upper estimates.
//
// V is the time in which a VM's entire link carries one copy of the version; times are given
// in V and amounts of data in copies. The store and the origin are the weight store.
package linkfake

import (
	"container/heap"
	"slices"
	"time"
)

// never is later than the end of every run.
const never = time.Duration(1<<63 - 1)

// timer is a function scheduled for a point in virtual time.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return item
}

// clock runs timers in order of time; timers for the same time run in order of creation.
type clock struct {
	now      time.Duration
	sequence uint64
	timers   timerHeap
}

func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.timers, timer{at: c.now + d, sequence: c.sequence, run: run})
}

// step runs the next timer and reports whether there was one.
func (c *clock) step() bool {
	if len(c.timers) == 0 {
		return false
	}
	next := heap.Pop(&c.timers).(timer)
	c.now = next.at
	next.run()
	return true
}

// link is a shared link; its rate is in chunks per second.
type link struct {
	rate  float64
	flows []*flow
	// carriedChunks is the number of chunks that have crossed the link, fractions included.
	carriedChunks float64
}

// flow is the transfer of one chunk over some links. remaining is the fraction of the chunk
// still to be transferred as of settledAt, and rate is in chunks per second. rateVersion
// invalidates the timer of an earlier rate.
type flow struct {
	links       []*link
	remaining   float64
	rate        float64
	settledAt   time.Duration
	frozen      bool
	ended       bool
	rateVersion int
	onComplete  func()
}

// startFlow starts the transfer of one chunk; done runs when it is complete.
func (c *clock) startFlow(links []*link, done func()) *flow {
	f := &flow{links: links, remaining: 1, settledAt: c.now, onComplete: done}
	for _, l := range links {
		l.flows = append(l.flows, f)
	}
	c.update(links)
	return f
}

// stopFlow ends a transfer, complete or not. It has no effect on one that has ended.
func (c *clock) stopFlow(f *flow) {
	if f.ended {
		return
	}
	c.settle(f)
	f.ended = true
	f.rateVersion++
	for _, l := range f.links {
		l.flows = slices.DeleteFunc(l.flows, func(other *flow) bool { return other == f })
	}
	c.update(f.links)
}

// setFrozen pauses or resumes a transfer without ending it.
func (c *clock) setFrozen(f *flow, frozen bool) {
	f.frozen = frozen
	c.reschedule(f)
}

// setRate changes the rate of a link.
func (c *clock) setRate(l *link, rate float64) {
	l.rate = rate
	c.update([]*link{l})
}

// update recomputes the rates of all transfers on some links.
func (c *clock) update(links []*link) {
	for _, l := range links {
		for _, f := range l.flows {
			c.reschedule(f)
		}
	}
}

// settle accounts for the part of a chunk transferred since the last call.
func (c *clock) settle(f *flow) {
	moved := min(f.remaining, f.rate*(c.now-f.settledAt).Seconds())
	f.settledAt = c.now
	f.remaining -= moved
	for _, l := range f.links {
		l.carriedChunks += moved
	}
}

func (c *clock) reschedule(f *flow) {
	if f.ended {
		return
	}
	rate := f.share()
	if rate == f.rate {
		return
	}
	c.settle(f)
	f.rate = rate
	f.rateVersion++
	if rate <= 0 {
		return
	}
	version := f.rateVersion
	left := time.Duration(f.remaining / rate * float64(time.Second))
	c.after(left+1, func() {
		if f.rateVersion == version {
			c.finish(f)
		}
	})
}

func (f *flow) share() float64 {
	if f.frozen {
		return 0
	}
	rate := f.links[0].rate / float64(len(f.links[0].flows))
	for _, l := range f.links[1:] {
		rate = min(rate, l.rate/float64(len(l.flows)))
	}
	return rate
}

func (c *clock) finish(f *flow) {
	c.stopFlow(f)
	f.onComplete()
}
