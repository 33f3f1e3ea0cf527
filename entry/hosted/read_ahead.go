package hosted

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/membudget"
	"laburnumgw/lib/workerconn"
)

const (
	// writeStallTime is how long a write to a caller waits before the stream is read on beside it.
	writeStallTime = 100 * time.Millisecond
	// maxAheadBytes bounds what is read of one stream before its caller takes it, and aheadStep is how much memory is
	// reserved at a time.
	maxAheadBytes = 256 << 10
	aheadStep     = 8 << 10
	// maxTakenBytes bounds what is written to the caller at a time of what was read ahead, unless one event is larger.
	// Its place is free for more as soon as it is written.
	maxTakenBytes = 16 << 10
	// unreadPatience is how long a stream is left unread while there is no room for more of it and its caller takes
	// nothing. Workers cut off responses that remain unread for some seconds.
	unreadPatience = 1500 * time.Millisecond
	// handOverInterval is the pause between two checks whether the caller has caught up with a silent stream.
	handOverInterval = 100 * time.Millisecond
)

// errUnread ends a stream whose caller does not read it.
var errUnread = errors.New("caller does not read the stream")

// readAhead reads a stream on while its caller is slow to take it, so that the worker need not wait. It begins when a
// write takes long and ends when the caller has caught up.
type readAhead struct {
	s     *stream
	stall *time.Timer
	// end is how long the worker may be silent in any case; zero for no bound.
	end time.Duration

	mu      sync.Mutex
	changed sync.Cond
	// writing is set during a write to the caller, waiting while the caller has all that was read, and reading while another
	// goroutine reads the stream. handsOver is set when it ends because the caller waits.
	writing, waiting, reading, handsOver bool
	stopped, gaveUp                      bool
	// events were read and not taken, and err is what followed them.
	events []byte
	err    error
	// held is the memory that is reserved for events, and takenHeld for those that were taken last, at takenAt.
	held, takenHeld int64
	takenAt         time.Time
	// patience ends the wait for room, during which lacksRoom is set.
	patience  *time.Timer
	lacksRoom bool
}

func newReadAhead(s *stream) *readAhead {
	r := &readAhead{s: s}
	r.changed.L = &r.mu
	if s.a.route.Repeatable() {
		r.end = s.a.silenceEnd()
	}
	return r
}

// timeout returns how to wait for more of a stream that is read ahead; nil for no limit. Another worker is asked beside this
// one only while the caller waits, by the goroutine of the request.
func (r *readAhead) timeout() workerconn.TimeoutFunc {
	if r.end == 0 {
		return nil
	}
	return func(waited time.Duration) time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.handsOver = r.waiting && waited < r.end; r.handsOver {
			return 0
		}
		return min(r.end-waited, handOverInterval)
	}
}

// writeBegins is called before a write to the caller.
func (r *readAhead) writeBegins() {
	r.mu.Lock()
	r.writing = true
	r.mu.Unlock()
	if r.stall == nil {
		r.stall = time.AfterFunc(writeStallTime, r.writeStalled)
	} else {
		r.stall.Reset(writeStallTime)
	}
}

// writeEnded is called after a write to the caller.
func (r *readAhead) writeEnded() {
	r.stall.Stop()
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
}

// writeStalled reads the stream until the caller has caught up, or nothing more can be read.
func (r *readAhead) writeStalled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.reading || r.stopped || r.err != nil {
		return
	}
	r.reading = true
	defer r.readingEnds()
	r.s.a.metrics.slowCallers.Inc()
	r.s.detach()
	r.s.a.readsAhead.Store(true)
	for timeout, goOn := r.timeout(), true; goOn && r.awaitRoom(); {
		events, ended, err := r.nextEvents(timeout)
		if r.handsOver && errors.Is(err, workerconn.ErrUnresponsive) {
			break
		}
		r.events, r.err = append(r.events, events...), err
		goOn = !ended && err == nil && !r.waiting
		r.changed.Broadcast()
	}
}

// nextEvents reads the stream. The caller holds the lock, which is free meanwhile.
func (r *readAhead) nextEvents(timeout workerconn.TimeoutFunc) (events []byte, ended bool, err error) {
	r.mu.Unlock()
	defer r.mu.Lock()
	return r.s.nextEvents(timeout)
}

// readingEnds is deferred by the goroutine that reads ahead. If that panics, the stream counts as cut off after what was
// read: no handler is behind it that would answer the request. The caller holds the lock.
func (r *readAhead) readingEnds() {
	a := r.s.a
	if cause := recover(); cause != nil {
		a.metrics.panics.Inc()
		a.log.Error("reading ahead panicked", zap.String("request", a.in.ID), zap.Any("panic", cause), zap.Stack("stack"))
		r.err = fmt.Errorf("%w: %w: %v", errTruncated, errAttemptPanicked, cause)
	}
	a.readsAhead.Store(false)
	r.reading = false
	r.changed.Broadcast()
}

