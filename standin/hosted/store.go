// Package hosted holds stand-ins of the users' platform for tests: its metadata store, a
// model worker, a plain worker and the origin of weights. They implement the part of the
// platform's formats that the daemon uses. The daemon never imports the package.
package hosted

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store in its JSON form.
type Object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Finalizers []string `json:"finalizers"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type event struct {
	Object  Object
	Deleted bool
	kind    string
}

// Store is the metadata store. It keeps its whole history until Compact is called.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []event
	oldest   int64
	changed  chan struct{}
	down     bool
	calls    int
	// era is stated in all responses. It rises with each Restore.
	era int
}

// Backup is a copy of the objects of a store.
type Backup struct {
	revision int64
	objects  map[string]map[string]Object
}

// Backup returns a copy of all objects.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{s.revision, cloneObjects(s.objects)}
}

// Restore replaces all objects by an earlier copy. Its later revisions are given out again, and
// its history is lost.
func (s *Store) Restore(backup Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects = backup.revision, cloneObjects(backup.objects)
	s.history, s.oldest = nil, backup.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	copied := make(map[string]map[string]Object, len(objects))
	for kind, byName := range objects {
		copied[kind] = maps.Clone(byName)
	}
	return copied
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, era: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// Put writes an object. It panics when the value has no JSON form.
func (s *Store) Put(kind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write replaces the value of an object and keeps its status. The caller holds the lock.
func (s *Store) write(kind, name string, raw json.RawMessage) Object {
	object := s.objects[kind][name]
	object.Specification = raw
	return s.replace(kind, name, object)
}

// replace stores an object under a new revision. The caller holds the lock.
func (s *Store) replace(kind, name string, object Object) Object {
	s.revision++
	object.Metadata.Name = name
	object.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = object
	s.record(event{Object: object, kind: kind})
	return object
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Metadata.Revision = s.revision
	s.record(event{Object: object, Deleted: true, kind: kind})
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history. Watches from an earlier revision are then answered 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
}

// SetDown starts or ends an outage, in which every call is answered 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPut && strings.HasSuffix(name, statusSuffix):
		s.putStatus(w, r, kind, strings.TrimSuffix(name, statusSuffix))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.put(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// statusSuffix ends the path of the status of an object.
const statusSuffix = "/status"

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only when the caller has disconnected.
	_, _ = w.Write(stored.encode())
}

// Status returns the status of an object, or nil.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Status
}

// putStatus replaces the status of an object, if it has the revision that the call names.
func (s *Store) putStatus(w http.ResponseWriter, r *http.Request, kind, name string) {
	var object Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := r.URL.Query().Get("revision")
	if object.Metadata.Revision != 0 {
		expected = strconv.FormatInt(object.Metadata.Revision, 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case object.Metadata.Name != "" && object.Metadata.Name != name:
		w.WriteHeader(http.StatusBadRequest)
	case expected != "" && expected != strconv.FormatInt(stored.Metadata.Revision, 10):
		respond(w, http.StatusConflict, stored)
	case string(stored.Status) == string(object.Status):
		respond(w, http.StatusOK, stored)
	default:
		stored.Status = object.Status
		respond(w, http.StatusOK, s.replace(kind, name, stored))
	}
}

// remove deletes an object, if it has the revision that the call names.
func (s *Store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	stored, exists := s.objects[kind][name]
	s.mu.Unlock()
	expected := r.URL.Query().Get("revision")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case expected != "" && expected != strconv.FormatInt(stored.Metadata.Revision, 10):
		respond(w, http.StatusConflict, stored)
	default:
		s.Delete(kind, name)
		respond(w, http.StatusOK, stored)
	}
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items [][]byte
	for _, object := range s.objects[kind] {
		items = append(items, object.encode())
	}
	respondPage(w, "items", items, s.revision)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		var events [][]byte
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e.encode())
			}
		}
		revision, changed, compacted, down := s.revision, s.changed, after < s.oldest || after > s.revision || s.era != era, s.down
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			respondPage(w, "events", events, revision)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respondPage(w, "events", events, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var object Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, exists := s.objects[kind][object.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists:
		respond(w, http.StatusConflict, stored)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && object.Metadata.Revision != 0 && object.Metadata.Revision != stored.Metadata.Revision:
		respond(w, http.StatusConflict, stored)
	case r.Method == http.MethodPut && name != object.Metadata.Name:
		w.WriteHeader(http.StatusBadRequest)
	case exists && string(stored.Specification) == string(object.Specification):
		respond(w, http.StatusOK, stored)
	default:
		respond(w, http.StatusOK, s.write(kind, object.Metadata.Name, object.Specification))
	}
}

func respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only when the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
