package soak

import (
	"slices"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// deadlyPart is the part on which workers crash in random runs.
	deadlyPart = "91bd3f06"
	// systemPart is the first part of the prompts of all model requests.
	systemPart = "5c1e07a2"
	// topicPart is a part that a deadly prompt shares with those like it.
	topicPart = "c3d40f19"
	// deadlyEvery is the number of requests of a caller of which one is deadly.
	deadlyEvery = 4
	// RestartTime is how long a crashed worker is away.
	RestartTime = 2 * time.Second
	// minPartCrashes and minRequestCrashes are the numbers of crashes after which a deadly part and
	// a deadly request must be known, and maxDeadlyArrivals that of the requests that may still
	// reach workers.
	minPartCrashes    = 5
	minRequestCrashes = 3
	maxDeadlyArrivals = 3
)

// kindPart is the kind of a deadly part. Deadly requests have the kind of their route.
const kindPart = "part"

// deadly is a kind of request on which workers crash.
type deadly struct {
	*hosted.Trigger
	kind       string
	minCrashes int
	// interval is the least time between two requests of the kind, and nextAt when the next one
	// may be sent.
	interval time.Duration
	nextAt   time.Time
}

// SetDeadlyPart makes all model workers crash when they begin to write a response to a prompt
// with a part, and callers send it in some of their requests.
func (f *Fleet) SetDeadlyPart(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadlyPart = part
	f.addDeadly(&deadly{Trigger: hosted.CrashOnPart(part), kind: kindPart, minCrashes: minPartCrashes})
}

// SetDeadlyRequest makes all workers of a route crash on a whole request, which callers at all
// entries repeat under new ids, with the given time between two of them at least. A share of the
// runs survives.
func (f *Fleet) SetDeadlyRequest(kind string, interval time.Duration, survivalShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	trigger := hosted.CrashOnRequest(deadlyPath(kind), workspace, deadlyBody(kind)).Surviving(survivalShare)
	f.addDeadly(&deadly{Trigger: trigger, kind: kind, minCrashes: minRequestCrashes, interval: interval})
}

func deadlyPath(kind string) string { return "/" + kind + "/deadly" }

func deadlyBody(kind string) string {
	if kind == kindView {
		return ""
	}
	return "two seats for the ghost"
}

// addDeadly makes workers crash on one more kind of request. The caller holds the lock.
func (f *Fleet) addDeadly(added *deadly) {
	f.deadly = append(f.deadly, added)
	workers := f.ModelWorkers
	if added.kind == kindBook || added.kind == kindView {
		workers = f.PlainWorkers
	}
	var triggers []*hosted.Trigger
	for _, d := range f.deadly {
		triggers = append(triggers, d.Trigger)
	}
	for _, m := range workers {
		m.CrashOn(func() { f.crash(m) }, triggers...)
	}
}

// SetDeadlyInterval changes the time between two deadly requests of a kind.
func (f *Fleet) SetDeadlyInterval(kind string, interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.deadlyOf(kind); d != nil {
		d.interval, d.nextAt = interval, time.Time{}
	}
}

