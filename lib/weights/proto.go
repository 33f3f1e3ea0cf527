package weights

import (
	"encoding/json"

	laburnumgwv1 "laburnumgw/api/laburnumgw/v1"
	"laburnumgw/lib/errkind"
)

// ToProto returns the protobuf form of a manifest.
func (m *Manifest) ToProto() *laburnumgwv1.ModelVersion {
	message := &laburnumgwv1.ModelVersion{
		Model:          m.Model,
		Version:        m.Version,
		ManifestDigest: m.Digest().String(),
		Size:           m.Size,
		ChunkSize:      m.ChunkSize,
		ChunkDigests:   make([][]byte, len(m.Chunks)),
		Hash:           string(m.Hash),
	}
	for i := range m.Chunks {
		message.ChunkDigests[i] = m.Chunks[i][:]
	}
	return message
}

// FromProto reads and validates the protobuf form, and checks the manifest digest
// that the message states.
func FromProto(message *laburnumgwv1.ModelVersion) (*Manifest, error) {
	m := &Manifest{
		Model:     message.GetModel(),
		Version:   message.GetVersion(),
		Size:      message.GetSize(),
		ChunkSize: message.GetChunkSize(),
		Chunks:    make([]Digest, len(message.GetChunkDigests())),
		Hash:      Hash(message.GetHash()),
	}
	for i, data := range message.GetChunkDigests() {
		digest, err := DigestFromBytes(data)
		if err != nil {
			return nil, err
		}
		m.Chunks[i] = digest
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	stated, err := ParseDigest(message.GetManifestDigest())
	if err != nil {
		return nil, err
	}
	if stated != m.Digest() {
		return nil, errkind.New(errkind.Corrupt, manifestRemedy,
			"manifest of %s %s does not match its digest", m.Model, m.Version)
	}
	return m, nil
}

// ParseJSON reads and validates the JSON form of a manifest.
func ParseJSON(data []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, manifestRemedy, "malformed manifest")
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}
