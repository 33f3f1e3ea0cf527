package hosted

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model describes the weights of a model. Origin and workers derive the bytes from it.
type Model struct {
	Name       string
	Chunks     int
	ChunkBytes int
	Layers     int
}

// Chunk returns the correct bytes of a chunk of a version.
func (m Model) Chunk(version, index int) []byte {
	data := make([]byte, m.ChunkBytes)
	seed := sha256.Sum256(fmt.Appendf(nil, "%s/%d/%d", m.Name, version, index))
	for i := range data {
		data[i] = seed[i%len(seed)] ^ byte(i/len(seed))
	}
	return data
}

// Origin serves the manifests and chunks of all versions.
type Origin struct {
	Model Model
	// Newest is the version served to a request that names none. SetNewest changes it.
	Newest int

	mu         sync.Mutex
	chunksSent int
}

// SetNewest changes the newest version.
func (o *Origin) SetNewest(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Newest = version
}

// ChunksSent returns the number of chunk requests that were served.
func (o *Origin) ChunksSent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.chunksSent
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	version := o.Newest
	o.mu.Unlock()
	if text := r.URL.Query().Get("version"); text != "" {
		version, _ = strconv.Atoi(text)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/-/manifest/"):
		digests := make([]string, o.Model.Chunks)
		for i := range digests {
			sum := sha256.Sum256(o.Model.Chunk(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		respond(w, http.StatusOK, map[string]any{
			"model": o.Model.Name, "version": version, "chunk_bytes": o.Model.ChunkBytes, "layers": o.Model.Layers, "digests": digests,
		})
	case strings.HasPrefix(r.URL.Path, "/-/piece/"):
		index, _ := strconv.Atoi(r.URL.Query().Get("item_count"))
		o.mu.Lock()
		o.chunksSent++
		o.mu.Unlock()
		// The write fails only when the caller has disconnected.
		_, _ = w.Write(o.Model.Chunk(version, index))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Worker is a model worker, or a plain worker when its model has no name.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Address string
	Model   Model
	// EventGap is the time between the events of a stream, or the parts of a plain response.
	EventGap time.Duration
	Events   int
	// UnmarkedEvery is the number of responses of which one has neither a length nor chunks and
	// ends with its connection; zero for none.
	UnmarkedEvery int
	// RunTime is the time that a plain worker takes for a request.
	RunTime time.Duration
	// Slots is the number of requests that run at once by the worker's entry in the store; 16 when it is zero.
	Slots int
	// MaxRunning is the number of requests that run or wait at once. The worker refuses more; zero for no bound.
	MaxRunning int
	// StoreTime is the time that the worker takes to store a staged piece.
	StoreTime time.Duration
	// LoadTime is the time that loading all layers takes. With zero, a load neither takes time nor waits for the
	// requests that run.
	LoadTime time.Duration

	mu sync.Mutex
	// restarts counts the starts after the first.
	restarts int
	sequence int
	weights  weights
	runs     map[string]int
	lastRun  time.Time
	// badRuns are the requests that ran on layers that were not whole, and onCall returns how a call goes wrong.
	badRuns []BadRun
	onCall  func(Call) CallFault
	// limits are the changes of the stated limit, and arrivals the times of the requests that
	// arrived since the first.
	limits    []limitChange
	arrivals  []time.Time
	responses responses
	// running counts the requests that run, and pauses holds the pauses of each stream by its request.
	running int
	pauses  map[string]Pause
	breaks  Breaks
	// waits is how requests wait, and starts are their beginnings.
	waits      Waits
	starts     []Start
	standstill standstill
	// heads is how heads are broken off. headsDue counts the responses that may be, headsBroken those that were.
	heads                 HeadBreaks
	headsDue, headsBroken int
	// triggers are the kinds of requests on which the worker crashes, and onCrash ends its
	// connections. crashed is set until it has recovered.
	triggers []*Trigger
	onCrash  func()
	crashed  bool
	memory   memoryState
	// statement is what the worker states of its load.
	statement Statement
}

// SlowPath returns a path below a prefix for which a worker takes a time longer.
func SlowPath(prefix string, extra time.Duration) string {
	return fmt.Sprintf("%s%s%d/", prefix, slowSegment, extra.Milliseconds())
}

// slowSegment begins the segment of a path that holds the extra time in ms.
const slowSegment = "slow-"

// extraTime returns the extra time of a path.
func extraTime(path string) time.Duration {
	_, rest, _ := strings.Cut(path, "/"+slowSegment)
	text, _, _ := strings.Cut(rest, "/")
	ms, _ := strconv.Atoi(text) // zero without the segment
	return time.Duration(ms) * time.Millisecond
}

// Restart starts the worker again under its name, without a limit and without accepted orders.
func (w *Worker) Restart() {
	w.SetLimit("")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restarts++
	w.sequence = 0
}

// Runs returns how often the request with an id ran.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// LastRun returns when the last request started to run.
func (w *Worker) LastRun() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastRun
}

// Entry returns the worker's object of kind "servers" in the store.
func (w *Worker) Entry(state string) map[string]any {
	entry := w.state()
	entry["service"], entry["address"], entry["zone"], entry["slots"], entry["state"] = w.Service, w.Address, w.Zone, w.statedSlots(), state
	entry["cold_remaining_ms"] = 0
	return entry
}

func (w *Worker) state() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishLoad()
	state := map[string]any{"born": 1_700_000_000_000 + w.restarts, "stage": "both", "busy": w.weights.pending != nil, "sequence": w.sequence,
		"queued_requests": 0, "running_requests": 0, "kv_cache_used": 0, "kv_cache_total": 1000, "handles": 0}
	if held := w.weights; held.version > 0 {
		state["models"] = []map[string]any{{"name": w.Model.Name, "version": held.version, "adapters": []string{}}}
		state["layers"] = map[string]int{"from": held.from, "target": held.target, "version": held.version}
	}
	return state
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if call, ok := controlCall(r); ok {
		w.serveCall(out, r, call)
		return
	}
	if r.URL.Path == "/health" {
		w.health(out, r)
		return
	}
	w.serve(out, r)
}

// health answers the health check.
func (w *Worker) health(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	crashed := w.crashed
	w.mu.Unlock()
	w.awaitProgress()
	if crashed || w.awaitSilence(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("X-Laburnumgw-Instance-Id", w.ID)
	out.Header().Set("Content-Length", "0")
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	ctx, cancel := w.withDeadline(r.Context(), r, arrived)
	defer cancel()
	unclosed, cancelUnclosed := w.withDeadline(context.WithoutCancel(r.Context()), r, arrived)
	defer cancelUnclosed()
	id := r.Header.Get("X-Laburnumgw-Request-Id")
	out.Header().Set("X-Laburnumgw-Request-Id", id)
	w.awaitProgress()
	w.countArrival(out.Header())
	body, _ := io.ReadAll(r.Body) // a request whose body is cut off gets a response all the same
	run := newRun(r, body)
	w.countDeadlyArrival(run)
	if r.Header.Get("X-Laburnumgw-Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.finishLoad()
	version, fault := w.weights.version, w.weights.fault()
	if expected := r.Header.Get("X-Laburnumgw-Expect-Version"); (expected != "" && expected != strconv.Itoa(version)) || !w.holdsAllLayers() {
		w.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if text := w.statedLoad(); text != "" {
		out.Header().Set("X-Laburnumgw-Instance-Load", text)
	}
	if (w.MaxRunning > 0 && w.running >= w.MaxRunning) || w.closedForLoad() {
		w.mu.Unlock()
		refuse(out)
		return
	}
	w.running++
	defer w.runEnded()
	if w.runs == nil {
		w.runs = make(map[string]int)
	}
	w.runs[id]++
	w.lastRun = time.Now()
	w.mu.Unlock()
	defer w.release(body)
	if w.hold(body) {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("X-Laburnumgw-Server-Seal", "seal-"+w.ID)
	ahead := extraTime(r.URL.Path)
	if w.Model.Name == "" {
		ahead += w.runTime()
	}
	if err := w.work(unclosed, ahead); err != nil {
		if w.Model.Name == "" {
			endUnwritten(out, err)
		} else {
			w.refuseQueued(out, id)
		}
		return
	}
	if w.crashOn(run) {
		panic(http.ErrAbortHandler)
	}
	if kind := w.faultOf(Call{Kind: CallRequest}).Endless; kind != EndlessNone {
		sendWithoutEnd(out, kind)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if w.breakHead(out, "200 OK", after > 0) {
		return
	}
	if w.Model.Name == "" && w.respondVolume(out, r) {
		return
	}
	if w.Model.Name == "" {
		w.respondPlain(ctx, out, r, body)
		return
	}
	since := arrived
	defer func() { w.recordPause(id, since) }()
	switch err := w.awaitStart(ctx, unclosed, Start{ID: id, Version: version, Arrived: arrived}); {
	case errors.Is(err, errDeadline):
		w.refuseQueued(out, id)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("X-Laburnumgw-Weight-Versions", strconv.Itoa(version))
	out.Header().Set("Content-Type", "text/event-stream")
	breaks, unmarked := w.currentBreaks(), false
	if breaks.After == 0 || breaks.Inside || after > 0 {
		// A stream that is broken off between two events must not look whole.
		unmarked = w.leaveUnmarked(out.Header())
	}
	if breaks.failResumed(out, after) {
		return
	}
	for event := after + 1; event <= w.Events; event++ {
		breaks.breakOff(out, after+1, event)
		if err := w.awaitSilence(ctx); err != nil {
			breakOffStream(out, event, unmarked)
		}
		w.countToken(id, fault)
		w.boundUnread(out)
		fmt.Fprintf(out, "id: %d\ndata: version %d\n\n", event, version)
		if err := http.NewResponseController(out).Flush(); err != nil {
			w.countUnread(err)
			return
		}
		w.recordPause(id, since)
		since = time.Now()
		if err := w.work(ctx, w.EventGap); err != nil && event < w.Events {
			breakOffStream(out, event+1, unmarked)
		}
	}
	if unmarked {
		w.recordUnmarkedEnd(id, since)
	}
}
