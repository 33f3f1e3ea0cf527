package loadproof

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const grace = 3 * time.Second

var model = Model{Layers: 2, Chunks: 3}

// stagedChunk is a chunk that lies at the worker of a world.
type stagedChunk struct {
	version   int
	corrupt   bool
	corruptAt time.Duration
}

// sentWrite is a write that the worker of a world has not executed yet, if it ever does.
type sentWrite struct {
	id      WriteID
	chunk   int
	version int
	since   time.Duration
}

// takenLayer is a layer as the worker of a world took it.
type takenLayer struct {
	version int
	whole   bool
}

// world is a worker, what is on its way to it, and a process that stages and orders in any sequence.
type world struct {
	now      time.Duration
	start    int64
	sequence int
	staged   []stagedChunk
	layers   map[int]takenLayer
	writes   []sentWrite
	orders   []Order
	ledger   *Ledger
	// lost are writes of earlier processes.
	lost []sentWrite
}

func newWorld() *world {
	w := &world{start: 1, staged: make([]stagedChunk, model.Chunks), layers: make(map[int]takenLayer), ledger: New(grace)}
	w.observe()
	return w
}

func (w *world) holdings() Holdings {
	h := Holdings{StartedAtMs: w.start, Sequence: w.sequence}
	for i := range model.Layers {
		if held, ok := w.layers[i]; ok {
			if h.Layers.To == 0 {
				h.Layers.From = i
			}
			h.Layers.To, h.Version = i+1, held.version
		}
	}
	return h
}

func (w *world) observe() { w.ledger.Observe(w.holdings(), w.now) }

func (w *world) store(s sentWrite) { w.staged[s.chunk] = stagedChunk{version: s.version} }

func (w *world) isWhole(chunk, version int) bool {
	return w.staged[chunk].version == version && !w.staged[chunk].corrupt
}

// accept executes an order, and reports whether the worker accepts it.
func (w *world) accept(o Order) bool {
	if o.Sequence != w.sequence {
		return false
	}
	taken := make(map[int]takenLayer)
	begins := false
	for i := o.Layers.From; i < o.Layers.To; i++ {
		if held, ok := w.layers[i]; ok && held.version == o.Version {
			taken[i] = held
			continue
		}
		begins = true
		layer := takenLayer{version: o.Version, whole: true}
		chunks := model.ChunksOf(Range{From: i, To: i + 1})
		for c := chunks.From; c < chunks.To; c++ {
			s := w.staged[c]
			if s.version != o.Version || s.corrupt && w.now-s.corruptAt >= grace {
				layer.whole = false
			}
		}
		taken[i] = layer
	}
	if !begins && len(taken) == len(w.layers) {
		return false
	}
	w.sequence++
	w.layers = taken
	return true
}

// check fails if layers count as whole that the worker did not take whole.
func (w *world) check(t *rapid.T) {
	h := w.holdings()
	if h.Layers.To == 0 || w.ledger.State(h) != Whole {
		return
	}
	for i, held := range w.layers {
		if !held.whole {
			t.Fatalf("layer %d of version %d counts as whole", i, held.version)
		}
	}
}

