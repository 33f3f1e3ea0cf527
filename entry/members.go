package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/loop"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rpc"
)

// memberObserver receives the results of the membership state machine.
type memberObserver interface {
	// endpointReported is called with the merged values after each report, and when an
	// endpoint becomes alive.
	endpointReported(view membership.EndpointView)
	// memberChanged is called for each event in order.
	memberChanged(event membership.Event)
	// generationReported is called when another entry has sent its configuration generation.
	generationReported(peer membership.Peer, generation uint64)
}

// members drives the membership state machine of an entry.
type members struct {
	conns    *rpc.Pool
	log      *zap.Logger
	observer memberObserver
	machine  *loop.Machine[*membership.Entry]
}

func newMembers(self membership.Self, seeds []membership.Peer, conns *rpc.Pool, observer memberObserver, log *zap.Logger) *members {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &members{conns: conns, log: log, observer: observer, machine: loop.New(membership.NewEntry(self, seeds, 0, rng))}
}

// run ticks the state machine until the context ends.
func (m *members) run(ctx context.Context) {
	m.machine.Run(ctx, func() time.Duration { return m.tick(ctx) })
}

func (m *members) tick(ctx context.Context) time.Duration {
	var (
		out membership.Output
		due time.Duration
	)
	m.machine.Use(func(entry *membership.Entry, now time.Duration) { out, due = entry.Tick(now), entry.Next() })
	for _, event := range out.Events {
		if event.Kind == membership.EndpointAlive {
			m.forwardReport(event.VM)
		}
		m.log.Info("membership changed", zap.Stringer("event", event.Kind), zap.String("vm", event.VM),
			zap.Duration("silent", event.SinceLastSeen))
		m.observer.memberChanged(event)
	}
	for _, send := range out.Gossip {
		go m.sendGossip(ctx, send)
	}
	for _, send := range out.Probes {
		go m.sendProbe(ctx, send)
	}
	return due
}

func (m *members) sendGossip(ctx context.Context, send membership.GossipSend) {
	response, err := rpc.Call(ctx, m.conns, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Gossip, send.Request)
	if err != nil {
		m.log.Debug("gossip failed", zap.String("to", send.To.Address), zap.Error(err))
	}
	m.machine.Use(func(entry *membership.Entry, now time.Duration) { entry.GossipResult(now, send.To.VM, response) })
	if response != nil {
		m.observer.generationReported(send.To, response.GetConfigGeneration())
	}
}

// forwardReport passes the merged report of an endpoint to the observer. It covers
// endpoints that are known only from gossip and a probe.
func (m *members) forwardReport(vm string) {
	var (
		view membership.EndpointView
		ok   bool
	)
	m.machine.Use(func(entry *membership.Entry, _ time.Duration) { view, ok = entry.Endpoint(vm) })
	if ok && view.Report != nil {
		m.observer.endpointReported(view)
	}
}

func (m *members) sendProbe(ctx context.Context, send membership.ReportSend) {
	response, err := rpc.Call(ctx, m.conns, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, send.Request)
	if err != nil {
		m.log.Debug("probe failed", zap.String("to", send.To.Address), zap.Error(err))
	}
	m.machine.Use(func(entry *membership.Entry, now time.Duration) { entry.ProbeResult(now, send.To.VM, response) })
}

// report handles the report of an endpoint process.
func (m *members) report(request *laburnumgwv1.ReportRequest) *laburnumgwv1.ReportResponse {
	var response *laburnumgwv1.ReportResponse
	m.machine.Use(func(entry *membership.Entry, now time.Duration) { response = entry.Report(now, request) })
	m.forwardReport(request.GetVm())
	return response
}

// gossip handles the gossip of another entry.
func (m *members) gossip(request *laburnumgwv1.GossipRequest) *laburnumgwv1.GossipResponse {
	var (
		response *laburnumgwv1.GossipResponse
		from     *membership.Peer
	)
	m.machine.Use(func(entry *membership.Entry, now time.Duration) {
		response = entry.Gossip(now, request)
		for view := range entry.Entries {
			if view.VM == request.GetFrom().GetVm() {
				from = &view.Peer
				break
			}
		}
	})
	if from != nil {
		m.observer.generationReported(*from, request.GetConfigGeneration())
	}
	return response
}

func (m *members) joined() bool { return loop.Get(m.machine, (*membership.Entry).Joined) }

// platformVMs applies the platform's list of VMs, which may be out of date.
func (m *members) platformVMs(list []membership.VM) {
	m.machine.Use(func(entry *membership.Entry, now time.Duration) { entry.ApplyPlatformList(now, list) })
}

func (m *members) setGeneration(generation uint64) {
	m.machine.Use(func(entry *membership.Entry, _ time.Duration) { entry.SetConfigGeneration(generation) })
}

func (m *members) leave() { m.machine.Use((*membership.Entry).Leave) }

// entries returns the known entries except this one.
func (m *members) entries() []membership.EntryView {
	return loop.Get(m.machine, func(entry *membership.Entry) []membership.EntryView { return slices.Collect(entry.Entries) })
}

// endpoints returns the known endpoints.
func (m *members) endpoints() []membership.EndpointView {
	return loop.Get(m.machine, func(entry *membership.Entry) []membership.EndpointView { return slices.Collect(entry.Endpoints) })
}

func (m *members) incarnation() membership.Incarnation {
	return loop.Get(m.machine, (*membership.Entry).Incarnation)
}
