package soak

import (
	"cmp"
	"time"

	"laburnumgw/standin/hosted"
)

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
	// patience is less than entries wait for a worker of a stream that sends nothing before they ask another one as
	// well, since requests take some time to reach it. It outlasts maxSilence and the gap between two events.
	// eventTimeout is how long callers of streams wait for the next event.
	patience     = 1600 * time.Millisecond
	eventTimeout = 2400 * time.Millisecond
)

// maxSilence returns how long a sound model worker may be silent.
func (r *run) maxSilence() time.Duration { return cmp.Or(r.fleet.SilenceMax, maxSilence) }

// silence makes sound workers send nothing for a second or so, in a series: up to half of them fall
// silent, and others before the first ones go on.
func (r *run) silence() {
	for after := time.Duration(0); after < maxSeriesTime; after += time.Duration(300+r.rng.IntN(700)) * time.Millisecond {
		start, lasts := time.Now().Add(after), minSilence+time.Duration(r.rng.Int64N(int64(r.maxSilence()-minSilence)))
		workers := r.fleet.workers()
		r.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
		for _, m := range workers[:1+r.rng.IntN(len(workers)/2)] {
			if start.Sub(r.silencedAt[m.ID]) < r.maxSilence()+silencePause {
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

// collectPauses sets the pauses of all streams.
func (r *run) collectPauses() {
	r.pauses = make(map[string]hosted.Pause)
	for _, m := range r.fleet.ModelWorkers {
		for id, p := range m.Pauses() {
			r.result.Silent = max(r.result.Silent, p.Observed)
			if other, ran := r.pauses[id]; ran {
				p = hosted.Pause{Observed: max(p.Observed, other.Observed), Meant: min(p.Meant, other.Meant)}
			}
			r.pauses[id] = p
		}
	}
}

// outlastsPatience reports whether longer silences are drawn and a pause was longer than the patience.
func (r *run) outlastsPatience(p hosted.Pause) bool {
	return r.fleet.SilenceMax > 0 && p.Observed > patience
}

// checkAnswers reports the requests without a complete response that their entry had read, and those
// that ran more than once although no worker had failed. Outside faults there is no reason for
// either: workers that are silent, changes of the configuration and planned restarts are none. Where longer
// silences are drawn, a stream may run twice if its worker paused for longer than the patience, and end without its
// last event if no worker that ran it goes on while callers wait, or if its time is over because of the pause. A stream that
// was given up before it began, at the bound of the weights of its worker, may run twice as well.
func (r *run) checkAnswers(outcomes []Outcome, runs func(id string) int, violation func(format string, args ...any)) {
	for _, o := range outcomes {
		if o.Deadly || !r.faultFree(o.Sent, o.Ended) {
			continue
		}
		took, times, pause := o.Ended.Sub(o.Sent), runs(o.ID), r.pauses[o.ID]
		excused := r.fleet.SilenceMax > 0 && (pause.Meant > eventTimeout || (pause.Observed > patience && took >= minChatTimeout))
		if o.Err != nil && !o.Expired && !excused && !r.refusedByRestart(o) && (times > 0 || took > readTime) {
			violation("%s at %s got no complete answer after %s, status %d, and ran %d times: %w", o.ID, o.Entry, took, o.Status, times, o.Err)
		}
		if times > 1 {
			r.result.Repeated++
		}
		if times > 2 || (times == 2 && !r.outlastsPatience(pause) && !r.givenUpAtBound(o)) {
			violation("%s at %s ran %d times at sound workers, which paused for %s", o.ID, o.Entry, times, pause.Observed)
		}
	}
}
