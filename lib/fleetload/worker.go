package fleetload

import (
	"math"
	"time"
)

const (
	// observationTTL is the age from which on a count of requests does not describe a worker any more.
	observationTTL = 3 * time.Second
	// memoryTTL is the same for the memory that a worker reports.
	memoryTTL = 2 * time.Second
	// recentAge is the age up to which a count is recent. Reports reach other zones every 450 ms, and one may be lost.
	recentAge = time.Second
	// MaxExpected bounds each part of an expected time, and their sum.
	MaxExpected = 10 * time.Minute
)

// Bounds of what is believed of one worker.
const (
	maxRequests        = 1 << 20
	maxTokensOfRequest = 1 << 20
	maxTokensOfWorker  = 1 << 40
)

// Worker is the state of one worker. It stays valid when the worker starts again, and describes nothing once the worker
// was forgotten.
type Worker struct {
	view        *View
	vm          string
	startedAtMs int64
	slots       int
	// own is the load of this entry, and told that of the other entries, by their facts.
	own, told part
	// others counts the requests of the other entries, by the observation of observedAt, and queue those of them that the
	// worker had not begun to answer.
	others     int
	observedAt time.Time
	queue      fading
	pace       fading

	usedTokens, totalTokens int64
	usedAt                  time.Time
}

// restart forgets what an earlier start of the worker has left.
func (w *Worker) restart(startedAtMs int64) {
	*w = Worker{view: w.view, vm: w.vm, startedAtMs: startedAtMs}
}

func (w *Worker) observe(running, queued int, now time.Time) {
	running, queued = min(max(running, 0), maxRequests), min(max(queued, 0), maxRequests)
	w.others = max(running+queued-w.own.requests(), 0)
	w.observedAt = now
	w.queue.observe(float64(max(queued-w.own.waiting, 0)), queueFade, now)
}

// believedTokens returns a number of tokens of one request, which are no more than the worker can hold.
func (w *Worker) believedTokens(tokens int64) int64 { return min(max(tokens, 0), w.tokensOfRequest()) }

func (w *Worker) tokensOfRequest() int64 {
	if w.totalTokens > 0 {
		return min(w.totalTokens, maxTokensOfRequest)
	}
	return maxTokensOfRequest
}

// observePace records a pace. One out of range is ignored.
func (w *Worker) observePace(pace float64, now time.Time) {
	if isPace(pace) {
		w.pace.observe(pace, paceFade, now)
	}
}

// Load returns the best estimate of the load.
func (w *Worker) Load(now time.Time) Load {
	w.view.expire(now)
	age := now.Sub(w.observedAt)
	known := !w.observedAt.IsZero() && age < observationTTL
	others, queued := float64(w.told.requests()), float64(w.told.waiting)
	if known {
		others, queued = max(others, float64(w.others)), w.queue.estimate(queueFade, now)
	}
	total := w.own.requests() + int(others)
	load := Load{
		Slots: w.slots, Pace: w.pace.estimate(paceFade, now), Age: age, Known: known,
		HeldBytes: w.own.heldBytes + w.told.heldBytes, HeldTokens: w.own.heldTokens, TotalTokens: w.totalTokens,
	}
	load.Queued = min(w.own.waiting+int(math.Round(queued)), total)
	if w.slots > 0 {
		load.Queued = max(load.Queued, total-w.slots)
	}
	load.Running = total - load.Queued
	load.WaitingPromptTokens = w.own.waitingTokens + w.othersPromptTokens(queued)
	if !w.usedAt.IsZero() && now.Sub(w.usedAt) < memoryTTL {
		load.HeldTokens = max(load.HeldTokens, w.usedTokens)
	}
	return load
}

// Known reports whether the requests at the worker were observed recently, so that zones can be compared by them.
func (w *Worker) Known(now time.Time) bool {
	return !w.observedAt.IsZero() && now.Sub(w.observedAt) < recentAge
}

// othersPromptTokens returns the prompt tokens of a number of requests of the other entries: of the mean length, and longer
// where the entries have told of longer ones.
func (w *Worker) othersPromptTokens(queued float64) int64 {
	mean := w.view.meanPromptTokens
	longer := max(float64(w.told.waitingTokens)-float64(w.told.waiting)*mean, 0)
	return int64(queued*mean + longer)
}

// FirstByte returns how long a request is expected to wait for its first byte: until a slot is free or the prompts before it
// are read, whichever is later, and then for its own prompt. Without a recent observation it is that of this entry's
// requests and of what other entries have told. It is between zero and MaxExpected, whatever they state.
func (w *Worker) FirstByte(promptTokens int64, rates Rates, now time.Time) time.Duration {
	load := w.Load(now)
	var ahead, read float64
	if rates.PromptPerSecond > 0 {
		ahead = believedTime(float64(load.WaitingPromptTokens) / rates.PromptPerSecond * float64(time.Second))
		read = believedTime(float64(promptTokens) / rates.PromptPerSecond * float64(time.Second))
	}
	if over := load.Running + load.Queued + 1 - load.Slots; load.Slots > 0 && over > 0 {
		ahead = max(ahead, believedTime(float64(over)*float64(rates.SlotTime)/float64(load.Slots)))
	}
	return time.Duration(believedTime(load.Pace * (ahead + read + believedTime(float64(rates.Pass)))))
}

// AtLeast returns a time that FirstByte does not fall below. It leaves out the prompts that wait for other entries, and takes the
// best pace that may be believed.
func (w *Worker) AtLeast(promptTokens int64, rates Rates, now time.Time) time.Duration {
	w.view.expire(now)
	others := w.told.requests()
	if !w.observedAt.IsZero() && now.Sub(w.observedAt) < observationTTL {
		others = max(others, w.others)
	}
	var ahead, read float64
	if rates.PromptPerSecond > 0 {
		ahead = believedTime(float64(w.own.waitingTokens) / rates.PromptPerSecond * float64(time.Second))
		read = believedTime(float64(promptTokens) / rates.PromptPerSecond * float64(time.Second))
	}
	if over := w.own.requests() + others + 1 - w.slots; w.slots > 0 && over > 0 {
		ahead = max(ahead, believedTime(float64(over)*float64(rates.SlotTime)/float64(w.slots)))
	}
	return time.Duration(roundingSlack * believedTime(w.pace.atLeast(paceFade)*(ahead+read+believedTime(float64(rates.Pass)))))
}

// roundingSlack keeps floating-point errors from raising a lower bound beyond its value.
const roundingSlack = 1 - 1e-9

// HasFreeSlot reports whether a request that is sent now finds a free slot, by what is known.
func (w *Worker) HasFreeSlot(now time.Time) bool {
	load := w.Load(now)
	return load.Slots > 0 && load.Running+load.Queued < load.Slots
}

// believedTime returns a time in nanoseconds within the bounds of an expected one.
func believedTime(nanoseconds float64) float64 {
	switch {
	case nanoseconds > float64(MaxExpected):
		return float64(MaxExpected)
	case nanoseconds > 0:
		return nanoseconds
	}
	return 0
}
