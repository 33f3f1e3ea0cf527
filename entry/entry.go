package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/door"
	"laburnumgw/lib/drain"
	"laburnumgw/lib/membudget"
	"laburnumgw/lib/mtls"
	"laburnumgw/lib/platform"
	"laburnumgw/lib/retry"
	"laburnumgw/lib/rpc"
	"laburnumgw/lib/telemetry"
)

const (
	// readHeaderTimeout bounds how long a caller may take to send the headers, and maxHeaderBytes how long they may be.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// refusalWriteTimeout bounds how long a caller may take to read a response, unless its deadline is later.
	refusalWriteTimeout = 5 * time.Second
	// writeGrace is added to the deadline for sending the response.
	writeGrace = 5 * time.Second
)

// connBytes is what a connection of a caller takes at least.
const connBytes = 12 << 10

// Process is a running entry.
type Process struct {
	settings *Settings
	control  *control
	frontend *frontend
	grpc     *grpc.Server
	conns    *rpc.Pool
	log      *zap.Logger
}

// New assembles an entry.
func New(s *Settings, keys *mtls.Keys, conns *rpc.Pool, store platform.Store, log *zap.Logger) (*Process, error) {
	metrics := newEntryMetrics()
	r, err := newRoutes(s, metrics, log)
	if err != nil {
		return nil, err
	}
	d := newDispatcher(r, conns, metrics, log)
	c := newControl(s, conns, store, r, d, metrics, log)
	memory := membudget.ForProcess(s.MemoryMB)
	metrics.set.NewGauge("laburnumgw_entry_memory_held_bytes", func() float64 { return float64(memory.Held()) })
	metrics.set.NewGauge("laburnumgw_entry_memory_limit_bytes", func() float64 { return float64(memory.Limit()) })
	return &Process{
		settings: s, control: c, frontend: newFrontend(c, d, memory, metrics, log),
		grpc: newGRPCServer(keys, c, r, log), conns: conns, log: log,
	}, nil
}

func newDispatcher(r *routes, conns *rpc.Pool, metrics *entryMetrics, log *zap.Logger) *dispatcher {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	budget := retry.NewBudget(retry.BudgetSettings{})
	return &dispatcher{
		routes: r, conns: conns, metrics: metrics, log: log,
		loop:     dispatch.NewLoop(retry.NewPlanner(retry.Settings{}, budget, rng), budget),
		attempts: make(map[string]map[*runningAttempt]struct{}),
	}
}

// Run serves until the context ends, then stops gracefully: it fails the health check
// and announces to the other processes that it leaves, accepts requests for LeaveWait
// longer, and waits at most StopTimeout for the running requests.
func (p *Process) Run(ctx context.Context) error {
	grpcListener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen on --listen %s: %w", p.settings.Listen, err)
	}
	httpListener, err := net.Listen("tcp", p.settings.HTTPListen)
	if err != nil {
		return fmt.Errorf("listen on --http-listen %s: %w", p.settings.HTTPListen, err)
	}
	sockets, err := door.OwnSockets()
	if err != nil {
		return err
	}
	metrics := p.frontend.metrics
	httpServer := drain.New(&http.Server{
		Handler: p.frontend.handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, WriteTimeout: refusalWriteTimeout,
	}, httpListener)
	httpServer.BoundMemory(p.frontend.memory, connBytes)
	httpServer.BoundConns(door.Callers(sockets), telemetry.Shed(metrics.set, p.log, "callers"))
	p.frontend.endLateBody = httpServer.EndLateBody
	metrics.set.NewGauge(`laburnumgw_door_connections{door="callers"}`, func() float64 { return float64(httpServer.Conns()) })
	serveErrors := make(chan error, 3)
	go func() {
		serveErrors <- p.grpc.Serve(rpc.BoundTLS(grpcListener, door.Peers(sockets), telemetry.Shed(metrics.set, p.log, "peers")))
	}()
	go func() {
		if err := httpServer.Serve(); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- fmt.Errorf("serve on --http-listen %s: %w", p.settings.HTTPListen, err)
		}
	}()
	if p.settings.Metrics != "" {
		go func() {
			if err := telemetry.Serve(p.settings.Metrics, metrics.set, p.log); err != nil {
				serveErrors <- err
			}
		}()
	}
	controlCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		p.control.run(controlCtx)
		close(done)
	}()
	p.log.Info("entry started", zap.String("vm", p.settings.VM), zap.String("zone", p.settings.Zone),
		zap.String("listen", p.settings.Listen), zap.String("http", p.settings.HTTPListen))
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
	}
	err = p.stop(httpServer)
	cancel()
	<-done
	p.conns.Close()
	p.log.Info("entry stopped", zap.Error(err))
	return err
}

func (p *Process) stop(httpServer *drain.Listener) error {
	p.log.Info("entry is leaving", zap.Duration("leave_wait", p.settings.LeaveWait))
	schedule := p.settings.stopSchedule(time.Now())
	p.frontend.shutdown.Begin(schedule)
	p.control.members.leave()
	time.Sleep(p.settings.LeaveWait)
	p.frontend.shutdown.Drain()
	httpServer.EndAt(schedule.RequestsEnd, schedule.ResponsesEnd)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ProcessEnd)
	defer cancel()
	err := httpServer.Drain(ctx)
	p.grpc.Stop()
	if err != nil {
		return fmt.Errorf("requests are still running after %s: %w", p.settings.StopTimeout, err)
	}
	return nil
}
