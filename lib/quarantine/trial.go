package quarantine

import "time"

const (
	// MaxTrials is the number of blocked requests that are let through to find out
	// whether they still crash workers. The block ends when all of them have survived.
	MaxTrials = 2
	// firstTrialAfter is the time from when this process learned of a block to its first trial.
	// Each further trial is trialBackoff times as far from the one before.
	firstTrialAfter = time.Hour
	trialBackoff    = 4
)

// trial is what an entry knows about the trials of a block.
type trial struct {
	used   int
	nextAt time.Time
}

// RecordTrials records how many trials of a block were made.
func (t *Tracker) RecordTrials(name string, used int, now time.Time) {
	known := t.trials[name]
	if known == nil {
		known = &trial{used: used, nextAt: now.Add(trialPause(used))}
		t.trials[name] = known
	}
	if used > known.used {
		known.used, known.nextAt = used, now.Add(trialPause(used))
	}
}

func trialPause(used int) time.Duration {
	pause := firstTrialAfter
	for range min(max(used, 0), MaxTrials) {
		pause *= trialBackoff
	}
	return pause
}

// ClaimTrial reports whether a request may be let through as a trial of a block. The entry must
// first record the trial where all entries see it. The next claim is possible after a trial's pause,
// whether or not it was recorded.
func (t *Tracker) ClaimTrial(name string, now time.Time) bool {
	known := t.trials[name]
	if known == nil || known.used >= MaxTrials || now.Before(known.nextAt) {
		return false
	}
	known.nextAt = now.Add(trialPause(known.used))
	return true
}

// RetryAfter returns the time until the next trial of a block may be made, which is when a caller
// that is refused may return.
func (t *Tracker) RetryAfter(name string, now time.Time) time.Duration {
	known := t.trials[name]
	if known == nil || known.used >= MaxTrials {
		return firstTrialAfter
	}
	return max(known.nextAt.Sub(now), time.Second)
}
