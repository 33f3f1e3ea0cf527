package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/configstore"
	"laburnumgw/lib/configsync/driver"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/rpc"
)

// nodeTimeout bounds one call to a process.
const nodeTimeout = 5 * time.Second

// NodeOptions holds the address of an entry or endpoint process and the key files of the
// operator.
type NodeOptions struct {
	Entry   string `long:"entry" env:"LABURNUMCTL_ENTRY" description:"IP:port of an entry or an endpoint process"`
	TLSCert string `long:"tls-cert" env:"LABURNUMCTL_TLS_CERT" description:"file with the operator's certificate"`
	TLSKey  string `long:"tls-key" env:"LABURNUMCTL_TLS_KEY" description:"file with the operator's private key"`
	TLSCA   string `long:"tls-ca" env:"LABURNUMCTL_TLS_CA" description:"file with the authority's certificate"`
}

// check returns an error that names the missing flags. The parser doesn't require them,
// because explain needs none of them when it reads logs.
func (o *NodeOptions) check() error {
	var missing []string
	for _, flag := range []struct{ name, value string }{
		{"--entry", o.Entry}, {"--tls-ca", o.TLSCA}, {"--tls-cert", o.TLSCert}, {"--tls-key", o.TLSKey},
	} {
		if flag.value == "" {
			missing = append(missing, flag.name)
		}
	}
	if len(missing) > 0 {
		return &usageError{text: "set " + strings.Join(missing, ", ")}
	}
	return nil
}

// call runs a function with a client of the process at --entry.
func (o *NodeOptions) call(run func(ctx context.Context, client laburnumgwv1.NodeClient) error) error {
	pool, err := o.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	conn, err := pool.Conn(o.Entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), nodeTimeout)
	defer cancel()
	if err := run(ctx, laburnumgwv1.NewNodeClient(conn)); err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check --entry, the keys and that the process runs", "call to %s failed", o.Entry)
	}
	return nil
}

// pool returns the connections of an operator to processes.
func (o *NodeOptions) pool() (*rpc.Pool, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	keys, err := mtls.LoadKeys(mtls.Files{Cert: o.TLSCert, Key: o.TLSKey, CA: o.TLSCA})
	if err != nil {
		return nil, err
	}
	return rpc.NewPool(keys, mtls.RoleEntry, mtls.RoleEndpoint), nil
}

func (o *NodeOptions) status() (*laburnumgwv1.StatusResponse, error) {
	var status *laburnumgwv1.StatusResponse
	err := o.call(func(ctx context.Context, client laburnumgwv1.NodeClient) error {
		var err error
		status, err = client.Status(ctx, &laburnumgwv1.StatusRequest{})
		return err
	})
	return status, err
}

// endpointLine is the line of one endpoint in the output of `status endpoints`.
type endpointLine struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	State    string `json:"state"`
	InFlight int32  `json:"in_flight"`
	Queued   int32  `json:"queued"`
	Limit    int32  `json:"limit"`
	Serving  string `json:"serving"`
	Progress string `json:"progress"`
	Config   uint64 `json:"config_generation"`
}

func endpointLines(status *laburnumgwv1.StatusResponse) []endpointLine {
	lines := make([]endpointLine, 0, len(status.GetEndpoints()))
	for _, e := range status.GetEndpoints() {
		lines = append(lines, endpointLine{
			VM: e.GetVm(), Zone: e.GetZone(), Region: e.GetRegion(), State: stateOf(e.GetLoad()),
			InFlight: e.GetLoad().GetInFlight(), Queued: e.GetLoad().GetQueued(), Limit: e.GetLoad().GetLimit(),
			Serving: servingOf(e), Progress: progressOf(e), Config: e.GetConfigGeneration(),
		})
	}
	return lines
}

// stateOf returns the value of the STATE column.
func stateOf(load *laburnumgwv1.Load) string {
	switch {
	case load.GetLeaving():
		return "leaving"
	case load.GetCold():
		return "cold"
	default:
		return "warm"
	}
}

// shortDigestLength is the number of digits of a digest in tables.
const shortDigestLength = 12

func shortDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }

// servingOf returns the services and model versions that an endpoint serves.
func servingOf(e *laburnumgwv1.ReportRequest) string {
	parts := append([]string{}, e.GetServices()...)
	for model, digest := range e.GetServing() {
		parts = append(parts, model+"@"+shortDigest(digest))
	}
	return strings.Join(parts, ",")
}

// progressOf returns the number of chunks that an endpoint holds of each version.
func progressOf(e *laburnumgwv1.ReportRequest) string {
	var parts []string
	for _, p := range e.GetProgress() {
		parts = append(parts, fmt.Sprintf("%s@%s %d/%d", p.GetModel(), shortDigest(p.GetVersionDigest()), p.GetChunksHave(), p.GetChunksTotal()))
	}
	return strings.Join(parts, ",")
}

// push delivers the configuration that the platform has accepted to one process and returns
// the generation that the process has in force afterwards. It never creates a generation.
func (o *NodeOptions) push(ctx context.Context, client *configstore.Client) (uint64, error) {
	bundle, err := client.Read(ctx, nil)
	if err != nil {
		return 0, err
	}
	message := bundle.Proto()
	message.Digest = driver.Digest(message)
	var generation uint64
	err = o.call(func(ctx context.Context, node laburnumgwv1.NodeClient) error {
		response, err := node.PushConfig(ctx, message)
		generation = response.GetConfigGeneration()
		return err
	})
	return generation, err
}
