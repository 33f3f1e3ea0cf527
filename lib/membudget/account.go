package membudget

import (
	"errors"
	"sync"
)

// ErrClosed is returned when memory is reserved for an account that was closed.
var ErrClosed = errors.New("account of memory is closed")

// Account holds memory of a budget for one request. Close returns what is left of it. It is safe for concurrent use.
type Account struct {
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// Open returns an account that holds nothing.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Reserve takes n bytes for a holding that has size bytes with them. An account may have several holdings.
func (a *Account) Reserve(n, size int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return ErrClosed
	}
	if err := a.budget.Reserve(n, size); err != nil {
		return err
	}
	a.held += n
	return nil
}

// Release returns n bytes. After Close there is nothing to return.
func (a *Account) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.held -= n
	a.budget.Release(n)
}

// Held returns the number of bytes that are held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Close returns all memory.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.budget.Release(a.held)
	a.held = 0
}
