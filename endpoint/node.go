package endpoint

import (
	"context"
	"slices"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/transfer"
)

// nodePolicy lists the roles that may call each method of an endpoint process.
var nodePolicy = mtls.Policy{
	laburnumgwv1.Endpoint_Serve_FullMethodName: {mtls.RoleEntry},
	laburnumgwv1.Peer_Exchange_FullMethodName:  {mtls.RoleEndpoint},
	laburnumgwv1.Peer_GetChunk_FullMethodName:  {mtls.RoleEndpoint},
	laburnumgwv1.Node_Report_FullMethodName:    {mtls.RoleEntry},
	laburnumgwv1.Node_GetConfig_FullMethodName: {mtls.RoleEntry, mtls.RoleEndpoint, mtls.RoleOperator},
	laburnumgwv1.Node_Status_FullMethodName:    {mtls.RoleOperator},
}

// node serves the Node service of an endpoint process.
type node struct {
	laburnumgwv1.UnimplementedNodeServer
	settings *Settings
	reporter *reporter
	configs  *driver.Driver
}

func newGRPCServer(keys *mtls.Keys, s *server, peers *transfer.Server, n *node, log *zap.Logger) *grpc.Server {
	out := grpc.NewServer(slices.Concat(rpc.ServerOptions(keys, nodePolicy), rpc.DoorOptions(), rpc.RecoveryOptions(log))...)
	laburnumgwv1.RegisterEndpointServer(out, s)
	laburnumgwv1.RegisterPeerServer(out, peers)
	laburnumgwv1.RegisterNodeServer(out, n)
	return out
}

// Report implements the Node service: it responds to the probe of an entry.
func (n *node) Report(_ context.Context, request *laburnumgwv1.ReportRequest) (*laburnumgwv1.ReportResponse, error) {
	return n.reporter.probe(request), nil
}

// GetConfig implements the Node service.
func (n *node) GetConfig(_ context.Context, request *laburnumgwv1.GetConfigRequest) (*laburnumgwv1.ConfigBundle, error) {
	return n.configs.Get(request), nil
}

// Status implements the Node service.
func (n *node) Status(context.Context, *laburnumgwv1.StatusRequest) (*laburnumgwv1.StatusResponse, error) {
	load := n.reporter.load()
	return &laburnumgwv1.StatusResponse{
		Vm: n.settings.VM, Zone: n.settings.Zone, Region: n.settings.Region, Role: string(mtls.RoleEndpoint),
		ConfigGeneration: n.configs.Current().GetGeneration(),
		Endpoints: []*laburnumgwv1.ReportRequest{{
			Vm: n.settings.VM, Zone: n.settings.Zone, Region: n.settings.Region, Address: n.settings.Listen,
			Load: load.Load, Serving: load.Serving, Services: load.Services, Progress: load.Progress, Shards: load.Shards,
		}},
	}, nil
}
