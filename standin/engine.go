package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultTokens is the length of a response when the request names none.
	defaultTokens = 16
	// maxEngineBody bounds a request body, in bytes.
	maxEngineBody = 8 << 20
	// overloadRefusal is how long an overloaded cold engine refuses requests.
	overloadRefusal = 3 * time.Second
)

// EngineOptions configure an engine.
type EngineOptions struct {
	StartID      string
	TokenDelay   time.Duration
	WarmLimit    int
	ColdLimit    int
	WarmAfter    int
	CheckFencing bool
	// NoResume makes the engine refuse to resume streams.
	NoResume bool
}

// LoadedModel describes the weights that an engine holds.
type LoadedModel struct {
	Version string `json:"version"`
	// Digest is the version digest that the load command named.
	Digest string `json:"digest"`
	// SHA256 is computed from the bytes that the engine received.
	SHA256 string `json:"sha256"`
	Bytes  int64  `json:"bytes"`
}

// LoadCommand orders an engine to load a model version from a URL.
type LoadCommand struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Digest  string `json:"digest"`
	Source  string `json:"source"`
	Fencing uint64 `json:"fencing"`
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	StartID  string                 `json:"start_id"`
	Cold     bool                   `json:"cold"`
	InFlight int                    `json:"in_flight"`
	Models   map[string]LoadedModel `json:"models"`
	// Overloads counts the requests refused above the engine's limit.
	Overloads int64 `json:"overloads"`
	// MaxInFlight is the largest number of concurrent requests so far.
	MaxInFlight int `json:"max_in_flight"`
	// Completed counts the requests that ran to completion.
	Completed int64 `json:"completed"`
	// Cancelled counts the requests that did not complete, as when their caller disconnects.
	Cancelled int64 `json:"cancelled"`
}

// Engine is a model engine with the HTTP conventions of model APIs.
type Engine struct {
	options EngineOptions

	mu          sync.Mutex
	status      EngineStatus
	fencing     map[string]uint64
	warmUp      int
	refuseUntil time.Time
}

// NewEngine returns a cold engine that holds no model.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{
		options: options,
		status:  EngineStatus{StartID: options.StartID, Cold: true, Models: make(map[string]LoadedModel)},
		fencing: make(map[string]uint64),
	}
}

// Handler returns the HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/load", e.load)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Status())
	})
	mux.HandleFunc("POST /admin/cold", func(w http.ResponseWriter, _ *http.Request) {
		e.ResetToCold()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Status returns a copy of the engine's status.
func (e *Engine) Status() EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	status.Models = make(map[string]LoadedModel, len(e.status.Models))
	for name, model := range e.status.Models {
		status.Models[name] = model
	}
	return status
}

// ResetToCold makes the engine cold again, as after the loss of its cache.
func (e *Engine) ResetToCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Cold = true
	e.warmUp = 0
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var command LoadCommand
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&command); err != nil {
		http.Error(w, "malformed load command", http.StatusBadRequest)
		return
	}
	if !e.acceptFencing(command) {
		http.Error(w, "fencing number is too old", http.StatusConflict)
		return
	}
	loaded, err := fetchModel(r.Context(), command)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	e.status.Models[command.Model] = loaded
	e.status.Cold = true
	e.warmUp = 0
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, loaded)
}

func (e *Engine) acceptFencing(command LoadCommand) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencing && command.Fencing < e.fencing[command.Model] {
		return false
	}
	e.fencing[command.Model] = max(e.fencing[command.Model], command.Fencing)
	return true
}

func fetchModel(ctx context.Context, command LoadCommand) (LoadedModel, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, command.Source, nil)
	if err != nil {
		return LoadedModel{}, fmt.Errorf("build weight request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return LoadedModel{}, fmt.Errorf("fetch weights: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return LoadedModel{}, fmt.Errorf("fetch weights: status %d", response.StatusCode)
	}
	hash := sha256.New()
	n, err := io.Copy(hash, response.Body)
	if err != nil {
		return LoadedModel{}, fmt.Errorf("read weights: %w", err)
	}
	if response.ContentLength >= 0 && n != response.ContentLength {
		return LoadedModel{}, errors.New("weights ended early")
	}
	sum := hex.EncodeToString(hash.Sum(nil))
	return LoadedModel{Version: command.Version, Digest: command.Digest, SHA256: sum, Bytes: n}, nil
}

