package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"laburnumgw/standin/hosted"
)

const (
	// chatCallers is the number of callers of streams at each entry.
	chatCallers = 16
	// slowStoreTime is the time for a piece at a worker that new weights reach late.
	slowStoreTime = 900 * time.Millisecond
	// minBoundWait and maxBoundWait bound how long requests wait near a bound. The waits begin up to maxWaitAhead before it.
	minBoundWait = 20 * time.Millisecond
	maxBoundWait = 1500 * time.Millisecond
	maxWaitAhead = 6 * time.Second
	// Standstills begin between maxStandstillAhead before a bound and shortly after it.
	maxStandstillAhead = 2300 * time.Millisecond
	standstillSpan     = 2400 * time.Millisecond
	// minFreeze bounds, with maxSilence, how long an entry is frozen.
	minFreeze = 400 * time.Millisecond
	// afterBound is the time after the last bound of a change in which workers still get no new weights, and loadPause the
	// least time that they then have for them.
	afterBound = 1500 * time.Millisecond
	loadPause  = 2 * time.Second
	// maxNamings is the most versions that are named in one change, up to maxNamingsApart apart.
	maxNamings      = 3
	maxNamingsApart = 3 * time.Second
)

// versionsRun names versions that reach some workers late, which are slow and stand still about their bounds.
type versionsRun struct {
	*run
	// holdMu guards held, the workers that store pieces slowly.
	holdMu sync.Mutex
	held   map[*ProxiedWorker]bool
	// stopped are the processes beside workers that have been asked to stop.
	stopped map[*Process]*Instance
	due     []action
}

// action is something to do at a time.
type action struct {
	at time.Time
	do func()
}

// RunVersions starts a fleet and names versions of the weights for about the duration, until the last bound has passed.
// Workers that still have the old ones then keep requests waiting and stand still, alone and beside disruptions that
// do not excuse a beginning on old weights.
func RunVersions(options Options, seed uint64, duration time.Duration) (result Result, err error) {
	options.StoreTime, options.LoadTime, options.UnmarkedEvery = storeTime, loadTime, unmarkedEvery
	options.ChatCallers = cmp.Or(options.ChatCallers, chatCallers)
	fleet, err := Start(options)
	if err != nil {
		return Result{Seed: seed}, err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	v := &versionsRun{
		run: &run{
			fleet: fleet, rng: rand.New(rand.NewPCG(seed, 19)), result: Result{Seed: seed, Bounds: Bounds{Last: -nearBound}}, plannedRestarts: make(map[string][]window),
			starts: make(map[string][]window), disturbed: make(map[string][]window), settings: newSettings(), silencedAt: make(map[string]time.Time), version: 1, configVersion: 1,
		},
		held: make(map[*ProxiedWorker]bool), stopped: make(map[*Process]*Instance),
	}
	if err := errors.Join(fleet.AwaitReady(readyTimeout), fleet.awaitServing(readyTimeout)); err != nil {
		return v.result, err
	}
	for _, m := range fleet.ModelWorkers {
		m.OnCall(func(c hosted.Call) hosted.CallFault { return v.faultOf(m, c) })
	}
	// Entries go by the list of workers where the process beside one sends no reports.
	ctx, stopBeside := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	beside.Go(func() { fleet.PublishChanges(ctx) })
	beside.Go(func() { v.stalls.watch(ctx) })
	defer beside.Wait()
	defer stopBeside()
	v.callers = fleet.StartCallers(seed)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		v.change()
	}
	v.endLimit()
	outcomes := v.callers.Stop()
	v.checkRun(outcomes)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.result, errors.Join(v.startErrors...)
}

// faultOf has pieces arrive slowly at a worker that new weights are to reach late.
func (v *versionsRun) faultOf(m *ProxiedWorker, c hosted.Call) hosted.CallFault {
	v.holdMu.Lock()
	defer v.holdMu.Unlock()
	if c.Kind == hosted.CallStage && v.held[m] {
		return hosted.CallFault{Late: slowStoreTime}
	}
	return hosted.CallFault{}
}

// between returns a random time of a span.
func (v *versionsRun) between(from, to time.Duration) time.Duration {
	return from + time.Duration(v.rng.Int64N(int64(to-from)))
}

func (v *versionsRun) at(at time.Time, do func()) { v.due = append(v.due, action{at, do}) }

// change names one or more versions, plays their bounds, and then has all workers get the newest one.
func (v *versionsRun) change() {
	workers := slices.Clone(v.fleet.ModelWorkers)
	v.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	named, late, bound := time.Now().Add(time.Second), 0, time.Time{}
	// Entries keep requests from workers that make them wait, so that in some changes there are no others.
	reachesAllLate := v.rng.IntN(2) == 0
	for range 1 + v.rng.IntN(maxNamings) {
		// The later a version of the change, the more workers it reaches late.
		more := min(late+2+v.rng.IntN(max(len(workers)-late-2, 1)), len(workers))
		if reachesAllLate {
			more = len(workers)
		}
		for _, m := range workers[late:more] {
			v.at(named.Add(-100*time.Millisecond), func() { v.hold(m) })
		}
		late, bound = more, named.Add(versionBound)
		v.at(named, v.name)
		v.disturb(named, bound)
		v.slowDown(bound, workers[:late])
		named = named.Add(v.between(500*time.Millisecond, maxNamingsApart))
	}
	v.at(bound.Add(afterBound), v.release)
	v.play()
	time.Sleep(v.between(loadPause, loadPause+time.Second))
}

