// Package transfer transfers the chunks of model versions between VMs. It runs the swarm
// state machine of each version and carries out its actions over gRPC.
package transfer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	// eventBacklog bounds the events that are queued for the state machine.
	eventBacklog = 1024
	// exchangeTimeout bounds one exchange of bitmaps.
	exchangeTimeout = 2 * time.Second
	// PieceBytes is the default size of the pieces in which chunks are read and sent.
	PieceBytes = 256 << 10
)

// Links limits the transfer of weights to its share of the bandwidth of this VM's link.
type Links struct {
	Download *rate.Limiter
	Upload   *rate.Limiter
	// PieceBytes is the number of bytes that are sent at once. Requests that share the
	// link are delayed until a piece is sent.
	PieceBytes int
	// Planned is the rate in bytes per second from which the times of chunks are derived; zero for that of Download. It differs
	// where the limits follow what else the link carries.
	Planned rate.Limit
}

// NewLinks returns limits for a share of the link in bytes per second.
func NewLinks(bytesPerSecond float64) Links { return NewPacedLinks(bytesPerSecond, PieceBytes) }

// NewPacedLinks is NewLinks with another piece size, for links with a low bandwidth.
func NewPacedLinks(bytesPerSecond float64, piece int) Links {
	return Links{
		Download:   rate.NewLimiter(rate.Limit(bytesPerSecond), piece),
		Upload:     rate.NewLimiter(rate.Limit(bytesPerSecond), piece),
		PieceBytes: piece,
	}
}

// Set changes the rate limit of both directions where it differs.
func (l Links) Set(limit rate.Limit) {
	for _, limiter := range []*rate.Limiter{l.Download, l.Upload} {
		if limiter.Limit() != limit {
			limiter.SetLimit(limit)
		}
	}
}

// Origin reads chunks from the weight store. Callers must verify the bytes: the store
// may hold another version by then, or send wrong bytes. progress is called as bytes arrive.
type Origin interface {
	Chunk(ctx context.Context, m *weights.Manifest, index int, progress func()) ([]byte, error)
}

// RateLimitedError is returned when the weight store refuses a request until RetryAfter has
// passed.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("weight store is rate limited; retry after %s", e.RetryAfter)
}

// Metrics count the bytes of transfers.
type Metrics struct {
	OriginBytes    *metrics.Counter
	PeerBytes      *metrics.Counter
	UploadedBytes  *metrics.Counter
	CorruptChunks  *metrics.Counter
	OriginFailures *metrics.Counter
}

// NewMetrics registers the counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		OriginBytes:    set.NewCounter("laburnumgw_weights_origin_bytes_total"),
		PeerBytes:      set.NewCounter("laburnumgw_weights_peer_bytes_total"),
		UploadedBytes:  set.NewCounter("laburnumgw_weights_uploaded_bytes_total"),
		CorruptChunks:  set.NewCounter("laburnumgw_weights_corrupt_chunks_total"),
		OriginFailures: set.NewCounter("laburnumgw_weights_origin_failures_total"),
	}
}

// Traffic counts the transfers with other VMs in one direction.
type Traffic struct {
	// Bytes is the number of bytes of chunks that have passed, and Active the number of transfers under way.
	Bytes, Active atomic.Int64
}

// Transfer is the configuration that the distributions of all versions on a VM share, and their traffic.
type Transfer struct {
	Self    swarm.Member
	Address string
	// HomeRegion is the region of the weight store.
	HomeRegion string
	Conns      *rpc.Pool
	Origin     Origin
	Links      Links
	Metrics    *Metrics
	Log        *zap.Logger
	// Policy selects how versions are fetched; empty for the default.
	Policy swarm.Policy
	// Sent and Received are the traffic of all versions.
	Sent, Received Traffic
}

