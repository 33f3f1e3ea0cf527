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
	// bufferBytes bounds the buffered log lines. A process writes about 30 kB a second at
	// peak load.
	bufferBytes = 256 << 10
	// flushInterval is how long lines are collected before they are written. It bounds the
	// delay of a line while the output is fast enough.
	flushInterval = 200 * time.Millisecond
	// DetailName is the name of the loggers whose lines are rate-limited and dropped first.
	DetailName = "detail"
)

// Bounded is a logger that never blocks on its output. Lines of loggers named DetailName are
// limited in rate, and are dropped while more than half of the buffer is used. Other lines
// are dropped only when the buffer is full.
type Bounded struct {
	*zap.Logger
	sink *sink
}

// NewBounded returns a JSON logger that writes to output in batches. Lines of loggers named
// DetailName are limited to detailPerSecond, with bursts of one second's worth.
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
		detailLimit: rate.NewLimiter(rate.Limit(detailPerSecond), max(1, int(detailPerSecond))),
	}
	return &Bounded{Logger: zap.New(core), sink: s}, nil
}

// Dropped returns the number of dropped lines. A failed write of a batch counts as one line.
func (b *Bounded) Dropped() uint64 { return b.sink.dropped.Load() }

// boundedCore drops detail lines that exceed the rate limit, or all of them while the sink is
// backlogged.
type boundedCore struct {
	zapcore.Core
	sink        *sink
	detailLimit *rate.Limiter
}

// With implements zapcore.Core.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	return &boundedCore{Core: c.Core.With(fields), sink: c.sink, detailLimit: c.detailLimit}
}

// Check implements zapcore.Core.
func (c *boundedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.LoggerName == DetailName && (c.sink.backlogged() || !c.detailLimit.Allow()) {
		c.sink.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// sink buffers lines and writes them to the output in its own goroutine.
type sink struct {
	output  io.Writer
	dropped atomic.Uint64
	// wake holds a value when lines were added to an empty buffer.
	wake chan struct{}

	// mu guards pending.
	mu      sync.Mutex
	pending []byte
	// writeMu serializes writes to the output.
	writeMu sync.Mutex
}

// backlogged reports whether more than half of the buffer is used.
func (s *sink) backlogged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > bufferBytes/2
}

// Write implements zapcore.WriteSyncer. It does not block on the output: it drops the line if
// the buffer is full.
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

// Sync implements zapcore.WriteSyncer. It writes the buffered lines to the output.
func (s *sink) Sync() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
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

// run waits for lines, collects more for flushInterval, and writes them to the output.
func (s *sink) run() {
	for range s.wake {
		time.Sleep(flushInterval)
		if err := s.Sync(); err != nil {
			s.dropped.Add(1)
		}
	}
}
