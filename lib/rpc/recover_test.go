package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
)

// panickingServer panics on every message.
type panickingServer struct {
	laburnumgwv1.UnimplementedMirrorServer
	laburnumgwv1.UnimplementedPeerServer
}

func (panickingServer) Pull(context.Context, *laburnumgwv1.PullRequest) (*laburnumgwv1.PullResponse, error) {
	panic("unexpected message")
}

func (panickingServer) GetChunk(*laburnumgwv1.GetChunkRequest, laburnumgwv1.Peer_GetChunkServer) error {
	panic("unexpected message")
}

// Guards against one message that ends the whole process: a gRPC server does not recover
// from a panic of a handler, and without the recovery options this test ends with it.
func TestPanicOfAHandlerEndsOnlyItsCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(RecoveryOptions(zap.NewNop())...)
	laburnumgwv1.RegisterMirrorServer(server, panickingServer{})
	laburnumgwv1.RegisterPeerServer(server, panickingServer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	conns := NewPlainPool()
	defer conns.Close()
	address := listener.Addr().String()
	for range 2 {
		_, err := Call(t.Context(), conns, address, 5*time.Second, laburnumgwv1.NewMirrorClient, laburnumgwv1.MirrorClient.Pull, &laburnumgwv1.PullRequest{})
		if status.Code(err) != codes.Internal {
			t.Errorf("call returned %v", err)
		}
		conn, err := conns.Conn(address)
		if err != nil {
			t.Fatal(err)
		}
		stream, err := laburnumgwv1.NewPeerClient(conn).GetChunk(t.Context(), &laburnumgwv1.GetChunkRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Errorf("stream ended with %v", err)
		}
	}
}
