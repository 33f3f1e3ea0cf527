package hosted

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/workerlimit"
)

// limitsTimeout bounds a call that asks another entry for the limits that it knows.
const limitsTimeout = time.Second

// limitPeers reaches the other entries.
type limitPeers interface {
	// Announce sends a change of a limit to all other entries. It may be lost.
	Announce(limit workerlimit.Limit)
	// Lend asks an entry for one request to a start of a worker.
	Lend(ctx context.Context, address, vm string, startedAtMs int64) (*laburnumgwv1.LendResponse, error)
	// ListLimits asks an entry for the limits that it knows.
	ListLimits(ctx context.Context, address string) (*laburnumgwv1.ListLimitsResponse, error)
}

// limitsServer serves the other entries what this one knows about limits, and requests from its
// part of them.
type limitsServer struct {
	laburnumgwv1.UnimplementedWorkerLimitsServer
	view *view
}

// ListLimits implements the WorkerLimits service.
func (s *limitsServer) ListLimits(context.Context, *laburnumgwv1.ListLimitsRequest) (*laburnumgwv1.ListLimitsResponse, error) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	response := new(laburnumgwv1.ListLimitsResponse)
	for _, limit := range s.view.limits.All() {
		response.Limits = append(response.Limits, limitMessage(limit))
	}
	return response, nil
}

// Lend implements the WorkerLimits service.
func (s *limitsServer) Lend(_ context.Context, request *laburnumgwv1.LendRequest) (*laburnumgwv1.LendResponse, error) {
	return s.view.lendRequest(request.GetVm(), request.GetBorn()), nil
}

func limitMessage(limit workerlimit.Limit) *laburnumgwv1.WorkerLimit {
	return &laburnumgwv1.WorkerLimit{
		Vm: limit.VM, Born: limit.StartedAtMs, Revision: limit.Revision, Limited: limit.Limited, PerSecond: limit.PerSecond,
	}
}

// processPeers implements limitPeers with datagrams and calls of a process.
type processPeers struct {
	*Process
	socket net.PacketConn
}

// Announce implements limitPeers.
func (p processPeers) Announce(limit workerlimit.Limit) {
	data, err := proto.Marshal(&laburnumgwv1.WorkerReport{Limit: limitMessage(limit)})
	if err != nil {
		p.log.Error("limit not encoded", zap.Error(err))
		return
	}
	p.sendToEntries(p.socket, data)
}

// Lend implements limitPeers.
func (p processPeers) Lend(ctx context.Context, address, vm string, startedAtMs int64) (*laburnumgwv1.LendResponse, error) {
	response, err := rpc.Call(ctx, p.conns, address, borrowTimeout, laburnumgwv1.NewWorkerLimitsClient,
		laburnumgwv1.WorkerLimitsClient.Lend, &laburnumgwv1.LendRequest{Vm: vm, Born: startedAtMs})
	if err != nil {
		return nil, fmt.Errorf("borrow from %s: %w", address, err)
	}
	return response, nil
}

// ListLimits implements limitPeers.
func (p processPeers) ListLimits(ctx context.Context, address string) (*laburnumgwv1.ListLimitsResponse, error) {
	response, err := rpc.Call(ctx, p.conns, address, limitsTimeout, laburnumgwv1.NewWorkerLimitsClient,
		laburnumgwv1.WorkerLimitsClient.ListLimits, new(laburnumgwv1.ListLimitsRequest))
	if err != nil {
		return nil, fmt.Errorf("list limits of %s: %w", address, err)
	}
	return response, nil
}

// sendToEntries sends a datagram to all other entries.
func (p *Process) sendToEntries(socket net.PacketConn, data []byte) {
	for _, entry := range p.view.otherAddresses() {
		address, err := net.ResolveUDPAddr("udp", entry)
		if err != nil {
			p.log.Warn("entry has no usable address", zap.String("entry", entry), zap.Error(err))
			continue
		}
		if _, err := socket.WriteTo(data, address); err != nil {
			p.log.Debug("announcement not sent", zap.String("entry", entry), zap.Error(err))
		}
	}
}
