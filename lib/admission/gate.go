package admission

import (
	"context"
	"strconv"
	"sync"
	"time"

	"laburnumgw/lib/errkind"
)

// Release ends an admitted request. Calls after the first one have no effect.
type Release func(Result)

// Gate is the goroutine-safe adapter of a Controller. Each Acquire assigns a unique id,
// so two attempts with the same request id never share a slot.
type Gate struct {
	mu         sync.Mutex
	controller *Controller
	waiters    map[string]chan Decision
	sequence   uint64
	timer      *time.Timer
	// drained is closed when the endpoint is leaving and no request runs.
	drained chan struct{}
}

// NewGate returns the gate of an endpoint that has just started and is cold.
func NewGate(config Config) *Gate {
	return &Gate{
		controller: New(config, time.Now()),
		waiters:    make(map[string]chan Decision),
		drained:    make(chan struct{}),
	}
}

// Acquire waits until the request may run and returns the function that ends it. The
// error is of kind errkind.NotRun: the request was not sent to the endpoint.
func (g *Gate) Acquire(ctx context.Context, request Request) (Release, error) {
	id, wait, err := g.offer(request)
	if err != nil {
		return nil, err
	}
	if wait == nil {
		return g.release(id), nil
	}
	select {
	case decision := <-wait:
		return g.resolve(decision)
	case <-ctx.Done():
		return g.abandon(ctx, id, wait)
	}
}

func (g *Gate) offer(request Request) (string, chan Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	id := request.ID + "#" + strconv.FormatUint(g.sequence, 10)
	request.ID = id
	decision, others := g.controller.Offer(request, time.Now())
	g.deliver(others)
	defer g.schedule()
	switch decision.Verdict {
	case Admitted:
		return id, nil, nil
	case Queued:
		wait := make(chan Decision, 1)
		g.waiters[id] = wait
		return id, wait, nil
	default:
		return id, nil, decision.Err
	}
}

func (g *Gate) resolve(decision Decision) (Release, error) {
	if decision.Verdict == Refused {
		return nil, decision.Err
	}
	return g.release(decision.ID), nil
}

// abandon withdraws a queued request whose context has ended. A request that was admitted
// in the meantime is released without having run.
func (g *Gate) abandon(ctx context.Context, id string, wait chan Decision) (Release, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed, others := g.controller.Cancel(id, time.Now())
	g.deliver(others)
	if !removed {
		g.deliver(g.controller.Finish(id, Abandoned, 0, time.Now()))
	}
	delete(g.waiters, id)
	g.schedule()
	select {
	case decision := <-wait:
		if decision.Verdict == Refused {
			return nil, decision.Err
		}
	default:
	}
	return nil, errkind.Wrap(ctx.Err(), errkind.NotRun, "repeat the request",
		"the context of the request ended before it was run")
}

func (g *Gate) release(id string) Release {
	started := time.Now()
	var once sync.Once
	return func(result Result) {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			now := time.Now()
			g.deliver(g.controller.Finish(id, result, now.Sub(started), now))
			g.schedule()
		})
	}
}

// deliver hands decisions to the waiting callers. The caller holds the lock.
func (g *Gate) deliver(decisions []Decision) {
	for _, decision := range decisions {
		wait, ok := g.waiters[decision.ID]
		if !ok {
			continue
		}
		delete(g.waiters, decision.ID)
		wait <- decision
	}
}

// schedule arms the timer for the next expiry and signals the end of a drain. The
// caller holds the lock.
func (g *Gate) schedule() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if next, ok := g.controller.Next(); ok {
		g.timer = time.AfterFunc(time.Until(next), g.tick)
	}
	load := g.controller.Load()
	if load.Leaving && load.InFlight == 0 {
		g.closeDrained()
	}
}

func (g *Gate) closeDrained() {
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Tick(time.Now()))
	g.schedule()
}

// Drain refuses queued and new requests and waits until the running ones have
// finished or ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.deliver(g.controller.Drain(time.Now()))
	g.schedule()
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ResetToCold returns the endpoint to the cold limit.
func (g *Gate) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ResetToCold(time.Now())
}

// Configure replaces the settings.
func (g *Gate) Configure(config Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Configure(config, time.Now()))
	g.schedule()
}

// Load returns the figures for load reports.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load()
}
