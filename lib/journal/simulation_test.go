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

// simulation is a seeded random history of several processes over one platform with
// faults, and the model that the history is checked against. Each process performs its
// platform calls in two steps, so that everything else can happen before a call takes
// effect and before its result arrives.
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
	name     string
	runs     int
	body     string
	response string
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
	sim := &simulation{
		smallParts: smallParts,
		random:     rand.New(rand.NewPCG(seed, 7)), now: epoch, store: platform.NewMemory(), counts: map[string]int{},
	}
	sim.store.Inject = sim.inject
	for i := range processes {
		p := &process{name: fmt.Sprintf("vm-%d", i)}
		sim.processes = append(sim.processes, p)
		sim.start(p)
	}
	for i := range keys {
		sim.keys = append(sim.keys, &keyModel{name: fmt.Sprintf("key-%d", i)})
	}
	return sim
}

func (sim *simulation) start(p *process) {
	p.incarnation++
	p.shard = NewShard(Identity{VM: p.name, Incarnation: fmt.Sprint(p.incarnation)}, "booking", 0)
	if sim.smallParts {
		p.shard.openBytes = smallPartBytes
		p.shard.batchBytes = smallPartBytes
	}
	p.op = nil
	p.result = nil
	p.pausedUntil = time.Time{}
}

func (sim *simulation) inject(verb, _ string) platform.Fault {
	if sim.outage {
		return platform.FaultUnavailable
	}
	if sim.random.IntN(100) >= sim.faultPercent {
		return platform.NoFault
	}
	sim.counts["platform fault"]++
	if verb == "get" || verb == "list" {
		return platform.FaultUnavailable
	}
	return []platform.Fault{
		platform.FaultUnavailable, platform.FaultLostResponse, platform.FaultLostRequest,
	}[sim.random.IntN(3)]
}

func (sim *simulation) log(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8s ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (sim *simulation) fail(format string, args ...any) {
	sim.log(format, args...)
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
	}
}

// record adds an operation that was called at a tick and returns now.
func (sim *simulation) record(a *attempt, kind, response string, called int64) {
	sim.ticks++
	sim.operations = append(sim.operations, porcupine.Operation{
		ClientId: int(a.waiter), Input: keyOp{a.key.name, kind, a.waiter, response}, Call: called, Return: sim.ticks,
	})
}

func (sim *simulation) key(k *keyModel) Key { return Key{"shelfwatch", "booking", k.name} }

func (sim *simulation) paused(p *process) bool { return sim.now.Before(p.pausedUntil) }

func (sim *simulation) begin(p *process, k *keyModel, body string) *attempt {
	sim.waiters++
	a := &attempt{waiter: sim.waiters, process: p, shard: p.shard, key: k, body: body, state: attemptWaiting, called: sim.ticks}
	sim.ticks++
	sim.attempts = append(sim.attempts, a)
	sim.log("%s: call %d begins %s with body %s", p.name, a.waiter, k.name, body)
	sim.reply(p, p.shard.Begin(Call{a.waiter, sim.key(k), DigestOf([]byte(body))}, sim.now))
	return a
}

// reply checks one reply against the model.
func (sim *simulation) reply(p *process, r Reply) {
	if r.Kind == Waiting {
		return
	}
	index := slices.IndexFunc(sim.attempts, func(a *attempt) bool { return a.waiter == r.Waiter })
	if index < 0 {
		sim.fail("reply %+v to an unknown call", r)
		return
	}
	a := sim.attempts[index]
	if a.state != attemptWaiting || a.shard != p.shard {
		sim.fail("reply %+v to a call that is not waiting", r)
		return
	}
	a.state = attemptOver
	switch r.Kind {
	case Granted:
		sim.counts["reply granted"]++
		a.state = attemptGranted
		a.number = r.Attempt
		sim.record(a, "granted", "", a.called)
		sim.log("%s: call %d granted", p.name, a.waiter)
	case Replayed:
		sim.counts["reply replayed"]++
		sim.record(a, "replayed", string(r.Response.Body), a.called)
		sim.log("%s: call %d gets %q", p.name, a.waiter, r.Response.Body)
		if a.key.response == "" || string(r.Response.Body) != a.key.response {
			sim.fail("replay %q of %s, first response %q", r.Response.Body, a.key.name, a.key.response)
		}
		if a.body != a.key.body {
			sim.fail("replay to body %s, the request that ran had %s", a.body, a.key.body)
		}
	default:
		sim.counts["reply "+string(r.Err.Kind)]++
		sim.log("%s: call %d refused: %v", p.name, a.waiter, r.Err)
		if r.Err.Kind == errkind.NotRun && r.Err.RetryAfter <= 0 {
			sim.fail("refusal as not run without a retry-after time")
		}
	}
}

