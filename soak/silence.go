package soak

import "time"

const (
	// minSilence and maxSilence bound how long a sound worker sends nothing. maxPlainSilence is
	// less than the timeout of plain routes. silencePause is the least time between two silences of
	// one worker.
	minSilence      = 600 * time.Millisecond
	maxSilence      = 1500 * time.Millisecond
	maxPlainSilence = time.Second
	silencePause    = 2 * time.Second
	// readTime is the time in which an entry has read a request that was sent whole.
	readTime = 200 * time.Millisecond
)

// silence makes sound workers send nothing for a second or so, in a series: up to half of them fall
// silent, and others before the first ones go on.
func (r *run) silence() {
	for after := time.Duration(0); after < maxSeriesTime; after += time.Duration(300+r.rng.IntN(700)) * time.Millisecond {
		start, lasts := time.Now().Add(after), minSilence+time.Duration(r.rng.Int64N(int64(maxSilence-minSilence)))
		workers := r.fleet.workers()
		r.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
		for _, m := range workers[:1+r.rng.IntN(len(workers)/2)] {
			if start.Sub(r.silencedAt[m.ID]) < maxSilence+silencePause {
				continue
			}
			r.silencedAt[m.ID] = start
			silence := lasts
			if m.Service != modelService {
				silence = min(silence, maxPlainSilence)
			}
			r.note("%s is silent for %s in %s", m.ID, silence, after)
			time.AfterFunc(after, func() { m.Silence(silence) })
		}
		if r.rng.IntN(3) == 0 {
			return
		}
	}
}

// checkAnswers reports the requests without a complete response that their entry had read, and those
// that ran more than once although no worker had failed. Outside faults there is no reason for
// either: workers that are silent, changes of the configuration and planned restarts are none.
func (r *run) checkAnswers(outcomes []Outcome, runs func(id string) int, violation func(format string, args ...any)) {
	for _, o := range outcomes {
		if o.Deadly || !r.faultFree(o.Sent, o.Ended) {
			continue
		}
		took, times := o.Ended.Sub(o.Sent), runs(o.ID)
		if o.Err != nil && !o.Expired && !r.refusedByRestart(o) && (times > 0 || took > readTime) {
			violation("%s at %s got no complete answer after %s, status %d, and ran %d times: %w", o.ID, o.Entry, took, o.Status, times, o.Err)
		}
		if times > 1 {
			violation("%s at %s ran %d times at sound workers", o.ID, o.Entry, times)
		}
	}
}
