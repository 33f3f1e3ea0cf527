package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/fleet"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rpc"
)

// readyTimeout bounds the start of a process. Processes spread their joins over 10 s.
const readyTimeout = 30 * time.Second

// discardingObserver ignores the notifications of a configuration driver.
type discardingObserver struct{}

// Activate implements driver.Observer.
func (discardingObserver) Activate(*laburnumgwv1.ConfigBundle) error { return nil }

// Alarm implements driver.Observer.
func (discardingObserver) Alarm(configsync.Alarm) {}

// startConfigSource starts a driver that reads the platform's configuration, which the
// simulated entries hand out, and waits until it has read one.
func (s *simulator) startConfigSource(ctx context.Context, store string) error {
	keys, listener, err := s.identity(mtls.RoleEntry, "config-source", zones[0].Name)
	if err != nil {
		return err
	}
	listener.Close()
	self := membership.Self{VM: "config-source", Zone: zones[0].Name, Region: zones[0].Region, Address: listener.Addr().String()}
	pool := rpc.NewPool(keys, mtls.RoleEntry)
	source := driver.NewPlatform(platform.NewClient(store), func([]membership.VM) {})
	s.source = driver.New(self, configsync.RoleEntry, nil, pool, source, discardingObserver{}, zap.NewNop())
	s.source.SetMembers(true, nil)
	ctx, cancel := context.WithCancel(ctx)
	s.stops = append(s.stops, cancel)
	go s.source.Run(ctx)
	ctx, cancelWait := context.WithTimeout(ctx, readyTimeout)
	defer cancelWait()
	return fleet.Until(ctx, "configuration is read", func() bool { return s.source.Current().GetGeneration() > 0 })
}

// awaitEntry waits until an entry reports that it is ready.
func awaitEntry(ctx context.Context, entry *fleet.Process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fleet.Until(ctx, entry.Name+" is ready", func() bool {
		response, err := fleet.Do(ctx, "GET", entry.HTTP+"/healthz", "", nil)
		return err == nil && response.Status == 200
	})
}

// startOneEntry starts one real entry with a configuration in force.
func (b *bench) startOneEntry(ctx context.Context, name string) (*fleet.Fleet, *simulator, error) {
	f, err := b.startFleet(ctx, name, fleet.Options{Entries: 1})
	if err != nil {
		return nil, nil, err
	}
	if err := b.applyConfiguration(ctx, f, name, 1, false); err != nil {
		return f, nil, err
	}
	if err := awaitEntry(ctx, f.Entries[0]); err != nil {
		return f, nil, err
	}
	s, err := newSimulator(b.dir + "/" + name)
	return f, s, err
}

func peerOf(p *fleet.Process) membership.Peer {
	for _, zone := range zones {
		if zone.Name == p.Zone {
			return membership.Peer{VM: p.Name, Zone: zone.Name, Region: zone.Region, Address: p.Address}
		}
	}
	return membership.Peer{}
}

// maxReporters is the number of endpoint processes whose reports lib/membership accepts
// at one entry. Larger sizes include its refusals and are left out of the fit.
const maxReporters = 77

// entryCost measures one real entry with simulated endpoint processes.
func (b *bench) entryCost(ctx context.Context) error {
	f, s, err := b.startOneEntry(ctx, "entry")
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return err
	}
	defer s.close()
	entry := f.Entries[0]
	seeds := []membership.Peer{peerOf(entry)}
	var sizes []float64
	var samples []sample
	started := 0
	for _, size := range []int{10, 50, 75, 100, 200} {
		for ; started < size; started++ {
			if err := s.simulateEndpoint(ctx, fmt.Sprintf("played-%d", started), seeds); err != nil {
				return err
			}
		}
		if err := sleep(ctx, b.Warm); err != nil {
			return err
		}
		period := b.Period
		if size > maxReporters {
			period = b.Short
		}
		sample, err := measureProcess(ctx, entry.PID(), entry.Metrics, s.meter, period)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(size))
		samples = append(samples, sample)
	}
	fmt.Fprintln(b.out, "entry: one real entry, simulated endpoint processes; calls are reports")
	fitted := 0
	for fitted < len(sizes) && sizes[fitted] <= maxReporters {
		fitted++
	}
	b.printSamples("endpoint", sizes, samples, fitted)
	return nil
}

