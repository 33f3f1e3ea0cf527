//go:build wireinject

package main

//go:generate go tool wire

import (
	"github.com/google/wire"

	"laburnumgw/endpoint"
	hostedendpoint "laburnumgw/endpoint/hosted"
	"laburnumgw/entry"
	hostedentry "laburnumgw/entry/hosted"
	"laburnumgw/platform"
)

func initializeEntry(s *entry.Settings) (*entry.Process, error) {
	wire.Build(entryProcess, provideKeys, provideLogger, providePool, provideStore, entry.New)
	return nil, nil
}

func initializeEndpoint(s *endpoint.Settings) (*endpoint.Process, error) {
	wire.Build(endpointProcess, provideKeys, provideLogger, providePool, provideStore, endpoint.New)
	return nil, nil
}

func initializeHostedEntry(s *platform.Settings, o *hostedOptions) (*hostedentry.Process, error) {
	wire.Build(provideHostedLogger, provideHostedPool, provideHostedStore, hostedentry.New)
	return nil, nil
}

func initializeHostedEndpoint(s *platform.Settings, o *hostedOptions) (*hostedendpoint.Process, error) {
	wire.Build(provideHostedLogger, provideHostedPool, provideHostedStore, hostedendpoint.New)
	return nil, nil
}
