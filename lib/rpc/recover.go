package rpc

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// RecoveryOptions returns server options that make a call whose handler panics fail with an
// internal error. Without them, one unexpected message ends the process.
func RecoveryOptions(log *zap.Logger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
			defer recoverPanic(log, info.FullMethod, &err)
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
			defer recoverPanic(log, info.FullMethod, &err)
			return handler(server, stream)
		}),
	}
}

func recoverPanic(log *zap.Logger, method string, err *error) {
	if cause := recover(); cause != nil {
		log.Error("handler panicked; the call fails and the process goes on", zap.String("method", method), zap.Any("cause", cause),
			zap.ByteString("stack", debug.Stack()))
		*err = status.Errorf(codes.Internal, "handler of %s failed", method)
	}
}
