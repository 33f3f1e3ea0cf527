// Package admission decides which requests an endpoint runs. It serves the product's own
// endpoint role, whose process is the only path to its endpoint, so the limit that this
// package keeps holds for any number of entries and during partitions. The hosted roles
// do not use it.
//
// Controller is a deterministic state machine: it takes events and a clock value
// and returns decisions. Gate is the goroutine-safe adapter around it.
package admission

import (
	"time"

	"laburnumgw/lib/errkind"
)

// Limits bounds the work of one endpoint.
type Limits struct {
	// ColdInFlight is the limit after a start and after each return to cold.
	ColdInFlight int
	// WarmInFlight is the limit of a warm endpoint.
	WarmInFlight int
	// Ramp is the period of successful work after which the limit doubles.
	Ramp time.Duration
	// QueueLength is the number of requests that may wait.
	QueueLength int
	// QueueWait is the longest time that a request may wait; zero means that only
	// the request's deadline bounds it.
	QueueWait time.Duration
}

// Workspace holds the settings of one workspace.
type Workspace struct {
	// Weight is the workspace's share relative to the other workspaces. Values below
	// one count as one, values above 1000 as 1000.
	Weight int
	// MaxInFlight bounds the workspace's requests on the endpoint; zero means no bound.
	MaxInFlight int
}

// Config holds the settings of a Controller.
type Config struct {
	Limits Limits
	// Workspaces holds the settings by name. Other workspaces have weight one and no bound.
	Workspaces map[string]Workspace
}

// Kind says whether a request may run more than once.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may be retried on another endpoint.
	Idempotent Kind = iota
	// NonIdempotent requests may only be repeated under their idempotency key.
	NonIdempotent
)

// Request is one attempt of a request that asks to run.
type Request struct {
	// ID identifies the attempt among the queued and running ones.
	ID        string
	Workspace string
	// Priority orders the requests of one workspace; the highest runs first.
	Priority int32
	// Deadline is the time after which the caller has no use for the response.
	// The zero value means none.
	Deadline time.Time
	Kind     Kind
}

// Result is how a running request ended.
type Result int

// Results of requests.
const (
	// Succeeded counts as successful work of the endpoint.
	Succeeded Result = iota
	// Failed means that the endpoint failed or its connection was lost.
	Failed
	// Abandoned means that the request ended early for a reason outside of the
	// endpoint, such as a caller that disconnected. It says nothing about the endpoint.
	Abandoned
)

// Verdict is the state that a decision gives to a request.
type Verdict int

// Verdicts on requests.
const (
	// Admitted means that the request runs now; the caller must report its end.
	Admitted Verdict = iota
	// Queued means that a later decision admits or refuses the request.
	Queued
	// Refused means that the request does not run here.
	Refused
)

// Decision tells the caller what happens to one request.
type Decision struct {
	ID      string
	Verdict Verdict
	// Err is of kind errkind.NotRun for refused requests and nil otherwise.
	Err *errkind.Error
}

// Load describes the endpoint for load reports.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int
	Cold        bool
	Leaving     bool
	ServiceTime time.Duration
}

const (
	// queueShareNumerator and queueShareDenominator bound the wait in the queue to 2/5 of
	// the time to the deadline, so that a refusal reaches the caller before half of
	// that time has passed.
	queueShareNumerator   = 2
	queueShareDenominator = 5
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// serviceTimeShift sets the weight of a new sample in the service time to 1/8.
	serviceTimeShift = 3
	maxWeight        = 1000
)

// running is a request that occupies a slot.
type running struct {
	workspace string
}

// Controller is the authority on what one endpoint runs. It is not safe for
// concurrent use.
type Controller struct {
	config      Config
	inFlight    map[string]running
	queue       fairQueue
	ramp        ramp
	leaving     bool
	serviceTime time.Duration
}

// New returns the controller of an endpoint that has just started and is cold.
func New(config Config, now time.Time) *Controller {
	c := &Controller{
		inFlight: make(map[string]running),
		queue:    newFairQueue(),
	}
	c.config = config
	c.queue.configure(config.Workspaces)
	c.ramp.reset(config.Limits, now)
	return c
}

