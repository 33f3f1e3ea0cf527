package hosted

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/rendezvous"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/weights"
)

const (
	// manifestReaders is the number of VMs of a region that read a manifest from the
	// origin; the others request it from them. The origin handles 48 connections, while a
	// region may have hundreds of VMs.
	manifestReaders = 2
	// maxManifestPeers is the number of peers that respond per attempt, in the order of
	// their rank.
	maxManifestPeers = 3
	// maxPeerOnlyAttempts is the number of attempts in which no peer returned the manifest
	// after which a VM reads the origin although it is no reader: the VM after the readers, or each one if no peer
	// responds. While peers respond, each further rank waits for as many more, maxPeerOnlyRounds times at most: the origin
	// may be away, and all of a region that read at once would fill its link when it is back.
	maxPeerOnlyAttempts = 7
	maxPeerOnlyRounds   = 6
	// maxSilentPeers is the number of peers that may fail to respond in an attempt beside those that are asked.
	maxSilentPeers = 3
	// peerManifestTimeout bounds one manifest request to a peer.
	peerManifestTimeout = 400 * time.Millisecond
	// maxManifestReads is the number of times that a manifest is read from the origin, at
	// most, until two reads agree.
	maxManifestReads = 4
	// manifestHold is how long a reader holds the requests of its region for a manifest that it does not know yet, from
	// the first one. A reader gets a manifest within about 0.1 s, and the others would ask again only later.
	manifestHold = 300 * time.Millisecond
	// manifestDigestBytes is the size of one chunk's entry in a manifest: a digest in
	// hexadecimal with its quotes and comma.
	manifestDigestBytes = 67
	// originQueueChunks is the number of chunks that the origin may send before it responds
	// to a manifest request. A chunk fetch allows for as many.
	originQueueChunks = 32
	// minOriginManifestTimeout keeps delays of the network and of the scheduler from being
	// taken for an unresponsive origin.
	minOriginManifestTimeout = 500 * time.Millisecond
	// maxOriginManifestTimeout is the upper bound, and applies while the sizes or the rate of
	// the origin's link are not known.
	maxOriginManifestTimeout = 6 * time.Second
)

// manifestSource reads a manifest from the origin of weights.
type manifestSource interface {
	Manifest(ctx context.Context, model string, version int) (*weights.Manifest, int, error)
}

// manifestServer serves the manifests that this process knows to other endpoint processes.
type manifestServer struct {
	laburnumgwv1.UnimplementedManifestsServer
	library *library
}

// GetManifest implements the Manifests service.
func (s *manifestServer) GetManifest(ctx context.Context, request *laburnumgwv1.GetManifestRequest) (*laburnumgwv1.GetManifestResponse, error) {
	v := s.library.get(int(request.GetVersion()))
	if request.GetVersion() == 0 {
		v = s.library.newest()
	}
	if v == nil && request.GetVersion() > 0 {
		if ip, err := callerIP(ctx); err == nil && s.library.readsManifestFor(ip, request.GetModel(), int(request.GetVersion())) {
			v = s.library.await(ctx, int(request.GetVersion()))
		}
	}
	if v == nil || v.distribution.Replica().Manifest().Model != request.GetModel() {
		return nil, status.Error(codes.NotFound, "manifest is not known on this VM; ask another VM")
	}
	manifest := v.distribution.Replica().Manifest()
	response := &laburnumgwv1.GetManifestResponse{
		Version: int32(v.number), Size: manifest.Size, ChunkSize: manifest.ChunkSize, Hash: string(manifest.Hash),
	}
	for _, digest := range manifest.Chunks {
		response.Digests = append(response.Digests, digest[:])
	}
	return response, nil
}

// readsManifestFor reports whether this VM reads the manifest of a version for a VM that does not read it. Readers do not
// wait for each other.
func (l *library) readsManifestFor(vm, model string, number int) bool {
	ranked := l.rankedVMs(model, number)
	readers := ranked[:min(manifestReaders, len(ranked))]
	if !slices.Contains(readers, l.transfer.Address) {
		return false
	}
	return slices.ContainsFunc(l.view.assignments(), func(a *laburnumgwv1.Assignment) bool {
		return a.GetVm() == vm && a.GetRegion() == l.transfer.Self.Region && !slices.Contains(readers, a.GetAddress())
	})
}

