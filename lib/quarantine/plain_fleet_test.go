package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// plainService is what a fleet plays with workers of a plain service: one whole request comes again
// and again and crashes them, beside sound ones of the same path and caller, some of which are equal.
type plainService struct {
	// repeated is set when entries send a lost request to the next worker, as they do on routes
	// whose requests may run more than once.
	repeated bool
	// wait is the mean time from the arrival at a worker to the response.
	wait time.Duration
	// repeats is how often a caller sends a lost request again.
	repeats int
	// lost counts the sound requests that were lost.
	lost int
}

func (f *fleet) plainName(workspace int, body string) (name, caller string) {
	caller = fmt.Sprint("ws-", workspace)
	return RequestName("a.example", "/view/", caller, []byte(body)), caller
}

func (f *fleet) deadlyName() string {
	name, _ := f.plainName(0, deadlyPart)
	return name
}

func newPlainFleet(seed uint64, entries, workers, zones int, repeated bool) *fleet {
	f := newFleet(seed, entries, workers)
	for i, w := range f.workers {
		w.zone = fmt.Sprint(zones * i / workers)
	}
	f.perSecond, f.deadlyShare = 20*float64(workers), 0.1
	f.plain = &plainService{repeated: repeated, wait: 30 * time.Millisecond, repeats: 2}
	return f
}

// plainRequest sends a request of a caller through a random entry.
func (f *fleet) plainRequest() {
	r := &simRequest{deadly: f.rng.Float64() < f.deadlyShare}
	body, caller := deadlyPart, 0
	switch {
	case r.deadly:
	case f.rng.IntN(3) == 0:
		body = fmt.Sprint("poll-", f.rng.IntN(3))
	case f.rng.IntN(6) == 0:
		body = fmt.Sprint("new-", f.now.Unix()/2)
	default:
		body, caller = fmt.Sprint("one-", f.rng.Uint64()), f.rng.IntN(3)
	}
	name, workspace := f.plainName(caller, body)
	r.parts, r.workspace = []string{name}, workspace
	f.callerSends(r)
}

func (f *fleet) callerSends(r *simRequest) {
	r.entry = f.rng.IntN(len(f.entries))
	r.tracker = f.entries[r.entry]
	r.attempts++
	f.sendPlain(r, nil)
}

// sendPlain sends a request to a worker other than the one that lost it. The entry knows which ones
// are down.
func (f *fleet) sendPlain(r *simRequest, lostAt *simWorker) {
	if _, blocked := r.tracker.Match(r.parts, r.workspace); blocked {
		if !r.deadly {
			f.soundRefused++
		}
		return
	}
	up := slices.DeleteFunc(slices.Clone(f.workers), func(w *simWorker) bool { return w.down || w == lostAt })
	if len(up) == 0 {
		return
	}
	w := up[f.rng.IntN(len(up))]
	if r.deadly {
		if f.inTouch(r.entry) {
			f.deadlyArrivals = append(f.deadlyArrivals, f.now)
		}
	} else {
		f.sound++
	}
	attempt := *r
	attempt.ended = false
	w.waiting = append(w.waiting, &attempt)
	f.after(f.plain.wait/2+time.Duration(f.rng.Int64N(int64(f.plain.wait))), func() { f.begin(w, &attempt, attempt.deadly) })
}

// inTouch reports whether an entry has run for the time that the bound allows.
func (f *fleet) inTouch(entry int) bool { return f.now.Sub(f.restartedAt[entry]) >= simSettle }

// endPlain ends a worker. Each entry that lost requests there is refused a connection a little
// later, unless the worker left in an orderly way.
func (f *fleet) endPlain(w *simWorker, crashed bool) {
	if w.down {
		return
	}
	start := Start{w.address, w.start}
	w.down = true
	waiting := w.waiting
	w.waiting = nil
	for _, r := range waiting {
		r.ended = true
		r.tracker.Lost(start, r.parts, r.workspace, f.now)
		f.after(time.Duration(1+f.rng.IntN(5))*time.Millisecond, func() {
			if crashed {
				r.tracker.Crashed(start, w.zone, f.now)
			}
			f.repeatPlain(r, w, start)
		})
	}
	f.after(simDownTime, func() { w.down, w.start = false, w.start+1 })
}

// repeatPlain sends a lost request again: the entry once, if it may, and its caller later.
func (f *fleet) repeatPlain(r *simRequest, w *simWorker, start Start) {
	mayHaveCrashed := r.tracker.SuspectedElsewhere(start, r.parts[0]) && !r.tracker.Cleared(r.parts, f.now)
	if f.plain.repeated && r.attempts%2 == 1 && !mayHaveCrashed {
		r.attempts++
		f.sendPlain(r, w)
		return
	}
	if !r.deadly {
		f.plain.lost++
	}
	if r.attempts < 2*f.plain.repeats {
		r.attempts += r.attempts % 2
		f.after(time.Duration(100+f.rng.IntN(500))*time.Millisecond, func() { f.callerSends(r) })
	}
}

