package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

const (
	// eventBacklog bounds the events that wait for the state machine.
	eventBacklog = 1024
	// exchangeTimeout bounds one exchange of bitmaps.
	exchangeTimeout = 2 * time.Second
)

// links limits the transfer of weights to its share of this VM's link.
type links struct {
	download *rate.Limiter
	upload   *rate.Limiter
}

// transfer is what the distributions of all versions on a VM share.
type transfer struct {
	self    swarm.Member
	address string
	home    string
	conns   *rpc.Pool
	origin  *originClient
	links   links
	metrics *endpointMetrics
	log     *zap.Logger
}

// distribution fetches one version and serves its chunks to other VMs. It runs until
// the version is no longer wanted.
type distribution struct {
	transfer *transfer
	replica  *weights.Replica
	machine  *swarm.Machine
	started  time.Time
	events   chan swarm.Event
	ctx      context.Context
	cancel   context.CancelFunc
	// whole is closed when every chunk is held and verified.
	whole chan struct{}

	originBytes atomic.Int64
	peerBytes   atomic.Int64

	mu        sync.Mutex
	addresses map[string]string
	uploads   map[swarm.UploadID]chan error
	nextID    swarm.UploadID
	fetches   map[swarm.FetchID]context.CancelFunc
}

// timing derives the state machine's times from the link rates.
func (t *transfer) timing(manifest *weights.Manifest, originMbit float64) (chunkTime, sourceInterval time.Duration) {
	chunkTime = bytesTime(manifest.ChunkSize, float64(t.links.download.Limit()))
	sourceInterval = bytesTime(manifest.ChunkSize, originMbit*megabit)
	return max(chunkTime, time.Millisecond), sourceInterval
}

