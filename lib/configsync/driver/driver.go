// Package driver runs the configsync state machine: it makes the calls that the state
// machine requests, to other processes and to the platform, and passes the active bundle to
// an Observer.
package driver

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/loop"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/rpc"
)

// platformTimeout bounds one read or write-back of the complete configuration.
const platformTimeout = 10 * time.Second

// Platform is the part of the platform's API that propagation needs.
type Platform interface {
	// Read returns the accepted configuration. Files and models that the bundle have
	// already contains are not read again.
	Read(ctx context.Context, have *laburnumgwv1.ConfigBundle) (configsync.ReadResult, error)
	// Watch waits for a change after a version and returns the version to continue from.
	Watch(ctx context.Context, after int64) (changed bool, version int64, err error)
	// WriteBack writes a newer bundle to a platform that holds an older one.
	WriteBack(ctx context.Context, write configsync.WriteBack) error
}

// Observer is notified of new configurations and of alarms.
type Observer interface {
	// Activate switches to a bundle. An implementation that returns an error keeps the
	// previous bundle.
	Activate(bundle *laburnumgwv1.ConfigBundle) error
	// Alarm is called for events that operators need to see.
	Alarm(alarm configsync.Alarm)
}

// Driver runs the state machine of one process. It is safe for concurrent use.
type Driver struct {
	conns    *rpc.Pool
	platform Platform
	observer Observer
	log      *zap.Logger
	node     *loop.Machine[*configsync.Node]
	// stopWatch cancels the watch in flight. Only the loop uses it.
	stopWatch context.CancelFunc
}

// New returns a driver. Platform is nil for processes that never watch the platform.
func New(self membership.Self, role configsync.Role, seeds []configsync.Peer, conns *rpc.Pool, platform Platform, observer Observer, log *zap.Logger) *Driver {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Driver{
		conns: conns, platform: platform, observer: observer, log: log,
		node: loop.New(configsync.NewNode(self, role, seeds, 0, rng)),
	}
}

// update applies a change to the state machine and wakes the loop to tick it.
func (d *Driver) update(change func(node *configsync.Node, now time.Duration)) {
	d.node.Use(change)
	d.node.Wake()
}

// Run drives the state machine until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.node.Run(ctx, func() time.Duration { return d.tick(ctx) })
}

func (d *Driver) tick(ctx context.Context) time.Duration {
	var (
		out configsync.Output
		due time.Duration
	)
	d.node.Use(func(node *configsync.Node, now time.Duration) { out, due = node.Tick(now), node.Next() })
	if out.Activate != nil {
		d.activate(out.Activate)
	}
	for _, alarm := range out.Alarms {
		d.log.Error("configuration alarm", zap.Stringer("kind", alarm.Kind), zap.String("source", alarm.Source),
			zap.Uint64("generation", alarm.Generation), zap.Uint64("own_generation", alarm.OwnGeneration))
		d.observer.Alarm(alarm)
	}
	for _, pull := range out.Pulls {
		go d.pull(ctx, pull)
	}
	for _, push := range out.Pushes {
		go d.push(ctx, push)
	}
	d.makePlatformCalls(ctx, out)
	return due
}

func (d *Driver) activate(bundle *laburnumgwv1.ConfigBundle) {
	if err := d.observer.Activate(bundle); err != nil {
		d.log.Error("configuration not applied", zap.Uint64("generation", bundle.GetGeneration()), zap.Error(err))
		return
	}
	d.log.Info("configuration in force", zap.Uint64("generation", bundle.GetGeneration()),
		zap.String("digest", bundle.GetDigest()), zap.Int("placements", len(bundle.GetPlacements())))
}

func (d *Driver) pull(ctx context.Context, pull configsync.Pull) {
	bundle, err := rpc.Call(ctx, d.conns, pull.To.Address, pull.Timeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.GetConfig, pull.Request)
	if err != nil {
		d.log.Debug("configuration pull failed", zap.String("from", pull.To.Address), zap.Error(err))
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.PullResult(now, pull, bundle) })
}