// peerCost measures one real entry with simulated entries and no endpoint.
func (b *bench) peerCost(ctx context.Context) error {
	f, s, err := b.startOneEntry(ctx, "peers")
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.startConfigSource(ctx, f.Platform.HTTP); err != nil {
		return err
	}
	entry := f.Entries[0]
	seeds := []membership.Peer{peerOf(entry)}
	var sizes []float64
	var samples []sample
	started := 0
	for _, size := range []int{2, 8, 24} {
		for ; started < size; started++ {
			zone := zones[started%len(zones)]
			if _, err := s.simulateEntry(ctx, fmt.Sprintf("peer-%d", started), zone.Name, zone.Region, seeds); err != nil {
				return err
			}
		}
		if err := sleep(ctx, b.Warm); err != nil {
			return err
		}
		sample, err := measureProcess(ctx, entry.PID(), entry.Metrics, s.meter, b.Short)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(size))
		samples = append(samples, sample)
	}
	fmt.Fprintln(b.out, "peers: one real entry, simulated entries, no endpoint; calls are gossip exchanges")
	b.printSamples("peer entry", sizes, samples, len(sizes))
	return nil
}

// endpointCost measures one real endpoint process that reports to simulated entries.
func (b *bench) endpointCost(ctx context.Context) error {
	sizes := []float64{2, 8, 16, 24}
	samples := make([]sample, len(sizes))
	failures := make([]error, len(sizes))
	var wait sync.WaitGroup
	for i, size := range sizes {
		wait.Go(func() { samples[i], failures[i] = b.endpointCostWith(ctx, int(size)) })
	}
	wait.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	fmt.Fprintln(b.out, "endpoint: one real endpoint process, simulated entries; calls are reports")
	b.printSamples("entry", sizes, samples, len(sizes))
	return nil
}

// entriesInOwnZone is the number of entries of its own zone that an endpoint process reports to.
const entriesInOwnZone = 20

func (b *bench) endpointCostWith(ctx context.Context, size int) (sample, error) {
	name := fmt.Sprintf("endpoint-%d", size)
	f, err := b.startFleet(ctx, name, fleet.Options{})
	if f != nil {
		defer func() { _ = f.Stop() }()
	}
	if err != nil {
		return sample{}, err
	}
	// laburnumctl requires an entry's address even for commands that do not call the entry.
	f.Entries = []*fleet.Process{{Address: "127.0.0.1:1"}}
	err = b.applyConfiguration(ctx, f, name, 1, false)
	f.Entries = nil
	if err != nil {
		return sample{}, err
	}
	s, err := newSimulator(b.dir + "/" + name)
	if err != nil {
		return sample{}, err
	}
	defer s.close()
	if err := s.startConfigSource(ctx, f.Platform.HTTP); err != nil {
		return sample{}, err
	}
	return b.measureEndpoint(ctx, f, s, size)
}

func (b *bench) measureEndpoint(ctx context.Context, f *fleet.Fleet, s *simulator, size int) (sample, error) {
	var seeds []membership.Peer
	for i := range size {
		zone := zones[0]
		if i >= entriesInOwnZone {
			zone = zones[1+i%(len(zones)-1)]
		}
		peer, err := s.simulateEntry(ctx, fmt.Sprintf("entry-%d", i), zone.Name, zone.Region, seeds)
		if err != nil {
			return sample{}, err
		}
		seeds = append(seeds, peer)
	}
	p, metrics, err := b.startRealEndpoint(f, seeds)
	if err != nil {
		return sample{}, err
	}
	defer func() { _ = p.Terminate() }()
	if err := sleep(ctx, b.Warm+5*time.Second); err != nil {
		return sample{}, err
	}
	return measureProcess(ctx, p.PID(), metrics, s.meter, b.Short)
}

// startRealEndpoint starts an endpoint process of a plain service.
func (b *bench) startRealEndpoint(f *fleet.Fleet, seeds []membership.Peer) (*fleet.Process, string, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := fleet.FreeAddress()
		if err != nil {
			return nil, "", err
		}
		addresses[i] = address
	}
	p, err := f.NewProcess("measured", zones[0], mtls.RoleEndpoint, addresses[0])
	if err != nil {
		return nil, "", err
	}
	p.AddArgs("--service="+service, "--service-url=http://"+addresses[1], "--metrics-listen="+addresses[2])
	for _, seed := range seeds {
		p.AddArgs(fmt.Sprintf("--seed=%s@%s/%s=%s", seed.VM, seed.Region, seed.Zone, seed.Address))
	}
	return p, "http://" + addresses[2] + "/metrics", p.Start()
}
