package e2e

import (
	"net/http"
	"testing"
	"time"
)

// deadlyNetwork is the second byte of the loopback addresses.
const deadlyNetwork = 34

// Guards against requests with one part of a prompt that crash one worker after the other: each
// entry sees few of the crashes, so that together they must find the part and refuse it, and serve
// the requests that share everything else with it.
func TestPartThatCrashesWorkersIsBlocked(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), deadlyNetwork)
	options.Entries, options.Models = 6, 9
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("empty workers are filled", func() bool {
		for _, m := range f.ModelWorkers {
			if m.Version() != 1 {
				return false
			}
		}
		return true
	})
	callers := f.StartCallers(1)
	startedAt := time.Now()
	w.until("callers are served", func() bool { return time.Since(startedAt) > time.Second })
	f.SetDeadlyPart("91bd3f06")
	const (
		settleTime = 3 * time.Second
		watched    = 5 * time.Second
		maxLate    = 3
		// minCrashes is the number of crashes without which a part is not blocked, and maxCrashes that after which it
		// must be.
		minCrashes = 3
		maxCrashes = 5
	)
	// A part is blocked after the third crash unless others follow within the time of the decision.
	w.until("workers have crashed", func() bool {
		crashes := f.Crashes()
		return len(crashes) >= maxCrashes || (len(crashes) >= minCrashes && time.Since(crashes[len(crashes)-1]) > settleTime)
	})
	crashes := f.Crashes()
	last := crashes[min(len(crashes), maxCrashes)-1]
	w.until("the bound has passed for some time", func() bool { return time.Since(last) > 2*settleTime+watched })
	outcomes := callers.Stop()
	late := f.DeadlyArrivalsAfter("part", last.Add(settleTime))
	t.Logf("%d crashes; %d requests with the part after the bound", len(f.Crashes()), len(late))
	if len(late) > maxLate {
		t.Errorf("%d requests with the deadly part reached workers later than the bound, %d are allowed", len(late), maxLate)
	}
	sound, served, refused, notRefused := 0, 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.Kind != "chat" || o.Sent.Before(last.Add(2*settleTime)):
		case o.Deadly && o.Status == http.StatusServiceUnavailable && o.Ended.Sub(o.Sent) < time.Second:
			refused++
		case o.Deadly:
			notRefused++
			t.Logf("%s at %s with the deadly part: status %d after %s", o.ID, o.Entry, o.Status, o.Ended.Sub(o.Sent))
		default:
			sound++
			if o.Status == http.StatusOK && o.Err == nil && o.Violation == nil {
				served++
			}
		}
	}
	if refused == 0 || notRefused > maxLate {
		t.Errorf("%d requests with the deadly part were refused at once, %d were not", refused, notRefused)
	}
	t.Logf("%d of %d sound requests served, %d with the part refused", served, sound, refused)
	const minServedShare = 0.98
	if sound == 0 || float64(served) < minServedShare*float64(sound) {
		t.Errorf("only %d of %d sound requests of the same callers were served", served, sound)
	}
}
