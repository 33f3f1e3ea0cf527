package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/rpc"
)

const (
	baselineCalls      = 1000
	baselineInterval   = 5 * time.Millisecond
	baselineHandshakes = 100
)

// echo responds to a report at once, so that only gRPC and TLS cost processor time.
type echo struct {
	laburnumgwv1.UnimplementedNodeServer
}

// Report implements the Node service.
func (echo) Report(context.Context, *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	return &laburnumgwv1.ReportResponse{}, nil
}

// baseline measures the cost of an empty call and of a new connection on this machine.
// Client and server both run in the bench, so its processor time is that of both.
func (b *bench) baseline(ctx context.Context) error {
	s, address, keys, err := b.echoServer(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	request := &laburnumgwv1.ReportRequest{Vm: "echo-client"}
	pool := rpc.NewPool(keys, mtls.RoleEntry)
	defer pool.Close()
	call := func(pool *rpc.Pool) error {
		conn, err := pool.Conn(address)
		if err != nil {
			return err
		}
		_, err = laburnumgwv1.NewNodeClient(conn).Report(ctx, request)
		return err
	}
	if err := call(pool); err != nil {
		return err
	}
	idle, err := b.benchProcessorTime(ctx, baselineCalls, func() error { return nil })
	if err != nil {
		return err
	}
	bytes := s.meter.sent.Load() + s.meter.received.Load()
	calls, err := b.benchProcessorTime(ctx, baselineCalls, func() error { return call(pool) })
	if err != nil {
		return err
	}
	perCall := float64(s.meter.sent.Load()+s.meter.received.Load()-bytes) / baselineCalls
	bytes = s.meter.sent.Load() + s.meter.received.Load()
	connects, err := b.benchProcessorTime(ctx, baselineHandshakes, func() error {
		fresh := rpc.NewPool(keys, mtls.RoleEntry)
		defer fresh.Close()
		return call(fresh)
	})
	if err != nil {
		return err
	}
	perConnect := float64(s.meter.sent.Load()+s.meter.received.Load()-bytes) / baselineHandshakes
	fmt.Fprintln(b.out, "baseline: an empty gRPC call with mutual TLS, client and server together")
	fmt.Fprintf(b.out, "  call: %.0f us, %.0f bytes sent and received\n", float64((calls-idle).Microseconds())/baselineCalls, perCall)
	fmt.Fprintf(b.out, "  new connection and one call: %.0f us, %.0f bytes sent and received\n", float64(connects.Microseconds())/baselineHandshakes, perConnect)
	return nil
}

func (b *bench) echoServer(ctx context.Context) (*simulator, string, *mtls.Keys, error) {
	dir := filepath.Join(b.dir, "baseline")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", nil, fmt.Errorf("create folder: %w", err)
	}
	authority, err := mtls.NewAuthority(time.Now())
	if err != nil {
		return nil, "", nil, err
	}
	if err := authority.Save(dir); err != nil {
		return nil, "", nil, err
	}
	s, err := newSimulator(dir)
	if err != nil {
		return nil, "", nil, err
	}
	keys, listener, err := s.identity(mtls.RoleEntry, "echo", zones[0].Name)
	if err != nil {
		return nil, "", nil, err
	}
	s.serve(ctx, keys, listener, echo{}, mtls.RoleEntry)
	clientKeys, unusedListener, err := s.identity(mtls.RoleEndpoint, "echo-client", zones[0].Name)
	if err != nil {
		return nil, "", nil, err
	}
	unusedListener.Close()
	return s, listener.Addr().String(), clientKeys, nil
}

// benchProcessorTime returns the processor time that the bench uses while it runs a step
// count times at fixed intervals.
func (b *bench) benchProcessorTime(ctx context.Context, count int, step func() error) (time.Duration, error) {
	before, err := processorTime(os.Getpid())
	if err != nil {
		return 0, err
	}
	ticker := time.NewTicker(baselineInterval)
	defer ticker.Stop()
	for range count {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-ticker.C:
		}
		if err := step(); err != nil {
			return 0, err
		}
	}
	after, err := processorTime(os.Getpid())
	return after - before, err
}
