// Package controlsim simulates the control plane of a fleet in virtual time: the state
// machines of membership and configsync over in-memory links with delay, loss and
// partitions, and a platform that counts its calls. Tests and cmd/controlbench share it.
package controlsim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events of equal time run in the order in
// which they were added, so that runs with equal seeds are identical.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last].run = nil
	*h = (*h)[:last]
	return x
}

// queue runs events in virtual time.
type queue struct {
	now   time.Duration
	order uint64
	heap  eventHeap
}

func (q *queue) at(t time.Duration, run func()) {
	q.order++
	heap.Push(&q.heap, event{at: max(t, q.now), order: q.order, run: run})
}

// runUntil runs all events up to and including time t.
func (q *queue) runUntil(t time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= t {
		next := heap.Pop(&q.heap).(event)
		q.now = next.at
		next.run()
	}
	q.now = t
}