// await returns a version once it is known, or nil if it is not known manifestHold after the first call for it, or is no
// newer than the newest known one.
func (l *library) await(ctx context.Context, number int) *version {
	l.mu.Lock()
	if number > l.heldVersion {
		l.heldVersion, l.heldUntil = number, time.Now().Add(manifestHold)
	}
	held, until := number == l.heldVersion, l.heldUntil
	l.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for held {
		l.mu.Lock()
		added := l.added
		l.mu.Unlock()
		if v := l.get(number); v != nil {
			return v
		}
		if newest := l.newest(); newest != nil && newest.number > number {
			return nil
		}
		select {
		case <-added:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// manifest returns the manifest of a version, or of the newest one for number 0. It asks
// peers first and reads the origin only if the VM ranks among the readers of its region or
// too many attempts have failed.
func (l *library) manifest(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	ranked := l.rankedVMs(model, number)
	responded, silent := 0, 0
	for _, address := range ranked {
		if address == l.transfer.Address || responded == maxManifestPeers || silent == maxSilentPeers {
			continue
		}
		manifest, found, err := l.requestManifest(ctx, address, model, number)
		if err == nil {
			return manifest, found, nil
		}
		if status.Code(err) == codes.NotFound {
			responded++
		} else {
			silent++
		}
		l.log.Debug("manifest not available from peer", zap.String("peer", address), zap.Error(err))
	}
	if l.manifestVersion != number {
		l.manifestVersion, l.failedManifestAttempts = number, 0
	}
	l.failedManifestAttempts++
	rank := slices.Index(ranked, l.transfer.Address)
	if rank >= manifestReaders && l.failedManifestAttempts < peerOnlyAttempts(rank, responded) {
		return nil, 0, errkind.New(errkind.Unavailable, "wait until a VM of the region has read it from the origin", "manifest of %s version %d is not known in the region yet", model, number)
	}
	manifest, found, err := l.readManifest(ctx, model, number)
	if err == nil {
		l.failedManifestAttempts = 0
	}
	return manifest, found, err
}

// peerOnlyAttempts returns after how many failed attempts a VM that is no reader reads the origin, if a number of the peers that
// it asked responded.
func peerOnlyAttempts(rank, responded int) int {
	rounds := 1
	if responded > 0 {
		rounds = min(rank-manifestReaders+1, maxPeerOnlyRounds)
	}
	return rounds * maxPeerOnlyAttempts
}

// rankedVMs returns the addresses of the VMs of this region in the order of precedence for
// reading a manifest from the origin.
func (l *library) rankedVMs(model string, number int) []string {
	var local []string
	for _, a := range l.view.assignments() {
		if a.GetRegion() == l.transfer.Self.Region {
			local = append(local, a.GetAddress())
		}
	}
	return rendezvous.Rank("manifest/"+model+"/"+strconv.Itoa(number), local)
}

func (l *library) requestManifest(ctx context.Context, address, model string, number int) (*weights.Manifest, int, error) {
	response, err := rpc.Call(ctx, l.transfer.Conns, address, peerManifestTimeout, laburnumgwv1.NewManifestsClient, laburnumgwv1.ManifestsClient.GetManifest,
		&laburnumgwv1.GetManifestRequest{Model: model, Version: int32(number)})
	if err != nil {
		return nil, 0, fmt.Errorf("request manifest from %s: %w", address, err)
	}
	manifest := &weights.Manifest{
		Model: model, Version: strconv.Itoa(int(response.GetVersion())), Size: response.GetSize(),
		ChunkSize: response.GetChunkSize(), Hash: weights.Hash(response.GetHash()),
	}
	for _, raw := range response.GetDigests() {
		digest, err := weights.DigestFromBytes(raw)
		if err != nil {
			return nil, 0, fmt.Errorf("manifest from %s: %w", address, err)
		}
		manifest.Chunks = append(manifest.Chunks, digest)
	}
	return manifest, int(response.GetVersion()), manifest.Validate()
}

// originManifestTimeout returns how long the origin may take to send a manifest: the time
// that its link needs for the manifest and for the chunks queued ahead of it.
func (l *library) originManifestTimeout() time.Duration {
	origin, service := l.view.origin(), l.view.service()
	if origin == nil || service == nil || origin.LinkMbit <= 0 || service.Engine.Chunks <= 0 {
		return maxOriginManifestTimeout
	}
	bytes := int64(service.Engine.Chunks)*manifestDigestBytes + originQueueChunks*service.Engine.ChunkBytes
	wait := time.Duration(float64(bytes) / (origin.LinkMbit * bytesPerMegabit * originShare) * float64(time.Second))
	return min(max(wait, minOriginManifestTimeout), maxOriginManifestTimeout)
}

// readManifest reads the manifest from the origin until two copies agree, because the origin
// may return a corrupt one. After a time-out it returns, so that the next attempt asks the
// peers before the origin.
func (l *library) readManifest(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	seen := make(map[weights.Digest]bool)
	var lastErr error
	for range maxManifestReads {
		manifest, found, err := l.readManifestOnce(ctx, model, number)
		if errors.Is(err, context.DeadlineExceeded) {
			lastErr = err
			break
		}
		if err != nil {
			lastErr = err
			continue
		}
		digest := manifest.Digest()
		if seen[digest] {
			return manifest, found, nil
		}
		seen[digest] = true
	}
	if lastErr == nil {
		lastErr = errkind.New(errkind.Corrupt, "check the origin of weights", "no two of %d manifests read from the origin agree", maxManifestReads)
	}
	return nil, 0, fmt.Errorf("read manifest of %s version %d: %w", model, number, lastErr)
}

func (l *library) readManifestOnce(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	ctx, cancel := context.WithTimeout(ctx, l.originManifestTimeout())
	defer cancel()
	return l.origin.Manifest(ctx, model, number)
}
