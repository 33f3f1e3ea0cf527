//go:build wireinject

package main

//go:generate go tool wire

import (
	"github.com/google/wire"

	"laburnumgw/endpoint"
	"laburnumgw/entry"
)

func initializeEntry(s *entry.Settings) (*entry.Process, error) {
	wire.Build(entryProcess, provideKeys, provideLogger, providePool, provideStore, entry.New)
	return nil, nil
}

func initializeEndpoint(s *endpoint.Settings) (*endpoint.Process, error) {
	wire.Build(endpointProcess, provideKeys, provideLogger, providePool, provideStore, endpoint.New)
	return nil, nil
}
