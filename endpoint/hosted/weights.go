package hosted

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/peer"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/rollout"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/transfer"
	"laburnumgw/lib/weights"
	"laburnumgw/platform"
)

const (
	// weightsMemoryBytes bounds the memory for chunks: two versions and the one that is being
	// replaced.
	weightsMemoryBytes = 48 << 20
	// pieceBytes is the size of the pieces in which a chunk is sent; one takes 5 ms on a link
	// of 9.4 Mbit/s. Stream events wait behind the pieces that are being sent, and are late
	// after 120 ms.
	pieceBytes = 6 << 10
	// originShare is the share of the origin's link that the transfer schedule counts on.
	originShare     = 0.95
	bytesPerMegabit = 125_000
	// keptVersions is the number of versions that are kept and served to other VMs.
	keptVersions = 2
)

// swarmLimits suit models of a few dozen chunks: bitmaps are exchanged as often as chunks
// arrive, because a transfer takes only a few seconds.
var swarmLimits = swarm.Limits{UploadSlots: 2, Downloads: 2, ExchangesPerSecond: 15, ExchangeBurst: 4}

// library holds the versions that this VM has complete or is fetching.
type library struct {
	view     *view
	worker   *platform.Worker
	origin   manifestSource
	store    *weights.Store
	transfer *transfer.Transfer
	link     *link
	log      *zap.Logger

	// failedManifestAttempts counts the attempts in which no peer returned the manifest of manifestVersion, since
	// the last successful read of the origin. Only one attempt runs at a time.
	manifestVersion        int
	failedManifestAttempts int

	mu sync.Mutex
	// versions is sorted by ascending number. added is closed when one is added.
	versions []*version
	added    chan struct{}
	// heldVersion is the newest version whose manifest others wait for here, at most until heldUntil.
	heldVersion int
	heldUntil   time.Time
}

// version is one version of the model with its distribution.
type version struct {
	number       int
	distribution *transfer.Distribution
}

func newLibrary(v *view, worker *platform.Worker, conns *rpc.Pool, set *metrics.Set, log *zap.Logger) *library {
	origin := platform.NewOrigin(func() string {
		if origin := v.origin(); origin != nil {
			return origin.Address
		}
		return ""
	})
	settings := v.settings
	links := transfer.NewPacedLinks(settings.LinkMbit*bytesPerMegabit*linkShare, pieceBytes)
	links.Planned = links.Download.Limit()
	l := &library{
		added: make(chan struct{}), view: v, worker: worker, origin: origin, store: weights.NewStore(weightsMemoryBytes), log: log,
		transfer: &transfer.Transfer{
			Self:    swarm.Member{VM: settings.IP, Zone: settings.Zone, Region: settings.Region},
			Address: v.assignment(settings.IP, settings.Zone).GetAddress(), Conns: conns, Origin: origin,
			Links: links, Metrics: transfer.NewMetrics(set), Log: log,
			Policy: swarm.Policy(settings.WeightsPolicy),
		},
	}
	l.link = newLink(settings, l.transfer, set)
	return l
}

// server returns the server that sends chunks to other endpoint processes.
func (l *library) server() *transfer.Server {
	return &transfer.Server{Find: l.find, Identify: callerIP, Metrics: l.transfer.Metrics}
}

// callerIP identifies the VM of a caller by its IP address. The platform controls who can
// connect.
func callerIP(ctx context.Context) (string, error) {
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return "", errkind.New(errkind.Denied, "call over TCP", "caller has no address")
	}
	host, _, err := net.SplitHostPort(caller.Addr.String())
	if err != nil {
		return "", fmt.Errorf("parse address of the caller: %w", err)
	}
	return host, nil
}

func (l *library) find(digest string) (*transfer.Distribution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.versions {
		if v.distribution.Replica().Digest().String() == digest {
			return v.distribution, true
		}
	}
	return nil, false
}

func (l *library) get(number int) *version {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.versions {
		if v.number == number {
			return v
		}
	}
	return nil
}

// newest returns the newest version, or nil.
func (l *library) newest() *version {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[len(l.versions)-1]
}