// Distribution fetches one version and serves its chunks to other VMs until it is stopped.
type Distribution struct {
	transfer *Transfer
	replica  *weights.Replica
	machine  *swarm.Machine
	started  time.Time
	events   chan swarm.Event
	ctx      context.Context
	cancel   context.CancelFunc
	// completed is closed when every chunk is held and verified.
	completed chan struct{}

	// available is the number of chunks that the region has, as far as is known.
	available atomic.Int64

	originBytes atomic.Int64
	peerBytes   atomic.Int64
	timeline    timeline

	mu        sync.Mutex
	addresses map[string]string
	uploads   map[swarm.UploadID]chan error
	nextID    swarm.UploadID
	fetches   map[swarm.FetchID]context.CancelFunc
}

// timing derives from the link rates how long a chunk takes on this VM's link, and the
// interval between the starts of chunks at the weight store.
func (t *Transfer) timing(manifest *weights.Manifest, originRate float64) (chunkTime, sourceInterval time.Duration) {
	chunkTime = bytesTime(manifest.ChunkSize, float64(cmp.Or(t.Links.Planned, t.Links.Download.Limit())))
	sourceInterval = bytesTime(manifest.ChunkSize, originRate)
	return max(chunkTime, time.Millisecond), sourceInterval
}

func bytesTime(bytes int64, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// New returns a distribution that fetches the chunks of replica from the weight store and
// from the members that SetMembers sets. originRate is the rate of the weight store in bytes
// per second.
func New(t *Transfer, replica *weights.Replica, originRate float64, limits swarm.Limits) (*Distribution, error) {
	chunkTime, interval := t.timing(replica.Manifest(), originRate)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	machine, err := swarm.New(swarm.Config{
		Self: t.Self, Digest: replica.Digest(), Chunks: len(replica.Manifest().Chunks), HeldChunks: replica.Bitmap(),
		HomeRegion: t.HomeRegion, ChunkTime: chunkTime, SourceInterval: interval, Limits: limits, Policy: t.Policy,
	}, rng, 0)
	if err != nil {
		return nil, fmt.Errorf("start distribution: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Distribution{
		transfer: t, replica: replica, machine: machine, started: time.Now(),
		events: make(chan swarm.Event, eventBacklog), ctx: ctx, cancel: cancel, completed: make(chan struct{}),
		addresses: make(map[string]string), uploads: make(map[swarm.UploadID]chan error),
		fetches: make(map[swarm.FetchID]context.CancelFunc),
	}, nil
}

// Run runs the state machine until the distribution is stopped.
func (d *Distribution) Run() {
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
		d.available.Store(int64(d.machine.AvailableChunks()))
	}
}

// AvailableChunks returns the number of chunks that are in the region, as far as is known.
func (d *Distribution) AvailableChunks() int { return int(d.available.Load()) }

// SetTurn sets what the version may fetch beside other versions.
func (d *Distribution) SetTurn(turn swarm.Turn) { d.post(swarm.SourceTurn{Turn: turn}) }

// Stop stops the distribution.
func (d *Distribution) Stop() { d.cancel() }

// post queues an event for the state machine.
func (d *Distribution) post(event swarm.Event) {
	select {
	case d.events <- event:
	case <-d.ctx.Done():
	}
}

// SetMembers sets the VMs that hold or fetch the version.
func (d *Distribution) SetMembers(assignments []*laburnumgwv1.Assignment) {
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

func (d *Distribution) perform(action swarm.Action) {
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
		d.decideUpload(a.ID, nil)
	case swarm.RefuseUpload:
		d.decideUpload(a.ID, refusedUpload(a.ChunkHeld))
	case swarm.Completed:
		close(d.completed)
		d.logCompletion()
	case swarm.OriginFailed:
		d.recordOriginFailure(a)
	case swarm.OriginRecovered:
		d.transfer.Log.Info("origin answers again", append(d.chunkFields(a.Chunk), zap.Int("failed", a.Failures), zap.Duration("after", a.OutageDuration))...)
	}
}

// chunkFields returns the log fields that identify a chunk.
func (d *Distribution) chunkFields(chunk int) []zap.Field {
	manifest := d.replica.Manifest()
	return []zap.Field{zap.String("model", manifest.Model), zap.String("version", manifest.Version), zap.Int("chunk", chunk)}
}

// recordOriginFailure counts each failed fetch from the weight store, and logs only the
// first one of an outage.
func (d *Distribution) recordOriginFailure(a swarm.OriginFailed) {
	d.transfer.Metrics.OriginFailures.Inc()
	if !a.First {
		return
	}
	d.transfer.Log.Warn("origin does not answer", append(d.chunkFields(a.Chunk), zap.Bool("silent", a.TimedOut), zap.Stringer("result", a.Result),
		zap.Duration("waited", a.Elapsed), zap.Error(a.Err))...)
}

// logCompletion logs how long the chunks took, unless all were held from the start.
func (d *Distribution) logCompletion() {
	origin, peers := d.ReceivedBytes()
	if origin+peers == 0 {
		return
	}
	manifest := d.replica.Manifest()
	d.transfer.Log.Info("distribution complete", append(d.timeline.fields(), zap.String("model", manifest.Model), zap.String("version", manifest.Version),
		zap.Duration("took", d.SinceStart()), zap.Int64("origin_bytes", origin), zap.Int64("peer_bytes", peers))...)
}

func (d *Distribution) endFetch(id swarm.FetchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel, ok := d.fetches[id]; ok {
		cancel()
		delete(d.fetches, id)
	}
}

func (d *Distribution) fetch(ctx context.Context, f swarm.FetchChunk) {
	progress := func() { d.post(swarm.ChunkProgress{ID: f.ID}) }
	var data []byte
	var err error
	if f.From == swarm.Origin {
		data, err = d.transfer.Origin.Chunk(ctx, d.replica.Manifest(), f.Chunk, progress)
	} else {
		data, err = d.fetchFromPeer(ctx, f, progress)
	}
	cancelled := ctx.Err() != nil
	if err == nil && !cancelled {
		err = d.replica.Put(f.Chunk, data)
	}
	d.endFetch(f.ID)
	if cancelled {
		d.timeline.cancel()
		return
	}
	event := fetchResult(f.ID, err)
	d.timeline.add(d.SinceStart(), len(d.replica.Manifest().Chunks), f.From, event.Result)
	d.count(f, event.Result, len(data))
	d.post(event)
}

func (d *Distribution) count(f swarm.FetchChunk, result swarm.Result, n int) {
	switch {
	case result == swarm.ResultCorrupt:
		d.transfer.Metrics.CorruptChunks.Inc()
		d.transfer.Log.Warn("corrupt chunk", zap.Stringer("version", d.replica.Digest()), zap.Int("chunk", f.Chunk), zap.String("from", sourceName(f.From)))
	case result != swarm.ResultOK:
		return
	}
	if f.From == swarm.Origin {
		d.originBytes.Add(int64(n))
		d.transfer.Metrics.OriginBytes.Add(n)
		return
	}
	d.peerBytes.Add(int64(n))
	d.transfer.Metrics.PeerBytes.Add(n)
}

func sourceName(from string) string {
	if from == swarm.Origin {
		return "origin"
	}
	return from
}

func fetchResult(id swarm.FetchID, err error) swarm.ChunkDone {
	done := swarm.ChunkDone{ID: id, Result: swarm.ResultFailed, Err: err}
	var limited *RateLimitedError
	switch {
	case err == nil:
		done.Result = swarm.ResultOK
	case errkind.Is(err, errkind.Corrupt):
		done.Result = swarm.ResultCorrupt
	case errors.As(err, &limited):
		done.Result = swarm.ResultRateLimited
		done.RetryAfter = limited.RetryAfter
	case status.Code(err) == codes.ResourceExhausted:
		done.Result = swarm.ResultRefused
	case status.Code(err) == codes.NotFound:
		done.Result = swarm.ResultNotHeld
	}
	return done
}

func (d *Distribution) peer(vm string) (laburnumgwv1.PeerClient, error) {
	d.mu.Lock()
	address := d.addresses[vm]
	d.mu.Unlock()
	if address == "" {
		return nil, errkind.New(errkind.NotFound, "wait for the next placement", "address of VM %q is not known", vm)
	}
	conn, err := d.transfer.Conns.Conn(address)
	if err != nil {
		return nil, err
	}
	return laburnumgwv1.NewPeerClient(conn), nil
}

func (d *Distribution) fetchFromPeer(ctx context.Context, f swarm.FetchChunk, progress func()) ([]byte, error) {
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
	received := &d.transfer.Received
	received.Active.Add(1)
	defer received.Active.Add(-1)
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
		if err := d.transfer.Links.Download.WaitN(ctx, len(piece.GetData())); err != nil {
			return nil, fmt.Errorf("wait for the link: %w", err)
		}
		data = append(data, piece.GetData()...)
		received.Bytes.Add(int64(len(piece.GetData())))
		progress()
	}
}

