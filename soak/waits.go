package soak

import (
	"fmt"
	"slices"
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

// nearBound is the time before a bound of old weights in which beginnings are counted.
const nearBound = 3 * time.Second

// Bounds counts the beginnings shortly before the bounds of old weights.
type Bounds struct {
	// Began counts all of them and BeganOld those on old weights.
	Began, BeganOld int
	// Excused counts those on old weights that are not in BeganOld, or began after the bound, because their entry was not
	// in touch.
	Excused int
	// Last is when the last one on old weights began after its bound, negative before it.
	Last time.Duration
}

func (b Bounds) String() string {
	return fmt.Sprintf("%d beginnings in the last %s before a bound, %d of them on old weights, the last one at %+d ms, %d excused", b.Began, nearBound, b.BeganOld, b.Last.Milliseconds(), b.Excused)
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
// were acknowledged. A fault since then excuses it, and so does an entry that was not in touch when its request
// arrived at the worker. It counts the beginnings shortly before each bound.
func (r *run) checkVersions(violation func(format string, args ...any)) {
	counts := &r.result.Bounds
	for _, m := range r.fleet.ModelWorkers {
		for _, s := range m.Starts() {
			for _, named := range r.namings {
				late, isOld := s.At.Sub(named.at)-versionBound, named.version > s.Version
				if late <= 0 && late > -nearBound {
					counts.Began++
				}
				if !isOld {
					continue
				}
				if !r.inTouch(r.senders[s.ID], s.Arrived) {
					if late > -nearBound {
						counts.Excused++
					}
					continue
				}
				if late <= 0 && late > -nearBound {
					counts.BeganOld++
					counts.Last = max(counts.Last, late)
				}
				if late > 0 && r.faultFree(named.at, s.At) {
					counts.Last = max(counts.Last, late)
					violation("%s of %s began at %s on version %d, %s after the bound of version %d; it had arrived %s before, and the stand-ins did not run for %s of the %s before its beginning",
						s.ID, r.senders[s.ID], m.ID, s.Version, late, named.version, s.At.Sub(s.Arrived), r.stalls.within(s.At.Add(-versionBound), s.At), versionBound)
				}
			}
		}
	}
}

// inTouch reports whether an entry was in touch at a time.
func (r *run) inTouch(entry string, at time.Time) bool {
	return !slices.ContainsFunc(r.disturbed[entry], func(w window) bool {
		return !at.Before(w.from) && at.Before(w.to.Add(settleWindow))
	})
}