func bytesTime(bytes int64, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

func newDistribution(t *transfer, replica *weights.Replica, originMbit float64, limits swarm.Limits) (*distribution, error) {
	chunkTime, interval := t.timing(replica.Manifest(), originMbit)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, err := swarm.New(swarm.Config{
		Self: t.self, Digest: replica.Digest(), Chunks: len(replica.Manifest().Chunks), Held: replica.Bitmap(),
		HomeRegion: t.home, ChunkTime: chunkTime, SourceInterval: interval, Limits: limits,
	}, rng, 0)
	if err != nil {
		return nil, fmt.Errorf("start distribution: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &distribution{
		transfer: t, replica: replica, machine: machine, started: time.Now(),
		events: make(chan swarm.Event, eventBacklog), ctx: ctx, cancel: cancel, whole: make(chan struct{}),
		addresses: make(map[string]string), uploads: make(map[swarm.UploadID]chan error),
		fetches: make(map[swarm.FetchID]context.CancelFunc),
	}, nil
}

// run drives the state machine until the distribution is stopped.
func (d *distribution) run() {
	ticker := time.NewTicker(max(d.machine.TickInterval(), time.Millisecond))
	defer ticker.Stop()
	for {
		var event swarm.Event = swarm.Tick{}
		select {
		case <-d.ctx.Done():
			d.refuseUploads()
			return
		case <-ticker.C:
		case event = <-d.events:
		}
		for _, action := range d.machine.Step(time.Since(d.started), event) {
			d.perform(action)
		}
	}
}

func (d *distribution) stop() { d.cancel() }

// post hands an event to the state machine.
func (d *distribution) post(event swarm.Event) {
	select {
	case d.events <- event:
	case <-d.ctx.Done():
	}
}

// setMembers names the VMs that hold or receive the version.
func (d *distribution) setMembers(assignments []*laburnumgwv1.Assignment) {
	members := make([]swarm.Member, 0, len(assignments))
	d.mu.Lock()
	clear(d.addresses)
	for _, a := range assignments {
		members = append(members, swarm.Member{VM: a.GetVm(), Zone: a.GetZone(), Region: a.GetRegion()})
		d.addresses[a.GetVm()] = a.GetAddress()
	}
	d.mu.Unlock()
	d.post(swarm.MembersChanged{Members: members})
}

func (d *distribution) perform(action swarm.Action) {
	switch a := action.(type) {
	case swarm.FetchChunk:
		ctx, cancel := context.WithCancel(d.ctx)
		d.mu.Lock()
		d.fetches[a.ID] = cancel
		d.mu.Unlock()
		go d.fetch(ctx, a)
	case swarm.CancelFetch:
		d.endFetch(a.ID)
	case swarm.SendBitmap:
		go d.exchange(a)
	case swarm.AcceptUpload:
		d.answerUpload(a.ID, nil)
	case swarm.RefuseUpload:
		d.answerUpload(a.ID, refusedUpload(a.Held))
	case swarm.Completed:
		close(d.whole)
	}
}

func (d *distribution) endFetch(id swarm.FetchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel, ok := d.fetches[id]; ok {
		cancel()
		delete(d.fetches, id)
	}
}

func (d *distribution) fetch(ctx context.Context, f swarm.FetchChunk) {
	progress := func() { d.post(swarm.ChunkProgress{ID: f.ID}) }
	var data []byte
	var err error
	if f.From == swarm.Origin {
		data, err = d.transfer.origin.chunk(ctx, d.replica.Manifest(), f.Chunk, progress)
	} else {
		data, err = d.fetchFromPeer(ctx, f, progress)
	}
	cancelled := ctx.Err() != nil
	if err == nil && !cancelled {
		err = d.replica.Put(f.Chunk, data)
	}
	d.endFetch(f.ID)
	if cancelled {
		return
	}
	done := fetchResult(f.ID, err)
	d.count(f, done.Result, len(data))
	d.post(done)
}

func (d *distribution) count(f swarm.FetchChunk, result swarm.Result, n int) {
	switch {
	case result == swarm.ResultCorrupt:
		d.transfer.metrics.corruptChunks.Inc()
		d.transfer.log.Warn("corrupt chunk", zap.Stringer("version", d.replica.Digest()), zap.Int("chunk", f.Chunk), zap.String("from", sourceName(f.From)))
	case result != swarm.ResultOK:
		return
	}
	if f.From == swarm.Origin {
		d.originBytes.Add(int64(n))
		d.transfer.metrics.originBytes.Add(n)
		return
	}
	d.peerBytes.Add(int64(n))
	d.transfer.metrics.peerBytes.Add(n)
}

func sourceName(from string) string {
	if from == swarm.Origin {
		return "origin"
	}
	return from
}

func fetchResult(id swarm.FetchID, err error) swarm.ChunkDone {
	done := swarm.ChunkDone{ID: id, Result: swarm.ResultFailed}
	var limited *rateLimitedError
	switch {
	case err == nil:
		done.Result = swarm.ResultOK
	case errkind.Is(err, errkind.Corrupt):
		done.Result = swarm.ResultCorrupt
	case errors.As(err, &limited):
		done.Result = swarm.ResultRateLimited
		done.RetryAfter = limited.retryAfter
	case status.Code(err) == codes.ResourceExhausted:
		done.Result = swarm.ResultRefused
	case status.Code(err) == codes.NotFound:
		done.Result = swarm.ResultNotHeld
	}
	return done
}

func (d *distribution) peer(vm string) (laburnumgwv1.PeerClient, error) {
	d.mu.Lock()
	address := d.addresses[vm]
	d.mu.Unlock()
	if address == "" {
		return nil, errkind.New(errkind.NotFound, "wait for the next placement", "address of VM %q is not known", vm)
	}
	conn, err := d.transfer.conns.Conn(address)
	if err != nil {
		return nil, err
	}
	return laburnumgwv1.NewPeerClient(conn), nil
}

func (d *distribution) fetchFromPeer(ctx context.Context, f swarm.FetchChunk, progress func()) ([]byte, error) {
	client, err := d.peer(f.From)
	if err != nil {
		return nil, err
	}
	stream, err := client.GetChunk(ctx, &laburnumgwv1.GetChunkRequest{
		VersionDigest: d.replica.Digest().String(), Chunk: uint32(f.Chunk),
	})
	if err != nil {
		return nil, err
	}
	length := d.replica.Manifest().ChunkLen(f.Chunk)
	data := make([]byte, 0, length)
	for {
		piece, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if int64(len(data)+len(piece.GetData())) > length {
			return nil, errkind.New(errkind.Corrupt, "ask another VM", "chunk %d from %s is too long", f.Chunk, f.From)
		}
		if err := d.transfer.links.download.WaitN(ctx, len(piece.GetData())); err != nil {
			return nil, fmt.Errorf("wait for the link: %w", err)
		}
		data = append(data, piece.GetData()...)
		progress()
	}
}

func (d *distribution) exchange(send swarm.SendBitmap) {
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	bitmap, err := d.callExchange(ctx, send)
	if err != nil {
		d.post(swarm.BitmapFailed{To: send.To})
		return
	}
	d.post(swarm.BitmapReceived{From: send.To, Bitmap: bitmap})
}

func (d *distribution) callExchange(ctx context.Context, send swarm.SendBitmap) (weights.Bitmap, error) {
	client, err := d.peer(send.To)
	if err != nil {
		return weights.Bitmap{}, err
	}
	self := d.transfer.self
	response, err := client.Exchange(ctx, &laburnumgwv1.ExchangeRequest{
		VersionDigest: d.replica.Digest().String(), Bitmap: send.Bitmap.Bytes(),
		From: &laburnumgwv1.PeerInfo{Vm: self.VM, Zone: self.Zone, Region: self.Region, Address: d.transfer.address},
	})
	if err != nil {
		return weights.Bitmap{}, err
	}
	return weights.ParseBitmap(response.GetBitmap(), len(d.replica.Manifest().Chunks))
}

func refusedUpload(held bool) error {
	if held {
		return status.Error(codes.ResourceExhausted, "no free upload slot; ask another VM")
	}
	return status.Error(codes.NotFound, "chunk is not held; ask another VM")
}

// requestUpload waits until the state machine admits an upload.
func (d *distribution) requestUpload(ctx context.Context, from string, chunk int) (done func(), err error) {
	wait := make(chan error, 1)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	d.uploads[id] = wait
	d.mu.Unlock()
	done = func() {
		d.mu.Lock()
		delete(d.uploads, id)
		d.mu.Unlock()
		d.post(swarm.UploadFinished{ID: id})
	}
	d.post(swarm.UploadRequested{ID: id, From: from, Chunk: chunk})
	select {
	case err := <-wait:
		if err != nil {
			done()
			return nil, err
		}
		return done, nil
	case <-ctx.Done():
		done()
		return nil, ctx.Err()
	case <-d.ctx.Done():
		return nil, refusedUpload(false)
	}
}

func (d *distribution) answerUpload(id swarm.UploadID, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait, ok := d.uploads[id]; ok {
		select {
		case wait <- err:
		default:
		}
	}
}

func (d *distribution) refuseUploads() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, wait := range d.uploads {
		select {
		case wait <- refusedUpload(false):
		default:
		}
	}
}

// progress describes the distribution for reports.
func (d *distribution) progress() *laburnumgwv1.WeightProgress {
	manifest := d.replica.Manifest()
	return &laburnumgwv1.WeightProgress{
		Model: manifest.Model, VersionDigest: d.replica.Digest().String(),
		ChunksHave: int32(d.replica.Bitmap().Count()), ChunksTotal: int32(len(manifest.Chunks)),
		OriginBytes: d.originBytes.Load(), PeerBytes: d.peerBytes.Load(),
	}
}

func (d *distribution) sinceStart() time.Duration { return time.Since(d.started) }
