package mirror

import (
	"time"

	"go.uber.org/zap"
)

// servedByNeighbours reports whether neighbours make calls of the store unnecessary. One that was made
// before and fails later says nothing about the source of the copies. The caller holds the lock.
func (d *Driver) servedByNeighbours() bool {
	return d.neighboursServing && d.preferredSource() == NeighboursFirst
}

// trackOutage runs a change of a kind, and logs the begin or the end of an outage if the change has made
// it. The cause is that of a failure, if there is one. The caller holds the lock.
func (d *Driver) trackOutage(name string, kind *Kind, now time.Time, cause error, change func()) {
	wasFailing, failedAt := kind.failing, kind.failedAt
	change()
	switch {
	case !wasFailing && kind.failing:
		d.config.Log.Warn("store does not answer; the mirrored state stays in force", zap.String("kind", name),
			zap.String("revision", FormatRevision(kind.Revision())), zap.Error(cause))
	case wasFailing && !kind.failing:
		d.config.Log.Info("source of the mirror regained", zap.String("kind", name), zap.Duration("outage", now.Sub(failedAt)),
			zap.String("revision", FormatRevision(kind.Revision())), zap.Duration("since_failure", now.Sub(kind.lastFailure)),
			zap.Duration("grace", max(0, kind.graceEnds.Sub(now))))
	}
}
