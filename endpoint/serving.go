package endpoint

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"laburnumgw/lib/admission"
)

const (
	// engineInterval separates two status calls to the engine.
	engineInterval = 250 * time.Millisecond
	// loadRetryDelay separates load commands that failed.
	loadRetryDelay = time.Second
)

// modelUse is the state of one model on the engine.
type modelUse struct {
	version servedVersion
	// loaded is false until the engine has verified weights.
	loaded bool
	// switching refuses new requests while the engine changes the version.
	switching bool
	inUse     int
	idle      chan struct{}
}

// serving commands the engine so that it serves what the placement says, and tells
// which version each request is answered by.
type serving struct {
	weights       *weightManager
	engine        *engineClient
	weightsListen string
	gate          *admission.Gate
	metrics       *endpointMetrics
	log           *zap.Logger
	onChange      func()

	mu      sync.Mutex
	models  map[string]*modelUse
	startID string
	cold    bool
	known   bool
}

func newServing(w *weightManager, engine *engineClient, weightsListen string, gate *admission.Gate, metrics *endpointMetrics, log *zap.Logger) *serving {
	return &serving{
		weights: w, engine: engine, weightsListen: weightsListen, gate: gate, metrics: metrics, log: log,
		onChange: func() {}, models: make(map[string]*modelUse),
	}
}

// use implements weightsState.
func (s *serving) use(model string) (servedVersion, func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	if !ok || !m.loaded || m.switching {
		return servedVersion{}, nil, false
	}
	m.inUse++
	return m.version, func() { s.endUse(m) }, true
}

func (s *serving) endUse(m *modelUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.inUse--
	if m.inUse == 0 && m.idle != nil {
		close(m.idle)
		m.idle = nil
	}
}

// served returns the digest that the engine serves for each model.
func (s *serving) served() map[string]string {
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

// run keeps the engine at what the placement says until the context ends.
func (s *serving) run(ctx context.Context) {
	ticker := time.NewTicker(engineInterval)
	defer ticker.Stop()
	for {
		s.observe(ctx)
		for model, a := range s.weights.ready() {
			if s.needsLoad(model, a) {
				s.change(ctx, a)
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

// observe reads the engine's status and notices restarts and returns to cold.
func (s *serving) observe(ctx context.Context) {
	status, err := s.engine.status(ctx)
	if err != nil {
		s.log.Debug("engine status failed", zap.Error(err))
		return
	}
	s.mu.Lock()
	restarted := s.known && status.StartID != s.startID
	turnedCold := s.known && status.Cold && !s.cold
	s.known = true
	s.startID = status.StartID
	s.cold = status.Cold
	lost := false
	for model, m := range s.models {
		if m.loaded && !m.switching && (restarted || status.Models[model].Digest != m.version.digest) {
			m.loaded = false
			lost = true
		}
	}
	s.mu.Unlock()
	if restarted || turnedCold || lost {
		s.metrics.coldStarts.Inc()
		s.log.Warn("engine is cold", zap.Bool("restarted", restarted), zap.Bool("weights_lost", lost))
		s.gate.ResetToCold()
	}
	if lost {
		s.onChange()
	}
}

func (s *serving) needsLoad(model string, a assignment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.models[model]
	return !ok || !m.loaded || m.version.digest != a.digest
}

// change drains the requests of a model, then orders the engine to load a version.
func (s *serving) change(ctx context.Context, a assignment) {
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

func (s *serving) beginSwitch(model string) *modelUse {
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

func (s *serving) awaitIdle(ctx context.Context, m *modelUse) bool {
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

// unassign stops serving models that the placement took away from this VM.
func (s *serving) unassign() {
	s.mu.Lock()
	changed := false
	for model, m := range s.models {
		if m.loaded && !s.weights.assigned(model) {
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
