// Package standin holds stand-ins of the external systems: the platform's object
// API, the origin of weights, a model engine and a plain service. The daemon never
// imports the package.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"laburnumgw/lib/platform"
)

// PlatformLimits are the rates above which the platform answers 429.
type PlatformLimits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Platform serves the platform's object API over HTTP from memory.
type Platform struct {
	store  *platform.Memory
	reads  *rate.Limiter
	writes *rate.Limiter
	down   atomic.Bool
}

// NewPlatform returns an empty platform.
func NewPlatform(limits PlatformLimits) *Platform {
	return &Platform{
		store:  platform.NewMemory(),
		reads:  rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), int(limits.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), int(limits.WritesPerSecond)),
	}
}

// Store returns the object store, for tests that inject faults.
func (p *Platform) Store() *platform.Memory { return p.store }

// SetDown starts or ends an outage, in which every object request is answered 503.
func (p *Platform) SetDown(down bool) { p.down.Store(down) }

// Handler returns the HTTP API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects", p.limited(p.reads, p.list))
	mux.HandleFunc("GET /v1/watch", p.limited(p.reads, p.watch))
	mux.HandleFunc("GET /v1/objects/{key...}", p.limited(p.reads, p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.limited(p.writes, p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.limited(p.writes, p.remove))
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.store.Calls())
	})
	mux.HandleFunc("POST /admin/down", func(w http.ResponseWriter, r *http.Request) {
		p.SetDown(r.URL.Query().Get("value") == "true")
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (p *Platform) limited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.down.Load() {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit reached", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.store.Get(r.Context(), r.PathValue("key"))
	respond(w, http.StatusOK, object, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	objects, version, err := p.store.List(r.Context(), r.URL.Query().Get("prefix"))
	respond(w, http.StatusOK, map[string]any{"objects": objects, "version": version}, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), platform.WatchTimeout)
	defer cancel()
	events, version, err := p.store.Watch(ctx, r.URL.Query()["prefix"], after)
	respond(w, http.StatusOK, map[string]any{"events": events, "version": version}, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "read body", http.StatusBadRequest)
		return
	}
	if len(value) > platform.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	if r.Header.Get("If-None-Match") == "*" {
		object, err := p.store.Create(r.Context(), key, value)
		respond(w, http.StatusCreated, object, err)
		return
	}
	version, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match or If-None-Match is required", http.StatusPreconditionRequired)
		return
	}
	object, err := p.store.Update(r.Context(), key, value, version)
	respond(w, http.StatusOK, object, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is required", http.StatusPreconditionRequired)
		return
	}
	err = p.store.Delete(r.Context(), r.PathValue("key"), version)
	respond(w, http.StatusOK, struct{}{}, err)
}

func respond(w http.ResponseWriter, status int, value any, err error) {
	switch {
	case err == nil:
		writeJSON(w, status, value)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrTooOld):
		http.Error(w, err.Error(), http.StatusGone)
	case platform.IsUnknown(err):
		abortConnection(w)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// abortConnection closes the connection without a response.
func abortConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	connection.Close()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Serve runs an HTTP server until the context ends, then waits up to 10 s for open requests.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return fmt.Errorf("listen on %s: %w", address, err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil && !strings.Contains(err.Error(), "deadline") {
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}
