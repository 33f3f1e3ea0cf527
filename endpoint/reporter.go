package endpoint

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/loop"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rpc"
)

// leavePoll separates the checks whether entries know that the process leaves.
const leavePoll = 50 * time.Millisecond

// reporter drives the membership state machine of an endpoint process.
type reporter struct {
	conns   *rpc.Pool
	log     *zap.Logger
	started time.Time
	load    func() membership.Load
	// heard is called with the answer of an entry.
	heard func(peer membership.Peer, answer *laburnumgwv1.ReportResponse)
	wake  chan struct{}

	mu      sync.Mutex
	machine *membership.Endpoint
}

func newReporter(self membership.Self, seeds []membership.Peer, conns *rpc.Pool, load func() membership.Load, log *zap.Logger) *reporter {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &reporter{
		conns: conns, log: log, started: time.Now(), load: load,
		heard: func(membership.Peer, *laburnumgwv1.ReportResponse) {}, wake: make(chan struct{}, 1),
		machine: membership.NewEndpoint(self, seeds, 0, rng),
	}
}

func (r *reporter) clock() time.Duration { return time.Since(r.started) }

// run sends reports until the context ends.
func (r *reporter) run(ctx context.Context) {
	loop.Run(ctx, r.wake, func() time.Duration { return r.tick(ctx) })
}

func (r *reporter) tick(ctx context.Context) time.Duration {
	load := r.load()
	r.mu.Lock()
	r.machine.SetLoad(load)
	sends := r.machine.Tick(r.clock())
	wait := r.machine.Next() - r.clock()
	r.mu.Unlock()
	for _, send := range sends {
		go r.send(ctx, send)
	}
	return wait
}

func (r *reporter) send(ctx context.Context, send membership.ReportSend) {
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	var response *laburnumgwv1.ReportResponse
	conn, err := r.conns.Conn(send.To.Address)
	if err == nil {
		response, err = laburnumgwv1.NewNodeClient(conn).Report(ctx, send.Request)
	}
	if err != nil {
		r.log.Debug("report failed", zap.String("to", send.To.Address), zap.Error(err))
		response = nil
	}
	r.mu.Lock()
	r.machine.Ack(r.clock(), send, response)
	r.mu.Unlock()
	if response != nil {
		r.heard(send.To, response)
	}
}

// probe answers an entry that has not heard of this process for a while.
func (r *reporter) probe(request *laburnumgwv1.ReportRequest) *laburnumgwv1.ReportResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Probe(request)
}

func (r *reporter) setGeneration(generation uint64) {
	r.mu.Lock()
	r.machine.SetConfigGeneration(generation)
	r.mu.Unlock()
	r.soon()
}

// soon makes the next tick run now, after a change that entries should learn.
func (r *reporter) soon() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) entries() []membership.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Entries()
}

func (r *reporter) joined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Joined()
}

// leave announces the stop and waits until the entries know of it.
func (r *reporter) leave(ctx context.Context) {
	r.mu.Lock()
	r.machine.Leave(r.clock())
	r.mu.Unlock()
	r.soon()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		left := r.machine.Left(r.clock())
		r.mu.Unlock()
		if left {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
