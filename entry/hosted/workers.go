package hosted

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/catalog"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/senders"
	"laburnumgw/lib/startwait"
	"laburnumgw/lib/workermemory"
	"laburnumgw/lib/workorder"
	"laburnumgw/platform"
)

// worker is a listed worker with its last report.
type worker struct {
	catalog.Worker
	report     catalog.Report
	reportedAt time.Time
	// reportSequence orders the reports of one incarnation of the worker.
	reportSequence uint64
	limit          workerLimit
	// misdirected is set when a request to the worker was refused as misdirected, until the entry
	// in the list changes, or the worker reports other weights than misdirectedVersion, which the request expected.
	misdirected        bool
	misdirectedVersion int
	// crashed is set when this start of the worker has crashed, until another start is listed, the
	// worker reports on, or crashedTime has passed.
	crashed bool
	// listedProof and reportedProof name weights that are known to be whole, by the worker's entry in the list and by the
	// process beside the worker. unproven names the start and the number of orders of weights that are not, of
	// which earlier proofs do not hold any more.
	listedProof   catalog.Proven
	reportedProof catalog.Proven
	unproven      catalog.Proven
	// share is this entry's share of the rate that the worker can handle. shareValid is cleared
	// when it must be computed again.
	share      senders.Share
	shareValid bool
	// waits are the waits of the requests that this entry has sent to this start of the worker.
	waits startwait.Estimator
	// load is the source of the worker's load for the routing, and waiting holds the requests of this entry that wait at
	// this start of the worker. ignoredFigures are those of the load that it stated out of range.
	load           *workerLoad
	waiting        workorder.Queue
	ignoredFigures platform.LoadFigures
}

func (v *view) workerChanged(change mirror.Change) {
	id := change.Object.Name
	known := v.workers[id]
	decoded, err := platform.DecodeWorker(id, change.Object.Value)
	if change.Deleted || err != nil {
		if !change.Deleted {
			v.metrics.objectsIgnored(platform.KindWorkers).Inc()
			v.log.Warn("worker entry ignored", zap.String("vm", id), zap.String("revision", mirror.FormatRevision(change.Object.Revision)), zap.Error(err))
		}
		if known != nil {
			v.removeWorker(known, change.Object.Revision)
		}
		return
	}
	if known != nil && known.Service != decoded.Service {
		v.removeWorker(known, change.Object.Revision)
		known = nil
	}
	isNew := known == nil
	if isNew {
		known = &worker{}
		v.workers[id] = known
	}
	wasLeaving, wasVersion := known.Leaving, known.Weights.Version
	if known.StartedAtMs != decoded.StartedAtMs {
		if state := v.services[known.Service]; state != nil {
			state.memory.Forget(workermemory.Start{Address: known.Address, StartedAtMs: known.StartedAtMs})
		}
		known.crashed = false
		known.waits = startwait.Estimator{}
		known.waiting, known.ignoredFigures = workorder.Queue{}, 0
	}
	v.unindex(known)
	known.Worker = decoded
	known.misdirected = false
	if proof := platform.DecodeProven(change.Object.Status); proof.Version > 0 && proof != known.listedProof {
		known.listedProof = proof
		v.logProof(known, proof, "the list of workers")
	}
	known.shareValid = false
	known.limit.shareValid = false
	v.byAddress[known.Address] = append(v.byAddress[known.Address], known)
	if isNew || wasLeaving != decoded.Leaving || wasVersion != decoded.Weights.Version {
		v.unlogged.changed = append(v.unlogged.changed, changedWorker{id, decoded.Service, decoded.Zone, decoded.Weights.Version, decoded.Leaving})
		v.unlogged.revision = max(v.unlogged.revision, change.Object.Revision)
		// A version changes all workers at once, which must not displace lines on what is in force.
		v.detailLog().Debug("worker changed", zap.String("vm", id), zap.String("service", decoded.Service), zap.String("zone", decoded.Zone),
			zap.Bool("leaving", decoded.Leaving), zap.Int("weights", decoded.Weights.Version), zap.String("revision", mirror.FormatRevision(change.Object.Revision)))
	}
	for _, w := range v.byAddress[known.Address] {
		v.updateRouting(w)
	}
}

func (v *view) removeWorker(known *worker, revision int64) {
	delete(v.workers, known.ID)
	v.load.fleet.Forget(known.ID)
	v.metrics.set.UnregisterMetric(limitedAttemptsName(known.ID))
	v.unindex(known)
	if state := v.services[known.Service]; state != nil {
		state.table.Remove(known.ID)
		state.memory.Forget(workermemory.Start{Address: known.Address, StartedAtMs: known.StartedAtMs})
	}
	for _, w := range v.byAddress[known.Address] {
		v.updateRouting(w)
	}
	v.unlogged.gone = append(v.unlogged.gone, known.ID)
	v.unlogged.revision = max(v.unlogged.revision, revision)
	v.detailLog().Debug("worker is gone", zap.String("vm", known.ID), zap.String("service", known.Service), zap.String("revision", mirror.FormatRevision(revision)))
}

