package entry

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

// memberObserver learns what membership finds out.
type memberObserver interface {
	// endpointReported is called for each report with the merged values.
	endpointReported(view membership.EndpointView)
	// memberChanged is called for each event in order.
	memberChanged(event membership.Event)
	// generationSeen is called when another process names its configuration generation.
	generationSeen(peer membership.Peer, generation uint64)
}

// members drives the membership state machine of an entry.
type members struct {
	self     membership.Self
	conns    *rpc.Pool
	log      *zap.Logger
	observer memberObserver
	started  time.Time

	mu      sync.Mutex
	machine *membership.Entry
}

func newMembers(self membership.Self, seeds []membership.Peer, conns *rpc.Pool, observer memberObserver, log *zap.Logger) *members {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &members{
		self:     self,
		conns:    conns,
		log:      log,
		observer: observer,
		started:  time.Now(),
		machine:  membership.NewEntry(self, seeds, 0, rng),
	}
}

func (m *members) clock() time.Duration { return time.Since(m.started) }

// run ticks the state machine until the context ends.
func (m *members) run(ctx context.Context) {
	loop.Run(ctx, nil, func() time.Duration { return m.tick(ctx) })
}

func (m *members) tick(ctx context.Context) time.Duration {
	m.mu.Lock()
	out := m.machine.Tick(m.clock())
	wait := m.machine.Next() - m.clock()
	m.mu.Unlock()
	for _, event := range out.Events {
		if event.Kind == membership.EndpointAlive {
			m.announce(event.VM)
		}
		m.log.Info("membership changed", zap.Stringer("event", event.Kind), zap.String("vm", event.VM),
			zap.Duration("silent", event.Silent))
		m.observer.memberChanged(event)
	}
	for _, send := range out.Gossip {
		go m.sendGossip(ctx, send)
	}
	for _, send := range out.Probes {
		go m.sendProbe(ctx, send)
	}
	return wait
}

func (m *members) sendGossip(ctx context.Context, send membership.GossipSend) {
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	var response *laburnumgwv1.GossipResponse
	conn, err := m.conns.Conn(send.To.Address)
	if err == nil {
		response, err = laburnumgwv1.NewNodeClient(conn).Gossip(ctx, send.Request)
	}
	if err != nil {
		m.log.Debug("gossip failed", zap.String("to", send.To.Address), zap.Error(err))
		response = nil
	}
	m.mu.Lock()
	m.machine.GossipResult(m.clock(), send.To.VM, response)
	m.mu.Unlock()
	if response != nil {
		m.observer.generationSeen(send.To, response.GetConfigGeneration())
	}
}

// announce hands over an endpoint that may be known from gossip and a probe only.
func (m *members) announce(vm string) {
	m.mu.Lock()
	view, ok := m.machine.Endpoint(vm)
	m.mu.Unlock()
	if ok && view.Report != nil {
		m.observer.endpointReported(view)
	}
}

func (m *members) sendProbe(ctx context.Context, send membership.ReportSend) {
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	var response *laburnumgwv1.ReportResponse
	conn, err := m.conns.Conn(send.To.Address)
	if err == nil {
		response, err = laburnumgwv1.NewNodeClient(conn).Report(ctx, send.Request)
	}
	if err != nil {
		response = nil
	}
	m.mu.Lock()
	m.machine.ProbeResult(m.clock(), send.To.VM, response)
	m.mu.Unlock()
}

// report handles the report of an endpoint process.
func (m *members) report(request *laburnumgwv1.ReportRequest) *laburnumgwv1.ReportResponse {
	m.mu.Lock()
	response := m.machine.Report(m.clock(), request)
	view, ok := m.machine.Endpoint(request.GetVm())
	m.mu.Unlock()
	if ok && view.Report != nil {
		m.observer.endpointReported(view)
	}
	return response
}

// gossip handles the gossip of another entry.
func (m *members) gossip(request *laburnumgwv1.GossipRequest) *laburnumgwv1.GossipResponse {
	m.mu.Lock()
	response := m.machine.Gossip(m.clock(), request)
	peer, ok := m.entry(request.GetFrom().GetVm())
	m.mu.Unlock()
	if ok {
		m.observer.generationSeen(peer, request.GetConfigGeneration())
	}
	return response
}

// entry returns a known entry. The caller holds the lock.
func (m *members) entry(vm string) (membership.Peer, bool) {
	for view := range m.machine.Entries {
		if view.VM == vm {
			return view.Peer, true
		}
	}
	return membership.Peer{}, false
}

func (m *members) joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Joined()
}

// platformVMs applies the platform's lagging list of VMs.
func (m *members) platformVMs(list []membership.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Platform(m.clock(), list)
}

func (m *members) setGeneration(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.SetConfigGeneration(generation)
}

func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Leave(m.clock())
}

// entries returns the entries known, the own one left out.
func (m *members) entries() []membership.EntryView {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []membership.EntryView
	for view := range m.machine.Entries {
		list = append(list, view)
	}
	return list
}

// endpoints returns the endpoints known.
func (m *members) endpoints() []membership.EndpointView {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []membership.EndpointView
	for view := range m.machine.Endpoints {
		list = append(list, view)
	}
	return list
}

func (m *members) incarnation() membership.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Incarnation()
}
