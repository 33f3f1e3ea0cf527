package hosted

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"laburnumgw/platform"
)

// Guards against a worker that is silent for longer than a poll waits, and is announced as crashed to the
// entries, which would then send it nothing until it starts again.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	silent := make(chan struct{})
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		if requests == 2 {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			return
		}
		fmt.Fprint(w, `{"born":5,"busy":false,"sequence":1,"models":[]}`)
	}))
	defer server.Close()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	set := metrics.NewSet()
	address := strings.TrimPrefix(server.URL, "http://")
	p := &Process{
		settings: &platform.Settings{Worker: address}, view: newView(&platform.Settings{}, zap.NewNop()), log: zap.NewNop(), socket: socket,
		worker: platform.NewWorker(address), crashes: set.NewCounter("crashes"), orders: set.NewCounter("orders"),
	}
	poll := func(reporting bool) {
		t.Helper()
		p.pollWorker(t.Context())
		if p.workerReporting != reporting || p.crashes.Get() != 0 || p.crashNotices != 0 {
			t.Errorf("poll %d: reporting %t, %d crashes, %d notices to send", requests, p.workerReporting, p.crashes.Get(), p.crashNotices)
		}
	}
	poll(true)
	poll(false)
	close(silent)
	poll(true)
	server.Close()
	p.pollWorker(t.Context())
	if p.crashes.Get() != 1 {
		t.Errorf("%d crashes once the machine refuses connections", p.crashes.Get())
	}
}
