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

// Use calls f with the state machine and the time. F must not block and must not call
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

// Run ticks until the context ends. Tick calls Use, does what the state machine wants
// done, and returns the time at which the next tick is due.
func (m *Machine[M]) Run(ctx context.Context, tick func() (due time.Duration)) {
	Run(ctx, m.wake, func() time.Duration { return tick() - m.Now() })
}

// Get returns what a method of the state machine returns.
func Get[M, V any](m *Machine[M], method func(M) V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	return method(m.state)
}
