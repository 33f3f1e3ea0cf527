package hosted

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"laburnumgw/lib/rollout"
	"laburnumgw/lib/rpc"
	"laburnumgw/platform"
)

// silence keeps a worker from answering anything for a while, from the first call on that begins it.
type silence struct {
	worker http.Handler
	begins func(*http.Request) bool
	// drops is set if the call that begins the silence is lost.
	drops bool

	mu     sync.Mutex
	until  time.Time
	orders int
}

const silenceLength = 1300 * time.Millisecond // longer than any call to a worker waits

func (s *silence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if strings.HasSuffix(r.URL.Path, "order") {
		s.orders++
	}
	isFirst := s.until.IsZero() && s.begins(r)
	if isFirst {
		s.until = time.Now().Add(silenceLength)
	}
	left := time.Until(s.until)
	s.mu.Unlock()
	if left > 0 {
		time.Sleep(left)
	}
	if isFirst && s.drops {
		panic(http.ErrAbortHandler)
	}
	s.worker.ServeHTTP(w, r)
}

// Guards against an order that runs twice, or never, and against weights that are loaded before they are whole,
// because the worker did not answer an order or a chunk for a while.
func TestSilentWorkerLoadsItsWeightsOnce(t *testing.T) {
	order := func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "order") }
	chunk := func(r *http.Request) bool {
		return r.Method == http.MethodPut && r.URL.Query().Get("item_count") == "3"
	}
	for name, silent := range map[string]*silence{
		"an order is executed when the silence ends": {begins: order},
		"an order is lost":                           {begins: order, drops: true},
		"a chunk is staged when the silence ends":    {begins: chunk},
		"a chunk is lost":                            {begins: chunk, drops: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			silent.worker = s.worker
			server := httptest.NewServer(silent)
			t.Cleanup(server.Close)
			socket, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { socket.Close() })
			address := strings.TrimPrefix(server.URL, "http://")
			s.view.settings.Worker = address
			set := metrics.NewSet()
			worker := platform.NewWorker(address)
			p := &Process{
				settings: s.view.settings, view: s.view, log: zap.NewNop(), socket: socket, worker: worker,
				library: newLibrary(s.view, worker, rpc.NewPlainPool(), metrics.NewSet(), zap.NewNop()),
				stager:  newStager(worker, set, zap.NewNop()), provenLoads: set.NewCounter("proven"), unprovenLoads: set.NewCounter("unproven"),
				metrics: set, crashes: set.NewCounter("crashes"), orders: set.NewCounter("orders"), rolloutSettings: rollout.DefaultSettings(time.Minute),
			}
			opened, err := p.library.open(t.Context(), "m", 1)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(opened.distribution.Stop)
			<-opened.distribution.Completed()
			p.targets = []*target{{version: opened}}
			for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && (p.report.Weights.Version != 1 || p.switching); {
				p.pollWorker(t.Context())
				p.decide(t.Context())
			}
			if err := s.worker.Err(); err != nil {
				t.Error(err)
			}
			silent.mu.Lock()
			defer silent.mu.Unlock()
			if p.report.Weights.Version != 1 || p.report.Sequence != 1 || p.switching {
				t.Errorf("%d orders sent, %d executed, version %d, switching %t", silent.orders, p.report.Sequence, p.report.Weights.Version, p.switching)
			}
			if silent.until.IsZero() {
				t.Error("the worker was never silent")
			}
		})
	}
}
