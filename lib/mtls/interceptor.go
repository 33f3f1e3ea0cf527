package mtls

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"laburnumgw/lib/errkind"
)

// Policy lists the roles that may call each full gRPC method name.
type Policy map[string][]Role

// authorize returns a gRPC status error unless the caller has authenticated with an accepted
// role.
func (p Policy) authorize(ctx context.Context, method string) error {
	identity, err := PeerIdentity(ctx)
	if err != nil {
		return status.Error(codes.Unauthenticated, err.Error())
	}
	if err := checkRole(identity, p[method]); err != nil {
		return status.Errorf(codes.PermissionDenied, "%s: %v", method, err)
	}
	return nil
}

// ServerOptions returns interceptors that enforce the policy on every call.
func (p Policy) ServerOptions() []grpc.ServerOption {
	unary := func(ctx context.Context, request any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if err := p.authorize(ctx, info.FullMethod); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
	stream := func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if err := p.authorize(stream.Context(), info.FullMethod); err != nil {
			return err
		}
		return next(server, stream)
	}
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(unary), grpc.ChainStreamInterceptor(stream)}
}

// PeerIdentity returns the authenticated identity of the caller of an RPC.
func PeerIdentity(ctx context.Context) (Identity, error) {
	const remedy = "connect with mutual TLS"
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return Identity{}, errkind.New(errkind.Denied, remedy, "call has no peer")
	}
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Identity{}, errkind.New(errkind.Denied, remedy, "peer has no certificate")
	}
	return FromCertificate(info.State.PeerCertificates[0])
}
