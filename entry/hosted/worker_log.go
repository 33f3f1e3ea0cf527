package hosted

import (
	"context"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/dispatch"
	"laburnumgw/lib/mirror"
	"laburnumgw/lib/telemetry"
)

// workerLogInterval is how long changes of workers are collected for one line.
const workerLogInterval = time.Second

// workerChanges are what an entry has learned about workers since its last line on them. All entries of a deployment
// learn the same, so that the one that reads the store names the workers and the others log sums.
type workerChanges struct {
	changed  []changedWorker
	gone     []string
	proven   int
	revision int64
}

// changedWorker is a change of a worker in a line.
type changedWorker struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Weights int    `json:"weights"`
	Leaving bool   `json:"leaving,omitempty"`
}

// detailLog logs what the sums leave out. The caller holds the lock.
func (v *view) detailLog() *zap.Logger { return v.log.Named(telemetry.DetailName) }

// logWorkerChanges logs at intervals what was learned about workers, until the context ends.
func (v *view) logWorkerChanges(ctx context.Context) {
	for dispatch.Sleep(ctx, workerLogInterval) {
		v.flushWorkerChanges()
	}
}

// flushWorkerChanges logs what was learned about workers since the last time.
func (v *view) flushWorkerChanges() {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.unlogged
	v.unlogged = workerChanges{}
	if len(l.changed) == 0 && len(l.gone) == 0 && l.proven == 0 {
		return
	}
	fields := []zap.Field{zap.Int("changed", len(l.changed)), zap.Int("gone", len(l.gone)), zap.Int("proven", l.proven),
		zap.String("revision", mirror.FormatRevision(l.revision))}
	if v.tree().Source() == mirror.StoreFirst {
		fields = append(fields, zap.Any("workers", l.changed), zap.Strings("gone_workers", l.gone))
	}
	v.log.Info("workers changed", fields...)
}
