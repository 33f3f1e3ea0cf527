package workerconn

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// tcpWorker answers requests on TCP connections, on which a close and a reset differ.
type tcpWorker struct {
	address string
	// respond writes the response to a request; the first one of a connection is number 1. It returns
	// false to end the connection.
	respond func(conn *net.TCPConn, number int, request *http.Request) bool
}

func startTCPWorker(t *testing.T, w *tcpWorker) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	w.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn.(*net.TCPConn))
		}
	}()
}

func (w *tcpWorker) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil || !w.respond(conn, number, request) {
			return
		}
	}
}

// reset has the connection end with a reset instead of an orderly close.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // it fails only on a closed connection
}

func tcpPool() *Pool {
	return NewPool(5*time.Second, net.KeepAliveConfig{Enable: false})
}