// deadlyOf returns the deadly requests of a kind, or nil. The caller holds the lock.
func (f *Fleet) deadlyOf(kind string) *deadly {
	for _, d := range f.deadly {
		if d.kind == kind {
			return d
		}
	}
	return nil
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

// variant is how a request relates to the deadly one of its kind.
type variant uint8

const (
	// unrelated requests have a path and a body of their own.
	unrelated variant = iota
	// identical requests are deadly.
	identical
	// otherBody and otherWorkspace requests differ from the deadly one in that alone.
	otherBody
	otherWorkspace
)

// variantOf returns the variant of the n-th request of a caller.
func (f *Fleet) variantOf(kind string, n int) variant {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.deadlyOf(kind)
	if d == nil {
		return unrelated
	}
	now := time.Now()
	switch variant(n % deadlyEvery) {
	case identical:
		if now.Before(d.nextAt) {
			return unrelated
		}
		d.nextAt = now.Add(d.interval)
		return identical
	case otherBody:
		if kind == kindView {
			return unrelated
		}
		return otherBody
	case otherWorkspace:
		return otherWorkspace
	default:
		return unrelated
	}
}

// crash ends the connections of a worker and starts it again after RestartTime.
func (f *Fleet) crash(m *ProxiedWorker) {
	m.Proxy.StopListening()
	time.AfterFunc(RestartTime, func() {
		m.Recover()
		if err := m.Proxy.Listen(); err != nil {
			return // the fleet has stopped, and another one uses the address
		}
		f.Store.Put("servers", m.ID, m.Entry("ready"))
	})
}

// Crashes returns the times of the crashes of all workers, in order.
func (f *Fleet) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []time.Time
	for _, d := range f.deadly {
		all = append(all, d.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// DeadlyArrivalsAfterBound returns the times of the deadly requests of a kind that reached workers
// later than settleWindow after the crash from which on they must be known.
func (f *Fleet) DeadlyArrivalsAfterBound(kind string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.deadlyOf(kind)
	if d == nil {
		return nil
	}
	crashes := d.Crashes()
	if len(crashes) < d.minCrashes {
		return nil
	}
	return d.arrivalsAfter(crashes[d.minCrashes-1].Add(settleWindow))
}

// DeadlyArrivalsAfter returns the times of the deadly requests of a kind that reached workers after a time.
func (f *Fleet) DeadlyArrivalsAfter(kind string, at time.Time) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.deadlyOf(kind); d != nil {
		return d.arrivalsAfter(at)
	}
	return nil
}

func (d *deadly) arrivalsAfter(at time.Time) []time.Time {
	return slices.DeleteFunc(d.Arrivals(), func(arrived time.Time) bool { return !arrived.After(at) })
}

// deadlyInterval is the time between two deadly requests of a kind in random runs.
const deadlyInterval = 200 * time.Millisecond

// makeDeadly makes workers crash on a part of prompts or on a whole request, of a kind on which
// they do not crash yet.
func (r *run) makeDeadly() {
	kind := pick(r.rng, []string{kindPart, kindChat, kindBook, kindView})
	r.fleet.mu.Lock()
	known := r.fleet.deadlyOf(kind) != nil
	r.fleet.mu.Unlock()
	switch {
	case known:
	case kind == kindPart:
		r.note("workers crash on a part of prompts")
		r.fleet.SetDeadlyPart(deadlyPart)
	default:
		survivalShare := pick(r.rng, []float64{0, 0.25})
		r.note("workers crash on a whole request of %s; %g survive", kind, survivalShare)
		r.fleet.SetDeadlyRequest(kind, deadlyInterval, survivalShare)
	}
}

// checkDeadly compares the deadly requests that reached workers with the rule. Only entries
// outside all faults are bound by it.
func (r *run) checkDeadly(violation func(format string, args ...any)) {
	for _, kind := range []string{kindPart, kindChat, kindBook, kindView} {
		late := slices.DeleteFunc(r.fleet.DeadlyArrivalsAfterBound(kind), func(at time.Time) bool { return !r.entriesBound(at) })
		if len(late) > maxDeadlyArrivals {
			violation("%d deadly requests (%s) reached workers after the bound; %d crashes", len(late), kind, len(r.fleet.Crashes()))
		}
	}
}

// entriesBound reports whether no fault but a crash on a deadly request was in force, or had just
// ended, at a time.
func (r *run) entriesBound(at time.Time) bool {
	crashes := r.fleet.Crashes()
	return !slices.ContainsFunc(r.faultWindows, func(w window) bool {
		return !slices.Contains(crashes, w.from) && !at.Before(w.from) && at.Before(w.to.Add(settleWindow))
	})
}
