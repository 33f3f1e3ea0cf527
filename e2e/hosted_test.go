package e2e

import (
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"laburnumgw/soak"
)

// drainBound is the time after which a leaving worker must get no requests.
const drainBound = 2 * time.Second

// Networks of the loopback addresses, one for each test.
const (
	calmNetwork = 31
	soakNetwork = 32
)

func soakOptions(t *testing.T, bin string, network int) soak.Options {
	return soak.Options{
		Binary: filepath.Join(bin, "laburnumgw"), Dir: t.TempDir(), Network: network, Entries: 2, Models: 6, Plain: 2, Model: soak.SmallModel(),
	}
}

// Guards the path on the users' platform from end to end with the real processes: callers
// get their own whole answers while empty workers are filled, a version is named and put
// in force everywhere, the origin sends each chunk about once, and a planned stop cuts off
// no request.
func TestHostedCalmDay(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), calmNetwork)
	f, err := soak.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Logf("stop: %v", err)
		}
	})
	if err := f.AwaitReady(waitLimit); err != nil {
		t.Fatal(err)
	}
	w := &system{t: t}
	serves := func(version int) func() bool {
		return func() bool {
			for _, m := range f.ModelWorkers {
				if m.Version() != version {
					return false
				}
			}
			return true
		}
	}
	w.until("empty workers are filled", serves(1))
	callers := f.StartCallers(1)
	f.Origin.SetNewest(2)
	f.PublishVersion(2)
	w.until("version 2 is in force", serves(2))
	leaving := f.PlainWorkers[0]
	f.Store.Put("servers", leaving.ID, leaving.Entry("draining"))
	told := time.Now()
	w.until("the leaving worker is left alone", func() bool { return time.Since(leaving.LastRun()) > drainBound })
	if last := leaving.LastRun().Sub(told); last > drainBound {
		t.Errorf("leaving worker got a request after %v", last)
	}
	f.Entries[1].Signal(syscall.SIGTERM)
	if code := f.Entries[1].Wait(waitLimit); code != 0 {
		t.Errorf("entry ended with code %d", code)
	}
	for _, o := range callers.Stop() {
		gone := o.Entry == f.Entries[1].Name && o.Status == 0
		if o.Violation != nil || (o.Status != http.StatusOK && o.Status != http.StatusServiceUnavailable && !gone) {
			t.Errorf("%s at %s: status %d, %v, %v", o.ID, o.Entry, o.Status, o.Err, o.Violation)
		}
	}
	for _, m := range f.ModelWorkers {
		if err := m.Err(); err != nil {
			t.Error(err)
		}
	}
	const copies = 2 * 1.5
	if sent := f.Origin.ChunksSent(); float64(sent) > copies*float64(options.Model.Chunks) {
		t.Errorf("origin sent %d chunks of %d for two versions", sent, options.Model.Chunks)
	}
}

// Guards the promises under random faults. laburnumsoak runs many more seeds; those that
// ever broke a promise are listed here with their cause.
func TestHostedSoak(t *testing.T) {
	options := soakOptions(t, buildPrograms(t), soakNetwork)
	const seed, length = 1, 15 * time.Second
	result, err := soak.Run(options, seed, length)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	for _, problem := range result.Violations {
		t.Error(problem)
	}
}