// Offer decides about a new request. The further decisions concern queued requests
// that expired or were evicted from the queue in favour of the new one.
func (c *Controller) Offer(request Request, now time.Time) (Decision, []Decision) {
	if c.leaving {
		return c.refuse(request, "the endpoint is leaving"), nil
	}
	if c.known(request.ID) {
		return c.refuse(request, "a request with the same id is queued or running"), nil
	}
	if !request.Deadline.IsZero() && !request.Deadline.After(now) {
		return c.refuse(request, "the deadline has passed"), nil
	}
	others := c.Tick(now)
	waiting := &queued{request: request, expires: c.expiry(request, now)}
	if c.hasSlot() && c.queue.eligible(request.Workspace) && !c.queue.waiting(request.Workspace) {
		c.start(waiting)
		return Decision{ID: request.ID, Verdict: Admitted}, others
	}
	if c.wouldExpireInQueue(waiting, now) {
		return c.refuse(request, "the estimated wait exceeds the time left for queueing"), others
	}
	evicted, cause, ok := c.evictFor(waiting)
	if !ok {
		return c.refuse(request, "the queue is full"), others
	}
	if evicted != nil {
		others = append(others, c.refuse(evicted.request, cause))
	}
	c.queue.push(waiting)
	return Decision{ID: request.ID, Verdict: Queued}, others
}

// Finish ends a running request and returns the decisions that follow. It ignores
// requests that do not run.
func (c *Controller) Finish(id string, result Result, latency time.Duration, now time.Time) []Decision {
	run, ok := c.inFlight[id]
	if !ok {
		return nil
	}
	delete(c.inFlight, id)
	c.queue.finished(run.workspace)
	if result == Succeeded {
		c.observeServiceTime(latency)
	}
	c.ramp.finish(result, latency, now)
	return c.Tick(now)
}

// Cancel removes a queued request whose caller disconnected. A running request keeps its
// slot until Finish, because the endpoint still works on it. It reports whether the
// request was queued.
func (c *Controller) Cancel(id string, now time.Time) (bool, []Decision) {
	removed := c.queue.remove(id)
	return removed, c.Tick(now)
}

// Tick refuses queued requests that have waited too long and starts those for which
// a slot is free. It must be called at the time that Next returns.
func (c *Controller) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, waiting := range c.queue.expired(now) {
		decisions = append(decisions, c.refuse(waiting.request, "the time left for queueing has passed"))
	}
	for _, waiting := range c.removeUnmeetable(now) {
		decisions = append(decisions, c.refuse(waiting.request, "the deadline cannot be met"))
	}
	return append(decisions, c.startNext()...)
}

// Next returns the time at which the first queued request expires, if there is one.
func (c *Controller) Next() (time.Time, bool) { return c.queue.nextExpiry() }

// Drain marks the endpoint as leaving: running requests finish, queued and new requests
// are refused so that their callers can still use another endpoint before the deadline.
func (c *Controller) Drain(_ time.Time) []Decision {
	c.leaving = true
	var decisions []Decision
	for _, waiting := range c.queue.removeAll() {
		decisions = append(decisions, c.refuse(waiting.request, "the endpoint is leaving"))
	}
	return decisions
}

// ResetToCold returns the endpoint to the cold limit. The caller calls it when the start
// id of the engine changes and when the engine reports that it is cold; the controller
// itself detects latency above three times the warm median.
func (c *Controller) ResetToCold(now time.Time) { c.ramp.reset(c.config.Limits, now) }

// Configure replaces the settings. Requests beyond a shorter queue are refused.
func (c *Controller) Configure(config Config, now time.Time) []Decision {
	c.config = config
	c.queue.configure(config.Workspaces)
	c.ramp.configure(config.Limits)
	var decisions []Decision
	for c.queue.length > max(0, config.Limits.QueueLength) {
		evicted := c.queue.evict(c.queue.largestBacklog())
		decisions = append(decisions, c.refuse(evicted.request, "the queue was shortened"))
	}
	return append(decisions, c.Tick(now)...)
}

// Load returns the figures for load reports.
func (c *Controller) Load() Load {
	return Load{
		InFlight:    len(c.inFlight),
		Queued:      c.queue.length,
		Limit:       c.ramp.limit,
		Cold:        c.ramp.cold(),
		Leaving:     c.leaving,
		ServiceTime: c.serviceTime,
	}
}

