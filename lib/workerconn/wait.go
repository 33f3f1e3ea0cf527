package workerconn

import "time"

const (
	// stallTime is how late a wait has to end to show that this process stood still.
	stallTime = 100 * time.Millisecond
	// stallRead is the time for one more read then, for bytes that have arrived meanwhile.
	stallRead = 10 * time.Millisecond
)

// wait is a wait for bytes as a TimeoutFunc allows it, in steps.
type wait struct {
	timeout TimeoutFunc
	started time.Time
	// until is the end of the current step, zero before the first.
	until   time.Time
	stalled bool
}

// goOn begins the next step, unless the wait is over. When this process stood still until then, the worker was not
// silent for as long as it seems, and there is one more step.
func (w *wait) goOn() bool {
	more := w.timeout(time.Since(w.started))
	if more <= 0 {
		if w.stalled || w.until.IsZero() || time.Since(w.until) < stallTime {
			return false
		}
		w.stalled, more = true, stallRead
	}
	w.until = time.Now().Add(more)
	return true
}
