package e2e

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"laburnumgw/soak"
)

// Second bytes of the loopback addresses.
const (
	deadlySafeNetwork   = 38
	deadlyUnsafeNetwork = 36
	deadlyModelNetwork  = 37
)

// Guards against a whole request that crashes one worker after the other, each time callers repeat
// it under another id at any entry: together the entries must find it and refuse it, and serve the
// requests that share its path, its caller, its body or the parts of its prompt.
func TestRequestThatCrashesWorkersIsBlocked(t *testing.T) {
	bin := buildPrograms(t)
	t.Run("safe", func(t *testing.T) { checkRequestIsBlocked(t, bin, deadlySafeNetwork, "view") })
	t.Run("not idempotent", func(t *testing.T) { checkRequestIsBlocked(t, bin, deadlyUnsafeNetwork, "book") })
	t.Run("model", func(t *testing.T) { checkRequestIsBlocked(t, bin, deadlyModelNetwork, "chat") })
}

func checkRequestIsBlocked(t *testing.T, bin string, network int, kind string) {
	const (
		// settleTime is the time after the third crash at which the bound begins, and watched the
		// time from then on in which callers repeat the request.
		settleTime = 3 * time.Second
		watched    = 5 * time.Second
		maxLate    = 3
		// firstPause lies between the first deadly requests, so that some time passes with two of
		// three workers down, and laterPause between the others.
		firstPause = 1200 * time.Millisecond
		laterPause = 100 * time.Millisecond
		// minServedShare is the share of the sound requests that must be served.
		minServedShare = 0.98
	)
	options := soakOptions(t, bin, network)
	options.Entries, options.Models, options.Plain = 6, 0, 3
	if kind == "chat" {
		options.Models = 9
	}
	f := startHosted(t, options)
	w := &system{t: t}
	w.until("empty workers are filled", func() bool {
		return !slices.ContainsFunc(f.ModelWorkers, func(m *soak.ProxiedWorker) bool { return m.Version() != 1 })
	})
	callers := f.StartCallers(1)
	startedAt := time.Now()
	w.until("callers are served", func() bool { return time.Since(startedAt) > time.Second })
	f.SetDeadlyRequest(kind, firstPause, 0)
	w.until("three workers have crashed", func() bool { return len(f.Crashes()) >= 3 })
	f.SetDeadlyInterval(kind, laterPause)
	first, second, third := f.Crashes()[0], f.Crashes()[1], f.Crashes()[2]
	bound := third.Add(settleTime)
	w.until("the bound has passed for some time", func() bool { return time.Since(bound) > watched })
	outcomes := callers.Stop()

	crashes, late := f.Crashes(), f.DeadlyArrivalsAfterBound(kind)
	t.Logf("%d crashes, the second and third %s and %s after the first; %d deadly requests at workers after the bound",
		len(crashes), second.Sub(first), third.Sub(first), len(late))
	if len(late) > maxLate {
		t.Errorf("%d deadly requests reached workers later than the bound, %d are allowed", len(late), maxLate)
	}
	for _, o := range outcomes {
		refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
		for _, p := range f.PlainWorkers {
			if refused && kind == "book" && p.Runs(o.ID) > 0 {
				t.Errorf("%s was answered %d and ran at %s", o.ID, o.Status, p.ID)
			}
		}
		if o.Violation != nil {
			t.Errorf("%s at %s: %v", o.ID, o.Entry, o.Violation)
		}
	}
	checkDeadlyRefused(t, outcomes, bound, maxLate)
	// Of three workers two are down from the second crash on, until the first one is back.
	twoDown := func(o soak.Outcome) bool {
		end := first.Add(soak.RestartTime)
		if third.Before(end) {
			end = third
		}
		return o.Sent.After(second) && o.Ended.Before(end)
	}
	calm := func(o soak.Outcome) bool { return o.Sent.After(bound) }
	nearlyDeadly := func(o soak.Outcome) bool { return calm(o) && o.NearlyDeadly }
	spans := map[string]func(soak.Outcome) bool{"after the bound": calm, "like the deadly one": nearlyDeadly}
	if kind != "chat" {
		spans["while two of three workers are down"] = twoDown
	}
	for what, counts := range spans {
		sound, served := countSound(outcomes, func(o soak.Outcome) bool { return (o.Kind == "chat") == (kind == "chat") && counts(o) })
		t.Logf("%d of %d sound requests %s served", served, sound, what)
		if sound == 0 || float64(served) < minServedShare*float64(sound) {
			t.Errorf("only %d of %d sound requests %s were served", served, sound, what)
		}
	}
}

// checkDeadlyRefused checks that deadly requests after the bound are refused at once.
func checkDeadlyRefused(t *testing.T, outcomes []soak.Outcome, bound time.Time, maxLate int) {
	t.Helper()
	refused, notRefused := 0, 0
	for _, o := range outcomes {
		switch {
		case !o.Deadly || o.Sent.Before(bound):
		case o.Status == http.StatusServiceUnavailable && o.Ended.Sub(o.Sent) < time.Second:
			refused++
		default:
			notRefused++
			t.Logf("deadly %s at %s: status %d after %s", o.ID, o.Entry, o.Status, o.Ended.Sub(o.Sent))
		}
	}
	t.Logf("%d deadly requests refused after the bound", refused)
	if refused == 0 || notRefused > maxLate {
		t.Errorf("%d deadly requests after the bound were refused at once, %d were not", refused, notRefused)
	}
}

// countSound returns how many sound requests there are, and were served.
func countSound(outcomes []soak.Outcome, counts func(soak.Outcome) bool) (sound, served int) {
	for _, o := range outcomes {
		if o.Deadly || !counts(o) {
			continue
		}
		sound++
		if o.Status == http.StatusOK && o.Err == nil && o.Violation == nil {
			served++
		}
	}
	return sound, served
}
