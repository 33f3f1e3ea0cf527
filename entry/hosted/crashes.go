package hosted

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/retry"
)

const (
	// crashWait is how long a lost request waits to learn whether its worker has crashed. The
	// process beside the worker notices within its report interval.
	crashWait = 400 * time.Millisecond
	// crashedTime is how long a start of a worker that has crashed gets no requests. The platform
	// removes its entry within 3.6 s.
	crashedTime = 10 * time.Second
	// crashCheckInterval is the pause between two checks whether a worker accepts connections again
	// that is taken for crashed and has no process beside it that would report.
	crashCheckInterval = time.Second
)

// workerCrashed records that a start of a worker has ended without notice.
func (v *view) workerCrashed(start quarantine.Start, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.hasLeft(start) {
		return
	}
	w := v.listedStart(start)
	v.markCrash(w, start)
	if v.quarantine.Crashed(start, w.Zone, time.Now()) {
		v.log.Warn("worker has crashed", zap.String("vm", w.ID), zap.String("address", start.Address), zap.Int64("born", start.StartedAtMs),
			zap.String("told_by", from))
		v.wakeQuarantine()
	}
}

// markCrash keeps requests from a start of a worker that has crashed. The caller holds the lock.
func (v *view) markCrash(w *worker, start quarantine.Start) {
	if w.crashed {
		return
	}
	w.crashed = true
	v.updateRouting(w)
	time.AfterFunc(crashedTime, func() { v.forgetCrash(start) })
	if state := v.services[w.Service]; state != nil && state.config.Engine == nil {
		time.AfterFunc(crashCheckInterval, func() { v.checkCrashAgain(start) })
	}
}

// markCrashed keeps requests from the workers of crashes of which another entry has told. The
// caller holds the lock.
func (v *view) markCrashed(crashes []quarantine.Crash) {
	for _, c := range crashes {
		if c.Age < crashedTime && !v.hasLeft(c.Start) {
			v.markCrash(v.listedStart(c.Start), c.Start)
		}
	}
}

// leaving reports whether a start of a worker has left, or is leaving.
func (v *view) leaving(start quarantine.Start) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasLeft(start)
}

// hasLeft is leaving for callers that hold the lock.
func (v *view) hasLeft(start quarantine.Start) bool {
	w := v.listedStart(start)
	return w == nil || w.Leaving || v.departures.Contains(w.ID, w.StartedAtMs)
}

// forgetCrash lets a start of a worker get requests again that is still listed long after its
// crash.
func (v *view) forgetCrash(start quarantine.Start) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.listedStart(start); w != nil && w.crashed {
		w.crashed = false
		v.updateRouting(w)
	}
}

// checkCrashAgain lets a start of a worker get requests again once its machine accepts connections:
// it may have been taken for crashed wrongly.
func (v *view) checkCrashAgain(start quarantine.Start) {
	v.mu.Lock()
	w := v.listedStart(start)
	ended := w == nil || !w.crashed
	v.mu.Unlock()
	switch {
	case ended:
	case v.connect(context.Background(), start.Address) == nil:
		v.forgetCrash(start)
	default:
		time.AfterFunc(crashCheckInterval, func() { v.checkCrashAgain(start) })
	}
}

// connect opens a connection to an address and closes it.
func (v *view) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, crashWait)
	defer cancel()
	return v.checkConnection(ctx, address)
}

// checkCrash finds out whether a worker without a process beside it has crashed, after a request to
// it lost its connection.
func (v *view) checkCrash(start quarantine.Start) {
	v.mu.Lock()
	known := v.checking[start] || v.hasLeft(start) || v.quarantine.HasCrashed(start)
	if !known {
		v.checking[start] = true
	}
	v.mu.Unlock()
	if known {
		return
	}
	err := v.connect(context.Background(), start.Address)
	v.mu.Lock()
	delete(v.checking, start)
	v.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		v.workerCrashed(start, "its machine")
	}
}

// listedStart returns the listed worker of a start, or nil. The caller holds the lock.
func (v *view) listedStart(start quarantine.Start) *worker {
	for _, w := range v.byAddress[start.Address] {
		if w.StartedAtMs == start.StartedAtMs {
			return w
		}
	}
	return nil
}

// lostConnection reports whether an attempt ended because the worker's end of the connection was
// closed.
func lostConnection(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, io.ErrClosedPipe} {
		if errors.Is(err, cause) {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

// recordCrash records what an attempt that has ended tells about a crash of its worker, and
// returns whether the request may have caused it.
func (c *call) recordCrash(ctx context.Context, ended retry.Attempt) bool {
	start := quarantine.Start{Address: c.trackedAddress, StartedAtMs: c.trackedWorker}
	if !ended.Sent && errors.Is(ended.Err, syscall.ECONNREFUSED) {
		c.view.workerCrashed(start, "its machine")
	}
	if !c.endedBeforeResponse(ended) || !lostConnection(ended.Err) {
		return false
	}
	if c.engine == nil {
		go c.view.checkCrash(start)
	}
	if len(c.in.PromptParts) == 0 {
		return false
	}
	c.view.requestLost(start, c.in.PromptParts, c.workspaceName())
	return c.mayHaveCrashed(ctx, start)
}

// requestLost records a request whose connection ended before it began to write.
func (v *view) requestLost(start quarantine.Start, parts []string, workspace string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quarantine.Lost(start, parts, workspace, time.Now())
	v.wakeQuarantine()
}

// mayHaveCrashed reports whether a lost request may have crashed its worker. Unless requests with
// each of its parts have begun lately, it waits until it is known what happened to the worker.
func (c *call) mayHaveCrashed(ctx context.Context, start quarantine.Start) bool {
	lostAt := time.Now()
	for waited := time.Duration(0); ; waited += partsStep {
		cleared, crashed, alive := c.view.suspicionOf(start, c.in.PromptParts, lostAt)
		switch {
		case cleared, alive:
			return false
		case crashed:
			return true
		case waited >= crashWait || !dispatch.Sleep(ctx, partsStep):
			return false
		}
	}
}

// suspicionOf returns whether the parts of a lost request are cleared, and whether its worker is
// known to have crashed, or to have reported since the request was lost.
func (v *view) suspicionOf(start quarantine.Start, parts []string, lostAt time.Time) (cleared, crashed, alive bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.listedStart(start)
	alive = w != nil && w.report.StartedAtMs == w.StartedAtMs && w.reportedAt.After(lostAt)
	return v.quarantine.Cleared(parts, time.Now()), v.quarantine.HasCrashed(start), alive
}
