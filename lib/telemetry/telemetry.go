// Package telemetry sets up structured logs and metrics.
package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"laburnumgw/lib/door"
	"laburnumgw/lib/drain"
)

// NewLogger returns a JSON logger at a level such as "info" that writes to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error: %w", level, err)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableCaller = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return logger, nil
}

// MetricsPort is the port on which processes on the users' platform serve /metrics. The
// deploy file names the same port.
const MetricsPort = 9464

// Handler serves the metrics of a set and of the process in the Prometheus text format.
func Handler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

const (
	// probeHeaderTimeout and probeWriteTimeout bound how long a client may take to send a request for metrics and to read the
	// response, and probeIdleTimeout how long it may wait with the next one. maxProbeHeader is what the server keeps of headers.
	probeHeaderTimeout = 5 * time.Second
	probeWriteTimeout  = 10 * time.Second
	probeIdleTimeout   = 5 * time.Minute
	maxProbeHeader     = 4 << 10
	// unreadBodyLinger is how long a connection stays open after the refusal of a body, so that its client gets to read it.
	unreadBodyLinger = 100 * time.Millisecond
)

// NewServer returns a server for probes and metrics, whose clients send short requests without a body.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: withoutBody(handler), ReadHeaderTimeout: probeHeaderTimeout, WriteTimeout: probeWriteTimeout, IdleTimeout: probeIdleTimeout,
		MaxHeaderBytes: maxProbeHeader,
	}
}

// withoutBody refuses requests with a body, which is not read.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		// The server reads on for a while; a connection without deadlines is closed already.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyLinger))
		http.Error(w, "send no body", http.StatusRequestEntityTooLarge)
	})
}

// ServeProbes serves probes and metrics on a listener, for a few clients at a time. It blocks until the server fails, and
// returns the error.
func ServeProbes(server *http.Server, listener net.Listener, onShed func(door.Reason)) error {
	bounded := drain.New(server, listener)
	bounded.BoundProbes(onShed)
	if err := bounded.Serve(); err != nil {
		return fmt.Errorf("serve on %s: %w", listener.Addr(), err)
	}
	return nil
}

// Serve serves the metrics of a set at /metrics on an address. It blocks until the server
// fails, and returns the error.
func Serve(address string, set *metrics.Set, log *zap.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", Handler(set))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on --metrics-listen %s: %w", address, err)
	}
	return ServeProbes(NewServer(mux), listener, Shed(set, log, "metrics"))
}

// shedLogInterval separates two lines about connections that were closed at one door.
const shedLogInterval = time.Second

// Shed returns a function that counts, and logs from time to time, what a door of the process ends for want of room.
func Shed(set *metrics.Set, log *zap.Logger, name string) func(door.Reason) {
	lines := rate.Sometimes{First: 1, Interval: shedLogInterval}
	return func(reason door.Reason) {
		set.GetOrCreateCounter(fmt.Sprintf("laburnumgw_door_shed_total{door=%q,reason=%q}", name, string(reason))).Inc()
		lines.Do(func() {
			log.Warn("no room for all clients", zap.String("door", name), zap.String("reason", string(reason)))
		})
	}
}
