package main

import (
	"go.uber.org/zap"

	"laburnumgw/endpoint"
	"laburnumgw/entry"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/settings"
	"laburnumgw/lib/telemetry"
)

func entryProcess(s *entry.Settings) *settings.Process { return &s.Process }

func endpointProcess(s *endpoint.Settings) *settings.Process { return &s.Process }

func provideKeys(p *settings.Process) (*mtls.Keys, error) {
	return mtls.LoadKeys(p.Files())
}

func provideLogger(p *settings.Process) (*zap.Logger, error) {
	return telemetry.NewLogger(p.LogLevel)
}

// providePool returns connections to entries and endpoint processes.
func providePool(keys *mtls.Keys) *rpc.Pool {
	return rpc.NewPool(keys, mtls.RoleEntry, mtls.RoleEndpoint)
}

func provideStore(p *settings.Process) platform.Store {
	return platform.NewClient(p.Platform)
}
