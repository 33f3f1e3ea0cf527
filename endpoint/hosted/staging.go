package hosted

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/loadproof"
	"laburnumgw/lib/suspend"
	"laburnumgw/lib/weights"
	"laburnumgw/platform"
)

const (
	// corruptionGrace is how long a chunk may have been corrupt when the worker takes it.
	corruptionGrace = 3 * time.Second
	// maxCheckAge is the age from which on a staged chunk is read once more before an order.
	maxCheckAge = corruptionGrace / 2
	// maxStagingPasses bounds how often chunks are read or written before an order. What the last pass leaves
	// open, the read after the order decides.
	maxStagingPasses = 4
	// maxLateConnections bounds the connections on which the execution of writes is awaited.
	maxLateConnections = 16
	// readBackTimeout bounds the reads after an order in one turn of the loop, in which the worker is not polled.
	readBackTimeout = time.Second
	// keptManifests is the number of ordered versions whose manifests are kept. An order may be accepted late.
	keptManifests = 4
)

// stager stages versions at the worker and proves that the layers which the worker has loaded are whole. It is
// not safe for concurrent use.
type stager struct {
	worker *platform.Worker
	ledger *loadproof.Ledger
	// elapsed is the time on a clock that does not stand still while the machine is suspended.
	elapsed func() time.Duration
	log     *zap.Logger
	metrics *metrics.Set

	// ordered holds the manifests of the versions that the worker was ordered to load.
	ordered map[int]*weights.Manifest
	// late is the number of connections on which the worker has not executed all writes yet, as far as is known, and
	// executed delivers the writes on each, or none if that will not become known.
	late int
	// awaiting is set while a load is put off for such writes.
	awaiting bool
	executed chan []loadproof.WriteID
}

func newStager(worker *platform.Worker, set *metrics.Set, log *zap.Logger) *stager {
	clock := suspend.Start()
	return &stager{
		worker: worker, ledger: loadproof.New(corruptionGrace), elapsed: clock.Elapsed, log: log, metrics: set,
		ordered: make(map[int]*weights.Manifest), executed: make(chan []loadproof.WriteID, maxLateConnections),
	}
}

// stage stages chunks of a version, and verifies that they were staged within maxCheckAge. A chunk that was written
// before is read first, as it may still be whole.
func (s *stager) stage(ctx context.Context, v *version, chunks loadproof.Range) error {
	for range maxStagingPasses {
		s.collectExecuted()
		stale := s.ledger.Stale(chunks, v.number, s.elapsed(), maxCheckAge)
		if len(stale) == 0 {
			return nil
		}
		if err := s.stagePass(ctx, v, stale); err != nil {
			return err
		}
	}
	if unverified := s.ledger.Stale(chunks, v.number, 0, math.MaxInt64); len(unverified) > 0 {
		return errkind.New(errkind.Unavailable, "check the worker on this VM", "%d staged chunks of version %d are not whole after %d passes",
			len(unverified), v.number, maxStagingPasses)
	}
	return nil
}

// writtenChunk is a chunk that was written on a connection.
type writtenChunk struct {
	id    loadproof.WriteID
	chunk int
	since time.Duration
}

// stagePass reads or writes each of the chunks once, on one connection.
func (s *stager) stagePass(ctx context.Context, v *version, chunks []int) error {
	replica := v.distribution.Replica()
	manifest := replica.Manifest()
	conn, err := s.worker.OpenStaging(ctx)
	if err != nil {
		return fmt.Errorf("stage version %d: %w", v.number, err)
	}
	var written []writtenChunk
	defer func() { s.release(conn, manifest, written) }()
	for _, chunk := range chunks {
		since := s.elapsed()
		if s.ledger.Attempted(chunk, v.number) {
			staged, err := conn.Read(ctx, manifest.Model, chunk, manifest.ChunkLen(chunk))
			if err != nil && !errkind.Is(err, errkind.NotFound) {
				return err
			}
			if err == nil && manifest.Verify(chunk, staged) == nil {
				s.ledger.Verified(chunk, v.number, since)
				continue
			}
		}
		data, err := replica.Chunk(chunk)
		if err != nil {
			return err
		}
		if err := manifest.Verify(chunk, data); err != nil {
			return err
		}
		written = append(written, writtenChunk{id: s.ledger.BeginWrite(chunk, v.number), chunk: chunk, since: since})
		if err := conn.Write(ctx, manifest.Model, chunk, data); err != nil {
			return err
		}
	}
	if len(written) == 0 {
		return nil
	}
	// The worker executes the calls of a connection in their order, so that the contents of the last chunk show that
	// all were written.
	last := written[len(written)-1].chunk
	staged, err := conn.Read(ctx, manifest.Model, last, manifest.ChunkLen(last))
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return err
	}
	if err != nil || manifest.Verify(last, staged) != nil {
		s.log.Warn("responses to stagings do not match the calls", zap.Int("version", v.number), zap.Int("chunks", len(written)))
		return nil
	}
	for _, w := range written {
		s.ledger.Settle(w.id, s.elapsed())
		s.ledger.Verified(w.chunk, v.number, w.since)
	}
	written = nil
	return nil
}

