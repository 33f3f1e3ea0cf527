package endpoint

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"go.uber.org/zap"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/swarm"
	"laburnumgw/lib/transfer"
	"laburnumgw/lib/weights"
)

// assignment is what this VM is to do for one model.
type assignment struct {
	model   string
	version string
	// digest is the version that the engine is to serve now.
	digest  string
	fencing uint64
}

// weightManager holds the versions that this VM is to serve, fetches them and
// commands the engine.
type weightManager struct {
	vm         string
	models     []string
	store      *weights.Store
	transfer   *transfer.Transfer
	originMbit float64
	log        *zap.Logger
	metrics    *endpointMetrics

	mu            sync.Mutex
	distributions map[string]*transfer.Distribution
	assignments   map[string]assignment
	fences        map[string]uint64
	// hashes holds the SHA-256 of each version as it was handed to the engine.
	hashes  map[string]string
	changed chan struct{}
}

func newWeightManager(s *Settings, t *transfer.Transfer, metrics *endpointMetrics, log *zap.Logger) *weightManager {
	return &weightManager{
		vm: s.VM, models: s.Models, store: weights.NewStore(s.WeightsMemoryMB * megabyte), transfer: t,
		originMbit: s.OriginMbit, log: log, metrics: metrics,
		distributions: make(map[string]*transfer.Distribution), assignments: make(map[string]assignment),
		fences: make(map[string]uint64), hashes: make(map[string]string), changed: make(chan struct{}, 1),
	}
}

// wanted is a version that this VM is to hold.
type wanted struct {
	version *laburnumgwv1.ModelVersion
	members []*laburnumgwv1.Assignment
}

// configure applies a configuration. Each VM of a model's placement fetches the
// configured version at once; which version it serves is in its assignment.
func (w *weightManager) configure(bundle *laburnumgwv1.ConfigBundle, snapshot *config.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	keep := make(map[string]wanted)
	for _, placement := range bundle.GetPlacements() {
		w.configureModel(bundle, snapshot, placement, keep)
	}
	for digest, d := range w.distributions {
		if _, ok := keep[digest]; !ok {
			w.drop(digest, d)
		}
	}
	for digest, target := range keep {
		w.ensure(digest, target, snapshot.Distribution)
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// configureModel reads one placement. The caller holds the lock.
func (w *weightManager) configureModel(bundle *laburnumgwv1.ConfigBundle, snapshot *config.Snapshot, placement *laburnumgwv1.Placement, keep map[string]wanted) {
	model := placement.GetModel()
	if !slices.Contains(w.models, model) {
		return
	}
	if placement.GetFencing() < w.fences[model] {
		w.metrics.staleCommands.Inc()
		w.log.Warn("refused a placement with an old fencing number", zap.String("model", model),
			zap.Uint64("fencing", placement.GetFencing()), zap.Uint64("highest", w.fences[model]))
		return
	}
	w.fences[model] = placement.GetFencing()
	own := ownAssignment(placement, w.vm)
	if own == nil {
		delete(w.assignments, model)
		return
	}
	if served := findVersion(bundle, model, own.GetVersionDigest()); served != nil {
		w.assignments[model] = assignment{model: model, version: served.GetVersion(), digest: served.GetManifestDigest(), fencing: placement.GetFencing()}
		keep[served.GetManifestDigest()] = wanted{served, placement.GetAssignments()}
	}
	if configured, ok := snapshot.Models[model]; ok {
		if next := findNamed(bundle, model, configured.Version); next != nil {
			keep[next.GetManifestDigest()] = wanted{next, placement.GetAssignments()}
		}
	}
}

func ownAssignment(placement *laburnumgwv1.Placement, vm string) *laburnumgwv1.Assignment {
	for _, a := range placement.GetAssignments() {
		if a.GetVm() == vm {
			return a
		}
	}
	return nil
}

func findVersion(bundle *laburnumgwv1.ConfigBundle, model, digest string) *laburnumgwv1.ModelVersion {
	for _, version := range bundle.GetModels() {
		if version.GetModel() == model && version.GetManifestDigest() == digest {
			return version
		}
	}
	return nil
}

func findNamed(bundle *laburnumgwv1.ConfigBundle, model, name string) *laburnumgwv1.ModelVersion {
	for _, version := range bundle.GetModels() {
		if version.GetModel() == model && version.GetVersion() == name {
			return version
		}
	}
	return nil
}

// ensure starts the distribution of a version or updates its members. The caller
// holds the lock.
func (w *weightManager) ensure(digest string, target wanted, limits config.Distribution) {
	if d, ok := w.distributions[digest]; ok {
		d.SetMembers(target.members)
		return
	}
	replica, err := w.reserve(target.version)
	if err != nil {
		w.log.Error("version cannot be held", zap.String("model", target.version.GetModel()), zap.String("version", digest), zap.Error(err))
		return
	}
	d, err := transfer.New(w.transfer, replica, w.originMbit*megabit*limits.OriginShare, swarm.Limits{UploadSlots: limits.UploadSlots})
	if err != nil {
		w.log.Error("distribution not started", zap.String("version", digest), zap.Error(err))
		return
	}
	w.distributions[digest] = d
	w.log.Info("distribution started", zap.String("model", target.version.GetModel()), zap.String("version", digest),
		zap.Int64("bytes", target.version.GetSize()), zap.Int("members", len(target.members)))
	go d.Run()
	go w.awaitWhole(digest, d)
	d.SetMembers(target.members)
}

// reserve sets memory aside. When it does not suffice, other versions of the model
// make room: the engine keeps serving from its own memory.
func (w *weightManager) reserve(version *laburnumgwv1.ModelVersion) (*weights.Replica, error) {
	manifest, err := weights.FromProto(version)
	if err != nil {
		return nil, err
	}
	replica, err := w.store.Reserve(manifest)
	if !errkind.Is(err, errkind.Unavailable) {
		return replica, err
	}
	for digest, d := range w.distributions {
		if d.Replica().Manifest().Model == manifest.Model {
			w.drop(digest, d)
		}
	}
	return w.store.Reserve(manifest)
}

func (w *weightManager) drop(digest string, d *transfer.Distribution) {
	d.Stop()
	delete(w.distributions, digest)
	delete(w.hashes, digest)
	w.store.Remove(d.Replica().Digest())
	w.log.Info("version dropped", zap.String("version", digest))
}

func (w *weightManager) awaitWhole(digest string, d *transfer.Distribution) {
	select {
	case <-d.Stopped():
		return
	case <-d.Completed():
	}
	origin, peers := d.ReceivedBytes()
	w.log.Info("version is whole", zap.String("version", digest), zap.Duration("duration", d.SinceStart()),
		zap.Int64("origin_bytes", origin), zap.Int64("peer_bytes", peers))
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *weightManager) distribution(digest string) (*transfer.Distribution, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	d, ok := w.distributions[digest]
	return d, ok
}

// ready returns the assignments whose versions are whole here.
func (w *weightManager) ready() map[string]assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make(map[string]assignment)
	for model, a := range w.assignments {
		if d, ok := w.distributions[a.digest]; ok && d.Replica().Complete() {
			list[model] = a
		}
	}
	return list
}

// assigned reports whether a model has an assignment here.
func (w *weightManager) assigned(model string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.assignments[model]
	return ok
}

func (w *weightManager) progress() []*laburnumgwv1.WeightProgress {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*laburnumgwv1.WeightProgress
	for _, d := range w.distributions {
		list = append(list, d.Progress())
	}
	return list
}

// handler serves whole versions to the engine on this VM.
func (w *weightManager) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{digest}", w.serveWeights)
	return mux
}

