package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// slowOutput blocks writes until released is closed.
type slowOutput struct {
	mu       sync.Mutex
	written  bytes.Buffer
	released chan struct{}
}

func (o *slowOutput) Write(p []byte) (int, error) {
	<-o.released
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

// Guards against requests that block on a slow log output, and against losing the lines of
// refusals and failures because detail lines fill the buffer.
func TestLogNeverBlocksAndKeepsWhatMatters(t *testing.T) {
	output := &slowOutput{released: make(chan struct{})}
	log, err := NewBounded("info", 1e6, output)
	if err != nil {
		t.Fatal(err)
	}
	detail := log.Named(DetailName)
	filler := strings.Repeat("x", 500)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3000 {
			detail.Info("endpoint chosen", zap.String("filler", filler))
		}
		for range 100 {
			log.Warn("request refused")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocked on its output")
	}
	if log.Dropped() == 0 {
		t.Error("Dropped() = 0 after more detail lines than the buffer holds")
	}
	close(output.released)
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	output.mu.Lock()
	defer output.mu.Unlock()
	if kept := strings.Count(output.written.String(), "request refused"); kept != 100 {
		t.Errorf("%d of 100 refusals are in the log", kept)
	}
	if strings.Contains(output.written.String(), DetailName) {
		t.Error("lines contain the name of their logger")
	}
}

// Guards against a log whose size grows with the request rate.
func TestDetailLinesAreBounded(t *testing.T) {
	output := &slowOutput{released: make(chan struct{})}
	close(output.released)
	log, err := NewBounded("info", 10, output)
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		log.Named(DetailName).Info("endpoint chosen")
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	output.mu.Lock()
	defer output.mu.Unlock()
	const burst = 10
	if lines := strings.Count(output.written.String(), "endpoint chosen"); lines < burst || lines > 2*burst {
		t.Errorf("%d detail lines were written, want one to two bursts", lines)
	}
}
