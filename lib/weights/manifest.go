package weights

import (
	"encoding/binary"
	"errors"
	"io"
	"unicode/utf8"

	"lukechampine.com/blake3"

	"laburnumgw/lib/errkind"
)

const (
	// MaxChunkSize bounds the memory that one transfer can take.
	MaxChunkSize = 64 << 20
	// MaxChunks bounds the manifest to 32 MB of digests and a bitmap to 128 KB.
	MaxChunks = 1 << 20
	// MaxNameBytes is the longest model or version name.
	MaxNameBytes = 253
)

const (
	manifestDomain = "laburnumgw manifest v1"
	manifestRemedy = "publish the model version again"
)

// Manifest describes one model version: its size and the digest of each chunk.
// All chunks but the last have ChunkSize bytes.
type Manifest struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunk_size"`
	Chunks    []Digest `json:"chunks"`
	// Hash is the hash function of the chunk digests; empty for BLAKE3.
	Hash Hash `json:"hash,omitempty"`
}

// Validate checks that names, sizes and the number of chunks agree.
func (m *Manifest) Validate() error {
	if err := validateName("model", m.Model); err != nil {
		return err
	}
	if err := validateName("version", m.Version); err != nil {
		return err
	}
	if m.ChunkSize <= 0 || m.ChunkSize > MaxChunkSize {
		return errkind.New(errkind.Invalid, "use a chunk size between 1 byte and 64 MB",
			"chunk size of %d bytes is out of range", m.ChunkSize)
	}
	if m.Hash != BLAKE3 && m.Hash != SHA256 {
		return errkind.New(errkind.Invalid, "use BLAKE3 or SHA-256", "unknown hash %q", m.Hash)
	}
	if m.Size <= 0 {
		return errkind.New(errkind.Invalid, "publish a file that is not empty", "invalid size of %d bytes", m.Size)
	}
	count := (m.Size-1)/m.ChunkSize + 1
	if count > MaxChunks {
		return errkind.New(errkind.Invalid, "use a larger chunk size",
			"%d chunks exceed the limit of %d", count, MaxChunks)
	}
	if count != int64(len(m.Chunks)) {
		return errkind.New(errkind.Invalid, manifestRemedy,
			"manifest has %d chunk digests for %d chunks", len(m.Chunks), count)
	}
	return nil
}

func validateName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return errkind.New(errkind.Invalid, "use 1 to 253 bytes of UTF-8", "invalid %s name %q", field, name)
	}
	return nil
}

// Digest returns the digest that identifies the version. It covers every field. Model and
// version are preceded by their length, so that no two pairs of them share an encoding.
func (m *Manifest) Digest() Digest {
	hasher := blake3.New(DigestSize, nil)
	for _, text := range []string{manifestDomain, m.Model, m.Version} {
		writeInt(hasher, int64(len(text)))
		_, _ = io.WriteString(hasher, text)
	}
	if m.Hash != BLAKE3 {
		_, _ = io.WriteString(hasher, string(m.Hash))
	}
	writeInt(hasher, m.Size)
	writeInt(hasher, m.ChunkSize)
	writeInt(hasher, int64(len(m.Chunks)))
	for i := range m.Chunks {
		_, _ = hasher.Write(m.Chunks[i][:])
	}
	return Digest(hasher.Sum(nil))
}

func writeInt(w io.Writer, value int64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(value))
	_, _ = w.Write(buffer[:])
}

// ChunkLen returns the length of a chunk, or 0 when the index is out of range.
func (m *Manifest) ChunkLen(index int) int64 {
	if index < 0 || index >= len(m.Chunks) {
		return 0
	}
	return min(m.ChunkSize, m.Size-int64(index)*m.ChunkSize)
}

// Verify checks the length and the digest of a chunk.
func (m *Manifest) Verify(index int, data []byte) error {
	if index < 0 || index >= len(m.Chunks) {
		return errkind.New(errkind.BadRequest, "request a chunk of the manifest",
			"chunk %d does not exist among %d chunks", index, len(m.Chunks))
	}
	if int64(len(data)) != m.ChunkLen(index) || m.Hash.Sum(data) != m.Chunks[index] {
		return errkind.New(errkind.Corrupt, "fetch the chunk from another source",
			"chunk %d of %s %s does not match its digest", index, m.Model, m.Version)
	}
	return nil
}

// Build reads a version from r until the end and returns its manifest with BLAKE3 digests.
func Build(model, version string, r io.Reader, chunkSize int64) (*Manifest, error) {
	m := &Manifest{Model: model, Version: version, ChunkSize: chunkSize}
	if chunkSize <= 0 || chunkSize > MaxChunkSize {
		return nil, m.Validate()
	}
	buffer := make([]byte, chunkSize)
	for len(m.Chunks) <= MaxChunks {
		n, err := io.ReadFull(r, buffer)
		if n > 0 {
			m.Size += int64(n)
			m.Chunks = append(m.Chunks, Sum(buffer[:n]))
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return m, m.Validate()
		}
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Unavailable, "read the source again", "read %s %s", model, version)
		}
	}
	return nil, errkind.New(errkind.TooLarge, "use a larger chunk size", "more than %d chunks", MaxChunks)
}
