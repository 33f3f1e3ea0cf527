package drain_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"laburnumgw/lib/drain"
)

// Guards against a drain that cancels a pipelined request, whose bytes the server had read together with the request
// before it: its connection was taken for an idle one.
func TestDrainCompletesAPipelinedRequest(t *testing.T) {
	const bare = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		// during is the request in which the drain starts.
		during int
	}{
		"with a body, amid the first": {request + body, 0}, "without a body, amid the first": {bare, 0},
		"with a body, amid the second": {request + body, 1}, "without a body, amid the second": {bare, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withDrain(t, 2*time.Second, func(t *testing.T, conn net.Conn, l *drain.Listener) {
				send(t, conn, c.text+c.text)
				reader := bufio.NewReader(conn)
				drained := make(chan error, 1)
				for i := range 2 {
					if i == c.during {
						<-time.After(time.Second)
						go func() { drained <- l.Drain(t.Context()) }()
						synctest.Wait()
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Fatalf("response %d: %v", i, err)
					}
					response.Body.Close()
				}
				conn.Close()
				if err := <-drained; err != nil {
					t.Errorf("drain: %v", err)
				}
			})
		})
	}
}
