package soak

import (
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// maxStartWait bounds how long requests wait at a model worker before they begin. It is less than the
	// patience of entries for a worker that sends nothing, so that none is repeated and runs twice.
	maxStartWait = 1100 * time.Millisecond
	// minWaitTime and maxWaitTime bound for how long a model worker keeps requests waiting. It spans
	// most of a change of versions.
	minWaitTime = 2 * time.Second
	maxWaitTime = 10 * time.Second
)

// naming is when a version of the weights was acknowledged.
type naming struct {
	version int
	at      time.Time
}

// keepWaiting has up to half of the model workers keep requests waiting from some time on, as workers under
// load do. Some of them run what was closed meanwhile. None of them is silent as well, which would outlast the
// patience of entries.
func (r *run) keepWaiting(after time.Duration) {
	workers := r.fleet.ModelWorkers
	for range 1 + r.rng.IntN(max(len(workers)/2, 1)) {
		m, from := pick(r.rng, workers), time.Now().Add(after)
		if from.Sub(r.silencedAt[m.ID]) < r.maxSilence()+silencePause {
			continue
		}
		waits := hosted.Waits{Lasts: time.Duration(r.rng.Int64N(int64(maxStartWait))), RunsClosed: r.rng.IntN(2) == 0}
		lasts := minWaitTime + time.Duration(r.rng.Int64N(int64(maxWaitTime-minWaitTime)))
		r.note("%s keeps requests waiting in %s for %s: %+v", m.ID, after, lasts, waits)
		r.silencedAt[m.ID] = from.Add(lasts)
		time.AfterFunc(after, func() { m.SetWaits(waits) })
		time.AfterFunc(after+lasts, func() { m.SetWaits(hosted.Waits{RunsClosed: waits.RunsClosed}) })
	}
}

// checkVersions reports the requests that began on older weights later than versionBound after newer ones
// were acknowledged. A fault since then excuses it.
func (r *run) checkVersions(violation func(format string, args ...any)) {
	for _, m := range r.fleet.ModelWorkers {
		for _, s := range m.Starts() {
			for _, named := range r.namings {
				if late := s.At.Sub(named.at) - versionBound; named.version > s.Version && late > 0 && r.faultFree(named.at, s.At) {
					violation("%s began at %s on version %d, %s after the bound of version %d", s.ID, m.ID, s.Version, late, named.version)
				}
			}
		}
	}
}