func (c *Controller) known(id string) bool {
	_, runs := c.inFlight[id]
	return runs || c.queue.has(id)
}

func (c *Controller) hasSlot() bool { return len(c.inFlight) < c.ramp.limit }

func (c *Controller) start(waiting *queued) {
	c.inFlight[waiting.request.ID] = running{workspace: waiting.request.Workspace}
	c.queue.started(waiting.request.Workspace)
}

func (c *Controller) startNext() []Decision {
	var decisions []Decision
	for c.hasSlot() {
		waiting := c.queue.pop(c.ramp.limit)
		if waiting == nil {
			return decisions
		}
		c.start(waiting)
		decisions = append(decisions, Decision{ID: waiting.request.ID, Verdict: Admitted})
	}
	return decisions
}

// evictFor makes space for a request in the queue: when the queue is full, it evicts and
// returns another request with the cause. It reports false when the request itself must be refused.
func (c *Controller) evictFor(waiting *queued) (evicted *queued, cause string, ok bool) {
	if c.queue.length < c.config.Limits.QueueLength {
		return nil, "", true
	}
	if c.queue.length == 0 {
		return nil, "", false
	}
	workspace := waiting.request.Workspace
	largest := c.queue.largestBacklog()
	if c.queue.backlogStaysBelow(workspace, largest) {
		return c.queue.evict(largest), "a workspace inside its share took the place in the queue", true
	}
	candidate := c.queue.evictionCandidate(workspace)
	if candidate == nil || candidate.request.Priority >= waiting.request.Priority {
		return nil, "", false
	}
	return c.queue.evict(workspace), "a request of higher priority of the workspace took the place in the queue", true
}

// expiry returns the time at which a request that still waits is refused.
func (c *Controller) expiry(request Request, now time.Time) time.Time {
	var expires time.Time
	if wait := c.config.Limits.QueueWait; wait > 0 {
		expires = now.Add(wait)
	}
	if request.Deadline.IsZero() {
		return expires
	}
	budget := request.Deadline.Sub(now) * queueShareNumerator / queueShareDenominator
	if byDeadline := now.Add(budget); expires.IsZero() || byDeadline.Before(expires) {
		expires = byDeadline
	}
	return expires
}

// wouldExpireInQueue reports whether a request that is not queued yet would expire before
// it starts. While nothing runs, the service time may be outdated, so it returns false.
func (c *Controller) wouldExpireInQueue(waiting *queued, now time.Time) bool {
	if waiting.expires.IsZero() || len(c.inFlight) == 0 {
		return false
	}
	ahead := c.queue.ahead(waiting)
	return now.Add(c.timeToStart(ahead + 1)).After(waiting.expires)
}

// removeUnmeetable removes and returns the queued requests that would miss their deadlines
// even if they started now.
func (c *Controller) removeUnmeetable(now time.Time) []*queued {
	if len(c.inFlight) == 0 || c.serviceTime == 0 {
		return nil
	}
	return c.queue.removeWhere(func(waiting *queued) bool {
		deadline := waiting.request.Deadline
		return !deadline.IsZero() && now.Add(c.serviceTime).After(deadline)
	})
}

// timeToStart estimates how long the endpoint takes to start n queued requests.
func (c *Controller) timeToStart(n int) time.Duration {
	return c.serviceTime * time.Duration(n) / time.Duration(max(1, c.ramp.limit))
}

func (c *Controller) observeServiceTime(latency time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime = latency
		return
	}
	c.serviceTime += (latency - c.serviceTime) >> serviceTimeShift
}

func (c *Controller) refuse(request Request, reason string) Decision {
	remedy := "retry on another endpoint"
	if request.Kind == NonIdempotent {
		remedy = "repeat with the same Idempotency-Key"
	}
	wait := min(max(c.timeToStart(c.queue.length+1), minRetryAfter), maxRetryAfter)
	err := errkind.New(errkind.NotRun, remedy, "request %s was not run: %s", request.ID, reason)
	return Decision{ID: request.ID, Verdict: Refused, Err: err.WithRetryAfter(wait)}
}
