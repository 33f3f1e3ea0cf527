package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/loop"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/rpc"
)

const (
	keyLifetime = time.Hour
)

// simulator runs the entries and endpoint processes that the bench simulates.
type simulator struct {
	dir       string
	authority *mtls.Authority
	meter     *meter
	// source is the configuration that simulated entries hand out.
	source *driver.Driver
	// simulatedEntries holds the simulated entries by VM. They gossip with each other
	// without a connection, so that only the measured process's traffic counts.
	mu               sync.Mutex
	simulatedEntries map[string]*simulatedEntry
	stops            []func()
}

func newSimulator(dir string) (*simulator, error) {
	authority, err := mtls.LoadAuthority(dir)
	if err != nil {
		return nil, err
	}
	return &simulator{dir: dir, authority: authority, meter: new(meter), simulatedEntries: make(map[string]*simulatedEntry)}, nil
}

func (s *simulator) close() {
	for _, stop := range s.stops {
		stop()
	}
}

// identity issues a certificate and opens a listener for a simulated process.
func (s *simulator) identity(role mtls.Role, vm, zone string) (*mtls.Keys, net.Listener, error) {
	pair, err := s.authority.Issue(mtls.Identity{Role: role, Zone: zone, VM: vm}, time.Now(), keyLifetime)
	if err != nil {
		return nil, nil, err
	}
	if err := pair.Save(s.dir, vm); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(s.dir, vm)
	keys, err := mtls.LoadKeys(mtls.Files{Cert: path + ".crt", Key: path + ".key", CA: filepath.Join(s.dir, mtls.AuthorityCertFile)})
	if err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	return keys, &meteredListener{Listener: listener, meter: s.meter}, nil
}

