package hosted

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"laburnumgw/platform"
)

// Guards against a worker that is silent for longer than a poll waits, and is announced as crashed to the
// entries, which would then send it nothing until it starts again.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	silent := make(chan struct{})
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			return
		}
		fmt.Fprint(w, `{"born":5,"busy":false,"sequence":1,"models":[]}`)
	}))
	defer server.Close()
	p := newPolledProcess(t, strings.TrimPrefix(server.URL, "http://"))
	poll := func(reporting bool) {
		t.Helper()
		p.pollWorker(t.Context())
		if p.workerReporting != reporting || p.crashes.Get() != 0 || p.crashNotices != 0 {
			t.Errorf("poll %d: reporting %t, %d crashes, %d notices to send", requests.Load(), p.workerReporting, p.crashes.Get(), p.crashNotices)
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

// Guards against a worker that is silent for longer than a poll waits and crashes then, of which the entries are not told: they
// would send what it crashed on to other workers.
func TestCrashAfterASilenceIsAnnounced(t *testing.T) {
	for name, returns := range map[string]bool{"its machine refuses connections": false, "it is back before the next poll": true} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch requests.Add(1) {
				case 1:
					fmt.Fprint(w, `{"born":5,"busy":false,"sequence":1,"models":[]}`)
				case 2:
					<-r.Context().Done()
				default:
					fmt.Fprint(w, `{"born":6,"busy":false,"sequence":0,"models":[]}`)
				}
			}))
			defer server.Close()
			p := newPolledProcess(t, strings.TrimPrefix(server.URL, "http://"))
			p.pollWorker(t.Context())
			p.pollWorker(t.Context())
			if crashes := p.crashes.Get(); crashes != 0 {
				t.Errorf("%d crashes while the worker is silent", crashes)
			}
			if !returns {
				server.Close()
			}
			p.pollWorker(t.Context())
			if crashes := p.crashes.Get(); crashes != 1 {
				t.Errorf("%d crashes", crashes)
			}
			p.pollWorker(t.Context())
			if crashes := p.crashes.Get(); crashes != 1 {
				t.Errorf("%d crashes after one more poll", crashes)
			}
		})
	}
}

// newPolledProcess returns a process beside the worker of an address that can poll it.
func newPolledProcess(t *testing.T, address string) *Process {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	set := metrics.NewSet()
	return &Process{
		settings: &platform.Settings{Worker: address}, view: newView(&platform.Settings{}, zap.NewNop()), log: zap.NewNop(), socket: socket,
		worker: platform.NewWorker(address), stager: newStager(platform.NewWorker(address), set, zap.NewNop()), crashes: set.NewCounter("crashes"), orders: set.NewCounter("orders"),
	}
}