// play does what is due, in the order of the times.
func (v *versionsRun) play() {
	for len(v.due) > 0 {
		slices.SortStableFunc(v.due, func(a, b action) int { return a.at.Compare(b.at) })
		next := v.due[0]
		v.due = v.due[1:]
		time.Sleep(time.Until(next.at))
		next.do()
	}
}

// name names the next version.
func (v *versionsRun) name() {
	v.mu.Lock()
	v.version++
	version := v.version
	v.mu.Unlock()
	v.fleet.Origin.SetNewest(version)
	v.fleet.PublishVersion(version)
	v.namings = append(v.namings, naming{version, time.Now()})
	v.note("version %d is named", version)
}

// hold has new weights reach a worker late: it stores pieces slowly, or the process beside it stops.
func (v *versionsRun) hold(m *ProxiedWorker) {
	if p := v.fleet.Endpoints[slices.Index(v.fleet.ModelWorkers, m)]; v.rng.IntN(3) > 0 {
		v.note("planned stop of %s", p.Name)
		v.stopped[p] = p.Running()
		p.Signal(syscall.SIGTERM)
		return
	}
	v.note("%s stores pieces slowly", m.ID)
	v.holdMu.Lock()
	defer v.holdMu.Unlock()
	v.held[m] = true
}

// release ends what hold began.
func (v *versionsRun) release() {
	v.note("weights reach all workers")
	for p, asked := range v.stopped {
		v.replace(p, asked)
	}
	clear(v.stopped)
	v.holdMu.Lock()
	defer v.holdMu.Unlock()
	clear(v.held)
}

// slowness is how a worker is slow about a bound: how long requests wait, and when and for how long it stands still.
type slowness struct {
	wait, ahead, lasts time.Duration
}

// drawSlowness draws any slowness, or in every other draw one of an overloaded worker that stands still for a second or
// more when the last requests to its old weights wait.
func (v *versionsRun) drawSlowness() slowness {
	if v.rng.IntN(2) == 0 {
		return slowness{v.between(500*time.Millisecond, 1200*time.Millisecond), v.between(1200*time.Millisecond, 1900*time.Millisecond), v.between(time.Second, maxSilence)}
	}
	return slowness{v.between(minBoundWait, maxBoundWait), maxStandstillAhead - v.between(0, standstillSpan), v.between(minSilence, maxSilence)}
}

// slowDown has workers keep requests waiting and stand still about a bound, some of them at the same time.
func (v *versionsRun) slowDown(bound time.Time, workers []*ProxiedWorker) {
	common, together := v.drawSlowness().ahead, v.rng.IntN(3) == 0
	for _, m := range workers {
		slow := v.drawSlowness()
		waits := hosted.Waits{Lasts: slow.wait, RunsClosed: v.rng.IntN(6) > 0 && !v.fleet.DropClosed, IgnoresDeadline: v.rng.IntN(2) == 0 && v.fleet.IgnoreDeadlines}
		v.at(bound.Add(-v.between(maxStandstillAhead, maxWaitAhead)), func() {
			v.note("%s keeps requests waiting: %+v", m.ID, waits)
			m.SetWaits(waits)
		})
		v.at(bound.Add(afterBound), func() { m.SetWaits(hosted.Waits{RunsClosed: waits.RunsClosed, IgnoresDeadline: waits.IgnoresDeadline}) })
		if together {
			slow.ahead = common
		}
		if v.rng.IntN(8) > 0 {
			v.at(bound.Add(-slow.ahead), func() { v.standStill(m, slow.lasts) })
		}
	}
}

// standStill has a worker stand still, unless it has done so within silencePause.
func (v *versionsRun) standStill(m *ProxiedWorker, lasts time.Duration) {
	now := time.Now()
	if now.Before(v.silencedAt[m.ID].Add(silencePause)) {
		return
	}
	v.silencedAt[m.ID] = now.Add(lasts)
	v.note("%s stands still for %s", m.ID, lasts)
	m.StandStill(lasts)
}