// ChatRequest is the part of a chat request that the engine reads.
type ChatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request ChatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&request); err != nil {
		http.Error(w, "malformed chat request", http.StatusBadRequest)
		return
	}
	model, refusal := e.start(request.Model)
	if refusal != nil {
		refusal(w)
		return
	}
	done := false
	defer func() { e.finish(done) }()
	resume, _ := strconv.Atoi(r.Header.Get("X-Resume-Tokens"))
	if resume > 0 && e.options.NoResume {
		http.Error(w, "resume is not supported", http.StatusNotImplemented)
		return
	}
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if request.Stream {
		done = e.stream(w, r, request, model, resume, tokens)
		return
	}
	done = e.complete(w, r, request, model, tokens)
}

// start takes a slot, or returns a function that writes the error response.
func (e *Engine) start(name string) (LoadedModel, func(http.ResponseWriter)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, ok := e.status.Models[name]
	if !ok {
		return model, func(w http.ResponseWriter) { http.Error(w, "model is not loaded", http.StatusNotFound) }
	}
	unavailable := func(w http.ResponseWriter) {
		http.Error(w, "engine fell over under load", http.StatusServiceUnavailable)
	}
	if time.Now().Before(e.refuseUntil) {
		return model, unavailable
	}
	limit := e.options.WarmLimit
	if e.status.Cold {
		limit = e.options.ColdLimit
	}
	if e.status.InFlight >= limit {
		e.status.Overloads++
		if e.status.Cold {
			e.refuseUntil = time.Now().Add(overloadRefusal)
		}
		return model, unavailable
	}
	e.status.InFlight++
	e.status.MaxInFlight = max(e.status.MaxInFlight, e.status.InFlight)
	return model, nil
}

func (e *Engine) finish(done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.InFlight--
	if !done {
		e.status.Cancelled++
		return
	}
	e.status.Completed++
	e.warmUp++
	if e.warmUp >= e.options.WarmAfter {
		e.status.Cold = false
	}
}

// token returns the token at a position. It depends on the prompt and the weights
// only, so that a resumed stream continues with the same text.
func token(request ChatRequest, model LoadedModel, position int) string {
	seed := fmt.Sprintf("%s|%s|%d", request.Messages, model.SHA256, position)
	return fmt.Sprintf("t%06x ", xxhash.Sum64String(seed)&0xffffff)
}

type chatDelta struct {
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason string     `json:"finish_reason,omitempty"`
}

type chatResponse struct {
	ID                string       `json:"id"`
	Object            string       `json:"object"`
	Model             string       `json:"model"`
	SystemFingerprint string       `json:"system_fingerprint"`
	Choices           []chatChoice `json:"choices"`
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request ChatRequest, model LoadedModel, resume, tokens int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for position := resume; position < tokens; position++ {
		if !e.wait(r.Context()) {
			return false
		}
		choice := chatChoice{Delta: &chatDelta{Content: token(request, model, position)}}
		if position == tokens-1 {
			choice.FinishReason = "stop"
		}
		event, err := json.Marshal(chatResponse{
			ID: r.Header.Get("X-Request-Id"), Object: "chat.completion.chunk", Model: request.Model,
			SystemFingerprint: model.SHA256, Choices: []chatChoice{choice},
		})
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return false
		}
		if err := controller.Flush(); err != nil {
			return false
		}
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, request ChatRequest, model LoadedModel, tokens int) bool {
	text := ""
	for position := range tokens {
		if !e.wait(r.Context()) {
			return false
		}
		text += token(request, model, position)
	}
	writeJSON(w, http.StatusOK, chatResponse{
		ID: r.Header.Get("X-Request-Id"), Object: "chat.completion", Model: request.Model, SystemFingerprint: model.SHA256,
		Choices: []chatChoice{{Message: &chatDelta{Content: text}, FinishReason: "stop"}},
	})
	return true
}

func (e *Engine) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(e.options.TokenDelay):
		return true
	}
}
