package soak

import (
	"net"
	"testing"
)

// Guards against a run that does not start, as its address is in use for a moment by sockets of the run before.
func TestListenAwaitsItsAddress(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	address := other.Addr().String()
	if _, err := listen(address, func() {}); err == nil {
		t.Error("an address that stays in use was listened on")
	}
	listener, err := listen(address, func() { other.Close() })
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
}
