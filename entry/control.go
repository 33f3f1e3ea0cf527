package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/rpc"
)

// activeConfig is the configuration that an entry acts on.
type activeConfig struct {
	generation uint64
	snapshot   *config.Snapshot
	bundle     *laburnumgwv1.ConfigBundle
	// revision identifies the placements of the bundle.
	revision uint64
}

// control passes the results of membership and configuration synchronization on to routing.
type control struct {
	self       membership.Self
	routes     *routes
	dispatcher *dispatcher
	metrics    *entryMetrics
	log        *zap.Logger
	members    *members
	configs    *driver.Driver
	placer     *placer
	current    atomic.Pointer[activeConfig]
}

func newControl(s *Settings, conns *rpc.Pool, store platform.Store, r *routes, d *dispatcher, metrics *entryMetrics, log *zap.Logger) *control {
	self := membership.Self{VM: s.VM, Zone: s.Zone, Region: s.Region, Address: s.Listen}
	c := &control{self: self, routes: r, dispatcher: d, metrics: metrics, log: log}
	seeds := s.SeedPeers()
	c.members = newMembers(self, seeds, conns, c, log)
	c.configs = driver.New(self, configsync.RoleEntry, seeds, conns, driver.NewPlatform(store, c.members.platformVMs), c, log)
	c.placer = newPlacer(c, store, log)
	return c
}

// run returns after the context has ended and the placer has tried to release its lease.
func (c *control) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.configs.Run(ctx) })
	loops.Go(func() { c.placer.run(ctx) })
	loops.Go(func() { c.updateLiveEntriesPeriodically(ctx) })
	loops.Go(func() { c.members.run(ctx) })
	loops.Wait()
}

// Activate implements driver.Observer.
func (c *control) Activate(bundle *laburnumgwv1.ConfigBundle) error {
	snapshot, err := configstore.Snapshot(bundle)
	if err != nil {
		return fmt.Errorf("parse configuration of generation %d: %w", bundle.GetGeneration(), err)
	}
	if err := c.routes.configure(snapshot); err != nil {
		return err
	}
	c.dispatcher.configure(snapshot.Retries, len(c.liveEntries())+1)
	c.current.Store(&activeConfig{generation: bundle.GetGeneration(), snapshot: snapshot, bundle: bundle, revision: configsync.Revision(bundle)})
	c.members.setGeneration(bundle.GetGeneration())
	return nil
}

// revision identifies the placements that the entry acts on. It returns 0 without a
// configuration.
func (c *control) revision() uint64 {
	if current := c.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// Alarm implements driver.Observer.
func (c *control) Alarm(configsync.Alarm) { c.metrics.alarms.Inc() }

func (c *control) endpointReported(view membership.EndpointView) {
	c.routes.applyReport(view)
	if view.Report.GetConfigGeneration() > 0 {
		c.configs.ObserveGeneration(view.Peer, view.Report.GetConfigGeneration())
	}
}

func (c *control) memberChanged(event membership.Event) {
	c.routes.applyEvent(event)
	switch event.Kind {
	case membership.EndpointDead, membership.EndpointAlive:
		c.dispatcher.endpointSilent(event.VM, event.Kind == membership.EndpointDead)
	case membership.EndpointNewIncarnation:
		c.dispatcher.endpointRestarted(event.VM)
	case membership.EntryAlive, membership.EntryDead, membership.EntryLeaving:
		c.updateLiveEntries()
	}
}

func (c *control) generationReported(peer membership.Peer, generation uint64) {
	c.configs.ObserveGeneration(peer, generation)
}

// liveEntries returns the other entries that are alive and not leaving.
func (c *control) liveEntries() []configsync.Peer {
	var live []configsync.Peer
	for _, view := range c.members.entries() {
		if view.State == membership.Alive && !view.Leaving {
			live = append(live, view.Peer)
		}
	}
	return live
}

// liveEntriesInterval is the interval between periodic updates of the live entries. They
// cover changes that come without a membership event, such as this entry joining.
const liveEntriesInterval = 500 * time.Millisecond

func (c *control) updateLiveEntriesPeriodically(ctx context.Context) {
	ticker := time.NewTicker(liveEntriesInterval)
	defer ticker.Stop()
	for {
		c.updateLiveEntries()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *control) updateLiveEntries() {
	live := c.liveEntries()
	c.configs.SetMembers(c.members.joined(), live)
	if current := c.current.Load(); current != nil {
		c.dispatcher.configure(current.snapshot.Retries, len(live)+1)
	}
}

// configure sets the retry limits. The fixed rate of retries holds for all entries
// together, so each entry takes an equal share of it.
func (d *dispatcher) configure(retries config.Retries, entries int) {
	d.loop.Configure(retries.MaxAttempts, retry.BudgetSettings{Ratio: retries.Ratio, PerSecond: retries.PerSecond / float64(entries)})
}
