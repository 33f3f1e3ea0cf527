package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// originBurst is the number of bytes sent without waiting for the link.
	originBurst = 1 << 20
	// maxBlobBytes bounds the weights of one model version.
	maxBlobBytes = 2 << 30
)

// OriginLimits are the rate limits of the origin.
type OriginLimits struct {
	RequestsPerSecond float64
	BytesPerSecond    float64
}

// Origin serves weights by byte range, with a limited link and request rate.
type Origin struct {
	requests *rate.Limiter
	link     *rate.Limiter
	served   atomic.Int64

	mu    sync.RWMutex
	blobs map[string][]byte
}

// NewOrigin returns an empty origin.
func NewOrigin(limits OriginLimits) *Origin {
	return &Origin{
		requests: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), max(1, int(limits.RequestsPerSecond))),
		link:     rate.NewLimiter(rate.Limit(limits.BytesPerSecond), originBurst),
		blobs:    make(map[string][]byte),
	}
}

// Handler returns the HTTP API.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/weights/{model}/{version}", o.put)
	mux.HandleFunc("GET /v1/weights/{model}/{version}", o.get)
	mux.HandleFunc("GET /admin/served", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int64{"bytes": o.served.Load()})
	})
	return mux
}

func blobKey(r *http.Request) string {
	return r.PathValue("model") + "/" + r.PathValue("version")
}

func (o *Origin) put(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBlobBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("read weights: %v", err), http.StatusRequestEntityTooLarge)
		return
	}
	o.mu.Lock()
	o.blobs[blobKey(r)] = content
	o.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
}

func (o *Origin) get(w http.ResponseWriter, r *http.Request) {
	if !o.requests.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit reached", http.StatusTooManyRequests)
		return
	}
	o.mu.RLock()
	content, ok := o.blobs[blobKey(r)]
	o.mu.RUnlock()
	if !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	limited := &limitedWriter{ResponseWriter: w, request: r, origin: o}
	http.ServeContent(limited, r, "", time.Time{}, bytes.NewReader(content))
}

// limitedWriter delays writes to the rate of the origin's link.
type limitedWriter struct {
	http.ResponseWriter
	request *http.Request
	origin  *Origin
}

// Write sends the bytes in parts of at most originBurst, each after the link's limiter
// has admitted it.
func (l *limitedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(len(data), written+originBurst)]
		if err := l.origin.link.WaitN(l.request.Context(), len(part)); err != nil {
			return written, fmt.Errorf("wait for link: %w", err)
		}
		n, err := l.ResponseWriter.Write(part)
		written += n
		l.origin.served.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