func (d *Driver) push(ctx context.Context, push configsync.Push) {
	response, err := rpc.Call(ctx, d.conns, push.To.Address, configsync.CallTimeout, laburnumgwv1.NewNodeClient, laburnumgwv1.NodeClient.PushConfig, push.Bundle)
	if err != nil {
		d.log.Debug("configuration push failed", zap.String("to", push.To.Address), zap.Error(err))
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.PushResult(now, push, response) })
}

func (d *Driver) makePlatformCalls(ctx context.Context, out configsync.Output) {
	if out.StopWatch && d.stopWatch != nil {
		d.stopWatch()
		d.stopWatch = nil
	}
	if d.platform == nil {
		return
	}
	if out.Read {
		go d.read(ctx)
	}
	if out.WriteBack != nil {
		go d.writeBack(ctx, *out.WriteBack)
	}
	if out.Watch != nil {
		watchCtx, cancel := context.WithCancel(ctx)
		d.stopWatch = cancel
		go d.watch(watchCtx, *out.Watch)
	}
}

func (d *Driver) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := d.platform.Read(ctx, d.Current())
	if err != nil {
		d.log.Warn("platform read failed", zap.Error(err))
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.ReadResult(now, result, err) })
}

func (d *Driver) watch(ctx context.Context, watch configsync.Watch) {
	changed, version, err := d.platform.Watch(ctx, watch.After)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.log.Warn("platform watch failed", zap.Error(err))
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.WatchResult(now, changed, version, err) })
}

func (d *Driver) writeBack(ctx context.Context, write configsync.WriteBack) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := d.platform.WriteBack(ctx, write)
	d.log.Warn("wrote the newer configuration back to the platform", zap.Uint64("generation", write.Bundle.GetGeneration()), zap.Error(err))
	d.update(func(node *configsync.Node, now time.Duration) { node.WriteBackResult(now, err) })
}

// ObserveGeneration handles the generation that another process announced. A generation that
// is not newer does not wake the loop, because every report carries one.
func (d *Driver) ObserveGeneration(peer configsync.Peer, generation uint64) {
	if generation <= loop.Get(d.node, (*configsync.Node).Generation) {
		return
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.ObserveGeneration(now, peer, generation) })
}

// ObserveRevision handles the placement revision that another process reported.
func (d *Driver) ObserveRevision(peer configsync.Peer, revision uint64) {
	if revision == configsync.Revision(d.Current()) {
		return
	}
	d.update(func(node *configsync.Node, now time.Duration) { node.ObserveRevision(now, peer, revision) })
}

// SetMembers sets the live entries, and whether the own process takes part in membership.
func (d *Driver) SetMembers(joined bool, entries []configsync.Peer) {
	d.update(func(node *configsync.Node, now time.Duration) { node.SetMembers(now, joined, entries) })
}

// Push handles a PushConfig call; from is empty for operators.
func (d *Driver) Push(from configsync.Peer, bundle *laburnumgwv1.ConfigBundle) *laburnumgwv1.PushConfigResponse {
	var response *laburnumgwv1.PushConfigResponse
	d.update(func(node *configsync.Node, now time.Duration) { response = node.Push(now, from, bundle) })
	return response
}

// Get handles a GetConfig call.
func (d *Driver) Get(request *laburnumgwv1.GetConfigRequest) *laburnumgwv1.ConfigBundle {
	return loop.Get(d.node, func(node *configsync.Node) *laburnumgwv1.ConfigBundle { return node.Get(request) })
}

// Ready reports whether the process may serve: it has a configuration that is at least as
// new as those that its neighbours announced when it joined.
func (d *Driver) Ready() bool { return loop.Get(d.node, (*configsync.Node).Ready) }

// Watcher reports whether this process watches the platform for its zone.
func (d *Driver) Watcher() bool { return loop.Get(d.node, (*configsync.Node).Watcher) }

// Current returns the active bundle, or nil.
func (d *Driver) Current() *laburnumgwv1.ConfigBundle {
	return loop.Get(d.node, (*configsync.Node).Current)
}
