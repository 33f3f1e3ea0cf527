package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a simulation of entries before the same workers, in virtual time. Messages between
// entries and notices of crashes are delayed and may be lost.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	events  []simEvent
	entries []*Tracker
	// cut holds the entries that get and send no messages.
	cut map[int]bool
	// restartedAt holds when each entry was last restarted.
	restartedAt map[int]time.Time
	workers     []*simWorker
	// loss is the share of messages that are lost.
	loss float64
	// perSecond is the rate of requests, deadlyShare the part of them that hold deadlyPart, and
	// surviving the share of those that do not crash their worker.
	perSecond, deadlyShare, surviving float64
	crashes                           []time.Time
	deadlyArrivals                    []time.Time
	sound, soundRefused               int
	messages                          int
	// plain is set for a service whose requests have no parts and whose workers have no process
	// beside them.
	plain *plainService
}

type simEvent struct {
	at time.Time
	do func()
}

type simWorker struct {
	address, zone string
	start         int64
	down          bool
	waiting       []*simRequest
}

type simRequest struct {
	entry     int
	tracker   *Tracker
	parts     []string
	workspace string
	ended     bool
	// deadly and attempts are those of a plain service.
	deadly   bool
	attempts int
}

const (
	deadlyPart  = "deadly"
	simWait     = 120 * time.Millisecond
	simDownTime = 3 * time.Second
	simSettle   = 3 * time.Second
)

func newFleet(seed uint64, entries, workers int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, uint64(entries))), now: time.Unix(1_000_000, 0), cut: make(map[int]bool), restartedAt: make(map[int]time.Time),
		perSecond: 220, deadlyShare: 0.02,
	}
	for i := range entries {
		f.entries = append(f.entries, f.tracker(i))
	}
	for i := range workers {
		f.workers = append(f.workers, &simWorker{address: fmt.Sprintf("w%d", i), zone: fmt.Sprint(3 * i / workers)})
	}
	return f
}

func (f *fleet) tracker(i int) *Tracker {
	return New(f.rng.Uint64(), rand.New(rand.NewPCG(f.rng.Uint64(), uint64(i))))
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, simEvent{f.now.Add(d), do})
}

// run plays a time span in steps of a millisecond.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for n := f.perSecond / 1000; f.rng.Float64() < n; n-- {
			if f.plain != nil {
				f.plainRequest()
			} else {
				f.request()
			}
		}
		due := make([]simEvent, 0, 8)
		f.events = slices.DeleteFunc(f.events, func(e simEvent) bool {
			if e.at.After(f.now) {
				return false
			}
			due = append(due, e)
			return true
		})
		slices.SortStableFunc(due, func(a, b simEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, e := range due {
			e.do()
		}
		if f.now.UnixMilli()%10 == 0 {
			f.advance()
		}
	}
}

// advance lets the entries decide and send their messages.
func (f *fleet) advance() {
	for i, t := range f.entries {
		if !t.Pending() && f.now.UnixMilli()%1000 != 0 {
			continue
		}
		for _, message := range t.Advance(f.now) {
			for j := range f.entries {
				if j != i {
					f.deliver(i, j, message)
				}
			}
		}
		if f.now.UnixMilli()%1000 == 0 && t.Active(f.now) {
			from := f.rng.IntN(len(f.entries))
			if from != i && !f.cut[i] && !f.cut[from] {
				t.Merge(f.entries[from].State(f.now), f.now)
			}
		}
	}
}

func (f *fleet) deliver(from, to int, message Message) {
	f.messages++
	if f.cut[from] || f.cut[to] || f.rng.Float64() < f.loss {
		return
	}
	f.after(time.Duration(1+f.rng.IntN(5))*time.Millisecond, func() { f.entries[to].Merge(message, f.now) })
}

// request sends one request through a random entry. Sound ones have a part in common with the
// deadly ones, and popular, rare and new parts.
func (f *fleet) request() {
	deadly := f.rng.Float64() < f.deadlyShare
	parts := []string{fmt.Sprintf("system-%d", f.rng.IntN(3))}
	switch {
	case deadly:
		parts = append(parts, deadlyPart)
	case f.rng.IntN(2) == 0:
		parts = append(parts, fmt.Sprintf("popular-%d", f.rng.IntN(20)))
	case f.rng.IntN(2) == 0:
		parts = append(parts, fmt.Sprintf("rare-%d", f.rng.IntN(2000)))
	default:
		parts = append(parts, fmt.Sprintf("new-%d", f.now.Unix()/2))
	}
	i := f.rng.IntN(len(f.entries))
	r := &simRequest{entry: i, tracker: f.entries[i], parts: parts, workspace: fmt.Sprintf("ws-%d", f.rng.IntN(4))}
	if _, blocked := r.tracker.Match(r.parts, r.workspace); blocked {
		if !deadly {
			f.soundRefused++
		}
		return
	}
	up := slices.DeleteFunc(slices.Clone(f.workers), func(w *simWorker) bool { return w.down })
	if len(up) == 0 {
		return
	}
	w := up[f.rng.IntN(len(up))]
	if deadly {
		f.deadlyArrivals = append(f.deadlyArrivals, f.now)
	} else {
		f.sound++
	}
	w.waiting = append(w.waiting, r)
	f.after(simWait/2+time.Duration(f.rng.Int64N(int64(simWait))), func() { f.begin(w, r, deadly) })
}