// serve runs the Node service of a simulated process until the simulator closes, and
// returns a pool for its calls and a context that ends at that time.
func (s *simulator) serve(ctx context.Context, keys *mtls.Keys, listener net.Listener, node laburnumgwv1.NodeServer, peers mtls.Role) (*rpc.Pool, context.Context) {
	policy := mtls.Policy{}
	for _, method := range []string{
		laburnumgwv1.Node_Report_FullMethodName, laburnumgwv1.Node_Gossip_FullMethodName,
		laburnumgwv1.Node_GetConfig_FullMethodName, laburnumgwv1.Node_PushConfig_FullMethodName,
	} {
		policy[method] = []mtls.Role{mtls.RoleEntry, mtls.RoleEndpoint}
	}
	server := grpc.NewServer(rpc.ServerOptions(keys, policy)...)
	laburnumgwv1.RegisterNodeServer(server, node)
	go func() { _ = server.Serve(listener) }()
	pool := rpc.NewPool(keys, peers)
	pool.UseDialer(s.meter.dial)
	ctx, cancel := context.WithCancel(ctx)
	s.stops = append(s.stops, func() {
		cancel()
		pool.Close()
		server.Stop()
	})
	return pool, ctx
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// simulatedEndpoint sends reports as an endpoint process of a plain service does.
type simulatedEndpoint struct {
	laburnumgwv1.UnimplementedNodeServer
	simulator *simulator
	pool      *rpc.Pool
	machine   *loop.Machine[*membership.Endpoint]
}

func (s *simulator) simulateEndpoint(ctx context.Context, vm string, seeds []membership.Peer) error {
	zone := zones[0]
	keys, listener, err := s.identity(mtls.RoleEndpoint, vm, zone.Name)
	if err != nil {
		return err
	}
	self := membership.Self{VM: vm, Zone: zone.Name, Region: zone.Region, Address: listener.Addr().String()}
	machine := membership.NewEndpoint(self, seeds, 0, newRand())
	machine.SetConfigGeneration(1)
	p := &simulatedEndpoint{simulator: s, machine: loop.New(machine)}
	pool, ctx := s.serve(ctx, keys, listener, p, mtls.RoleEntry)
	p.pool = pool
	go p.machine.Run(ctx, func() time.Duration { return p.tick(ctx) })
	return nil
}

func (p *simulatedEndpoint) tick(ctx context.Context) time.Duration {
	var (
		sends []membership.ReportSend
		due   time.Duration
	)
	p.machine.Use(func(endpoint *membership.Endpoint, now time.Duration) {
		endpoint.SetLoad(membership.Load{
			Load:     &laburnumgwv1.Load{InFlight: rand.Int32N(16), Limit: 64, ServiceTimeUs: 5000 + rand.Int64N(1000)},
			Services: []string{service},
		})
		sends, due = endpoint.Tick(now), endpoint.Next()
	})
	for _, send := range sends {
		go p.send(ctx, send)
	}
	return due
}

func (p *simulatedEndpoint) send(ctx context.Context, send membership.ReportSend) {
	response, err := rpc.Call(ctx, p.pool, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, send.Request)
	if err == nil {
		p.simulator.meter.calls.Add(1)
	}
	p.machine.Use(func(endpoint *membership.Endpoint, now time.Duration) { endpoint.ReportResult(now, send, response) })
}

// Report responds to a probe.
func (p *simulatedEndpoint) Report(_ context.Context, request *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	return loop.Get(p.machine, func(endpoint *membership.Endpoint) *laburnumgwv1.ReportResponse { return endpoint.Probe(request) }), nil
}

// simulatedEntry runs the membership protocol of an entry.
type simulatedEntry struct {
	laburnumgwv1.UnimplementedNodeServer
	simulator *simulator
	self      membership.Self
	pool      *rpc.Pool
	machine   *loop.Machine[*membership.Entry]
}

func (s *simulator) simulateEntry(ctx context.Context, vm, zone, region string, seeds []membership.Peer) (membership.Peer, error) {
	keys, listener, err := s.identity(mtls.RoleEntry, vm, zone)
	if err != nil {
		return membership.Peer{}, err
	}
	self := membership.Self{VM: vm, Zone: zone, Region: region, Address: listener.Addr().String()}
	machine := membership.NewEntry(self, seeds, 0, newRand())
	machine.SetConfigGeneration(1)
	p := &simulatedEntry{simulator: s, self: self, machine: loop.New(machine)}
	pool, ctx := s.serve(ctx, keys, listener, p, mtls.RoleEntry)
	p.pool = pool
	s.mu.Lock()
	s.simulatedEntries[vm] = p
	s.mu.Unlock()
	go p.machine.Run(ctx, func() time.Duration { return p.tick(ctx) })
	return membership.Peer(self), nil
}

func (p *simulatedEntry) tick(ctx context.Context) time.Duration {
	var (
		out membership.Output
		due time.Duration
	)
	p.machine.Use(func(entry *membership.Entry, now time.Duration) { out, due = entry.Tick(now), entry.Next() })
	for _, send := range out.Gossip {
		go p.gossip(ctx, send)
	}
	for _, send := range out.Probes {
		go p.probe(ctx, send)
	}
	return due
}

func (p *simulatedEntry) gossip(ctx context.Context, send membership.GossipSend) {
	p.simulator.mu.Lock()
	simulated := p.simulator.simulatedEntries[send.To.VM]
	p.simulator.mu.Unlock()
	var response *laburnumgwv1.GossipResponse
	if simulated != nil {
		response, _ = simulated.Gossip(ctx, send.Request)
	} else {
		response = p.gossipRemote(ctx, send)
	}
	p.machine.Use(func(entry *membership.Entry, now time.Duration) { entry.GossipResult(now, send.To.VM, response) })
}

func (p *simulatedEntry) gossipRemote(ctx context.Context, send membership.GossipSend) *laburnumgwv1.GossipResponse {
	response, err := rpc.Call(ctx, p.pool, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Gossip, send.Request)
	if err == nil {
		p.simulator.meter.calls.Add(1)
	}
	return response
}

func (p *simulatedEntry) probe(ctx context.Context, send membership.ReportSend) {
	// The pool accepts entries only. A probe to the measured endpoint process fails,
	// which matters only when its reports fail too.
	response, _ := rpc.Call(ctx, p.pool, send.To.Address, membership.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.Report, send.Request)
	p.machine.Use(func(entry *membership.Entry, now time.Duration) { entry.ProbeResult(now, send.To.VM, response) })
}

// Report implements the Node service.
func (p *simulatedEntry) Report(_ context.Context, request *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	p.simulator.meter.calls.Add(1)
	var response *laburnumgwv1.ReportResponse
	p.machine.Use(func(entry *membership.Entry, now time.Duration) { response = entry.Report(now, request) })
	return response, nil
}

// Gossip implements the Node service.
func (p *simulatedEntry) Gossip(_ context.Context, request *laburnumgwv1.GossipRequest) (*laburnumgwv1.GossipResponse, error) {
	if p.simulator.isReal(request.GetFrom().GetVm()) {
		p.simulator.meter.calls.Add(1)
	}
	var response *laburnumgwv1.GossipResponse
	p.machine.Use(func(entry *membership.Entry, now time.Duration) { response = entry.Gossip(now, request) })
	return response, nil
}

// isReal reports whether a VM is not that of a simulated entry.
func (s *simulator) isReal(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.simulatedEntries[vm] == nil
}

// GetConfig implements the Node service.
func (p *simulatedEntry) GetConfig(_ context.Context, request *laburnumgwv1.GetConfigRequest) (*laburnumgwv1.ConfigBundle, error) {
	return p.simulator.source.Get(request), nil
}

// PushConfig implements the Node service.
func (p *simulatedEntry) PushConfig(context.Context, *laburnumgwv1.ConfigBundle) (*laburnumgwv1.PushConfigResponse, error) {
	return &laburnumgwv1.PushConfigResponse{ConfigGeneration: p.simulator.source.Current().GetGeneration()}, nil
}
