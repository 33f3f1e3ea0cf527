package weights

import (
	"io"
	"slices"
	"sync"

	"laburnumgw/lib/errkind"
)

// Store holds the chunks of model versions in memory. The limit covers the full size
// of every reserved version, and of removed versions that are still being read.
type Store struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	replicas map[Digest]*Replica
}

// NewStore returns an empty store with a limit in bytes.
func NewStore(limit int64) *Store {
	return &Store{limit: limit, replicas: make(map[Digest]*Replica)}
}

// Used returns the reserved bytes.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Limit returns the byte limit.
func (s *Store) Limit() int64 { return s.limit }

// Reserve reserves memory for a version and returns its replica. A version that
// is already reserved returns the existing replica. It fails with errkind.TooLarge
// when the version exceeds the limit by itself, and with errkind.Unavailable when
// other versions occupy the memory.
func (s *Store) Reserve(manifest *Manifest) (*Replica, error) {
	if err := manifest.Validate(); err != nil {
		return nil, err
	}
	copied := *manifest
	copied.Chunks = slices.Clone(manifest.Chunks)
	digest := copied.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.replicas[digest]; ok {
		return existing, nil
	}
	if copied.Size > s.limit {
		return nil, errkind.New(errkind.TooLarge, "raise --weights-memory-mb or place the model on larger VMs",
			"%s %s needs %d bytes, the limit is %d", copied.Model, copied.Version, copied.Size, s.limit)
	}
	if copied.Size > s.limit-s.used {
		return nil, errkind.New(errkind.Unavailable, "remove another version first",
			"%s %s needs %d bytes, %d of %d are in use", copied.Model, copied.Version, copied.Size, s.used, s.limit)
	}
	s.used += copied.Size
	replica := &Replica{
		store:    s,
		manifest: &copied,
		digest:   digest,
		chunks:   make([][]byte, len(copied.Chunks)),
		held:     NewBitmap(len(copied.Chunks)),
	}
	s.replicas[digest] = replica
	return replica, nil
}

// Replica returns the replica of a version, or an errkind.NotFound error.
func (s *Store) Replica(digest Digest) (*Replica, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica, ok := s.replicas[digest]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "reserve the version first", "version %s is not held", digest)
	}
	return replica, nil
}

// Remove removes a version and reports whether the store held it. Open readers can still
// read the complete version; its memory is released when the last of them is closed.
func (s *Store) Remove(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica, ok := s.replicas[digest]
	if !ok {
		return false
	}
	delete(s.replicas, digest)
	replica.removed = true
	replica.releaseIfUnused()
	return true
}

// Replica is the copy of one version in a store. The store's mutex guards it.
type Replica struct {
	store    *Store
	manifest *Manifest
	digest   Digest
	chunks   [][]byte
	held     Bitmap
	count    int
	readers  int
	removed  bool
	released bool
}

// Digest returns the digest of the version.
func (r *Replica) Digest() Digest { return r.digest }

// Manifest returns the manifest of the version. Callers must not change it.
func (r *Replica) Manifest() *Manifest { return r.manifest }

// releaseIfUnused releases the memory of a removed replica that has no open reader. Callers hold the mutex.
func (r *Replica) releaseIfUnused() {
	if !r.removed || r.readers > 0 || r.released {
		return
	}
	r.released = true
	r.store.used -= r.manifest.Size
	r.chunks = nil
}

func (r *Replica) errRemoved() error {
	return errkind.New(errkind.Stale, "use the current version", "version %s was removed", r.digest)
}

// Put verifies a copy of data and stores it. A chunk that is already held is not replaced.
// It fails with errkind.Corrupt when the bytes do not match the manifest, and with
// errkind.Stale when the version was removed.
func (r *Replica) Put(index int, data []byte) error {
	copied := slices.Clone(data)
	if err := r.manifest.Verify(index, copied); err != nil {
		return err
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.removed {
		return r.errRemoved()
	}
	if r.held.Has(index) {
		return nil
	}
	r.chunks[index] = copied
	r.held.Set(index)
	r.count++
	return nil
}

// Chunk returns a chunk that is held. Callers must not change the bytes.
func (r *Replica) Chunk(index int) ([]byte, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.removed {
		return nil, r.errRemoved()
	}
	if !r.held.Has(index) {
		return nil, errkind.New(errkind.NotFound, "ask a VM whose bitmap names the chunk",
			"chunk %d of version %s is not held", index, r.digest)
	}
	return r.chunks[index], nil
}

// Bitmap returns a copy of the bitmap of the chunks that are held.
func (r *Replica) Bitmap() Bitmap {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.held.Clone()
}

// Complete reports whether every chunk is held.
func (r *Replica) Complete() bool {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.count == len(r.manifest.Chunks)
}

// Open returns a reader of the complete version. It fails with errkind.Unavailable
// until every chunk is held, and with errkind.Stale after the version was removed.
// The version's memory stays reserved until the reader has reached the end or is closed.
func (r *Replica) Open() (io.ReadCloser, error) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.removed {
		return nil, r.errRemoved()
	}
	if missing := len(r.manifest.Chunks) - r.count; missing > 0 {
		return nil, errkind.New(errkind.Unavailable, "wait until the version is complete",
			"%d of %d chunks of version %s are missing", missing, len(r.manifest.Chunks), r.digest)
	}
	r.readers++
	return &reader{replica: r, chunks: r.chunks}, nil
}

// reader reads the chunks of a complete replica. It is used by one goroutine.
type reader struct {
	replica *Replica
	chunks  [][]byte
	offset  int
	closed  bool
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.closed {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	for len(r.chunks) > 0 && r.offset == len(r.chunks[0]) {
		r.chunks = r.chunks[1:]
		r.offset = 0
	}
	if len(r.chunks) == 0 {
		return 0, r.finish(io.EOF)
	}
	n := copy(p, r.chunks[0][r.offset:])
	r.offset += n
	return n, nil
}

// Close closes the reader, and releases the version's memory if the version was removed and
// no other reader is open.
func (r *reader) Close() error { return r.finish(nil) }

func (r *reader) finish(result error) error {
	if r.closed {
		return result
	}
	r.closed = true
	r.chunks = nil
	r.replica.store.mu.Lock()
	defer r.replica.store.mu.Unlock()
	r.replica.readers--
	r.replica.releaseIfUnused()
	return result
}