// step advances one process: it issues, performs or finishes a platform call.
func (sim *simulation) step(p *process) {
	switch {
	case p.op != nil && p.result == nil:
		sim.perform(p)
	case sim.paused(p):
	case p.result != nil:
		result := *p.result
		p.op = nil
		p.result = nil
		for _, r := range p.shard.HandleResult(result, sim.now) {
			sim.reply(p, r)
		}
	default:
		p.op, _ = p.shard.NextOp(sim.now)
	}
}

func (sim *simulation) perform(p *process) {
	result := perform(context.Background(), sim.store, *p.op)
	p.result = &result
	sim.log("%s: op %d on %s version %d: object version %d, %v",
		p.name, p.op.Kind, p.op.Key, p.op.Version, result.Object.Version, result.Err)
}

// kill ends a process at any point and starts its successor on the same VM.
func (sim *simulation) kill(p *process) {
	sim.log("%s: killed", p.name)
	if p.op != nil && p.result == nil && sim.random.IntN(2) == 0 {
		sim.lateCalls = append(sim.lateCalls, p.op)
	}
	for _, rec := range p.shard.records.byKey {
		sim.counts[fmt.Sprint("killed with a key in state ", rec.state)]++
	}
	for _, a := range sim.attempts {
		if a.shard == p.shard {
			a.state = attemptOver
		}
	}
	sim.start(p)
}

// run starts a granted attempt, or returns it unused.
func (sim *simulation) run(a *attempt) {
	if sim.random.IntN(4) == 0 {
		sim.log("%s: call %d not started", a.process.name, a.waiter)
		a.state = attemptOver
		a.shard.NotStarted(sim.key(a.key), a.number, sim.now)
		sim.counts["not started"]++
		sim.record(a, "not started", "", sim.ticks)
		return
	}
	a.state = attemptRunning
	a.key.runs++
	a.key.body = a.body
	sim.counts["run"]++
	sim.record(a, "run", "", sim.ticks)
	sim.log("%s: call %d runs %s", a.process.name, a.waiter, a.key.name)
	if a.key.runs > 1 {
		sim.fail("%s ran twice", a.key.name)
	}
}

func (sim *simulation) finish(a *attempt) {
	a.state = attemptOver
	if sim.random.IntN(5) == 0 {
		sim.log("%s: call %d lost", a.process.name, a.waiter)
		a.shard.OutcomeUnknown(sim.key(a.key), a.number)
		return
	}
	a.key.response = fmt.Sprintf("%s answered to call %d", a.key.name, a.waiter)
	sim.log("%s: call %d completes", a.process.name, a.waiter)
	sim.record(a, "complete", a.key.response, sim.ticks)
	a.shard.Complete(sim.key(a.key), a.number, Response{Status: 200, Body: []byte(a.key.response)}, sim.now)
}

func (sim *simulation) cancelWait(a *attempt) {
	sim.log("%s: call %d cancels its wait", a.process.name, a.waiter)
	a.state = attemptOver
	if !a.shard.CancelWait(a.waiter, sim.key(a.key)) {
		sim.fail("call %d cancelled a wait that the shard does not hold", a.waiter)
	}
}

