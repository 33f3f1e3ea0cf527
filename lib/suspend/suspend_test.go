package suspend

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against times that seem more recent than they are: after a suspension of 4 s,
// workers with old weights got requests for 4 s past their bound.
func TestSuspensionIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		started := time.Now()
		var slept atomic.Int64
		read := func() (time.Duration, time.Duration, error) {
			monotonic := time.Since(started)
			return monotonic + time.Duration(slept.Load()), monotonic, nil
		}
		var reported []time.Duration
		monitor, err := newMonitor(read, func(length time.Duration) { reported = append(reported, length) })
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- monitor.Run(ctx) }()
		<-time.After(2 * time.Second)
		synctest.Wait()
		slept.Store(int64(4 * time.Second))
		<-time.After(2 * time.Second)
		synctest.Wait()
		slept.Add(int64(MinSuspension / 2))
		<-time.After(2 * time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if len(reported) != 1 || reported[0] != 4*time.Second {
			t.Fatalf("reported %v, want one suspension of 4s", reported)
		}
	})
}

func TestSystemClocksAreRead(t *testing.T) {
	boot, monotonic, err := readSystemClocks()
	// The clocks are read one after the other, so equal ones may differ by that time.
	if err != nil || boot < monotonic-MinSuspension {
		t.Fatalf("boot %v, monotonic %v: %v", boot, monotonic, err)
	}
}
