// Package weights describes and stores the weights of a model version: its manifest,
// the digests that verify each chunk, the bitmap of chunks that a VM holds, and an
// in-memory store that can be read only when every chunk of the version is verified.
package weights

import (
	"crypto/sha256"
	"encoding/hex"

	"lukechampine.com/blake3"

	"laburnumgw/lib/errkind"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3 digest, or a chunk digest of the function that the manifest's Hash
// names. Its text form is lower-case hexadecimal.
type Digest [DigestSize]byte

// Hash names the hash function of a manifest's chunk digests.
type Hash string

// Hash functions of chunk digests. An origin that publishes its own digests selects the
// function.
const (
	BLAKE3 Hash = ""
	SHA256 Hash = "sha256"
)

// Sum returns the digest of data.
func (h Hash) Sum(data []byte) Digest {
	if h == SHA256 {
		return sha256.Sum256(data)
	}
	return Sum(data)
}

// Sum returns the BLAKE3 digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// ParseDigest reads the text form of a digest.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	if len(text) != 2*DigestSize {
		return digest, errkind.New(errkind.Invalid, "use 64 hexadecimal digits",
			"digest has %d characters", len(text))
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return Digest{}, errkind.Wrap(err, errkind.Invalid, "use 64 hexadecimal digits", "malformed digest")
	}
	return digest, nil
}

// DigestFromBytes reads the binary form of a digest.
func DigestFromBytes(data []byte) (Digest, error) {
	if len(data) != DigestSize {
		return Digest{}, errkind.New(errkind.Invalid, "send digests of 32 bytes", "digest has %d bytes", len(data))
	}
	return Digest(data), nil
}

// String returns the text form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