// latePlainArrivals returns the number of deadly requests that reached workers later than the bound.
func (f *fleet) latePlainArrivals() int {
	if len(f.crashes) < minCrashes {
		return 0
	}
	bound := f.crashes[minCrashes-1].Add(simSettle)
	return len(slices.DeleteFunc(slices.Clone(f.deadlyArrivals), func(at time.Time) bool { return !at.After(bound) }))
}

func (f *fleet) wronglyBlocked() []string {
	var names []string
	for _, t := range f.entries {
		for _, b := range t.Blocks() {
			if !slices.Equal(b.Names, []string{f.deadlyName()}) {
				names = append(names, b.Name())
			}
		}
	}
	return names
}

// plainDisturbances are what happens beside the deadly request.
var plainDisturbances = map[string]func(f *fleet){
	"undisturbed":   func(*fleet) {},
	"lost messages": func(f *fleet) { f.loss = 0.2 },
	"survivors":     func(f *fleet) { f.surviving = 0.4 },
	"seldom":        func(f *fleet) { f.deadlyShare = 0.01 },
	"often":         func(f *fleet) { f.deadlyShare = 0.3 },
	"restarts":      func(f *fleet) { f.every(400*time.Millisecond, func(n int) { f.restart(n % len(f.entries)) }) },
	"cut entry": func(f *fleet) {
		f.after(time.Second, func() { f.cut[0] = true })
		f.after(4*time.Second, func() { f.cut[0] = false; f.entries[0].Merge(f.entries[1].State(f.now), f.now) })
	},
	"zone loss": func(f *fleet) {
		f.after(2500*time.Millisecond, func() {
			for _, w := range f.workers[:len(f.workers)/3] {
				f.end(w, true)
			}
		})
	},
	"rolling restart of workers": func(f *fleet) {
		f.every(time.Second, func(n int) { f.end(f.workers[n%len(f.workers)], false) })
	},
	"random crashes": func(f *fleet) {
		f.every(7200*time.Millisecond/time.Duration(len(f.workers)), func(int) { f.end(f.workers[f.rng.IntN(len(f.workers))], true) })
	},
}

// Guards against a whole request that takes down the workers of a plain service again and again,
// and against a sound request that was lost beside it and is blocked in its stead.
func TestFleetFindsTheDeadlyRequest(t *testing.T) {
	seeds := map[int]uint64{3: 2, 8: 2, 40: 1, 149: 1}
	for name, disturb := range plainDisturbances {
		for _, service := range []struct {
			workers, zones int
			repeated       bool
		}{{3, 3, true}, {3, 3, false}, {3, 1, true}, {3, 1, false}, {24, 3, true}} {
			for _, entries := range []int{3, 8, 40, 149} {
				for seed := range seeds[entries] {
					t.Run(fmt.Sprintf("%s, %d workers in %d zones, repeated %t, %d entries, seed %d", name, service.workers, service.zones, service.repeated, entries, seed), func(t *testing.T) {
						t.Parallel()
						f := newPlainFleet(seed, entries, service.workers, service.zones, service.repeated)
						share := f.deadlyShare
						f.deadlyShare = 0
						f.run(2 * time.Second)
						f.deadlyShare = share
						disturb(f)
						f.run(20 * time.Second)
						if late := f.latePlainArrivals(); late > 3 {
							t.Errorf("%d deadly requests later than the bound", late)
						}
						if wrong := f.wronglyBlocked(); len(wrong) > 0 {
							t.Errorf("sound requests blocked: %v", wrong)
						}
						if f.soundRefused > 0 {
							t.Errorf("%d of %d sound requests refused", f.soundRefused, f.sound)
						}
						t.Logf("%d crashes, %d late, %d messages for each entry, %d sound requests lost", len(f.crashes), f.latePlainArrivals(), f.messages/entries, f.plain.lost)
					})
				}
			}
		}
	}
}

// Guards against a block where no request is deadly: in the loss of a zone, in a restart of the
// workers, and in crashes for other reasons, equal requests of a caller are lost again and again.
func TestFleetBlocksNoSoundRequest(t *testing.T) {
	for _, name := range []string{"zone loss", "rolling restart of workers", "random crashes"} {
		for _, workers := range []int{3, 24} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("%s, %d workers, seed %d", name, workers, seed), func(t *testing.T) {
					t.Parallel()
					f := newPlainFleet(seed, 8, workers, 3, true)
					f.deadlyShare = 0
					f.run(2 * time.Second)
					plainDisturbances[name](f)
					f.run(30 * time.Second)
					if wrong := f.wronglyBlocked(); len(wrong) > 0 || f.soundRefused > 0 {
						t.Errorf("blocked %v, %d refused", wrong, f.soundRefused)
					}
				})
			}
		}
	}
}