// release ends a connection. Writes that may still be executed stay outstanding until the worker is known to have done so.
func (s *stager) release(conn *platform.Staging, manifest *weights.Manifest, written []writtenChunk) {
	if len(written) == 0 || s.late >= maxLateConnections {
		conn.Close()
		return
	}
	s.late++
	outstanding := make([]loadproof.WriteID, 0, len(written))
	for _, w := range written {
		outstanding = append(outstanding, w.id)
	}
	last := written[len(written)-1].chunk
	isLast := func(data []byte) bool { return manifest.Verify(last, data) == nil }
	go func() {
		if !conn.AwaitExecuted(manifest.Model, last, manifest.ChunkLen(last), isLast) {
			outstanding = nil
		}
		s.executed <- outstanding
	}()
}

// collectExecuted settles the writes that are known to be executed.
func (s *stager) collectExecuted() {
	for {
		select {
		case writes := <-s.executed:
			s.late--
			for _, id := range writes {
				s.ledger.Settle(id, s.elapsed())
			}
		default:
			return
		}
	}
}

// provable reports whether a load of chunks of a version could be proven now. It is logged when it could not.
func (s *stager) provable(chunks loadproof.Range, version int) bool {
	s.collectExecuted()
	provable := s.ledger.Provable(chunks, version)
	if !provable && !s.awaiting {
		s.log.Warn("load is put off, as the worker may still execute stagings that it has not answered", zap.Int("version", version))
	}
	s.awaiting = !provable
	return provable
}

// order orders the worker to load layers of a staged version.
func (s *stager) order(ctx context.Context, v *version, model loadproof.Model, layers loadproof.Range) (platform.OrderResult, error) {
	s.collectExecuted()
	manifest := v.distribution.Replica().Manifest()
	s.ordered[v.number] = manifest
	for number := range s.ordered {
		if number <= v.number-keptManifests {
			delete(s.ordered, number)
		}
	}
	order := s.ledger.BeginOrder(model, v.number, layers)
	var limits platform.LayerRange
	if layers != model.All() {
		limits = platform.LayerRange{From: layers.From, To: layers.To}
	}
	result, err := s.worker.LoadStaged(ctx, manifest.Model, v.number, limits, order.Sequence)
	switch result {
	case platform.OrderStarted:
		s.ledger.Accepted(order, s.elapsed())
	case platform.OrderInEffect, platform.OrderRefused:
		s.ledger.Refused(order)
	case platform.OrderUnknown:
	}
	return result, err
}

// readBack reads the chunks that the worker has taken with its last order, while it loads them. It returns an error if it
// could not read them all.
func (s *stager) readBack(ctx context.Context) error {
	s.collectExecuted()
	chunks, number := s.ledger.Unread()
	if len(chunks) == 0 {
		return nil
	}
	manifest := s.ordered[number]
	if manifest == nil {
		for _, chunk := range chunks {
			s.ledger.ReadBack(chunk, false)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	started := s.elapsed()
	reader := chunkReader{worker: s.worker, manifest: manifest}
	defer reader.close()
	differing := 0
	for _, chunk := range chunks {
		staged, err := reader.read(ctx, chunk)
		if err != nil && !errkind.Is(err, errkind.NotFound) {
			return fmt.Errorf("read version %d back: %w", number, err)
		}
		whole := err == nil && manifest.Verify(chunk, staged) == nil
		if !whole {
			differing++
			difference := s.difference(number, chunk, staged, err)
			s.metrics.GetOrCreateCounter(fmt.Sprintf("laburnumgw_worker_bad_chunks_total{found=%q}", difference)).Inc()
			s.log.Warn("chunk is not whole after its load", zap.Int("version", number), zap.Int("chunk", chunk), zap.String("found", difference))
		}
		s.ledger.ReadBack(chunk, whole)
	}
	s.log.Info("staged weights read back after a load order", zap.Int("version", number), zap.Int("chunks", len(chunks)),
		zap.Int("differing", differing), zap.Duration("took", s.elapsed()-started))
	return nil
}

// difference names what lies in place of a chunk.
func (s *stager) difference(number, chunk int, staged []byte, err error) string {
	if err != nil {
		return "missing"
	}
	for other, manifest := range s.ordered {
		if other != number && chunk < len(manifest.Chunks) && manifest.Verify(chunk, staged) == nil {
			return "other_version"
		}
	}
	return "corrupt"
}

// chunkReader reads staged chunks. Responses name no call, so that one which is not the expected chunk may be an earlier
// response that was written twice: the chunk is then read as the first one of another connection.
type chunkReader struct {
	worker   *platform.Worker
	manifest *weights.Manifest
	conn     *platform.Staging
	// last is the chunk that was read last on the connection, or -1.
	last int
}

// read returns a staged chunk, or an errkind.NotFound error.
func (r *chunkReader) read(ctx context.Context, chunk int) ([]byte, error) {
	if r.conn != nil && r.last >= 0 && r.manifest.Chunks[r.last] == r.manifest.Chunks[chunk] {
		r.close() // the chunk could not be told from the one before
	}
	staged, err := r.readOnce(ctx, chunk)
	if err != nil || r.manifest.Verify(chunk, staged) != nil {
		r.close()
		staged, err = r.readOnce(ctx, chunk)
	}
	return staged, err
}

func (r *chunkReader) readOnce(ctx context.Context, chunk int) ([]byte, error) {
	if r.conn == nil {
		conn, err := r.worker.OpenStaging(ctx)
		if err != nil {
			return nil, err
		}
		r.conn, r.last = conn, -1
	}
	r.last = chunk
	return r.conn.Read(ctx, r.manifest.Model, chunk, r.manifest.ChunkLen(chunk))
}

func (r *chunkReader) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}
