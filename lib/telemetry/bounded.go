package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// bufferBytes bounds the log lines that wait to be written; a process writes about
	// 30 kB a second at its peak.
	bufferBytes = 256 << 10
	// flushInterval is the longest time that a line waits.
	flushInterval = 200 * time.Millisecond
	// DetailName is the name of loggers whose lines are dropped first.
	DetailName = "detail"
)

// Bounded is a logger that never blocks. Lines of loggers named DetailName are bounded in
// number, and dropped first while the output is slow; others only when the buffer is full.
type Bounded struct {
	*zap.Logger
	sink *sink
}

// NewBounded returns a JSON logger that writes to an output in batches, with at most a
// number of detail lines a second.
func NewBounded(level string, detailPerSecond float64, output io.Writer) (*Bounded, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error: %w", level, err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.NameKey = zapcore.OmitKey
	s := &sink{output: output, wake: make(chan struct{}, 1)}
	go s.run()
	core := &boundedCore{
		Core: zapcore.NewCore(zapcore.NewJSONEncoder(config), s, parsed), sink: s,
		detail: rate.NewLimiter(rate.Limit(detailPerSecond), max(1, int(detailPerSecond))),
	}
	return &Bounded{Logger: zap.New(core), sink: s}, nil
}

// Dropped returns the number of lines that were dropped.
func (b *Bounded) Dropped() uint64 { return b.sink.dropped.Load() }

// boundedCore drops detail lines.
type boundedCore struct {
	zapcore.Core
	sink   *sink
	detail *rate.Limiter
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), sink: c.sink, detail: c.detail}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.LoggerName == DetailName && (c.sink.busy() || !c.detail.Allow()) {
		c.sink.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// sink buffers lines and writes them in its own goroutine.
type sink struct {
	output  io.Writer
	dropped atomic.Uint64
	wake    chan struct{}

	mu      sync.Mutex
	pending []byte
	writing sync.Mutex
}

// busy reports whether half of the buffer is used.
func (s *sink) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > bufferBytes/2
}

// Write implements zapcore.WriteSyncer. It does not block on the output.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > bufferBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	if len(s.pending) == 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.pending = append(s.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it writes what waits.
func (s *sink) Sync() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	lines := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.output.Write(lines)
	return err
}

// run writes what waits after each flush interval in which lines came.
func (s *sink) run() {
	for range s.wake {
		time.Sleep(flushInterval)
		if err := s.Sync(); err != nil {
			s.dropped.Add(1)
		}
	}
}
