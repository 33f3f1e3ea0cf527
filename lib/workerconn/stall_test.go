package workerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a worker that is given up for the silence of the entry itself: after a pause of the process, the time to
// wait had passed before the bytes that were there already were read.
func TestBytesThatWaitAfterAStallAreRead(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 6\r\n\r\n", "abcdef"
	for name, parts := range map[string][2]string{"first byte": {"", head + body}, "rest": {head + body[:3], body[3:]}} {
		for _, arrives := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", arrives: ", arrives), func(t *testing.T) {
				withPeer(t, func(conn net.Conn, _ int, _ *http.Request) {
					fmt.Fprint(conn, parts[0])
					<-time.After(2 * time.Second)
					if arrives {
						fmt.Fprint(conn, parts[1])
					}
					<-time.After(time.Minute)
				}, func(t *testing.T, pool *Pool, _ *peer) {
					stalled := false
					// The process stands still after the first wait, for longer than it waits for the worker.
					timeout := func(waited time.Duration) time.Duration {
						if waited >= time.Second && !stalled {
							stalled = true
							<-time.After(3 * time.Second)
						}
						if stalled {
							return 0
						}
						return time.Second
					}
					request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, ResponseTimeout: timeout, RemainderTimeout: timeout}
					response, _, err := pool.Send(t.Context(), "worker", request, matchesID("a"))
					var got []byte
					if err == nil {
						got, err = io.ReadAll(response.Body)
						response.Abort()
					}
					if arrives && (err != nil || string(got) != body) {
						t.Errorf("%q, %v", got, err)
					}
					if !arrives && err == nil {
						t.Errorf("%q", got)
					}
					<-time.After(2 * time.Minute)
				})
			})
		}
	}
}