// open starts the distribution of a version, or of the newest one for number 0. Chunks that
// are still staged at the worker are reused.
func (l *library) open(ctx context.Context, model string, number int) (*version, error) {
	manifest, number, err := l.manifest(ctx, model, number)
	if err != nil {
		return nil, err
	}
	if known := l.get(number); known != nil {
		return known, nil
	}
	origin := l.view.origin()
	if origin == nil {
		return nil, errkind.New(errkind.Unavailable, "wait for a configuration that names the origin", "origin of weights is not known")
	}
	replica, err := l.store.Reserve(manifest)
	if err != nil {
		return nil, err
	}
	l.restoreStaged(ctx, replica)
	l.transfer.HomeRegion = l.view.settings.Zones[origin.Zone]
	distribution, err := transfer.New(l.transfer, replica, origin.LinkMbit*bytesPerMegabit*originShare, swarmLimits)
	if err != nil {
		return nil, err
	}
	opened := &version{number: number, distribution: distribution}
	l.add(opened)
	l.log.Info("distribution started", zap.String("model", model), zap.Int("version", number),
		zap.Int("chunks", len(manifest.Chunks)), zap.Int("held", replica.Bitmap().Count()))
	go distribution.Run()
	distribution.SetMembers(l.view.assignments())
	return opened, nil
}

// add adds a version.
func (l *library) add(opened *version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, opened)
	close(l.added)
	l.added = make(chan struct{})
	slices.SortFunc(l.versions, func(a, b *version) int { return a.number - b.number })
}

// drop removes a version and stops its distribution.
func (l *library) drop(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index := slices.IndexFunc(l.versions, func(v *version) bool { return v.number == number }); index >= 0 {
		l.remove(index)
	}
}

// remove removes the version at an index and stops its distribution. The caller holds the
// lock.
func (l *library) remove(index int) {
	v := l.versions[index]
	v.distribution.Stop()
	l.store.Remove(v.distribution.Replica().Digest())
	l.versions = slices.Delete(l.versions, index, index+1)
	l.log.Info("version dropped", zap.Int("version", v.number))
}

// restoreStaged reuses the chunks staged at the worker that match the manifest.
func (l *library) restoreStaged(ctx context.Context, replica *weights.Replica) {
	manifest := replica.Manifest()
	for chunk := range manifest.Chunks {
		data, err := l.worker.Staged(ctx, manifest.Model, chunk, manifest.ChunkLen(chunk))
		if err != nil {
			if !errkind.Is(err, errkind.NotFound) {
				l.log.Warn("staged chunk cannot be read", zap.Int("chunk", chunk), zap.Error(err))
				return
			}
			continue
		}
		// A corrupt chunk or one of another version is not an error: it is fetched instead.
		if err := replica.Put(chunk, data); err != nil && !errkind.Is(err, errkind.Corrupt) {
			l.log.Warn("staged chunk cannot be kept", zap.Int("chunk", chunk), zap.Error(err))
		}
	}
}

// links returns what the links allow for a copy of a version.
func (l *library) links(v *version) rollout.Links {
	bytes := float64(v.distribution.Replica().Manifest().Size)
	links := rollout.Links{Copy: bytesTime(bytes, l.view.settings.LinkMbit*linkShare)}
	if origin := l.view.origin(); origin != nil {
		links.Source = bytesTime(bytes, origin.LinkMbit*originShare)
	}
	return links
}

// bytesTime returns how long a link takes for a number of bytes, or zero if its rate is not known.
func bytesTime(bytes, mbit float64) time.Duration {
	if mbit <= 0 {
		return 0
	}
	return time.Duration(bytes / (mbit * bytesPerMegabit) * float64(time.Second))
}

// shareLinks tells each version what it may fetch beside the others.
func (p *Process) shareLinks(loadTime time.Duration, targets []rollout.Target) {
	if len(targets) == 0 {
		return
	}
	links := p.library.links(p.newest().version)
	for i, turn := range rollout.Turns(p.rolloutSettings, links, loadTime, targets, time.Now()) {
		t := p.targets[i]
		if turn == t.turn {
			continue
		}
		t.turn = turn
		t.version.distribution.SetTurn(turn)
		p.metrics.GetOrCreateCounter(fmt.Sprintf("laburnumgw_weights_turns_total{turn=%q}", turn)).Inc()
		p.log.Info("turn of a version on the links", zap.Int("version", t.version.number), zap.Stringer("turn", turn),
			zap.Int("held", t.held), zap.Int("available", t.available), zap.Int("chunks", t.chunks))
	}
}

// membersChanged passes the current members on to the distributions.
func (l *library) membersChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := l.view.assignments()
	for _, v := range l.versions {
		v.distribution.SetMembers(members)
	}
}
