package entry

import (
	"context"
	"slices"
	"strings"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync"
	"laburnumgw/lib/membership"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/rpc"
)

// nodePolicy lists the roles that may call each method of an entry.
var nodePolicy = mtls.Policy{
	laburnumgwv1.Node_Report_FullMethodName:     {mtls.RoleEndpoint},
	laburnumgwv1.Node_Gossip_FullMethodName:     {mtls.RoleEntry},
	laburnumgwv1.Node_GetConfig_FullMethodName:  {mtls.RoleEntry, mtls.RoleEndpoint, mtls.RoleOperator},
	laburnumgwv1.Node_PushConfig_FullMethodName: {mtls.RoleEntry, mtls.RoleOperator},
	laburnumgwv1.Node_Status_FullMethodName:     {mtls.RoleOperator},
	laburnumgwv1.Node_Explain_FullMethodName:    {mtls.RoleOperator},
	laburnumgwv1.Where_Where_FullMethodName:     {mtls.RoleOperator},
}

// node serves the Node service of an entry.
type node struct {
	laburnumgwv1.UnimplementedNodeServer
	control *control
	routes  *routes
}

func newGRPCServer(keys *mtls.Keys, c *control, r *routes, log *zap.Logger) *grpc.Server {
	server := grpc.NewServer(slices.Concat(rpc.ServerOptions(keys, nodePolicy), rpc.DoorOptions(), rpc.RecoveryOptions(log))...)
	laburnumgwv1.RegisterNodeServer(server, &node{control: c, routes: r})
	laburnumgwv1.RegisterWhereServer(server, &whereServer{control: c, routes: r})
	return server
}

// Report implements the Node service. The VM in a report must be the one in the client
// certificate, so that no VM can report for another.
func (n *node) Report(ctx context.Context, request *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	if err := verifyVM(ctx, request.GetVm()); err != nil {
		return nil, err
	}
	response := n.control.members.report(request)
	response.PlacementRevision = n.control.revision()
	return response, nil
}

// Gossip implements the Node service.
func (n *node) Gossip(ctx context.Context, request *laburnumgwv1.GossipRequest) (*laburnumgwv1.GossipResponse, error) {
	if err := verifyVM(ctx, request.GetFrom().GetVm()); err != nil {
		return nil, err
	}
	return n.control.members.gossip(request), nil
}

// verifyVM checks that the client certificate was issued for the VM.
func verifyVM(ctx context.Context, vm string) error {
	identity, err := mtls.PeerIdentity(ctx)
	if err != nil {
		return status.Error(codes.Unauthenticated, err.Error())
	}
	if identity.VM != vm {
		return status.Errorf(codes.PermissionDenied, "certificate of %s was not issued for VM %q; issue a certificate for that VM", identity, vm)
	}
	return nil
}

// GetConfig implements the Node service.
func (n *node) GetConfig(_ context.Context, request *laburnumgwv1.GetConfigRequest) (*laburnumgwv1.ConfigBundle, error) {
	return n.control.configs.Get(request), nil
}

// PushConfig implements the Node service.
func (n *node) PushConfig(ctx context.Context, bundle *laburnumgwv1.ConfigBundle) (*laburnumgwv1.PushConfigResponse, error) {
	identity, err := mtls.PeerIdentity(ctx)
	if err != nil {
		return nil, status.Error(codes.Unauthenticated, err.Error())
	}
	if identity.Role == mtls.RoleOperator {
		return n.control.configs.Push(configsync.Peer{}, bundle), nil
	}
	for _, view := range n.control.members.entries() {
		if view.VM == identity.VM {
			return n.control.configs.Push(view.Peer, bundle), nil
		}
	}
	return nil, status.Errorf(codes.FailedPrecondition, "entry %q is not known yet; gossip with it first", identity.VM)
}

// Status implements the Node service.
func (n *node) Status(context.Context, *laburnumgwv1.StatusRequest) (*laburnumgwv1.StatusResponse, error) {
	self := n.control.self
	response := &laburnumgwv1.StatusResponse{
		Vm: self.VM, Zone: self.Zone, Region: self.Region, Role: string(mtls.RoleEntry),
		ConfigGeneration: n.control.configs.Current().GetGeneration(),
	}
	response.Entries = append(response.Entries, &laburnumgwv1.EntryInfo{
		Vm: self.VM, Zone: self.Zone, Region: self.Region, Address: self.Address,
		Incarnation: n.control.members.incarnation().Proto(),
	})
	for _, view := range n.control.members.entries() {
		if view.State != membership.Alive {
			continue
		}
		response.Entries = append(response.Entries, &laburnumgwv1.EntryInfo{
			Vm: view.VM, Zone: view.Zone, Region: view.Region, Address: view.Address,
			Incarnation: view.Incarnation.Proto(), Leaving: view.Leaving,
		})
	}
	for _, view := range n.control.members.endpoints() {
		if view.State != membership.Dead && view.Report != nil {
			response.Endpoints = append(response.Endpoints, view.Report)
		}
	}
	slices.SortFunc(response.Entries, func(a, b *laburnumgwv1.EntryInfo) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	slices.SortFunc(response.Endpoints, func(a, b *laburnumgwv1.ReportRequest) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return response, nil
}

// Explain implements the Node service.
func (n *node) Explain(_ context.Context, request *laburnumgwv1.ExplainRequest) (*laburnumgwv1.ExplainResponse, error) {
	return &laburnumgwv1.ExplainResponse{Decisions: n.routes.explain(request.GetRequestId())}, nil
}
