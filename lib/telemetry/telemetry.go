// Package telemetry sets up structured logs and metrics.
package telemetry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
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

// readHeaderTimeout bounds how long a client may take to send the headers of a request for
// metrics, and maxHeaderBytes what the server keeps of them.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// NewServer returns a server for probes and metrics, whose clients send short requests.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Serve serves the metrics of a set at /metrics on an address. It blocks until the server
// fails, and returns the error.
func Serve(address string, set *metrics.Set) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", Handler(set))
	server := NewServer(mux)
	server.Addr = address
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("listen on --metrics-listen %s: %w", address, err)
	}
	return nil
}
