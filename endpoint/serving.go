package endpoint

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/admission"
)

const (
	// engineStatusInterval is the interval between two status calls to the engine.
	engineStatusInterval = 250 * time.Millisecond
	// loadRetryDelay is the delay before the next load command after one that failed.
	loadRetryDelay = time.Second
)

// modelUse is the state of one model on the engine.
type modelUse struct {
	version servedVersion
	// loaded is set while the engine holds verified weights of an assigned version.
	loaded bool
	// switching is set from the decision to change the version until the engine serves the
	// new one. New requests are refused meanwhile.
	switching bool
	inUse     int
	idle      chan struct{}
}

// engineController commands the engine so that it serves the versions that the placement
// assigns, and states which version serves each request.
type engineController struct {
	weights       *weightManager
	engine        *engineClient
	weightsListen string
	gate          *admission.Gate
	metrics       *endpointMetrics
	log           *zap.Logger
	onChange      func()

	mu          sync.Mutex
	models      map[string]*modelUse
	startID     string
	cold        bool
	statusKnown bool
}

func newEngineController(w *weightManager, engine *engineClient, weightsListen string, gate *admission.Gate, metrics *endpointMetrics, log *zap.Logger) *engineController {
	return &engineController{
		weights: w, engine: engine, weightsListen: weightsListen, gate: gate, metrics: metrics, log: log,
		onChange: func() {}, models: make(map[string]*modelUse),
	}
}

// acquire implements weightsState.
func (s *engineController) acquire(model string) (servedVersion, func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	if !ok || !m.loaded || m.switching {
		return servedVersion{}, nil, false
	}
	m.inUse++
	return m.version, func() { s.release(m) }, true
}

func (s *engineController) release(m *modelUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.inUse--
	if m.inUse == 0 && m.idle != nil {
		close(m.idle)
		m.idle = nil
	}
}

// servedDigests returns the digest of the version that the engine serves for each model.
func (s *engineController) servedDigests() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]string)
	for model, m := range s.models {
		if m.loaded && !m.switching {
			list[model] = m.version.digest
		}
	}
	return list
}

// run makes the engine serve the assigned versions until the context ends.
func (s *engineController) run(ctx context.Context) {
	ticker := time.NewTicker(engineStatusInterval)
	defer ticker.Stop()
	for {
		s.pollEngine(ctx)
		for model, a := range s.weights.readyAssignments() {
			if s.needsLoad(model, a) {
				s.switchVersion(ctx, a)
			}
		}
		s.unassign()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.weights.changed:
		}
	}
}

// pollEngine reads the engine's status and detects restarts, lost weights and a return to the
// cold state.
func (s *engineController) pollEngine(ctx context.Context) {
	status, err := s.engine.status(ctx)
	if err != nil {
		s.log.Debug("engine status failed", zap.Error(err))
		return
	}
	s.mu.Lock()
	restarted := s.statusKnown && status.StartID != s.startID
	turnedCold := s.statusKnown && status.Cold && !s.cold
	s.statusKnown = true
	s.startID = status.StartID
	s.cold = status.Cold
	weightsLost := false
	for model, m := range s.models {
		if m.loaded && !m.switching && (restarted || status.Models[model].Digest != m.version.digest) {
			m.loaded = false
			weightsLost = true
		}
	}
	s.mu.Unlock()
	if restarted || turnedCold || weightsLost {
		s.metrics.coldStarts.Inc()
		s.log.Warn("engine is cold", zap.Bool("restarted", restarted), zap.Bool("weights_lost", weightsLost))
		s.gate.ResetToCold()
	}
	if weightsLost {
		s.onChange()
	}
}

func (s *engineController) needsLoad(model string, a assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	return !ok || !m.loaded || m.version.digest != a.digest
}

// switchVersion waits until the running requests of a model have ended, then orders the engine
// to load a version.
func (s *engineController) switchVersion(ctx context.Context, a assignment) {
	m := s.beginSwitch(a.model)
	s.onChange()
	if !s.awaitIdle(ctx, m) {
		return
	}
	s.log.Info("engine loads a version", zap.String("model", a.model), zap.String("version", a.digest), zap.Uint64("fencing", a.fencing))
	loaded, err := s.engine.load(ctx, loadCommand{
		Model: a.model, Version: a.version, Digest: a.digest, Source: weightsURL(s.weightsListen, a.digest), Fencing: a.fencing,
	})
	if err == nil {
		err = s.weights.verifyLoaded(a, loaded)
	}
	if err != nil {
		s.log.Error("engine did not load a version", zap.String("model", a.model), zap.String("version", a.digest), zap.Error(err))
		sleep(ctx, loadRetryDelay)
		return
	}
	s.gate.ResetToCold()
	s.mu.Lock()
	m.version = servedVersion{digest: a.digest, fingerprint: loaded.SHA256}
	m.loaded = true
	m.switching = false
	s.cold = true
	s.mu.Unlock()
	s.log.Info("engine serves a version", zap.String("model", a.model), zap.String("version", a.digest))
	s.onChange()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (s *engineController) beginSwitch(model string) *modelUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	if !ok {
		m = &modelUse{}
		s.models[model] = m
	}
	m.switching = true
	m.loaded = false
	if m.inUse > 0 && m.idle == nil {
		m.idle = make(chan struct{})
	}
	return m
}

func (s *engineController) awaitIdle(ctx context.Context, m *modelUse) bool {
	s.mu.Lock()
	idle := m.idle
	s.mu.Unlock()
	if idle == nil {
		return true
	}
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// unassign stops serving models that the placement no longer assigns to this VM.
func (s *engineController) unassign() {
	s.mu.Lock()
	changed := false
	for model, m := range s.models {
		if m.loaded && !s.weights.isAssigned(model) {
			m.loaded = false
			changed = true
			s.log.Info("model is no longer assigned", zap.String("model", model))
		}
	}
	s.mu.Unlock()
	if changed {
		s.onChange()
	}
}
