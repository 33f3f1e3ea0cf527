package journal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

// simulation is a seeded history of several processes over one platform with faults, and
// the model that judges it. Each process performs its platform calls in two steps, so
// that everything else can happen before a call takes effect and before its result
// arrives.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	store     *platform.Memory
	processes []*process
	attempts  []*attempt
	keys      []*keyModel
	waiters   uint64
	// lateCalls holds calls of killed processes that may still reach the platform.
	lateCalls []*Op
	copies    []platform.Copy
	// faultPercent is the percentage of platform calls that fail.
	faultPercent int
	outage       bool
	trace        []string
	failure      string
	counts       map[string]int
	// operations is the history for the check of linearizability, timed by ticks.
	operations []porcupine.Operation
	ticks      int64
	// smallParts makes batches and segments hold a few entries, so that short histories
	// also close, load and rewrite segments.
	smallParts bool
}

const smallPartBytes = 500

// keyModel is what the model knows about one key.
type keyModel struct {
	name   string
	runs   int
	body   string
	answer string
}

type process struct {
	name        string
	incarnation int
	shard       *Shard
	pausedUntil time.Time
	op          *Op
	result      *Result
}

type attemptState string

const (
	attemptWaiting attemptState = "waiting"
	attemptGranted attemptState = "granted"
	attemptRunning attemptState = "running"
	attemptOver    attemptState = "over"
)

type attempt struct {
	waiter  uint64
	number  uint64
	process *process
	shard   *Shard
	key     *keyModel
	body    string
	state   attemptState
	called  int64
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, processes, keys int, smallParts bool) *simulation {
	w := &simulation{
		smallParts: smallParts,
		random:     rand.New(rand.NewPCG(seed, 7)), now: epoch, store: platform.NewMemory(), counts: map[string]int{},
	}
	w.store.Inject = w.inject
	for i := range processes {
		p := &process{name: fmt.Sprintf("vm-%d", i)}
		w.processes = append(w.processes, p)
		w.start(p)
	}
	for i := range keys {
		w.keys = append(w.keys, &keyModel{name: fmt.Sprintf("key-%d", i)})
	}
	return w
}

func (w *simulation) start(p *process) {
	p.incarnation++
	p.shard = NewShard(Identity{VM: p.name, Incarnation: fmt.Sprint(p.incarnation)}, "booking", 0)
	if w.smallParts {
		p.shard.openBytes = smallPartBytes
		p.shard.batchBytes = smallPartBytes
	}
	p.op = nil
	p.result = nil
	p.pausedUntil = time.Time{}
}

func (w *simulation) inject(verb, _ string) platform.Fault {
	if w.outage {
		return platform.FaultUnavailable
	}
	if w.random.IntN(100) >= w.faultPercent {
		return platform.NoFault
	}
	w.counts["platform fault"]++
	if verb == "get" || verb == "list" {
		return platform.FaultUnavailable
	}
	return []platform.Fault{
		platform.FaultUnavailable, platform.FaultLostResponse, platform.FaultLostRequest,
	}[w.random.IntN(3)]
}

