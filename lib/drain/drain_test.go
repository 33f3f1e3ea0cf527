package drain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"laburnumgw/lib/drain"
)

// Guards against a drain that waits for a request after its context has ended, and against a
// server that reports the closed listener as a failure.
func TestDrainWaitsForRequestsUntilItsContextEnds(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handling, release := make(chan struct{}), make(chan struct{})
	l := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(handling)
		<-release
		w.Header().Set("Connection", "close")
	})}, socket)
	served := make(chan error, 1)
	go func() { served <- l.Serve() }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-handling
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Drain(ended); !errors.Is(err, context.Canceled) {
		t.Errorf("drain with a request that runs: %v", err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: %v", err)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("request that ran at the end of the drain: %v", err)
	}
	response.Body.Close()
	if err := l.Drain(t.Context()); err != nil {
		t.Errorf("drain once more: %v", err)
	}
}