func (f *fleet) begin(w *simWorker, r *simRequest, deadly bool) {
	if r.ended {
		return
	}
	if deadly && f.rng.Float64() >= f.surviving {
		f.crashes = append(f.crashes, f.now)
		f.end(w, true)
		return
	}
	r.ended = true
	w.waiting = slices.DeleteFunc(w.waiting, func(other *simRequest) bool { return other == r })
	r.tracker.Began(r.parts, f.now)
}

// end ends a worker, which is back later. Entries get a notice when the process beside it still
// runs.
func (f *fleet) end(w *simWorker, noticed bool) {
	if f.plain != nil {
		f.endPlain(w, noticed)
		return
	}
	start := Start{w.address, w.start}
	w.down = true
	for _, r := range w.waiting {
		r.ended = true
		r.tracker.Lost(start, r.parts, r.workspace, f.now)
	}
	w.waiting = nil
	notice := time.Duration(f.rng.Int64N(int64(150 * time.Millisecond)))
	for i := range f.entries {
		for repeat := range 2 {
			if noticed && f.rng.Float64() >= f.loss {
				f.after(notice+time.Duration(repeat)*150*time.Millisecond, func() {
					if !f.cut[i] {
						f.entries[i].Crashed(start, w.zone, f.now)
					}
				})
			}
		}
	}
	f.after(simDownTime, func() { w.down, w.start = false, w.start+1 })
}

// restart replaces an entry by one that knows what another one tells it.
func (f *fleet) restart(i int) {
	f.entries[i], f.restartedAt[i] = f.tracker(i), f.now
	f.entries[i].Merge(f.entries[(i+1)%len(f.entries)].State(f.now), f.now)
}

// lateArrivals returns the number of requests with the deadly part that reached workers later than
// the bound.
func (f *fleet) lateArrivals() int {
	if len(f.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range f.deadlyArrivals {
		if at.After(f.crashes[4].Add(simSettle)) {
			late++
		}
	}
	return late
}

// blockedSound returns the blocks without the deadly part.
func (f *fleet) blockedSound() []string {
	var names []string
	for _, t := range f.entries {
		for _, b := range t.Blocks() {
			if !slices.Contains(b.Names, deadlyPart) {
				names = append(names, b.Name())
			}
		}
	}
	return names
}

// Guards against entries that each judge by the few crashes they saw, and against the harm that a
// wrong judgement does: whatever happens to messages and entries, the deadly part is blocked
// everywhere in time and no other is.
func TestFleetFindsTheDeadlyPart(t *testing.T) {
	// The largest fleet takes most of the time.
	seeds := map[int]uint64{3: 2, 8: 2, 40: 2, 149: 1}
	for name, disturb := range map[string]func(f *fleet){
		"undisturbed":   func(*fleet) {},
		"lost messages": func(f *fleet) { f.loss = 0.2 },
		"survivors":     func(f *fleet) { f.surviving = 0.4 },
		"seldom":        func(f *fleet) { f.deadlyShare = 0.005 },
		"often":         func(f *fleet) { f.deadlyShare = 0.06 },
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
		"crash of half of the workers": func(f *fleet) {
			f.after(2500*time.Millisecond, func() {
				for i := 0; i < len(f.workers); i += 2 {
					f.end(f.workers[i], true)
				}
			})
		},
		"rolling restart of workers": func(f *fleet) {
			f.every(200*time.Millisecond, func(n int) { f.end(f.workers[n%len(f.workers)], false) })
		},
		"random crashes": func(f *fleet) {
			f.every(300*time.Millisecond, func(int) { f.end(f.workers[f.rng.IntN(len(f.workers))], true) })
		},
	} {
		for _, entries := range []int{3, 8, 40, 149} {
			for seed := range seeds[entries] {
				t.Run(fmt.Sprintf("%s, %d entries, seed %d", name, entries, seed), func(t *testing.T) {
					t.Parallel()
					f := newFleet(seed, entries, 24)
					share := f.deadlyShare
					f.deadlyShare = 0
					f.run(2 * time.Second)
					f.deadlyShare = share
					disturb(f)
					f.run(20 * time.Second)
					if len(f.crashes) < 3 {
						t.Fatalf("only %d crashes", len(f.crashes))
					}
					if late := f.lateArrivals(); late > 3 {
						t.Errorf("%d requests with the deadly part later than the bound", late)
					}
					if wrong := f.blockedSound(); len(wrong) > 0 {
						t.Errorf("sound parts blocked: %v", wrong)
					}
					if f.soundRefused > 0 {
						t.Errorf("%d of %d sound requests refused", f.soundRefused, f.sound)
					}
					t.Logf("%d crashes, %d late, %d messages for each entry", len(f.crashes), f.lateArrivals(), f.messages/entries)
				})
			}
		}
	}
}

// every calls a function again and again.
func (f *fleet) every(pause time.Duration, do func(n int)) {
	n := 0
	var again func()
	again = func() {
		do(n)
		n++
		f.after(pause, again)
	}
	f.after(pause, again)
}
