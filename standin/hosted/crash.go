package hosted

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// deadlyPart is the part of prompts on which a worker crashes.
type deadlyPart struct {
	name string
	// onCrash ends the connections of the worker and starts it again later.
	onCrash func()
	// arrivals are the times of all requests with the part, and crashes those of the crashes.
	arrivals, crashes []time.Time
}

// countDeadlyArrival records the arrival of a request with the deadly part.
func (w *Worker) countDeadlyArrival(header http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadly.name != "" && slices.Contains(sharedParts(header), w.deadly.name) {
		w.deadly.arrivals = append(w.deadly.arrivals, time.Now())
	}
}

// SetDeadlyPart makes the worker crash whenever it begins to write a response to a prompt with a
// part, until the next call with an empty one. onCrash must end the connections of the worker.
func (w *Worker) SetDeadlyPart(part string, onCrash func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly.name, w.deadly.onCrash = part, onCrash
}

// crashOn reports whether the worker has crashed on a request.
func (w *Worker) crashOn(header http.Header) bool {
	w.mu.Lock()
	if w.deadly.name == "" || !slices.Contains(sharedParts(header), w.deadly.name) {
		w.mu.Unlock()
		return false
	}
	w.deadly.crashes = append(w.deadly.crashes, time.Now())
	w.version, w.sequence = 0, 0
	w.restarts++
	onCrash := w.deadly.onCrash
	w.mu.Unlock()
	onCrash()
	return true
}

// sharedParts returns the parts of the prompt of a request, without the last one.
func sharedParts(header http.Header) []string {
	entries := strings.Split(header.Get("X-Laburnumgw-Prompt-Prefix"), ",")
	parts := make([]string, 0, len(entries))
	for _, entry := range entries[:len(entries)-1] {
		part, _, _ := strings.Cut(entry, ":")
		parts = append(parts, part)
	}
	return parts
}

// Crashes returns the times of the crashes on the deadly part.
func (w *Worker) Crashes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.deadly.crashes)
}

// DeadlyArrivals returns the times of the requests with the deadly part.
func (w *Worker) DeadlyArrivals() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.deadly.arrivals)
}
