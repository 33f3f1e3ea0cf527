package rpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
)

// Call makes one call to a process. It returns the zero value with the error when the call
// fails or no response arrives within the limit. client and method are functions of the
// generated code, such as NewNodeClient and NodeClient.Gossip.
func Call[Client, Request, Response any](
	ctx context.Context, conns *Pool, address string, limit time.Duration,
	client func(grpc.ClientConnInterface) Client,
	method func(Client, context.Context, Request, ...grpc.CallOption) (Response, error),
	request Request,
) (Response, error) {
	var zero Response
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := conns.Conn(address)
	if err != nil {
		return zero, err
	}
	response, err := method(client(conn), ctx, request)
	if err != nil {
		return zero, err
	}
	return response, nil
}
