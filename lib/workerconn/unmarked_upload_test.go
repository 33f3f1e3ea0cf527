package workerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a response without length and chunks that a reset has cut, and that is taken as whole: the write of
// a long request took the error of the connection, so that the read found its end. One that ends in order is whole,
// although its worker has not read the request.
func TestResponseCutByAResetBesideAnUploadIsNotWhole(t *testing.T) {
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: make([]byte, 8<<20)}
	for name, end := range map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		"reset":              {reset, false},
		"closed, not read":   {func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) }, true},
		"closed and read on": {func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			worker := &tcpWorker{respond: func(conn *net.TCPConn, _ int, request *http.Request) bool {
				_, _ = io.CopyN(io.Discard, request.Body, 1<<20)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
				<-received
				end.end(conn)
				return false
			}}
			startTCPWorker(t, worker)
			for range 100 {
				response, _, err := tcpPool().Send(t.Context(), worker.address, request, matchesID("a"))
				if err != nil {
					t.Fatal(err)
				}
				buffer := make([]byte, len("half"))
				if _, err := io.ReadFull(response.Body, buffer); err != nil {
					t.Fatal(err)
				}
				received <- struct{}{}
				if _, err := io.ReadAll(response.Body); (err == nil) != end.whole {
					t.Errorf("error %v", err)
				}
				response.Abort()
			}
		})
	}
}
