package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceOptions configure a plain service.
type ServiceOptions struct {
	Delay time.Duration
}

// Service is a plain service that books shifts. It runs every request that it
// receives, since it does not recognise repeats.
type Service struct {
	options ServiceOptions

	mu   sync.Mutex
	runs map[string]int
	next int
}

// NewService returns a service without bookings.
func NewService(options ServiceOptions) *Service {
	return &Service{options: options, runs: make(map[string]int)}
}

// Booking is the response to a booking request.
type Booking struct {
	ID        int    `json:"id"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Shift     string `json:"shift"`
}

// Handler returns the HTTP API. GET /admin/runs returns the number of runs of each
// idempotency key.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, s.runs)
	})
	mux.HandleFunc("POST /", s.book)
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		writeJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path})
	})
	return mux
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Shift string `json:"shift"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&body); err != nil {
		http.Error(w, fmt.Sprintf("malformed booking: %v", err), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	s.next++
	id := s.next
	s.mu.Unlock()
	time.Sleep(s.options.Delay)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, http.StatusCreated, Booking{ID: id, RequestID: r.Header.Get("X-Request-Id"), Key: key, Shift: body.Shift})
}