// disturb begins up to two disruptions between a naming and its bound, near one of them. None of them excuses a request
// that begins on old weights later, but for those that a stopped, started or frozen entry sends in its settle window.
func (v *versionsRun) disturb(named, bound time.Time) {
	for range v.rng.IntN(3) {
		p, m := pick(v.rng, v.fleet.Entries), pick(v.rng, v.fleet.ModelWorkers)
		switch v.rng.IntN(7) {
		case 0:
			v.at(bound.Add(-v.between(0, 4*time.Second)), func() { v.leave(pick(v.rng, v.fleet.PlainWorkers)) })
		case 1:
			v.at(bound.Add(-v.between(0, 4*time.Second)), func() { v.leaveModel(m) })
		case 2:
			header, lasts := pick(v.rng, []string{"0.4", "1", "2.5", "6"}), v.between(time.Second, 6*time.Second)
			v.at(bound.Add(-v.between(0, 6*time.Second)), func() { v.limit(m, header, lasts) })
		case 3:
			v.at(bound.Add(-v.between(0, stopGracePeriod)), func() { v.restartEntry(p) })
		case 4:
			v.at(bound.Add(-v.between(0, 3*time.Second)), v.hangUp)
		case 5:
			near, lasts := named.Add(v.between(-200*time.Millisecond, 300*time.Millisecond)), v.between(minFreeze, maxSilence)
			if v.rng.IntN(2) == 0 {
				near = bound.Add(-v.between(lasts, 6*time.Second))
			}
			v.at(near, func() { v.freeze(p, lasts) })
		case 6:
			v.at(bound.Add(-v.between(0, 3*time.Second)), v.changeConfig)
		}
	}
}

// leaveModel makes a model worker report that it leaves, and start again later with its weights.
func (v *versionsRun) leaveModel(m *ProxiedWorker) {
	v.note("%s leaves", m.ID)
	v.fleet.Store.Put("servers", m.ID, m.Entry("draining"))
	v.at(time.Now().Add(drainBound+time.Second), func() {
		m.Restart()
		v.fleet.Store.Put("servers", m.ID, m.Entry("ready"))
	})
}

// restartEntry restarts an entry as planned, unless it is being restarted.
func (v *versionsRun) restartEntry(p *Process) {
	if slices.ContainsFunc(v.plannedRestarts[p.Name], func(w window) bool { return time.Now().Before(w.to) }) {
		return
	}
	v.excuse(p, 0)
	v.restart(p)
}

// freeze freezes an entry for some time.
func (v *versionsRun) freeze(p *Process, lasts time.Duration) {
	v.note("pause %s for %s", p.Name, lasts)
	v.excuse(p, lasts)
	p.Signal(syscall.SIGSTOP)
	v.at(time.Now().Add(lasts), func() { p.Signal(syscall.SIGCONT) })
}

// excuse records that an entry is not in touch for a time, and for the settle window after it.
func (v *versionsRun) excuse(p *Process, lasts time.Duration) {
	now := time.Now()
	v.disturbed[p.Name] = append(v.disturbed[p.Name], window{now, now.Add(lasts)})
}

// checkRun compares what callers and workers saw with the guarantees that hold amid these disruptions.
func (v *versionsRun) checkRun(outcomes []Outcome) {
	violation := func(format string, args ...any) {
		v.result.Violations = append(v.result.Violations, fmt.Errorf(format, args...))
	}
	v.mu.Lock()
	for name, starts := range v.starts {
		for _, started := range starts {
			v.disturbed[name] = append(v.disturbed[name], window{started.from, started.from})
		}
	}
	v.mu.Unlock()
	v.collectPauses()
	v.senders = make(map[string]string)
	for _, o := range outcomes {
		v.senders[o.ID] = o.Entry
		runs := 0
		for _, m := range v.fleet.workers() {
			runs += m.Runs(o.ID)
		}
		v.count(o, runs)
		refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
		switch {
		case o.Violation != nil:
			violation("%s at %s: %w", o.ID, o.Entry, o.Violation)
		case o.Kind == kindBook && runs > 1:
			violation("%s ran %d times", o.ID, runs)
		case o.Kind == kindBook && refused && runs > 0:
			violation("%s was answered %d and ran", o.ID, o.Status)
		case (o.Status == http.StatusUnauthorized || o.Status == http.StatusNotFound) && o.Err == nil:
			violation("%s at %s was answered %d", o.ID, o.Entry, o.Status)
		}
	}
	for _, m := range v.fleet.ModelWorkers {
		if err := m.RunErr(); err != nil {
			violation("%w", err)
		}
	}
	v.checkVersions(violation)
	if v.result.Bounds.BeganOld == 0 {
		violation("nothing was shown: %s", v.result.Bounds)
	}
}

func (v *versionsRun) count(o Outcome, runs int) {
	v.result.Requests++
	if runs > 1 {
		v.result.Repeated++
	}
	switch {
	case o.Err == nil && o.Status == http.StatusOK:
		v.result.Served++
	case o.Err != nil && o.Kind == kindChat && o.Status == http.StatusOK:
		v.result.Cut++
		v.note("%s at %s was cut off after %s, sent at %s", o.ID, o.Entry, o.Ended.Sub(o.Sent), o.Sent.UTC().Format("15:04:05.000"))
	case o.Err != nil && o.Status == 0 && runs > 0:
		v.result.Unanswered++
	}
}
