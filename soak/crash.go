package soak

import (
	"slices"
	"time"
)

const (
	// deadlyPart is the part on which workers crash in random runs.
	deadlyPart = "91bd3f06"
	// systemPart is the first part of the prompts of all model requests.
	systemPart = "5c1e07a2"
	// deadlyEvery is the number of model requests of a caller of which one holds the deadly part.
	deadlyEvery = 4
	// workerRestartTime is how long a crashed worker is away.
	workerRestartTime = 2 * time.Second
	// minCrashes is the number of crashes after which the deadly part must be known, and
	// maxDeadlyArrivals the number of requests with it that may still reach workers.
	minCrashes        = 5
	maxDeadlyArrivals = 3
)

// SetDeadlyPart makes all model workers crash when they begin to write a response to a prompt
// with a part, and callers send it in some of their requests. An empty part ends both.
func (f *Fleet) SetDeadlyPart(part string) {
	f.mu.Lock()
	f.deadlyPart = part
	f.mu.Unlock()
	for _, m := range f.ModelWorkers {
		m.SetDeadlyPart(part, func() { f.crash(m) })
	}
}

// deadlyPartOf returns the deadly part if the n-th request of a caller holds it, or "".
func (f *Fleet) deadlyPartOf(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n%deadlyEvery != 0 {
		return ""
	}
	return f.deadlyPart
}

// crash ends the connections of a worker and starts it again after workerRestartTime.
func (f *Fleet) crash(m *ProxiedWorker) {
	m.Proxy.StopListening()
	time.AfterFunc(workerRestartTime, func() {
		if err := m.Proxy.Listen(); err != nil {
			return // the fleet has stopped, and another one uses the address
		}
		f.Store.Put("servers", m.ID, m.Entry("ready"))
	})
}

// Crashes returns the times of the crashes of all model workers, in order.
func (f *Fleet) Crashes() []time.Time {
	var all []time.Time
	for _, m := range f.ModelWorkers {
		all = append(all, m.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// DeadlyArrivalsAfterBound returns the times of the requests with the deadly part that reached
// workers later than settleWindow after the crash from which on the part must be known.
func (f *Fleet) DeadlyArrivalsAfterBound() []time.Time {
	crashes := f.Crashes()
	if len(crashes) < minCrashes {
		return nil
	}
	bound := crashes[minCrashes-1].Add(settleWindow)
	var late []time.Time
	for _, m := range f.ModelWorkers {
		for _, at := range m.DeadlyArrivals() {
			if at.After(bound) {
				late = append(late, at)
			}
		}
	}
	slices.SortFunc(late, time.Time.Compare)
	return late
}

// checkDeadlyPart compares the requests with the deadly part that reached workers with the rule.
// Only entries outside all faults are bound by it.
func (r *run) checkDeadlyPart(violation func(format string, args ...any)) {
	late := slices.DeleteFunc(r.fleet.DeadlyArrivalsAfterBound(), func(at time.Time) bool { return !r.entriesBound(at) })
	if len(late) > maxDeadlyArrivals {
		violation("%d requests with the deadly part reached workers after %d crashes", len(late), len(r.fleet.Crashes()))
	}
}

// entriesBound reports whether no fault but a crash on the deadly part was in force, or had just
// ended, at a time.
func (r *run) entriesBound(at time.Time) bool {
	crashes := r.fleet.Crashes()
	return !slices.ContainsFunc(r.faultWindows, func(w window) bool {
		return !slices.Contains(crashes, w.from) && !at.Before(w.from) && at.Before(w.to.Add(settleWindow))
	})
}
