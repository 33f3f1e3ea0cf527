package transfer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/weights"
)

// Server serves chunks to other endpoint processes.
type Server struct {
	laburnumgwv1.UnimplementedPeerServer
	// Find returns the distribution of a version.
	Find func(digest string) (*Distribution, bool)
	// Identify returns the name of the calling VM.
	Identify func(ctx context.Context) (vm string, err error)
	Metrics  *Metrics
}

// Exchange implements the Peer service.
func (p *Server) Exchange(ctx context.Context, request *laburnumgwv1.ExchangeRequest) (*laburnumgwv1.ExchangeResponse, error) {
	d, from, err := p.find(ctx, request.GetVersionDigest())
	if err != nil {
		return nil, err
	}
	bitmap, err := weights.ParseBitmap(request.GetBitmap(), len(d.replica.Manifest().Chunks))
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	d.post(swarm.BitmapReceived{From: from, Bitmap: bitmap})
	return &laburnumgwv1.ExchangeResponse{Bitmap: d.replica.Bitmap().Bytes()}, nil
}

// GetChunk implements the Peer service.
func (p *Server) GetChunk(request *laburnumgwv1.GetChunkRequest, stream laburnumgwv1.Peer_GetChunkServer) error {
	d, from, err := p.find(stream.Context(), request.GetVersionDigest())
	if err != nil {
		return err
	}
	index := int(request.GetChunk())
	if index >= len(d.replica.Manifest().Chunks) {
		return status.Errorf(codes.InvalidArgument, "chunk %d does not exist", index)
	}
	done, err := d.requestUpload(stream.Context(), from, index)
	if err != nil {
		return err
	}
	defer done()
	data, err := d.replica.Chunk(index)
	if err != nil {
		return status.Error(codes.NotFound, err.Error())
	}
	sent := &d.transfer.Sent
	sent.Active.Add(1)
	defer sent.Active.Add(-1)
	link, step := d.transfer.Links.Upload, d.transfer.Links.PieceBytes
	for start := 0; start < len(data); start += step {
		piece := data[start:min(len(data), start+step)]
		if err := link.WaitN(stream.Context(), len(piece)); err != nil {
			return status.FromContextError(err).Err()
		}
		if err := stream.Send(&laburnumgwv1.ChunkPiece{Data: piece}); err != nil {
			return err
		}
		sent.Bytes.Add(int64(len(piece)))
		p.Metrics.UploadedBytes.Add(len(piece))
	}
	return nil
}

func (p *Server) find(ctx context.Context, digest string) (*Distribution, string, error) {
	vm, err := p.Identify(ctx)
	if err != nil {
		return nil, "", status.Error(codes.Unauthenticated, err.Error())
	}
	d, ok := p.Find(digest)
	if !ok {
		return nil, "", status.Errorf(codes.NotFound, "version %s is not held here", digest)
	}
	return d, vm, nil
}
