package hosted

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// Memory is what a worker can hold. With the zero value it has no bound.
type Memory struct {
	// Bytes is how much the bodies of the requests that it runs may take before it crashes; zero for no bound.
	Bytes int64
	// UnreadTime is how long a response may stay unread before it is cut off; zero for no bound.
	UnreadTime time.Duration
	// OnCrash is called in a crash. It must end the connections of the worker, and call Recover later.
	OnCrash func()
}

// memoryState is what a worker holds, and how often that was too much.
type memoryState struct {
	Memory
	held            int64
	crashes, unread int
}

// SetMemory changes what the worker can hold.
func (w *Worker) SetMemory(m Memory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory.Memory = m
}

// MemoryCrashes returns how often the worker has crashed because it held too much.
func (w *Worker) MemoryCrashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.memory.crashes
}

// UnreadResponses returns the number of responses that the worker has cut off because they stayed unread.
func (w *Worker) UnreadResponses() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.memory.unread
}

// hold holds a body until release is called, also after a crash. It reports whether the worker has crashed on it.
func (w *Worker) hold(body []byte) (crashed bool) {
	w.mu.Lock()
	w.memory.held += int64(len(body))
	if w.memory.Bytes == 0 || w.memory.held <= w.memory.Bytes || w.crashed {
		defer w.mu.Unlock()
		return w.crashed
	}
	w.memory.crashes++
	w.crashed = true
	w.dropLayers()
	onCrash := w.memory.OnCrash
	w.mu.Unlock()
	onCrash()
	return true
}

// release ends hold.
func (w *Worker) release(body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory.held -= int64(len(body))
}

// boundUnread bounds the next write of a response, which ends its connection when it stays unread.
func (w *Worker) boundUnread(out http.ResponseWriter) {
	w.mu.Lock()
	unread := w.memory.UnreadTime
	w.mu.Unlock()
	if unread > 0 {
		// It fails only on a closed connection, on which a write fails by itself.
		_ = http.NewResponseController(out).SetWriteDeadline(time.Now().Add(unread))
	}
}

// countUnread counts a response whose write has failed since it stayed unread.
func (w *Worker) countUnread(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory.unread++
}
