package endpoint

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
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

// assignment states which version of one model this VM is to serve.
type assignment struct {
	model   string
	version string
	// digest is the version that the engine is to serve now.
	digest  string
	fencing uint64
}

// weightManager fetches and holds the versions that this VM is to serve, and sends them to
// the engine.
type weightManager struct {
	vm         string
	models     []string
	store      *weights.Store
	transfer   *transfer.Transfer
	originMbit float64
	log        *zap.Logger
	metrics    *endpointMetrics

	mu             sync.Mutex
	distributions  map[string]*transfer.Distribution
	assignments    map[string]assignment
	highestFencing map[string]uint64
	// wanted holds the versions of each model that its last placement asked for, by their digests.
	wanted map[string]map[string]wantedVersion
	// handedOverHashes holds the SHA-256 of each version as it was sent to the engine.
	handedOverHashes map[string]string
	changed          chan struct{}
}

func newWeightManager(s *Settings, t *transfer.Transfer, metrics *endpointMetrics, log *zap.Logger) *weightManager {
	return &weightManager{
		vm: s.VM, models: s.Models, store: weights.NewStore(s.WeightsMemoryMB * megabyte), transfer: t,
		originMbit: s.OriginMbit, log: log, metrics: metrics,
		distributions: make(map[string]*transfer.Distribution), assignments: make(map[string]assignment),
		highestFencing: make(map[string]uint64), wanted: make(map[string]map[string]wantedVersion), handedOverHashes: make(map[string]string), changed: make(chan struct{}, 1),
	}
}

// wantedVersion is a version that this VM is to hold, with the VMs that share it.
type wantedVersion struct {
	version *laburnumgwv1.ModelVersion
	members []*laburnumgwv1.Assignment
}

// configure applies a configuration. Each VM of a model's placement fetches the
// configured version at once; which version it serves is in its assignment.
func (w *weightManager) configure(bundle *laburnumgwv1.ConfigBundle, snapshot *config.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	keep := make(map[string]wantedVersion)
	for _, placement := range bundle.GetPlacements() {
		w.configureModel(bundle, snapshot, placement)
		maps.Copy(keep, w.wanted[placement.GetModel()])
	}
	for digest, d := range w.distributions {
		if _, ok := keep[digest]; !ok {
			w.drop(digest, d)
		}
	}
	for digest, target := range keep {
		w.ensureDistribution(digest, target, snapshot.Distribution)
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// configureModel reads one placement. One with an old fencing number changes nothing. The caller holds the lock.
func (w *weightManager) configureModel(bundle *laburnumgwv1.ConfigBundle, snapshot *config.Snapshot, placement *laburnumgwv1.Placement) {
	model := placement.GetModel()
	if !slices.Contains(w.models, model) {
		return
	}
	if placement.GetFencing() < w.highestFencing[model] {
		w.metrics.staleCommands.Inc()
		w.log.Warn("refused a placement with an old fencing number", zap.String("model", model),
			zap.Uint64("fencing", placement.GetFencing()), zap.Uint64("highest", w.highestFencing[model]))
		return
	}
	w.highestFencing[model] = placement.GetFencing()
	keep := make(map[string]wantedVersion)
	w.wanted[model] = keep
	own := ownAssignment(placement, w.vm)
	if own == nil {
		delete(w.assignments, model)
		return
	}
	if served := findVersion(bundle, model, own.GetVersionDigest()); served != nil {
		w.assignments[model] = assignment{model: model, version: served.GetVersion(), digest: served.GetManifestDigest(), fencing: placement.GetFencing()}
		keep[served.GetManifestDigest()] = wantedVersion{served, placement.GetAssignments()}
	}
	if configured, ok := snapshot.Models[model]; ok {
		if next := findNamed(bundle, model, configured.Version); next != nil {
			keep[next.GetManifestDigest()] = wantedVersion{next, placement.GetAssignments()}
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

// ensureDistribution starts the distribution of a version or updates its members. The caller
// holds the lock.
func (w *weightManager) ensureDistribution(digest string, target wantedVersion, limits config.Distribution) {
	if d, ok := w.distributions[digest]; ok {
		d.SetMembers(target.members)
		return
	}
	replica, err := w.reserve(target.version)
	if err != nil {
		w.log.Error("version cannot be stored", zap.String("model", target.version.GetModel()), zap.String("version", digest), zap.Error(err))
		return
	}
	d, err := transfer.New(w.transfer, replica, w.originMbit*megabit*limits.OriginShare, swarm.Limits{UploadSlots: limits.UploadSlots})
	if err != nil {
		w.log.Error("distribution cannot be started", zap.String("version", digest), zap.Error(err))
		return
	}
	w.distributions[digest] = d
	w.log.Info("distribution started", zap.String("model", target.version.GetModel()), zap.String("version", digest),
		zap.Int64("bytes", target.version.GetSize()), zap.Int("members", len(target.members)))
	go d.Run()
	go w.awaitComplete(digest, d)
	d.SetMembers(target.members)
}

// reserve reserves memory for a version. If there is not enough, it drops the other versions
// of the model, which the engine keeps serving from its own memory.
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
	delete(w.handedOverHashes, digest)
	w.store.Remove(d.Replica().Digest())
	w.log.Info("version dropped", zap.String("version", digest))
}

func (w *weightManager) awaitComplete(digest string, d *transfer.Distribution) {
	select {
	case <-d.Stopped():
		return
	case <-d.Completed():
	}
	origin, peers := d.ReceivedBytes()
	w.log.Info("version is complete", zap.String("version", digest), zap.Duration("duration", d.SinceStart()),
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

// readyAssignments returns the assignments whose versions are complete on this VM.
func (w *weightManager) readyAssignments() map[string]assignment {
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

// isAssigned reports whether a model is assigned to this VM.
func (w *weightManager) isAssigned(model string) bool {
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

// handler returns the handler that serves complete versions to the engine on this VM.
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
	w.handedOverHashes[digest] = hex.EncodeToString(hash.Sum(nil))
	w.mu.Unlock()
}

// verifyLoaded checks that the engine loaded the ordered version completely, by the digest and
// the SHA-256 that the engine reports. A value that it does not report is not checked.
func (w *weightManager) verifyLoaded(a assignment, loaded engineModel) error {
	const remedy = "restart the engine; the version is loaded again"
	if loaded.Digest != "" && loaded.Digest != a.digest {
		return errkind.New(errkind.Corrupt, remedy, "engine loaded version %s instead of the ordered version %s", loaded.Digest, a.digest)
	}
	w.mu.Lock()
	handedOverHash := w.handedOverHashes[a.digest]
	w.mu.Unlock()
	if loaded.SHA256 != "" && loaded.SHA256 != handedOverHash {
		return errkind.New(errkind.Corrupt, remedy, "engine reports weights with hash %q, those sent to it have hash %q", loaded.SHA256, handedOverHash)
	}
	return nil
}

// weightsURL returns the URL where the engine reads a version.
func weightsURL(listen, digest string) string {
	return fmt.Sprintf("http://%s/weights/%s", listen, digest)
}