// Guards against layers that count as whole although a chunk was corrupt, missing or of another version when the
// worker took it: with writes, reads and orders that are executed late, twice or never, corruption, silence, and
// restarts of the worker and of the process between any two steps.
func TestLayersThatCountAsWholeWereTakenWhole(t *testing.T) {
	proven := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		chunk := rapid.IntRange(0, model.Chunks-1)
		version := rapid.IntRange(1, 2)
		stage := func(c, v int) {
			s := sentWrite{id: w.ledger.BeginWrite(c, v), chunk: c, version: v, since: w.now}
			w.store(s)
			w.ledger.Settle(s.id, w.now)
			w.ledger.Verified(c, v, s.since)
		}
		order := func(v int) Order {
			if rapid.Bool().Draw(t, "read before the order") {
				w.observe()
			}
			return w.ledger.BeginOrder(model, v, w.ledger.Reload(model, v))
		}
		readBack := func() {
			chunks, v := w.ledger.Unread()
			for _, c := range chunks {
				w.ledger.ReadBack(c, w.isWhole(c, v))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
			},
			"chunk is staged": func(t *rapid.T) { stage(chunk.Draw(t, "chunk"), version.Draw(t, "version")) },
			"version is staged": func(t *rapid.T) {
				v := version.Draw(t, "version")
				for c := range model.Chunks {
					stage(c, v)
				}
			},
			"worker is read":       func(*rapid.T) { w.observe() },
			"chunks are read back": func(*rapid.T) { readBack() },
			"write is not answered": func(t *rapid.T) {
				c, v := chunk.Draw(t, "chunk"), version.Draw(t, "version")
				w.writes = append(w.writes, sentWrite{id: w.ledger.BeginWrite(c, v), chunk: c, version: v, since: w.now})
			},
			"write is executed late": func(t *rapid.T) {
				if len(w.writes) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.writes)-1).Draw(t, "write")
				s := w.writes[i]
				w.store(s)
				w.writes = slices.Delete(w.writes, i, i+1)
				if rapid.Bool().Draw(t, "seen") {
					w.ledger.Settle(s.id, w.now)
				} else {
					// It counts as outstanding for ever, and is executed once.
					w.ledger.Settle(0, w.now)
				}
			},
			"write of an earlier process is executed": func(t *rapid.T) {
				if len(w.lost) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.lost)-1).Draw(t, "write")
				w.store(w.lost[i])
				w.lost = slices.Delete(w.lost, i, i+1)
			},
			"chunk is read": func(t *rapid.T) {
				c, v := chunk.Draw(t, "chunk"), version.Draw(t, "version")
				if w.isWhole(c, v) {
					w.ledger.Verified(c, v, w.now)
				}
			},
			"chunk becomes corrupt": func(t *rapid.T) {
				c := chunk.Draw(t, "chunk")
				if !w.staged[c].corrupt {
					w.staged[c].corrupt, w.staged[c].corruptAt = true, w.now
				}
			},
			"order is answered": func(t *rapid.T) {
				o := order(version.Draw(t, "version"))
				if w.accept(o) {
					w.ledger.Accepted(o, w.now)
				} else {
					w.ledger.Refused(o)
				}
				if rapid.Bool().Draw(t, "read back") {
					readBack()
				}
			},
			"order is not answered": func(t *rapid.T) {
				w.orders = append(w.orders, order(version.Draw(t, "version")))
			},
			"order is executed late": func(t *rapid.T) {
				if len(w.orders) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
				w.accept(w.orders[i])
				w.orders = slices.Delete(w.orders, i, i+1)
			},
			"worker restarts": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "ends of connections are seen") {
					for _, s := range w.writes {
						w.ledger.Settle(s.id, w.now)
					}
				}
				w.start, w.sequence = w.start+1, 0
				w.layers, w.writes, w.orders, w.lost = make(map[int]takenLayer), nil, nil, nil
			},
			"process restarts": func(*rapid.T) {
				// Of the writes that an earlier process has sent to a chunk, one at most is outstanding.
				outstanding := slices.Concat(w.lost, w.writes)
				w.lost, w.writes = nil, nil
				for _, s := range outstanding {
					if slices.ContainsFunc(w.lost, func(other sentWrite) bool { return other.chunk == s.chunk }) {
						w.store(s)
					} else {
						w.lost = append(w.lost, s)
					}
				}
				w.ledger = New(grace)
				w.observe()
			},
			"": func(t *rapid.T) {
				w.check(t)
				if h := w.holdings(); h.Layers == model.All() && w.ledger.State(h) == Whole {
					proven++
				}
			},
		})
	})
	if proven == 0 {
		t.Error("no load was ever proven, so that nothing was checked")
	}
}