func (d *Distribution) exchange(send swarm.SendBitmap) {
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	bitmap, err := d.callExchange(ctx, send)
	if err != nil {
		d.post(swarm.BitmapFailed{To: send.To, NotStarted: status.Code(err) == codes.NotFound})
		return
	}
	d.post(swarm.BitmapReceived{From: send.To, Bitmap: bitmap})
}

func (d *Distribution) callExchange(ctx context.Context, send swarm.SendBitmap) (weights.Bitmap, error) {
	client, err := d.peer(send.To)
	if err != nil {
		return weights.Bitmap{}, err
	}
	self := d.transfer.Self
	response, err := client.Exchange(ctx, &laburnumgwv1.ExchangeRequest{
		VersionDigest: d.replica.Digest().String(), Bitmap: send.Bitmap.Bytes(),
		From: &laburnumgwv1.PeerInfo{Vm: self.VM, Zone: self.Zone, Region: self.Region, Address: d.transfer.Address},
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

// requestUpload waits until the state machine accepts or refuses an upload. The caller calls
// done when the upload has ended.
func (d *Distribution) requestUpload(ctx context.Context, from string, chunk int) (done func(), err error) {
	decision := make(chan error, 1)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	d.uploads[id] = decision
	d.mu.Unlock()
	done = func() {
		d.mu.Lock()
		delete(d.uploads, id)
		d.mu.Unlock()
		d.post(swarm.UploadFinished{ID: id})
	}
	d.post(swarm.UploadRequested{ID: id, From: from, Chunk: chunk})
	select {
	case err := <-decision:
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

func (d *Distribution) decideUpload(id swarm.UploadID, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if decision, ok := d.uploads[id]; ok {
		select {
		case decision <- err:
		default:
		}
	}
}

func (d *Distribution) refuseUploads() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, decision := range d.uploads {
		select {
		case decision <- refusedUpload(false):
		default:
		}
	}
}

// Progress returns the state of the distribution for reports.
func (d *Distribution) Progress() *laburnumgwv1.WeightProgress {
	manifest := d.replica.Manifest()
	return &laburnumgwv1.WeightProgress{
		Model: manifest.Model, VersionDigest: d.replica.Digest().String(),
		ChunksHave: int32(d.replica.Bitmap().Count()), ChunksTotal: int32(len(manifest.Chunks)),
		OriginBytes: d.originBytes.Load(), PeerBytes: d.peerBytes.Load(),
	}
}

// SinceStart returns the age of the distribution.
func (d *Distribution) SinceStart() time.Duration { return time.Since(d.started) }

// Replica returns the replica into which the distribution fetches chunks.
func (d *Distribution) Replica() *weights.Replica { return d.replica }

// Completed returns a channel that is closed when every chunk is held and verified.
func (d *Distribution) Completed() <-chan struct{} { return d.completed }

// Stopped returns a channel that is closed when the distribution is stopped.
func (d *Distribution) Stopped() <-chan struct{} { return d.ctx.Done() }

// ReceivedBytes returns the number of verified bytes that were received from the weight
// store and from other VMs.
func (d *Distribution) ReceivedBytes() (origin, peers int64) {
	return d.originBytes.Load(), d.peerBytes.Load()
}