// restore brings back an older copy while the owner lives. The package's limits
// exclude some cases: a process that observes the head as the copy shows it, another
// process that assumes that it owns the shard, and calls that have not reached the
// platform yet.
func (sim *simulation) restore() {
	index := sim.random.IntN(len(sim.copies))
	from := sim.copies[index]
	owner := sim.owner()
	if owner == nil || len(sim.lateCalls) > 0 || sim.paused(owner) || sim.outage || sim.restoreUndetectable(from, owner) {
		return
	}
	sim.log("platform restored")
	sim.counts["restore"]++
	sim.store.Restore(from)
	// Later copies are no longer older states of the platform: they hold other
	// objects under the versions that the platform now issues again.
	sim.copies = sim.copies[:index+1]
	// The owner stays up until it has written its records back.
	faults := sim.faultPercent
	sim.faultPercent = min(faults, 10)
	for range 400 {
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(50)) * time.Millisecond)
		sim.step(owner)
		sim.step(owner)
		sim.step(owner)
		sim.step(sim.processes[sim.random.IntN(len(sim.processes))])
		if sim.random.IntN(10) == 0 {
			sim.beginRandomCall()
		}
		if sim.upToDate(owner) {
			sim.faultPercent = faults
			return
		}
	}
	sim.fail("the owner did not write its records back after a restore")
}

func (sim *simulation) owner() *process {
	for _, p := range sim.processes {
		if sim.upToDate(p) {
			return p
		}
	}
	return nil
}

// upToDate reports whether the platform shows the process's last confirmed write and
// holds all segments that the process relies on, and no write-back is under way.
func (sim *simulation) upToDate(p *process) bool {
	object, ok := sim.readHead()
	if !ok || !p.shard.Owned() || p.shard.releasing || p.shard.sync.rewriting {
		return false
	}
	state := &p.shard.sync
	segments := append(slices.Clone(state.segments), state.rewrittenSegments...)
	if state.rolledSegment != nil {
		segments = append(segments, *state.rolledSegment)
	}
	for _, c := range segments {
		if found, ok := sim.read(c.key); !ok || found.Version != c.version {
			return false
		}
	}
	h, err := decodeHead(object)
	return err == nil && h.sameWrite(state.head) && object.Version == state.version
}

func (sim *simulation) readHead() (platform.Object, bool) { return sim.read("journal/booking/0/head") }

// read returns an object as it is, without faults.
func (sim *simulation) read(key string) (platform.Object, bool) {
	inject := sim.store.Inject
	sim.store.Inject = nil
	defer func() { sim.store.Inject = inject }()
	object, err := sim.store.Get(context.Background(), key)
	return object, err == nil
}

// restoreUndetectable reports whether another process could take the restored copy for
// the current state.
func (sim *simulation) restoreUndetectable(from platform.Copy, owner *process) bool {
	copied := platform.NewMemory()
	copied.Restore(from)
	object, err := copied.Get(context.Background(), "journal/booking/0/head")
	h, _ := decodeHead(object)
	for _, p := range sim.processes {
		if p == owner {
			continue
		}
		state := &p.shard.sync
		if p.shard.Owned() || state.openBatch != nil || state.takeover != nil || p.op != nil {
			return true
		}
		o := state.observed
		recent := sim.now.Sub(o.last) <= 2*pollInterval
		if recent && o.exists == (err == nil) && o.head.sameOwner(h) && o.head.Batch <= h.Batch {
			return true
		}
	}
	return false
}

// beginRandomCall repeats a random key through a random process.
func (sim *simulation) beginRandomCall() {
	p := sim.processes[sim.random.IntN(len(sim.processes))]
	if sim.paused(p) {
		return
	}
	k := sim.keys[sim.random.IntN(len(sim.keys))]
	body := "a"
	if sim.random.IntN(10) == 0 {
		body = "b"
	}
	sim.begin(p, k, body)
}

// withRandomAttempt applies an action to a random attempt of a state in a process that is not paused.
func (sim *simulation) withRandomAttempt(state attemptState, action func(*attempt)) bool {
	var found []*attempt
	for _, a := range sim.attempts {
		if a.state == state && !sim.paused(a.process) {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		return false
	}
	action(found[sim.random.IntN(len(found))])
	return true
}