// awaitRoom waits until there is room for more events, and reports whether to read on. A stream whose caller waits needs
// none. The caller of the method holds the lock.
func (r *readAhead) awaitRoom() bool {
	hasRoom := r.reserve()
	r.lacksRoom = !hasRoom
	if r.lacksRoom {
		r.patience = time.AfterFunc(unreadPatience, r.giveUp)
		defer r.patience.Stop()
	}
	for !hasRoom && !r.stopped && !r.gaveUp && !r.waiting {
		r.changed.Wait()
		hasRoom = r.reserve()
	}
	r.lacksRoom = false
	return hasRoom && !r.stopped && !r.gaveUp
}

// reserve reserves memory for one more read. The caller holds the lock.
func (r *readAhead) reserve() bool {
	size := int64(len(r.events))
	if size >= maxAheadBytes {
		return false
	}
	if size+streamBufferBytes <= r.held {
		return true
	}
	more := size + aheadStep - r.held
	a := r.s.a
	if a.unread.Fits(a.party(), more) != nil || a.heldResponses.Reserve(more, r.held+more) != nil {
		return false
	}
	a.unread.Add(a.party(), more)
	r.held += more
	return true
}

// giveUp ends a stream for which there is no room, and the write to its caller, unless it has taken something lately.
func (r *readAhead) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || !r.lacksRoom {
		return
	}
	if wait := time.Until(r.takenAt.Add(unreadPatience)); wait > 0 {
		r.patience.Reset(wait)
		return
	}
	r.gaveUp = true
	a := r.s.a
	a.metrics.unreadStreams.Inc()
	a.log.Info("stream given up, its caller does not read", zap.String("request", a.in.ID), zap.String("workspace", a.workspaceName()),
		zap.String("vm", a.decision.VM), zap.Int("unread", len(r.events)))
	// It fails only on a closed connection, on which a write ends by itself.
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now())
	r.changed.Broadcast()
}

// next returns what was read ahead, and then reads on.
func (r *readAhead) next(timeout workerconn.TimeoutFunc) (piece, error) {
	r.mu.Lock()
	r.waiting = true
	if r.reading {
		r.changed.Broadcast()
	}
	for r.reading && len(r.events) == 0 && !r.gaveUp {
		r.changed.Wait()
	}
	r.waiting = false
	r.release(&r.takenHeld)
	switch {
	case r.gaveUp:
		defer r.mu.Unlock()
		return piece{}, fmt.Errorf("%w: %w", errCallerDisconnected, errUnread)
	case len(r.events) > 0:
		defer r.mu.Unlock()
		return piece{events: r.take()}, nil
	case r.err != nil:
		defer r.mu.Unlock()
		return piece{}, r.err
	}
	r.release(&r.held)
	r.mu.Unlock()
	return r.s.next(timeout)
}

// take returns the first of the events, and keeps their memory until the next call of next. The caller holds the lock.
func (r *readAhead) take() []byte {
	taken := len(r.events)
	if taken > maxTakenBytes {
		if taken = lastEventEnd(r.events[:maxTakenBytes]); taken == 0 {
			taken = firstEventEnd(r.events)
		}
	}
	events := r.events[:taken:taken]
	r.events, r.takenHeld, r.takenAt = r.events[taken:], min(int64(taken), r.held), time.Now()
	if len(r.events) == 0 {
		r.events, r.takenHeld = nil, r.held
	}
	r.held -= r.takenHeld
	r.changed.Broadcast()
	return events
}

// release returns memory. The caller holds the lock.
func (r *readAhead) release(held *int64) {
	if *held == 0 {
		return
	}
	r.s.a.unread.Add(r.s.a.party(), -*held)
	r.s.a.heldResponses.Release(*held)
	*held = 0
}

// explain adds why a write failed.
func (r *readAhead) explain(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gaveUp {
		return fmt.Errorf("%w: %w", errUnread, err)
	}
	return err
}

// stop ends the reading, and returns when nothing reads the stream any more.
func (r *readAhead) stop() {
	if r.stall != nil {
		r.stall.Stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.changed.Broadcast()
	if r.reading {
		r.s.response.Abort()
	}
	for r.reading {
		r.changed.Wait()
	}
	r.release(&r.held)
	r.release(&r.takenHeld)
}

// detach leaves the events that were returned last to their user.
func (s *stream) detach() {
	s.pending, s.consumed = append(make([]byte, 0, membudget.FirstBytes), s.pending[s.consumed:]...), 0
}
