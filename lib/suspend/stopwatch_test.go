package suspend

import (
	"testing"
	"time"
)

// Guards against a response that arrived before a suspension, is read after it and is applied
// before the suspension is detected: it would count as recent.
func TestCheckNoticesASuspensionAtOnce(t *testing.T) {
	var boot, monotonic time.Duration
	var reported []time.Duration
	monitor, err := newMonitor(func() (time.Duration, time.Duration, error) { return boot, monotonic, nil },
		func(length time.Duration) { reported = append(reported, length) })
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ boot, monotonic time.Duration }{
		{time.Second, time.Second}, {MinSuspension - 1, 0}, {1, 0}, {6 * time.Second, 10 * time.Millisecond}, {time.Second, time.Second},
	} {
		boot, monotonic = boot+step.boot, monotonic+step.monotonic
		if err := monitor.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if len(reported) != 2 || reported[0] != MinSuspension || reported[1] != 6*time.Second-10*time.Millisecond {
		t.Errorf("reported %v", reported)
	}
}

// Guards against a suspension that is reported because the first reading was delayed.
func TestDelayedFirstReadingIsNoSuspension(t *testing.T) {
	calls := 0
	monitor, err := newMonitor(func() (time.Duration, time.Duration, error) {
		calls++
		if calls == 1 {
			return time.Second, time.Second + 2*MinSuspension, nil
		}
		return 2 * time.Second, 2 * time.Second, nil
	}, func(length time.Duration) { t.Errorf("suspension of %v reported", length) })
	if err != nil {
		t.Fatal(err)
	}
	if err := monitor.Check(); err != nil {
		t.Fatal(err)
	}
}

func TestStopwatchCountsMonotonicTimeAtLeast(t *testing.T) {
	watch := Start()
	before := time.Since(watch.started)
	if elapsed := watch.Elapsed(); elapsed < before {
		t.Errorf("elapsed %v, of which %v on the monotonic clock", elapsed, before)
	}
	if suspended := watch.Suspended(); suspended < 0 || suspended >= MinSuspension {
		t.Errorf("suspended for %v", suspended)
	}
}
