package workerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an answer that is cut for a silence of its worker although the request must not be repeated: only
// the wait for its first byte was bounded, and the bound on reads stayed for the rest.
func TestBoundOnTheFirstByteDoesNotBoundTheRest(t *testing.T) {
	withEarlyPeer(t, func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 8\r\n\r\nhalf", request.Header.Get("Id"))
		<-time.After(3 * time.Second)
		fmt.Fprint(conn, "rest")
	}, func(t *testing.T, pool *Pool, _ *int) {
		request := &Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}},
			ResponseTimeout: func(waited time.Duration) time.Duration { return time.Second - waited },
		}
		response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Abort()
		if err := response.Await(nil, time.Now()); err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "halfrest" {
			t.Errorf("%q, %v", body, err)
		}
	})
}
