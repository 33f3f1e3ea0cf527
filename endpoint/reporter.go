package endpoint

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/loop"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rpc"
)

// leavePollInterval is the interval between two checks whether the entries know that the
// process is leaving.
const leavePollInterval = 50 * time.Millisecond

// reporter drives the membership state machine of an endpoint process.
type reporter struct {
	conns *rpc.Pool
	log   *zap.Logger
	load  func() membership.Load
	// onResponse is called with the response of an entry to a report.
	onResponse func(peer membership.Peer, response *laburnumgwv1.ReportResponse)
	machine    *loop.Machine[*membership.Endpoint]
}

func newReporter(self membership.Self, seeds []membership.Peer, conns *rpc.Pool, load func() membership.Load, log *zap.Logger) *reporter {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &reporter{
		conns: conns, log: log, load: load, onResponse: func(membership.Peer, *laburnumgwv1.ReportResponse) {},
		machine: loop.New(membership.NewEndpoint(self, seeds, 0, rng)),
	}
}

// run sends reports until the context ends.
func (r *reporter) run(ctx context.Context) {
	r.machine.Run(ctx, func() time.Duration { return r.tick(ctx) })
}

func (r *reporter) tick(ctx context.Context) time.Duration {
	load := r.load()
	var (
		sends []membership.ReportSend
		due   time.Duration
	)
	r.machine.Use(func(endpoint *membership.Endpoint, now time.Duration) {
		endpoint.SetLoad(load)
		sends, due = endpoint.Tick(now), endpoint.Next()
	})
	for _, send := range sends {
		go r.send(ctx, send)
	}
	return due
}

func (r *reporter) send(ctx context.Context, send membership.ReportSend) {
	response, err := rpc.Call(ctx, r.conns, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, send.Request)
	if err != nil {
		r.log.Debug("report failed", zap.String("to", send.To.Address), zap.Error(err))
	}
	r.machine.Use(func(endpoint *membership.Endpoint, now time.Duration) { endpoint.ReportResult(now, send, response) })
	if response != nil {
		r.onResponse(send.To, response)
	}
}

// probe responds to an entry that has received no report of this process for a while.
func (r *reporter) probe(request *laburnumgwv1.ReportRequest) *laburnumgwv1.ReportResponse {
	return loop.Get(r.machine, func(endpoint *membership.Endpoint) *laburnumgwv1.ReportResponse { return endpoint.Probe(request) })
}

func (r *reporter) setGeneration(generation uint64) {
	r.machine.Use(func(endpoint *membership.Endpoint, _ time.Duration) { endpoint.SetConfigGeneration(generation) })
	r.reportNow()
}

// reportNow runs the next tick at once, after a change that the entries should learn of.
func (r *reporter) reportNow() { r.machine.Wake() }

func (r *reporter) entries() []membership.Peer {
	return loop.Get(r.machine, (*membership.Endpoint).Entries)
}

func (r *reporter) joined() bool { return loop.Get(r.machine, (*membership.Endpoint).Joined) }

// leave announces the stop and waits until the entries know of it.
func (r *reporter) leave(ctx context.Context) {
	r.machine.Use((*membership.Endpoint).Leave)
	r.reportNow()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		left := false
		r.machine.Use(func(endpoint *membership.Endpoint, now time.Duration) { left = endpoint.LeaveComplete(now) })
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
