package routetest

import (
	"math/rand/v2"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/routing"
)

// entry is a fake entry VM: it routes and retries with the production packages.
type entry struct {
	sim          *Sim
	index        int
	table        *routing.Table
	budget       *retry.Budget
	planner      *retry.Planner
	outOfService map[string]bool
	lastReport   []time.Duration
	liveness     []routing.Liveness
}

// request is one caller's request.
type request struct {
	arrived time.Duration
	routing routing.Request
	state   *retry.State
	attempt routing.Attempt
	done    bool
}

func newEntry(s *Sim, i int) (*entry, error) {
	settings := routing.Settings{
		Zone: zoneOf(i), Region: "north", Policy: s.scenario.Policy, QueueLength: s.scenario.Queue}
	table, err := routing.New(settings, rand.New(rand.NewPCG(s.scenario.Seed, uint64(i)+2)))
	if err != nil {
		return nil, err
	}
	budget := retry.NewBudget(retry.BudgetSettings{PerSecond: s.scenario.RetriesPerSecond})
	return &entry{
		sim:          s,
		index:        i,
		table:        table,
		budget:       budget,
		planner:      retry.NewPlanner(retry.Settings{}, budget, rand.New(rand.NewPCG(s.scenario.Seed, uint64(i)+1002))),
		outOfService: map[string]bool{},
		lastReport:   make([]time.Duration, s.scenario.Endpoints),
		liveness:     make([]routing.Liveness, s.scenario.Endpoints),
	}, nil
}

// nextArrival starts a request and schedules the next one.
func (e *entry) nextArrival() {
	s := e.sim
	if s.ended() {
		return
	}
	e.start()
	rate := s.scenario.Load * float64(s.scenario.Endpoints) / s.scenario.ServiceTime.Seconds() / float64(s.scenario.Entries)
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, e.nextArrival)
}

func (e *entry) start() {
	s := e.sim
	s.requests++
	r := &request{arrived: s.now}
	r.routing = routing.Request{Model: Model, Idempotent: s.rng.Float64() >= s.scenario.NotIdempotent}
	if s.zipf != nil {
		r.routing.Prefixes = []uint64{s.zipf.Uint64()}
	}
	deadline := s.clock().Add(s.scenario.Deadline)
	r.state = retry.NewState(retry.Request{Idempotent: r.routing.Idempotent, Deadline: deadline})
	e.budget.FirstAttempt(s.clock())
	s.result.attemptStarted(s.now, e.index, false)
	s.after(s.scenario.Deadline, func() { e.expire(r) })
	e.send(r)
}

// send picks an endpoint for the next attempt and sends it.
func (e *entry) send(r *request) {
	s := e.sim
	if r.done {
		return
	}
	r.routing.Attempt++
	decision, err := e.table.Pick(&r.routing, s.clock())
	if err != nil {
		e.respond(r, r.state.NoEndpoint(err).Err)
		return
	}
	r.attempt = e.table.AttemptSent(decision, &r.routing, s.clock())
	r.routing.TriedVMs = append(r.routing.TriedVMs, decision.VM)
	target := s.endpoints[s.indexOf(decision.VM)]
	s.result.picked(e, target)
	c := &call{entry: e, endpoint: target, request: r}
	s.after(networkDelay, func() { target.receive(c) })
}

func (s *Sim) indexOf(vm string) int {
	for i, e := range s.endpoints {
		if e.vm == vm {
			return i
		}
	}
	return -1
}

func (e *entry) headerReceived(c *call, load *laburnumgwv1.Load) {
	if !c.ended && !c.request.done {
		e.table.LoadReceived(c.request.attempt, load, e.sim.clock())
	}
}

// ended applies the end of an attempt once and follows the planner's decision.
func (e *entry) ended(c *call, outcome laburnumgwv1.Outcome, sent bool, load *laburnumgwv1.Load) {
	r := c.request
	if c.ended || r.done {
		return
	}
	c.ended = true
	s := e.sim
	e.table.AttemptFinished(r.attempt, routing.Result{Outcome: outcome, Sent: sent, Load: load}, s.clock())
	e.follow(r, e.planner.Next(r.state, retry.Attempt{Outcome: outcome, Sent: sent}, s.clock()))
}

func (e *entry) follow(r *request, next retry.Next) {
	s := e.sim
	switch next.Action {
	case retry.Respond:
		e.respond(r, next.Err)
	case retry.Wait:
		s.after(next.After, func() {
			if !r.done {
				e.follow(r, e.planner.NextAfterWait(r.state, s.clock()))
			}
		})
	default:
		s.result.attemptStarted(s.now, e.index, true)
		s.after(next.After, func() { e.send(r) })
	}
}

func (e *entry) respond(r *request, err error) {
	r.done = true
	e.sim.result.answered(e.sim.now, r, errkind.Of(err))
}

// expire ends a request at its deadline.
func (e *entry) expire(r *request) {
	if r.done {
		return
	}
	e.table.AttemptFinished(r.attempt, routing.Result{Sent: true}, e.sim.clock())
	e.respond(r, errkind.New(errkind.DeadlineExceeded, "", "the deadline of the request passed"))
}

func (e *entry) reportReceived(from *endpoint, report *laburnumgwv1.ReportRequest) {
	if e.table.ReportReceived(report, e.sim.clock()) {
		e.lastReport[from.index] = e.sim.now
		e.liveness[from.index] = routing.Alive
	}
}

// checkMembership marks endpoints without reports as suspect, then as dead.
func (e *entry) checkMembership() {
	for i, target := range e.sim.endpoints {
		sinceReport := e.sim.now - e.lastReport[i]
		state := routing.Alive
		switch {
		case target.mode == ReportsLost:
		case sinceReport > deadAfter:
			state = routing.Dead
		case sinceReport > suspectAfter:
			state = routing.Suspect
		}
		if state == e.liveness[i] || e.lastReport[i] == 0 {
			continue
		}
		e.liveness[i] = state
		e.table.SetLiveness(target.vm, state)
		if state == routing.Dead {
			e.abandon(target)
		}
	}
}

// abandon ends this entry's attempts on a dead endpoint with an unknown outcome.
func (e *entry) abandon(target *endpoint) {
	for _, c := range target.calls {
		if c.entry == e {
			e.ended(c, laburnumgwv1.Outcome_OUTCOME_UNKNOWN, true, nil)
		}
	}
}
