package loop

import (
	"context"
	"sync"
	"time"
)

// Machine lets several goroutines use one state machine that does no I/O. The machine
// gets the time as the duration since New. It is safe for concurrent use.
type Machine[M any] struct {
	started time.Time
	wake    chan struct{}

	mu    sync.Mutex
	state M
}

// New returns a guarded state machine.
func New[M any](state M) *Machine[M] {
	return &Machine[M]{started: time.Now(), wake: make(chan struct{}, 1), state: state}
}

// Use calls f with the state machine and the time. f must not block and must not call
// methods of the Machine.
func (m *Machine[M]) Use(f func(state M, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state, m.Now())
}

// Wake makes Run tick now.
func (m *Machine[M]) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Now returns the time that the state machine is given.
func (m *Machine[M]) Now() time.Duration { return time.Since(m.started) }

// Run calls tick until the context ends. tick calls Use, carries out what the state machine
// requests, and returns the time at which the next tick is due.
func (m *Machine[M]) Run(ctx context.Context, tick func() (due time.Duration)) {
	Run(ctx, m.wake, func() time.Duration { return tick() - m.Now() })
}

// Get calls a method of the state machine under the lock and returns its result.
func Get[M, V any](m *Machine[M], method func(M) V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	return method(m.state)
}
