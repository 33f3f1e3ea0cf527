package hosted

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/catalog"
	"laburnumgw/lib/fleetload"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/workorder"
	"laburnumgw/platform"
)

const (
	// responseSmoothing is the weight of one response in the mean time of a plain service or route.
	responseSmoothing = 0.05
	// responseMemory is the age at which such a mean has lost half of its worth, and responseForgotten that from which on it is
	// dropped.
	responseMemory    = 15 * time.Second
	responseForgotten = 15 * time.Minute
)

// meanTime is a mean of times that loses its worth without new ones.
type meanTime struct {
	mean time.Duration
	at   time.Time
}

func (m *meanTime) observe(took time.Duration, now time.Time) {
	if m.at.IsZero() {
		m.mean = took
	}
	age := max(now.Sub(m.at), 0)
	weight := max(responseSmoothing, float64(age)/float64(age+responseMemory))
	m.mean += time.Duration(weight * float64(took-m.mean))
	m.at = now
}

// estimate returns the mean as far as it is believed now.
func (m *meanTime) estimate(now time.Time) time.Duration {
	if m.at.IsZero() {
		return 0
	}
	return time.Duration(float64(m.mean) * float64(responseMemory) / float64(responseMemory+max(now.Sub(m.at), 0)))
}

// fleetLoad is what the view knows about the load of the fleet.
type fleetLoad struct {
	fleet *fleetload.View
	// inUse is set once a decision uses it. toldNothing counts the other entries that were told that there is nothing to tell any
	// more, and toldDemands is set if the last message had demands.
	inUse, toldDemands bool
	toldNothing        int
	// doubted are the entries that have told of more bytes than a worker can hold.
	doubted map[string]bool
	// demands returns what the callers of this entry ask for; nil for nothing.
	demands demandSource
}

// serviceLoad is what the load of a service's workers and the order of its requests are judged by.
type serviceLoad struct {
	// statesPace is set once a worker of the service has stated a pace.
	statesPace bool
	// ranks are those of the service's requests, and unequalRoutes is set if its routes differ in rank.
	ranks         workorder.Ranks
	unequalRoutes bool
	// response is the mean time of a response of a plain service, and firstByRoute that until its first byte by route.
	response     meanTime
	firstByRoute map[string]meanTime
	// pass and slotTime are what decisions on a plain service use now; zero if they are not known.
	pass, slotTime time.Duration
}

// decideFor has the load of a plain service's workers judged for a route. The caller holds the lock.
func (l *serviceLoad) decideFor(route string, now time.Time) {
	first := l.firstByRoute[route]
	l.pass, l.slotTime = first.estimate(now), l.response.estimate(now)
}

// isUneven reports whether the workers of a service differ in speed, or its routes in rank. The others are routed by
// counts of requests alone, and their requests wait in the order of arrival.
func (l *serviceLoad) isUneven() bool { return l.statesPace || l.unequalRoutes }

// workerLoad is the load of one worker as the routing asks for it.
type workerLoad struct {
	worker  *fleetload.Worker
	service *service
}

// FirstByte implements routing.LoadSource.
func (w *workerLoad) FirstByte(promptTokens int64, now time.Time) time.Duration {
	return w.worker.FirstByte(promptTokens, w.service.rates(), now)
}

// AtLeast implements routing.LoadSource.
func (w *workerLoad) AtLeast(promptTokens int64, now time.Time) time.Duration {
	return w.worker.AtLeast(promptTokens, w.service.rates(), now)
}

// HasFreeSlot implements routing.LoadSource.
func (w *workerLoad) HasFreeSlot(now time.Time) bool { return w.worker.HasFreeSlot(now) }

// Known implements routing.LoadSource.
func (w *workerLoad) Known(now time.Time) bool { return w.worker.Known(now) }