// unindex removes a worker from the index of addresses.
func (v *view) unindex(known *worker) {
	others := slices.DeleteFunc(v.byAddress[known.Address], func(w *worker) bool { return w == known })
	if len(others) == 0 {
		delete(v.byAddress, known.Address)
		return
	}
	v.byAddress[known.Address] = others
}

// reporting reports whether the endpoint process of a worker has sent a report recently.
func (v *view) reporting(vm string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.workers[vm]
	return w != nil && w.report.StartedAtMs == w.StartedAtMs && time.Since(w.reportedAt) < aliveReportAge
}

// reportAge returns the age of a worker's last report, zero when there was none. The
// caller holds the lock.
func (v *view) reportAge(vm string) time.Duration {
	if w := v.workers[vm]; w != nil && !w.reportedAt.IsZero() {
		return time.Since(w.reportedAt)
	}
	return 0
}

// markMisdirected records that a request to a worker was refused as misdirected: another worker
// is at its address, or it has other weights than expected. Weights that are known by now to have changed
// explain the refusal.
func (v *view) markMisdirected(vm string, expected int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.log.Warn("worker refused the request as misdirected", zap.String("vm", vm), zap.Int("expected_weights", expected))
	w := v.workers[vm]
	if w == nil || (expected > 0 && w.currentWeights(time.Now()).Version != expected) {
		return
	}
	w.misdirected, w.misdirectedVersion = true, expected
	v.updateRouting(w)
}

// replaced reports whether the entry of a worker in the list is outdated: the worker has crashed, a
// request was refused as misdirected, or another worker, or a later incarnation of the same one, has taken the
// address. The caller holds the lock.
func (v *view) replaced(w *worker) bool {
	if w.misdirected || w.crashed || w.report.StartedAtMs > w.StartedAtMs {
		return true
	}
	return slices.ContainsFunc(v.byAddress[w.Address], func(other *worker) bool { return other.StartedAtMs > w.StartedAtMs })
}

// switchoverAt returns when a worker will be ordered to load other weights, or the zero time
// without a plan or a recent report.
func (w *worker) switchoverAt(now time.Time) time.Time {
	if w.report.SwitchoverIn == 0 || !w.hasReport(now) {
		return time.Time{}
	}
	return w.reportedAt.Add(w.report.SwitchoverIn)
}

// hasReport reports whether the worker's last report is of its listed start and not stale.
func (w *worker) hasReport(now time.Time) bool {
	return w.report.StartedAtMs == w.StartedAtMs && now.Sub(w.reportedAt) < reportStaleness
}

// applyProof applies what the process beside a worker reports about the proof of the worker's weights. The caller holds the lock.
func (v *view) applyProof(w *worker, report catalog.Report) {
	proof := catalog.Proven{StartedAtMs: report.StartedAtMs, Sequence: report.Sequence, Version: report.ProvenVersion}
	switch {
	case proof.Version > 0 && proof != w.reportedProof:
		w.reportedProof = proof
		v.logProof(w, proof, "the process beside the worker")
	case report.Unproven:
		if w.unproven != proof {
			v.log.Warn("weights are not known to be whole", zap.String("vm", w.ID), zap.Int("version", report.Weights.Version), zap.Int("orders", proof.Sequence))
		}
		w.unproven = proof
	}
}

func (v *view) logProof(w *worker, proof catalog.Proven, source string) {
	v.unlogged.proven++
	v.detailLog().Debug("weights are known to be whole", zap.String("vm", w.ID), zap.Int("version", proof.Version), zap.Int64("born", proof.StartedAtMs),
		zap.Int("orders", proof.Sequence), zap.String("from", source))
}

// isProven reports whether weights of the listed start are known to be whole.
func (w *worker) isProven(weights catalog.Weights) bool {
	for _, proof := range []catalog.Proven{w.reportedProof, w.listedProof} {
		isRevoked := w.unproven.Sequence > 0 && w.unproven.StartedAtMs == proof.StartedAtMs && w.unproven.Sequence >= proof.Sequence
		if proof.StartedAtMs == w.StartedAtMs && proof.Version == weights.Version && weights.Version > 0 && !isRevoked {
			return true
		}
	}
	return false
}

// currentWeights returns the weights of the worker as they are known.
func (w *worker) currentWeights(now time.Time) catalog.Weights {
	if w.hasReport(now) {
		return w.report.Weights
	}
	return w.Weights
}

func (v *view) describeEngine(w *worker, engine *catalog.Engine, report *laburnumgwv1.ReportRequest, now time.Time) {
	weights := w.currentWeights(now)
	if w.hasReport(now) {
		report.Load.InFlight = int32(w.report.Running)
		report.Load.Queued = int32(w.report.Queued)
		if w.report.Busy {
			report.Load.Limit = 0
		}
	}
	if weights.Complete(engine.Layers) && weights.Version >= v.requiredVersion(engine.Model, now) && w.isProven(weights) {
		report.Serving = map[string]string{w.Service: strconv.Itoa(weights.Version)}
	}
}
