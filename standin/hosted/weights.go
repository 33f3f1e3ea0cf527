package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// recentRot is how long a staged piece may have been spoilt when a layer is taken that needs it.
const recentRot = 3 * time.Second

// weights are the layers that a worker holds, all of one version, and what is staged at it.
type weights struct {
	// version is zero without layers. from and target, exclusive, bound them, and layers holds them.
	version, from, target int
	layers                map[int]error
	staged                map[int]piece
	// pending is the load that is in progress, and loads are all that were accepted.
	pending *pendingLoad
	loads   []Load
}

// piece is a staged piece.
type piece struct {
	data []byte
	// intact is what it was before it was spoilt, at spoiltAt.
	intact   []byte
	spoiltAt time.Time
}

// Load is a load order that a worker accepted.
type Load struct {
	Version, From, Target int
	At                    time.Time
	// Fault is why the layers that it took were not whole, or nil.
	Fault error
}

// pendingLoad is a load in progress, with the weights that the worker holds after it.
type pendingLoad struct {
	next  weights
	lasts time.Duration
	// alongside is set if requests run meanwhile.
	alongside bool
	// readyAt is zero until the requests that ran before have ended.
	readyAt time.Time
}

// BadRun is a request that ran on layers that were not whole when the worker took them.
type BadRun struct {
	ID     string
	At     time.Time
	Tokens int
	Fault  error
}

// Load makes a version the loaded one and stages all its chunks, for a worker that starts with weights.
func (w *Worker) Load(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights = weights{version: version, target: w.Model.Layers, layers: make(map[int]error), staged: make(map[int]piece)}
	for i := range w.Model.Chunks {
		w.weights.staged[i] = piece{data: w.Model.Chunk(version, i)}
	}
	for layer := range w.Model.Layers {
		w.weights.layers[layer] = nil
	}
}

// Version returns the loaded version.
func (w *Worker) Version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoad()
	return w.weights.version
}

// Serves reports whether the worker holds all layers of a version, which were whole when it took them, and loads nothing.
func (w *Worker) Serves(version int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoad()
	return w.weights.version == version && w.holdsAllLayers() && w.weights.pending == nil && w.weights.fault() == nil
}

// LayerFault returns why the layers that the worker holds were not whole when it took them, or nil.
func (w *Worker) LayerFault() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoad()
	return w.weights.fault()
}

// RunsOn reports whether the worker serves a version, and has begun a request on it, so that entries offer it.
func (w *Worker) RunsOn(version int) bool {
	return w.Serves(version) && slices.ContainsFunc(w.Starts(), func(s Start) bool { return s.Version == version })
}

// Loads returns the load orders that the worker accepted.
func (w *Worker) Loads() []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.weights.loads)
}

// BadRuns returns the requests that ran on layers that were not whole when the worker took them.
func (w *Worker) BadRuns() []BadRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.badRuns)
}

// RunErr returns an error if requests ran on layers that were not whole when the worker took them.
func (w *Worker) RunErr() error {
	runs, tokens := w.BadRuns(), 0
	for _, r := range runs {
		tokens += r.Tokens
	}
	if len(runs) == 0 {
		return nil
	}
	return fmt.Errorf("worker %s made %d tokens of %d requests on layers that were not whole, the first of %s at %s: %w",
		w.ID, tokens, len(runs), runs[0].ID, runs[0].At.UTC().Format("15:04:05.000"), runs[0].Fault)
}

// Err returns the loads that took layers which were not whole, and the requests that ran on such layers.
func (w *Worker) Err() error {
	all := []error{w.RunErr()}
	for _, l := range w.Loads() {
		if l.Fault != nil {
			all = append(all, fmt.Errorf("worker %s was ordered to load version %d: %w", w.ID, l.Version, l.Fault))
		}
	}
	return errors.Join(all...)
}

// Spoil damages a staged piece, if there is one.
func (w *Worker) Spoil(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.weights.staged[index]
	if !ok || len(p.data) == 0 || p.intact != nil {
		return
	}
	spoilt := slices.Clone(p.data)
	spoilt[len(spoilt)/2] ^= 0x40
	w.weights.staged[index] = piece{data: spoilt, intact: p.data, spoiltAt: time.Now()}
}

// store stages a piece.
func (w *Worker) store(index int, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.weights.staged == nil {
		w.weights.staged = make(map[int]piece)
	}
	w.weights.staged[index] = piece{data: data}
}

// order is a load order.
type order struct {
	Operation    string `json:"operation"`
	Version      int    `json:"version"`
	SwitchMode   string `json:"switch_mode"`
	Precondition *int   `json:"precondition"`
	From         *int   `json:"from"`
	Target       *int   `json:"target"`
}