func (w *weightManager) serveWeights(out http.ResponseWriter, r *http.Request) {
	digest := r.PathValue("digest")
	d, ok := w.distribution(digest)
	if !ok {
		http.Error(out, "version is not held here", http.StatusNotFound)
		return
	}
	reader, err := d.Replica().Open()
	if err != nil {
		http.Error(out, err.Error(), http.StatusConflict)
		return
	}
	defer reader.Close()
	out.Header().Set("Content-Length", strconv.FormatInt(d.Replica().Manifest().Size, 10))
	hash := sha256.New()
	if _, err := io.Copy(io.MultiWriter(out, hash), reader); err != nil {
		w.log.Warn("engine stopped reading weights", zap.String("version", digest), zap.Error(err))
		return
	}
	w.mu.Lock()
	w.hashes[digest] = hex.EncodeToString(hash.Sum(nil))
	w.mu.Unlock()
}

// verifyLoaded checks that the engine read the whole version. An engine that reports
// no hash is checked by the version's name and size alone.
func (w *weightManager) verifyLoaded(a assignment, loaded engineModel) error {
	const remedy = "restart the engine; the version is loaded again"
	if loaded.Digest != "" && loaded.Digest != a.digest {
		return errkind.New(errkind.Corrupt, remedy, "engine loaded version %s, ordered was %s", loaded.Digest, a.digest)
	}
	w.mu.Lock()
	handed := w.hashes[a.digest]
	w.mu.Unlock()
	if loaded.SHA256 != "" && loaded.SHA256 != handed {
		return errkind.New(errkind.Corrupt, remedy, "engine holds weights with hash %q, handed over were %q", loaded.SHA256, handed)
	}
	return nil
}

// weightsURL returns the URL where the engine reads a version.
func weightsURL(listen, digest string) string {
	return fmt.Sprintf("http://%s/weights/%s", listen, digest)
}
