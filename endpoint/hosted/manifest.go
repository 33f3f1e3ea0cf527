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
	// origin; the others ask them. The origin bears 48 connections, while a region may
	// have hundreds of VMs.
	manifestReaders = 2
	// manifestPeers is the number of VMs that are asked, in the order of their rank.
	manifestPeers = 3
	// manifestTries is the number of tries without an answer of a peer after which a VM
	// reads the origin whatever its rank.
	manifestTries = 7
	// manifestTimeout bounds one question to a peer.
	manifestTimeout = 400 * time.Millisecond
	// manifestReads is how often a manifest is read from the origin until two agree.
	manifestReads = 4
	// manifestDigestBytes is the part of a manifest for one chunk: a digest in hexadecimal
	// with its quotes and comma.
	manifestDigestBytes = 67
	// manifestQueue is the number of chunks that the origin may be sending before it answers.
	// A fetch of a chunk waits for as many.
	manifestQueue = 32
	// shortestManifestWait keeps delays of the network and of the scheduler from looking like
	// a silent origin.
	shortestManifestWait = 500 * time.Millisecond
	// longestManifestWait applies while the sizes are not known.
	longestManifestWait = 6 * time.Second
)

// manifestSource reads a manifest from the origin of weights.
type manifestSource interface {
	Manifest(ctx context.Context, model string, version int) (*weights.Manifest, int, error)
}

// manifestServer answers other endpoint processes.
type manifestServer struct {
	laburnumgwv1.UnimplementedManifestsServer
	library *library
}

// GetManifest implements the Manifests service.
func (s *manifestServer) GetManifest(_ context.Context, request *laburnumgwv1.GetManifestRequest) (*laburnumgwv1.GetManifestResponse, error) {
	v := s.library.get(int(request.GetVersion()))
	if request.GetVersion() == 0 {
		v = s.library.newest()
	}
	if v == nil || v.distribution.Replica().Manifest().Model != request.GetModel() {
		return nil, status.Error(codes.NotFound, "manifest is not known here; ask another VM")
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

// manifest returns the manifest of a version, or of the newest one for number 0.
func (l *library) manifest(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	ranked := l.ranked(model, number)
	asked := 0
	for _, address := range ranked {
		if address == l.transfer.Address || asked == manifestPeers {
			continue
		}
		asked++
		manifest, read, err := l.askManifest(ctx, address, model, number)
		if err == nil {
			return manifest, read, nil
		}
		l.log.Debug("manifest not known at peer", zap.String("peer", address), zap.Error(err))
	}
	l.tries++
	rank := slices.Index(ranked, l.transfer.Address)
	if rank >= manifestReaders && l.tries < manifestTries {
		return nil, 0, errkind.New(errkind.Unavailable, "wait for the VMs that read the origin", "manifest of %s version %d is not known in the region yet", model, number)
	}
	manifest, read, err := l.readManifest(ctx, model, number)
	if err == nil {
		l.tries = 0
	}
	return manifest, read, err
}

// ranked returns the addresses of the VMs of this region in the order in which they are
// to read a manifest.
func (l *library) ranked(model string, number int) []string {
	var local []string
	for _, a := range l.view.assignments() {
		if a.GetRegion() == l.transfer.Self.Region {
			local = append(local, a.GetAddress())
		}
	}
	return rendezvous.Rank("manifest/"+model+"/"+strconv.Itoa(number), local)
}

func (l *library) askManifest(ctx context.Context, address, model string, number int) (*weights.Manifest, int, error) {
	response, err := rpc.Call(ctx, l.transfer.Conns, address, manifestTimeout, laburnumgwv1.NewManifestsClient, laburnumgwv1.ManifestsClient.GetManifest,
		&laburnumgwv1.GetManifestRequest{Model: model, Version: int32(number)})
	if err != nil {
		return nil, 0, fmt.Errorf("ask %s: %w", address, err)
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

// manifestWait returns how long the origin may take for a manifest: its link carries the
// manifest and the chunks before it meanwhile.
func (l *library) manifestWait() time.Duration {
	origin, service := l.view.origin(), l.view.service()
	if origin == nil || service == nil || origin.LinkMbit <= 0 || service.Engine.Chunks <= 0 {
		return longestManifestWait
	}
	bytes := int64(service.Engine.Chunks)*manifestDigestBytes + manifestQueue*service.Engine.ChunkBytes
	wait := time.Duration(float64(bytes) / (origin.LinkMbit * megabit * originShare) * float64(time.Second))
	return min(max(wait, shortestManifestWait), longestManifestWait)
}

// readManifest reads the origin until two manifests agree, because it may spoil one. An
// origin that is silent is asked again by the next try, after the peers.
func (l *library) readManifest(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	seen := make(map[weights.Digest]bool)
	var last error
	for range manifestReads {
		manifest, read, err := l.readOnce(ctx, model, number)
		if errors.Is(err, context.DeadlineExceeded) {
			last = err
			break
		}
		if err != nil {
			last = err
			continue
		}
		digest := manifest.Digest()
		if seen[digest] {
			return manifest, read, nil
		}
		seen[digest] = true
	}
	if last == nil {
		last = errkind.New(errkind.Corrupt, "check the origin of weights", "no two manifests agree")
	}
	return nil, 0, fmt.Errorf("read manifest of %s version %d: %w", model, number, last)
}

func (l *library) readOnce(ctx context.Context, model string, number int) (*weights.Manifest, int, error) {
	ctx, cancel := context.WithTimeout(ctx, l.manifestWait())
	defer cancel()
	return l.origin.Manifest(ctx, model, number)
}