// accept begins to execute an order, with what is staged now, and returns the status of the response.
func (w *Worker) accept(o order) int {
	from, target := 0, w.Model.Layers
	if o.From != nil {
		from = *o.From
	}
	if o.Target != nil {
		target = *o.Target
	}
	if o.Operation != "start" || o.SwitchMode != "wait" || from < 0 || target > w.Model.Layers || from >= target {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoad()
	held := w.weights
	switch {
	case (o.Precondition != nil && *o.Precondition != w.sequence) || held.pending != nil:
		return http.StatusConflict
	case held.version == o.Version && held.from == from && held.target == target:
		return http.StatusOK
	}
	w.sequence++
	load := &pendingLoad{next: weights{version: o.Version, from: from, target: target, layers: make(map[int]error)}}
	kept, taken := 0, []error(nil)
	for layer := from; layer < target; layer++ {
		fault, isHeld := held.layers[layer]
		if isHeld && held.version == o.Version {
			kept++
		} else {
			fault = w.checkLayer(layer, o.Version)
			taken = append(taken, fault)
		}
		load.next.layers[layer] = fault
	}
	load.alongside = kept > 0 && kept == len(held.layers)
	load.lasts = w.LoadTime * time.Duration(len(taken)) / time.Duration(w.Model.Layers)
	w.weights.loads = append(w.weights.loads, Load{o.Version, from, target, time.Now(), errors.Join(taken...)})
	w.weights.pending = load
	w.beginLoad()
	w.finishLoad()
	return http.StatusAccepted
}

// checkLayer returns why the staged pieces of a layer are not whole, or nil. The caller holds the lock.
func (w *Worker) checkLayer(layer, version int) error {
	chunks, layers := w.Model.Chunks, w.Model.Layers
	var faults []error
	for i := layer * chunks / layers; i < ((layer+1)*chunks+layers-1)/layers; i++ {
		if fault := w.checkPiece(i, version); fault != nil {
			faults = append(faults, fmt.Errorf("layer %d of version %d was taken with %w", layer, version, fault))
		}
	}
	return errors.Join(faults...)
}

func (w *Worker) checkPiece(index, version int) error {
	p, ok := w.weights.staged[index]
	want := w.Model.Chunk(version, index)
	spoiltFor := time.Since(p.spoiltAt)
	switch {
	case !ok:
		return fmt.Errorf("piece %d missing", index)
	case bytes.Equal(p.data, want), bytes.Equal(p.intact, want) && spoiltFor <= recentRot:
		return nil
	case bytes.Equal(p.intact, want):
		return fmt.Errorf("piece %d spoilt for %s", index, spoiltFor.Round(time.Millisecond))
	default:
		return fmt.Errorf("piece %d of another version or damaged", index)
	}
}

// beginLoad sets the end of the pending load, if nothing runs any more that it waits for. The caller holds the lock.
func (w *Worker) beginLoad() {
	load := w.weights.pending
	if load != nil && load.readyAt.IsZero() && (load.alongside || w.running == 0 || w.LoadTime == 0) {
		load.readyAt = time.Now().Add(load.lasts)
	}
}

// finishLoad puts the layers of the pending load in force if its time has passed. The caller holds the lock.
func (w *Worker) finishLoad() {
	load := w.weights.pending
	if load == nil || load.readyAt.IsZero() || time.Now().Before(load.readyAt) {
		return
	}
	load.next.staged, load.next.loads = w.weights.staged, w.weights.loads
	w.weights = load.next
}

// closedForLoad reports whether the worker accepts no requests until its load has ended. The caller holds the lock.
func (w *Worker) closedForLoad() bool {
	load := w.weights.pending
	return load != nil && !load.alongside
}

// holdsAllLayers reports whether requests without a path can run, as they can at a plain worker. The caller holds the lock.
func (w *Worker) holdsAllLayers() bool { return len(w.weights.layers) == w.Model.Layers }

// fault returns why the layers were not whole when they were taken, or nil.
func (held weights) fault() error {
	var faults []error
	for layer := held.from; layer < held.target; layer++ {
		faults = append(faults, held.layers[layer])
	}
	return errors.Join(faults...)
}

// countToken records a token of a request that is made with layers that were not whole.
func (w *Worker) countToken(id string, fault error) {
	if fault == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.badRuns {
		if w.badRuns[i].ID == id {
			w.badRuns[i].Tokens++
			return
		}
	}
	w.badRuns = append(w.badRuns, BadRun{ID: id, At: time.Now(), Tokens: 1, Fault: fault})
}
