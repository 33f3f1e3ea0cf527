// Package laburnumgwv1 holds the messages and gRPC services between laburnumgw processes.
package laburnumgwv1

//go:generate protoc --go_out=../../.. --go_opt=module=laburnumgw --go-grpc_out=../../.. --go-grpc_opt=module=laburnumgw --proto_path=../../.. api/laburnumgw/v1/laburnumgw.proto api/laburnumgw/v1/mirror.proto api/laburnumgw/v1/where.proto