func (w *simulation) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8s ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *simulation) fail(format string, args ...any) {
	w.log(format, args...)
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// record adds an operation that began at a tick and ends now.
func (w *simulation) record(a *attempt, kind, answer string, called int64) {
	w.ticks++
	w.operations = append(w.operations, porcupine.Operation{
		ClientId: int(a.waiter), Input: keyOp{a.key.name, kind, a.waiter, answer}, Call: called, Return: w.ticks,
	})
}

func (w *simulation) key(k *keyModel) Key { return Key{"shelfwatch", "booking", k.name} }

func (w *simulation) paused(p *process) bool { return w.now.Before(p.pausedUntil) }

func (w *simulation) begin(p *process, k *keyModel, body string) *attempt {
	w.waiters++
	a := &attempt{waiter: w.waiters, process: p, shard: p.shard, key: k, body: body, state: attemptWaiting, called: w.ticks}
	w.ticks++
	w.attempts = append(w.attempts, a)
	w.log("%s: call %d begins %s with body %s", p.name, a.waiter, k.name, body)
	w.reply(p, p.shard.Begin(Call{a.waiter, w.key(k), DigestOf([]byte(body))}, w.now))
	return a
}

// reply checks one reply against the model.
func (w *simulation) reply(p *process, r Reply) {
	if r.Kind == Waiting {
		return
	}
	index := slices.IndexFunc(w.attempts, func(a *attempt) bool { return a.waiter == r.Waiter })
	if index < 0 {
		w.fail("reply %+v to an unknown call", r)
		return
	}
	a := w.attempts[index]
	if a.state != attemptWaiting || a.shard != p.shard {
		w.fail("reply %+v to a call that does not wait", r)
		return
	}
	a.state = attemptOver
	switch r.Kind {
	case Granted:
		w.counts["reply granted"]++
		a.state = attemptGranted
		a.number = r.Attempt
		w.record(a, "granted", "", a.called)
		w.log("%s: call %d granted", p.name, a.waiter)
	case Replayed:
		w.counts["reply replayed"]++
		w.record(a, "replayed", string(r.Response.Body), a.called)
		w.log("%s: call %d gets %q", p.name, a.waiter, r.Response.Body)
		if a.key.answer == "" || string(r.Response.Body) != a.key.answer {
			w.fail("replay %q of %s, first answer %q", r.Response.Body, a.key.name, a.key.answer)
		}
		if a.body != a.key.body {
			w.fail("replay to body %s, the request that ran had %s", a.body, a.key.body)
		}
	default:
		w.counts["reply "+string(r.Err.Kind)]++
		w.log("%s: call %d refused: %v", p.name, a.waiter, r.Err)
		if r.Err.Kind == errkind.NotRun && r.Err.RetryAfter <= 0 {
			w.fail("not run without a time to retry")
		}
	}
}

// step moves one process: it issues, performs or finishes a platform call.
func (w *simulation) step(p *process) {
	switch {
	case p.op != nil && p.result == nil:
		w.perform(p)
	case w.paused(p):
	case p.result != nil:
		result := *p.result
		p.op = nil
		p.result = nil
		for _, r := range p.shard.HandleResult(result, w.now) {
			w.reply(p, r)
		}
	default:
		p.op, _ = p.shard.NextOp(w.now)
	}
}

func (w *simulation) perform(p *process) {
	result := perform(context.Background(), w.store, *p.op)
	p.result = &result
	w.log("%s: op %d on %s version %d: object version %d, %v",
		p.name, p.op.Kind, p.op.Key, p.op.Version, result.Object.Version, result.Err)
}

// kill ends a process at any point and starts its successor on the same VM.
func (w *simulation) kill(p *process) {
	w.log("%s: killed", p.name)
	if p.op != nil && p.result == nil && w.random.IntN(2) == 0 {
		w.lateCalls = append(w.lateCalls, p.op)
	}
	for _, rec := range p.shard.records.byKey {
		w.counts[fmt.Sprint("killed with a key in state ", rec.state)]++
	}
	for _, a := range w.attempts {
		if a.shard == p.shard {
			a.state = attemptOver
		}
	}
	w.start(p)
}

// run starts a granted attempt, or returns it unused.
func (w *simulation) run(a *attempt) {
	if w.random.IntN(4) == 0 {
		w.log("%s: call %d not started", a.process.name, a.waiter)
		a.state = attemptOver
		a.shard.NotStarted(w.key(a.key), a.number, w.now)
		w.counts["not started"]++
		w.record(a, "not started", "", w.ticks)
		return
	}
	a.state = attemptRunning
	a.key.runs++
	a.key.body = a.body
	w.counts["run"]++
	w.record(a, "run", "", w.ticks)
	w.log("%s: call %d runs %s", a.process.name, a.waiter, a.key.name)
	if a.key.runs > 1 {
		w.fail("%s ran twice", a.key.name)
	}
}

func (w *simulation) finish(a *attempt) {
	a.state = attemptOver
	if w.random.IntN(5) == 0 {
		w.log("%s: call %d lost", a.process.name, a.waiter)
		a.shard.OutcomeUnknown(w.key(a.key), a.number)
		return
	}
	a.key.answer = fmt.Sprintf("%s answered to call %d", a.key.name, a.waiter)
	w.log("%s: call %d completes", a.process.name, a.waiter)
	w.record(a, "complete", a.key.answer, w.ticks)
	a.shard.Complete(w.key(a.key), a.number, Response{Status: 200, Body: []byte(a.key.answer)}, w.now)
}

func (w *simulation) cancelWait(a *attempt) {
	w.log("%s: call %d leaves", a.process.name, a.waiter)
	a.state = attemptOver
	if !a.shard.CancelWait(a.waiter, w.key(a.key)) {
		w.fail("call %d waited without a place", a.waiter)
	}
}

// restore brings back an older copy while the owner lives. The package's limits
// exclude some cases: a process that observes the head as the copy shows it, another
// process that believes that it owns the shard, and calls that are still on their way.
func (w *simulation) restore() {
	index := w.random.IntN(len(w.copies))
	from := w.copies[index]
	owner := w.owner()
	if owner == nil || len(w.lateCalls) > 0 || w.paused(owner) || w.outage || w.restoreUndetectable(from, owner) {
		return
	}
	w.log("platform restored")
	w.counts["restore"]++
	w.store.Restore(from)
	// Later copies are not older states of the platform any more: they hold other
	// objects under the versions that the platform now issues again.
	w.copies = w.copies[:index+1]
	// The owner stays up until it has written its records back.
	faults := w.faultPercent
	w.faultPercent = min(faults, 10)
	for range 400 {
		w.now = w.now.Add(time.Duration(w.random.IntN(50)) * time.Millisecond)
		w.step(owner)
		w.step(owner)
		w.step(owner)
		w.step(w.processes[w.random.IntN(len(w.processes))])
		if w.random.IntN(10) == 0 {
			w.beginRandomCall()
		}
		if w.upToDate(owner) {
			w.faultPercent = faults
			return
		}
	}
	w.fail("the owner did not write its records back after a restore")
}

func (w *simulation) owner() *process {
	for _, p := range w.processes {
		if w.upToDate(p) {
			return p
		}
	}
	return nil
}

// upToDate reports whether the platform shows the process's last confirmed write and
// holds all segments that the process relies on, and no write-back is under way.
func (w *simulation) upToDate(p *process) bool {
	object, ok := w.readHead()
	if !ok || !p.shard.Owned() || p.shard.releasing || p.shard.sync.rewriting {
		return false
	}
	y := &p.shard.sync
	segments := append(slices.Clone(y.segments), y.rewrittenSegments...)
	if y.rolledSegment != nil {
		segments = append(segments, *y.rolledSegment)
	}
	for _, c := range segments {
		if found, ok := w.read(c.key); !ok || found.Version != c.version {
			return false
		}
	}
	h, err := decodeHead(object)
	return err == nil && h.sameWrite(y.head) && object.Version == y.version
}

func (w *simulation) readHead() (platform.Object, bool) { return w.read("journal/booking/0/head") }

// read returns an object as it is, without faults.
func (w *simulation) read(key string) (platform.Object, bool) {
	inject := w.store.Inject
	w.store.Inject = nil
	defer func() { w.store.Inject = inject }()
	object, err := w.store.Get(context.Background(), key)
	return object, err == nil
}

// restoreUndetectable reports whether another process could mistake the copy for the present.
func (w *simulation) restoreUndetectable(from platform.Copy, owner *process) bool {
	copied := platform.NewMemory()
	copied.Restore(from)
	object, err := copied.Get(context.Background(), "journal/booking/0/head")
	h, _ := decodeHead(object)
	for _, p := range w.processes {
		if p == owner {
			continue
		}
		y := &p.shard.sync
		if p.shard.Owned() || y.openBatch != nil || y.takeover != nil || p.op != nil {
			return true
		}
		o := y.observed
		recent := w.now.Sub(o.last) <= 2*pollInterval
		if recent && o.exists == (err == nil) && o.head.sameOwner(h) && o.head.Batch <= h.Batch {
			return true
		}
	}
	return false
}

// beginRandomCall repeats a random key through a random process.
func (w *simulation) beginRandomCall() {
	p := w.processes[w.random.IntN(len(w.processes))]
	if w.paused(p) {
		return
	}
	k := w.keys[w.random.IntN(len(w.keys))]
	body := "a"
	if w.random.IntN(10) == 0 {
		body = "b"
	}
	w.begin(p, k, body)
}

// withRandomAttempt applies an action to a random attempt of a state in a process that is not paused.
func (w *simulation) withRandomAttempt(state attemptState, action func(*attempt)) bool {
	var found []*attempt
	for _, a := range w.attempts {
		if a.state == state && !w.paused(a.process) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		return false
	}
	action(found[w.random.IntN(len(found))])
	return true
}
