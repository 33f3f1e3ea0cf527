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

// inForce is the configuration that an entry acts on.
type inForce struct {
	generation uint64
	snapshot   *config.Snapshot
	bundle     *laburnumgwv1.ConfigBundle
	// revision names the placements of the bundle.
	revision uint64
}

// control connects membership and configuration with routing.
type control struct {
	self       membership.Self
	routes     *routes
	dispatcher *dispatcher
	metrics    *entryMetrics
	log        *zap.Logger
	members    *members
	configs    *driver.Driver
	placer     *placer
	current    atomic.Pointer[inForce]
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

// run returns when the context has ended and the placement lease is released.
func (c *control) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.configs.Run(ctx) })
	loops.Go(func() { c.placer.run(ctx) })
	loops.Go(func() { c.shareMembersRegularly(ctx) })
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
	c.current.Store(&inForce{generation: bundle.GetGeneration(), snapshot: snapshot, bundle: bundle, revision: configsync.Revision(bundle)})
	c.members.setGeneration(bundle.GetGeneration())
	return nil
}

// revision names the placements that the entry acts on.
func (c *control) revision() uint64 {
	if current := c.current.Load(); current != nil {
		return current.revision
	}
	return 0
}

// Alarm implements driver.Observer.
func (c *control) Alarm(configsync.Alarm) { c.metrics.alarms.Inc() }

func (c *control) endpointReported(view membership.EndpointView) {
	c.routes.reported(view)
	if view.Report.GetConfigGeneration() > 0 {
		c.configs.ObserveGeneration(view.Peer, view.Report.GetConfigGeneration())
	}
}

func (c *control) memberChanged(event membership.Event) {
	c.routes.changed(event)
	switch event.Kind {
	case membership.EndpointDead, membership.EndpointNewIncarnation:
		c.dispatcher.endpointDead(event.VM)
	case membership.EntryAlive, membership.EntryDead, membership.EntryLeaving:
		c.shareMembers()
	}
}

func (c *control) generationSeen(peer membership.Peer, generation uint64) {
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

// shareInterval separates two regular updates of the live entries. They cover changes
// without an event, such as the own entry joining.
const shareInterval = 500 * time.Millisecond

func (c *control) shareMembersRegularly(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		c.shareMembers()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *control) shareMembers() {
	live := c.liveEntries()
	c.configs.SetMembers(c.members.joined(), live)
	if current := c.current.Load(); current != nil {
		c.dispatcher.configure(current.snapshot.Retries, len(live)+1)
	}
}

// configure sets the retry limits. The limits hold for all entries together, so each
// entry takes its part of the fixed rate.
func (d *dispatcher) configure(retries config.Retries, entries int) {
	d.loop.Configure(retries.MaxAttempts, retry.BudgetSettings{Ratio: retries.Ratio, PerSecond: retries.PerSecond / float64(entries)})
}
