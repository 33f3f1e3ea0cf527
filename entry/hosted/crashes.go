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

// crashChecks are the checks whether workers accept connections.
type crashChecks struct {
	// connect opens a connection to a worker and closes it.
	connect func(ctx context.Context, address string) error
	// running holds the starts that are being checked after a lost request, with the channels that are closed
	// at the end.
	running map[quarantine.Start]chan struct{}
}

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
		v.judgeCrash(w, start)
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
			w := v.listedStart(c.Start)
			v.markCrash(w, c.Start)
			v.judgeCrash(w, c.Start)
		}
	}
}

// listing returns how a start of a worker is listed: "listed", "leaving" or "unlisted".
func (v *view) listing(start quarantine.Start, vm string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch w := v.listedStart(start); {
	case v.departures.Contains(vm, start.StartedAtMs), w != nil && w.Leaving:
		return "leaving"
	case w == nil:
		return "unlisted"
	}
	return "listed"
}

// hasLeft reports whether a start of a worker has left, or is leaving. The caller holds the lock.
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
	return v.checks.connect(ctx, address)
}

// checkCrash finds out whether a worker without a process beside it has crashed, after a request to
// it lost its connection. It does not wait longer than the context.
func (v *view) checkCrash(ctx context.Context, start quarantine.Start) bool {
	v.mu.Lock()
	crashed, checking := v.quarantine.HasCrashed(start), v.checks.running[start]
	if crashed || v.hasLeft(start) {
		v.mu.Unlock()
		return crashed
	}
	if checking == nil {
		checking = make(chan struct{})
		v.checks.running[start] = checking
		go v.runCrashCheck(start, checking)
	}
	v.mu.Unlock()
	select {
	case <-checking:
	case <-ctx.Done():
	}
	return v.hasCrashed(start)
}

// runCrashCheck is a check of checkCrash.
func (v *view) runCrashCheck(start quarantine.Start, checked chan struct{}) {
	if errors.Is(v.connect(context.Background(), start.Address), syscall.ECONNREFUSED) {
		v.workerCrashed(start, "its machine")
	}
	v.mu.Lock()
	delete(v.checks.running, start)
	v.mu.Unlock()
	close(checked)
}

// hasCrashed reports whether a start of a worker is known to have crashed.
func (v *view) hasCrashed(start quarantine.Start) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine.HasCrashed(start)
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
func (a *attempt) recordCrash(ended retry.Attempt) bool {
	start := a.start()
	if !ended.Sent && errors.Is(ended.Err, syscall.ECONNREFUSED) {
		a.view.workerCrashed(start, "its machine")
	}
	if !a.endedBeforeResponse(ended) || !lostConnection(ended.Err) {
		return false
	}
	a.view.requestLost(start, a.names(), a.workspaceName())
	if a.engine != nil {
		return a.mayHaveCrashed(a.ctx, start)
	}
	if cleared, _, _ := a.suspicion(start, time.Now()); cleared || !a.route.Repeatable() {
		go a.view.checkCrash(context.Background(), start)
		return false
	}
	return a.view.checkCrash(a.ctx, start) && !a.view.isExcused(start, a.names())
}

// requestLost records a request whose connection ended before it had begun.
func (v *view) requestLost(start quarantine.Start, names []string, workspace string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quarantine.Lost(start, names, workspace, time.Now())
	v.wakeQuarantine()
}

// mayHaveCrashed reports whether a request that was lost at a model worker may have crashed it. Unless
// the request is cleared, it waits until it is known what happened to the worker.
func (c *call) mayHaveCrashed(ctx context.Context, start quarantine.Start) bool {
	lostAt := time.Now()
	for waited := time.Duration(0); ; waited += partsStep {
		cleared, crashed, alive := c.suspicion(start, lostAt)
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

// suspicion returns whether the lost request is cleared, and whether its worker is known to have
// crashed, or to have reported since the request was lost. A request is cleared when requests with each of
// the parts of its prompt have begun lately, and the whole request was not lost in another crash, or has
// begun lately.
func (c *call) suspicion(start quarantine.Start, lostAt time.Time) (cleared, crashed, alive bool) {
	name, v := c.requestName(), c.view
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.listedStart(start)
	alive = w != nil && w.report.StartedAtMs == w.StartedAtMs && w.reportedAt.After(lostAt)
	now := time.Now()
	cleared = v.quarantine.IsExcused(start, c.names()...) || v.quarantine.Cleared(c.in.PromptParts, now) &&
		(!v.quarantine.SuspectedElsewhere(start, name) || v.quarantine.Cleared([]string{name}, now))
	return cleared, v.quarantine.HasCrashed(start), alive
}
