package main

import (
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"laburnumgw/endpoint"
	"laburnumgw/entry"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/settings"
	"laburnumgw/lib/telemetry"
	hosted "laburnumgw/platform"
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

func provideHostedLogger(o *hostedOptions) (*telemetry.Bounded, error) {
	return telemetry.NewBounded(o.LogLevel, o.LogDetail, os.Stdout)
}

// hostedConnectTimeout bounds the opening of a connection between processes on the
// users' platform, whose round trips take a few milliseconds.
const hostedConnectTimeout = 800 * time.Millisecond

// provideHostedPool returns connections to other processes on the users' platform. Idle
// connections are probed, since a broken one may deliver nothing without being reset.
func provideHostedPool() *rpc.Pool {
	pool := rpc.NewPlainPool()
	dialer := &net.Dialer{Timeout: hostedConnectTimeout, KeepAliveConfig: hosted.KeepAlive()}
	pool.UseDialer(dialer.DialContext)
	return pool
}

func provideHostedStore(s *hosted.Settings) *hosted.Store {
	return hosted.NewStore(s.Store)
}