// rates returns how fast the workers of a service are at the usual pace.
func (s *service) rates() fleetload.Rates {
	if engine := s.config.Engine; engine != nil {
		return fleetload.Rates{PromptPerSecond: engine.PromptPerSecond, Pass: engine.Pass(), SlotTime: engine.Duration(0, 0)}
	}
	return fleetload.Rates{Pass: s.load.pass, SlotTime: s.load.slotTime}
}

// updateServiceLoad takes over the ranks of a service from the configuration. The caller holds the lock.
func (v *view) updateServiceLoad(state *service) {
	if v.configuring == nil {
		return
	}
	state.load.ranks = v.configuring.Ranks(state.config.Name)
	state.load.unequalRoutes = v.configuring.HasUnequalRoutes(state.config.Name)
	if state.load.unequalRoutes {
		v.load.inUse = true
	}
}

// followLoad passes the source of a worker's load to the routing. The caller holds the lock.
func (v *view) followLoad(state *service, w *worker) {
	followed := v.load.fleet.Follow(w.ID, w.StartedAtMs)
	v.load.fleet.SetSlots(w.ID, w.Slots)
	if !state.load.isUneven() {
		state.table.SetLoadSource(w.ID, nil)
		return
	}
	if w.load == nil || w.load.worker != followed || w.load.service != state {
		w.load = &workerLoad{followed, state}
	}
	state.table.SetLoadSource(w.ID, w.load)
	v.followSpillover(state)
}

// loadStated records the load that a worker has stated in a response.
func (v *view) loadStated(state *service, vm string, startedAtMs int64, load *platform.Load) {
	if load == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	statement := fleetload.Statement{
		Running: load.Running, Queued: load.Queued, Slots: load.Slots, Pace: load.Pace,
		HasRequests: load.Ignored&platform.LoadRequests != platform.LoadRequests, HasSlots: !load.Ignored.Has(platform.LoadSlots),
	}
	// A count that is not usable stays as it is believed to be.
	if load.Ignored.Has(platform.LoadRunning) {
		statement.Running = v.load.fleet.Worker(vm, now).Running
	}
	if load.Ignored.Has(platform.LoadQueued) {
		statement.Queued = v.load.fleet.Worker(vm, now).Queued
	}
	v.load.fleet.Stated(vm, startedAtMs, statement, now)
	v.compareZones(state, now)
	w := v.workers[vm]
	if w == nil || w.StartedAtMs != startedAtMs {
		return
	}
	if state.config.Engine == nil && load.Queued == 0 && !load.Ignored.Has(platform.LoadQueued) {
		w.waiting.Clear()
	}
	if load.Pace > 0 && !state.load.statesPace {
		v.paceStated(state, vm)
	}
	if load.Ignored&^w.ignoredFigures != 0 {
		w.ignoredFigures |= load.Ignored
		v.metrics.loadFiguresIgnored.Inc()
		v.log.Warn("figures of the worker's load are out of range and ignored", zap.String("vm", vm), zap.Stringer("figures", load.Ignored))
	}
}

// paceStated has a service routed by the expected time to the first byte from now on. The caller holds the lock.
func (v *view) paceStated(state *service, vm string) {
	state.load.statesPace, v.load.inUse = true, true
	v.log.Info("workers state their pace; the expected time to the first byte decides where requests go",
		zap.String("service", state.config.Name), zap.String("vm", vm))
	for _, w := range v.workers {
		if v.services[w.Service] == state {
			v.followLoad(state, w)
		}
	}
}

// reportLoad records the report of the process beside a worker. The caller holds the lock.
func (v *view) reportLoad(w *worker, report catalog.Report) {
	v.load.fleet.Reported(w.ID, w.StartedAtMs, fleetload.Report{
		Running: report.Running, Queued: report.Queued, Pace: report.Pace, UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
	}, w.reportedAt)
}

// sentLoad is a request at a worker, as the view of load and the order of what waits there know it.
type sentLoad struct {
	token  fleetload.Token
	worker *worker
	// startedAtMs is the start of the worker, number the request in its queue, and order its place.
	startedAtMs   int64
	number        uint64
	order         int
	hasOrder      bool
	expectedFirst time.Duration
}

