package hosted

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is what a worker knows of a request that it begins to run.
type Run struct {
	// Path is the escaped path, without the query.
	Path      string
	Workspace string
	Body      string
	// SharedParts are the parts of the prompt, without the last one.
	SharedParts []string
}

// Trigger is a kind of request on which workers crash. Workers that have it in common share its
// counts.
type Trigger struct {
	matches func(Run) bool
	// survivalShare is the share of the runs that do not crash their worker.
	survivalShare float64

	mu                sync.Mutex
	rng               *rand.Rand
	arrivals, crashes []time.Time
}

// CrashOnPart returns a trigger of the requests whose prompt holds a part.
func CrashOnPart(part string) *Trigger {
	return newTrigger(func(run Run) bool { return slices.Contains(run.SharedParts, part) })
}

// CrashOnRequest returns a trigger of the requests of one workspace with one path and body.
func CrashOnRequest(path, workspace, body string) *Trigger {
	return newTrigger(func(run Run) bool { return run.Path == path && run.Workspace == workspace && run.Body == body })
}

func newTrigger(matches func(Run) bool) *Trigger {
	const seed = 1
	return &Trigger{matches: matches, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Surviving lets a share of the runs survive, and returns the trigger.
func (t *Trigger) Surviving(share float64) *Trigger {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.survivalShare = share
	return t
}

// Arrivals returns the times at which requests of this kind reached workers, in order.
func (t *Trigger) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.arrivals)
}

// Crashes returns the times of the crashes, in order.
func (t *Trigger) Crashes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.crashes)
}

func (t *Trigger) countArrival(run Run) {
	if !t.matches(run) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
}

// crashesOn reports whether a run crashes its worker.
func (t *Trigger) crashesOn(run Run) bool {
	if !t.matches(run) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng.Float64() < t.survivalShare {
		return false
	}
	t.crashes = append(t.crashes, time.Now())
	return true
}

// CrashOn makes the worker crash when it begins to run requests of the given kinds, until the
// next call. onCrash must end the connections of the worker, and call Recover later.
func (w *Worker) CrashOn(onCrash func(), triggers ...*Trigger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash, w.triggers = onCrash, triggers
}

// Crash ends the worker and starts it again at once under its name. It has lost its layers and the orders that it
// accepted, and still has what was staged. The caller ends its connections.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropLayers()
}

// dropLayers forgets what a worker loses in a crash. The caller holds the lock.
func (w *Worker) dropLayers() {
	w.weights = weights{staged: w.weights.staged, loads: w.weights.loads}
	w.sequence = 0
	w.restarts++
}

// Recover starts the worker again after a crash, without weights.
func (w *Worker) Recover() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = false
}

// countDeadlyArrival records a request that has reached the worker.
func (w *Worker) countDeadlyArrival(run Run) {
	w.mu.Lock()
	triggers := w.triggers
	w.mu.Unlock()
	for _, t := range triggers {
		t.countArrival(run)
	}
}

// crashOn reports whether the worker is down, or crashes on a request.
func (w *Worker) crashOn(run Run) bool {
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		return true
	}
	w.crashed = slices.ContainsFunc(w.triggers, func(t *Trigger) bool { return t.crashesOn(run) })
	if !w.crashed {
		w.mu.Unlock()
		return false
	}
	w.dropLayers()
	onCrash := w.onCrash
	w.mu.Unlock()
	onCrash()
	return true
}

// newRun returns what a worker knows of a request.
func newRun(r *http.Request, body []byte) Run {
	return Run{Path: r.URL.EscapedPath(), Workspace: r.Header.Get("X-Laburnumgw-Tenant"), Body: string(body), SharedParts: sharedParts(r.Header)}
}

// sharedParts returns the parts of the prompt of a request, without the last one.
func sharedParts(header http.Header) []string {
	entries := strings.Split(header.Get("X-Laburnumgw-Prompt-Prefix"), ",")
	parts := make([]string, 0, len(entries))
	for _, entry := range entries[:len(entries)-1] {
		part, _, _ := strings.Cut(entry, ":")
		parts = append(parts, part)
	}
	return parts
}
