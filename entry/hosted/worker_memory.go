package hosted

import (
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/quarantine"
	"laburnumgw/lib/routing"
	"laburnumgw/lib/workermemory"
)

// considerMemory has a large request go to workers that have room for it. The caller holds the lock.
func (c *call) considerMemory(query *routing.Request, now time.Time) {
	size, memory := int64(len(c.body)), c.service.memory
	query.HasRoom = nil
	if !memory.Matters(size, now) {
		return
	}
	query.HasRoom = func(vm string) bool {
		w := c.view.workers[vm]
		return w == nil || memory.HasRoom(workermemory.Start{Address: w.Address, StartedAtMs: w.StartedAtMs}, size, now)
	}
}

// heldByOthers implements workermemory.Others by the facts of the other entries. The caller holds the lock.
func (v *view) heldByOthers(start workermemory.Start, upTo int64) (told workermemory.Told) {
	if w := v.listedStart(quarantine.Start(start)); w != nil {
		told.All, told.Most, told.By = v.load.fleet.HeldByOthers(w.ID, w.StartedAtMs, upTo, time.Now())
	}
	_, isListed := v.entries[v.settings.VM]
	told.Shared = len(v.entries) > 1 || (len(v.entries) == 1 && !isListed)
	return told
}

// doubtClaim counts that another entry tells of more than a worker can hold, and logs it once for each entry. The caller holds the
// lock.
func (v *view) doubtClaim(start workermemory.Start, told workermemory.Told, bound int64) {
	v.metrics.claimsCut.Inc()
	if v.load.doubted[told.By] {
		return
	}
	v.load.doubted[told.By] = true
	v.log.Warn("another entry tells of more than a worker can hold; a part is believed", zap.String("entry", told.By),
		zap.String("address", start.Address), zap.Int64("told", told.Most), zap.Int64("bound", bound))
}

// memorySent counts the request at its worker. The caller holds the lock.
func (a *attempt) memorySent(now time.Time) {
	if size := int64(len(a.body)); size >= workermemory.CountedBytes {
		a.countedBytes = size
		a.service.memory.Sent(workermemory.Start(a.start()), size, now)
		// The other entries learn what this one has sent before a worker is full.
		a.view.load.inUse = a.view.load.inUse || size >= workermemory.LargeBytes
	}
}

// memoryResponds counts a response of a length that the worker holds until it is read. Short ones are read at once.
func (a *attempt) memoryResponds(length int64) {
	if length < workermemory.LargeBytes || length > maxBufferedBytes {
		return
	}
	a.view.mu.Lock()
	defer a.view.mu.Unlock()
	a.countedResponse = length
	a.service.memory.Sent(workermemory.Start(a.start()), length, time.Now())
}

// memoryEnded records the end of the request at its worker, and whether its connection was lost.
func (a *attempt) memoryEnded(lost bool) {
	if a.countedBytes+a.countedResponse == 0 {
		return
	}
	a.view.mu.Lock()
	defer a.view.mu.Unlock()
	ended := a.service.memory.Ended
	if lost {
		ended = a.service.memory.Lost
	}
	for _, size := range []int64{a.countedBytes, a.countedResponse} {
		ended(workermemory.Start(a.start()), size, time.Now())
	}
	a.countedBytes, a.countedResponse = 0, 0
}

// judgeCrash finds out whether a worker may have crashed for lack of memory, for which no request is to blame. The caller holds
// the lock.
func (v *view) judgeCrash(w *worker, start quarantine.Start) {
	state := v.services[w.Service]
	if state == nil {
		return
	}
	now := time.Now()
	verdict := state.memory.Crashed(workermemory.Start(start), now)
	if !verdict.Memory {
		return
	}
	v.metrics.memoryCrashes.Inc()
	excused := v.excuseCrash(start, verdict, now)
	v.log.Warn("worker has crashed for lack of memory", zap.String("vm", w.ID), zap.String("address", start.Address),
		zap.Int64("born", start.StartedAtMs), zap.Int64("held", verdict.Held), zap.Int64("largest", verdict.Largest),
		zap.Int64("survived", verdict.Survived), zap.Int64("bound", verdict.Bound), zap.Bool("excused", excused))
}

// excuseCrash excuses the requests of a crash if its cause is confirmed, and those of the earlier crashes that confirm it. The
// caller holds the lock.
func (v *view) excuseCrash(start quarantine.Start, verdict workermemory.Verdict, now time.Time) bool {
	excused := verdict.Stated
	for _, near := range verdict.Near {
		if earlier := quarantine.Start(near); v.quarantine.AreDisjoint(start, earlier) {
			v.quarantine.ExcuseForMemory(earlier, now)
			excused = true
		}
	}
	if excused {
		v.quarantine.ExcuseForMemory(start, now)
	}
	return excused
}

// isExcused reports whether a request with some names is not to blame for the crash of a start of a worker.
func (v *view) isExcused(start quarantine.Start, names []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine.IsExcused(start, names...)
}
