// Package membudget bounds the memory that a process holds for its peers: bodies, heads and connections. It decides
// only who may hold how much; the bytes themselves are read and stored by its users.
//
// A part of the limit is kept for small holdings: the larger a holding gets, the more must stay free beside it. So those
// that need most are refused first, and among equals those that come last. Another part is kept for requests: workers, or
// callers that do not read, may have responses held for as long as their time allows.
package membudget

import (
	"fmt"
	"math"
	"runtime/debug"
	"sync"
)

const (
	// SmallBytes is the size up to which a holding may use all of the limit.
	SmallBytes = 64 << 10
	// largeBytes is the size from which on the whole reserve must stay free beside a holding, half of which must for
	// any that exceeds SmallBytes.
	largeBytes = 1 << 20
	// reserveShare is the part of the limit that large holdings leave free.
	reserveShare = 5
	// requestShare is the part of what large holdings may take that responses leave to requests.
	requestShare = 4
	// processShare is the part of the memory limit of a process that all it holds for others may take. The rest is for the
	// process itself, for garbage and for what the kernel has received.
	processShare = 0.45
	// defaultLimit is the bound of a process without a memory limit.
	defaultLimit = 64 << 20
	// runtimeShare is the part of the memory limit of a process up to which the Go runtime lets garbage accumulate.
	// The rest is for what the runtime does not count, such as the program itself and the buffers of the kernel.
	runtimeShare = 0.75
)

// Budget is a bound on memory. It is safe for concurrent use.
type Budget struct {
	limit, reserve int64
	// whole is the budget that this one is a part of, and responses its own part for responses; nil for none.
	whole, responses *Budget

	mu   sync.Mutex
	held int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{limit: limit, reserve: limit / reserveShare}
	b.responses = &Budget{limit: limit - (limit-b.reserve)/requestShare, reserve: b.reserve, whole: b}
	return b
}

// Responses returns the part that responses may take. What is reserved of it is reserved of the whole as well.
func (b *Budget) Responses() *Budget { return b.responses }

// ForProcess returns the budget of a process with a memory limit, zero for none.
func ForProcess(memoryMB int64) *Budget {
	if memoryMB <= 0 {
		return New(defaultLimit)
	}
	return New(int64(processShare * float64(memoryMB<<20)))
}

// ExceededError refuses memory.
type ExceededError struct {
	// Size is the size that the holding would have, of which Needed bytes are new.
	Size, Needed int64
	// Held is what is held of Limit, of which Kept bytes are kept for smaller holdings.
	Held, Limit, Kept int64
	// Responses is set when that is the part of responses.
	Responses bool
}

// Error implements error.
func (e *ExceededError) Error() string {
	kind := "requests"
	if e.Responses {
		kind = "responses"
	}
	return fmt.Sprintf("%d bytes need %d more of the memory for %s, of which %d of %d bytes are held and %d kept for smaller ones",
		e.Size, e.Needed, kind, e.Held, e.Limit, e.Kept)
}

// kept returns how much must stay free beside a holding of a size.
func (b *Budget) kept(size int64) int64 {
	if size <= SmallBytes {
		return 0
	}
	half := b.reserve / 2
	return half + int64(float64(b.reserve-half)*float64(min(size, largeBytes))/largeBytes)
}

// Reserve takes n bytes for a holding that has size bytes with them. It fails with an ExceededError.
func (b *Budget) Reserve(n, size int64) error {
	if n < 0 || size < n {
		panic(fmt.Sprintf("membudget: reserve %d of %d bytes", n, size))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.kept(size)
	if n > b.limit-kept-b.held {
		return &ExceededError{Size: size, Needed: n, Held: b.held, Limit: b.limit, Kept: kept, Responses: b.whole != nil}
	}
	if b.whole != nil {
		if err := b.whole.Reserve(n, size); err != nil {
			return err
		}
	}
	b.held += n
	return nil
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 || n > b.held {
		panic(fmt.Sprintf("membudget: release %d of %d bytes", n, b.held))
	}
	b.held -= n
	if b.whole != nil {
		b.whole.Release(n)
	}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the limit.
func (b *Budget) Limit() int64 { return b.limit }

// LimitRuntime tells the Go runtime about the memory limit of the process, so that it collects garbage more often before
// the process exceeds it. Zero means no limit.
func LimitRuntime(memoryMB int64) {
	if memoryMB > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memoryMB<<20)))
	}
}