// loadSent records that a request is sent to a worker. The caller holds the lock.
func (c *call) loadSent(w *worker, query *routing.Request, now time.Time) sentLoad {
	v := c.view
	sent := sentLoad{worker: w, startedAtMs: w.StartedAtMs}
	if c.service.load.isUneven() {
		if w.load != nil {
			sent.expectedFirst = w.load.FirstByte(query.PromptTokens, now)
		}
		order := c.service.load.ranks.Order(workorder.Request{Rank: c.snapshot.Rank(c.route, c.workspace), Left: c.timeToAim(now), Read: c.readTime()})
		sent.order, sent.hasOrder = order, true
		if c.engine != nil || !v.load.fleet.HasFreeSlot(w.ID, now) {
			sent.number, sent.order = w.waiting.Add(order)
		}
		v.metrics.workOrders(sent.order).Inc()
		if sent.order > order {
			v.metrics.ordersHeld.Inc()
		}
	}
	sent.token = v.load.fleet.Sent(w.ID, w.StartedAtMs, fleetload.Work{
		PromptTokens: query.PromptTokens, OutputTokens: int64(c.in.ExpectedOutputTokens), Bytes: int64(len(c.body)),
	}, now)
	if c.engine == nil {
		// When a plain request begins can't be seen; those that wait are what exceeds the slots.
		v.load.fleet.Began(sent.token, now)
	}
	return sent
}

// readTime returns how long an engine reads the prompt of the request at the usual pace.
func (c *call) readTime() time.Duration {
	if c.engine == nil || c.engine.PromptPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(c.in.PromptTokens) / c.engine.PromptPerSecond * float64(time.Second))
}

// minAim is the least aim by which workers are compared, also for requests that are late.
const minAim = 50 * time.Millisecond

// timeToAim returns the time left until the next byte is late: the first one, or that with which an interrupted stream goes
// on. Without an objective it is the time that the request has.
func (c *call) timeToAim(now time.Time) time.Duration {
	switch {
	case c.relayedBytes > 0:
		return c.route.EventGapTarget
	case c.route.Objective <= 0:
		return c.limits.Left(now)
	}
	return c.route.Objective - now.Sub(c.started)
}

// loadBegan records that the worker has begun to respond. The caller holds the lock.
func (v *view) loadBegan(sent *sentLoad, now time.Time) {
	v.load.fleet.Began(sent.token, now)
	v.stopsWaiting(sent)
}

// loadEnded records the end of a request at a worker. The caller holds the lock.
func (v *view) loadEnded(sent *sentLoad, now time.Time) {
	v.load.fleet.Ended(sent.token, now)
	v.stopsWaiting(sent)
}

func (v *view) stopsWaiting(sent *sentLoad) {
	if sent.hasOrder && sent.worker.StartedAtMs == sent.startedAtMs {
		sent.worker.waiting.Remove(sent.number)
	}
}

// responseTook records how long a plain service took for a response. The caller holds the lock.
func (l *serviceLoad) responseTook(took time.Duration, now time.Time) { l.response.observe(took, now) }

// firstByteTook records how long callers of a route to a plain service waited for the first byte. The caller holds the lock.
func (l *serviceLoad) firstByteTook(route string, took time.Duration, now time.Time) {
	first, isKnown := l.firstByRoute[route]
	if !isKnown {
		maps.DeleteFunc(l.firstByRoute, func(_ string, m meanTime) bool { return now.Sub(m.at) > responseForgotten })
	}
	if l.firstByRoute == nil {
		l.firstByRoute = make(map[string]meanTime)
	}
	first.observe(took, now)
	l.firstByRoute[route] = first
}

// suspended records that the machine was suspended. The caller holds the lock.
func (l *serviceLoad) suspended(length time.Duration) {
	if !l.response.at.IsZero() {
		l.response.at = l.response.at.Add(-length)
	}
	for route, first := range l.firstByRoute {
		first.at = first.at.Add(-length)
		l.firstByRoute[route] = first
	}
}
