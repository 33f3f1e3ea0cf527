package weights

import (
	"math/bits"

	"laburnumgw/lib/errkind"
)

const wordBits = 64

// Bitmap records which chunks of a version are held. On the wire, chunk i is bit
// i%8 of byte i/8, counted from the least significant bit.
type Bitmap struct {
	words []uint64
	size  int
}

// NewBitmap returns an empty bitmap for a number of chunks.
func NewBitmap(size int) Bitmap {
	return Bitmap{words: make([]uint64, (size+wordBits-1)/wordBits), size: size}
}

// ParseBitmap reads the wire form of a bitmap of a known number of chunks. It rejects
// a wrong length and set bits beyond the last chunk, because either shows that the
// bitmap is one of another version.
func ParseBitmap(data []byte, size int) (Bitmap, error) {
	if size < 0 || len(data) != (size+7)/8 {
		return Bitmap{}, errkind.New(errkind.Invalid, "send the bitmap of the named version",
			"bitmap has %d bytes for %d chunks", len(data), size)
	}
	if spare := size % 8; spare != 0 && data[len(data)-1]>>spare != 0 {
		return Bitmap{}, errkind.New(errkind.Invalid, "clear the bits beyond the last chunk",
			"bitmap has bits set beyond chunk %d", size-1)
	}
	b := NewBitmap(size)
	for i, value := range data {
		b.words[i/8] |= uint64(value) << (8 * (i % 8))
	}
	return b, nil
}

// Bytes returns the wire form.
func (b Bitmap) Bytes() []byte {
	data := make([]byte, (b.size+7)/8)
	for i := range data {
		data[i] = byte(b.words[i/8] >> (8 * (i % 8)))
	}
	return data
}

// Len returns the number of chunks of the version.
func (b Bitmap) Len() int { return b.size }

// Has reports whether a chunk is held.
func (b Bitmap) Has(index int) bool {
	return index >= 0 && index < b.size && b.words[index/wordBits]>>(index%wordBits)&1 == 1
}

// Set marks a chunk as held. An index out of range is ignored.
func (b Bitmap) Set(index int) {
	if index >= 0 && index < b.size {
		b.words[index/wordBits] |= 1 << (index % wordBits)
	}
}

// Clear marks a chunk as not held. An index out of range is ignored.
func (b Bitmap) Clear(index int) {
	if index >= 0 && index < b.size {
		b.words[index/wordBits] &^= 1 << (index % wordBits)
	}
}

// Count returns the number of chunks that are held.
func (b Bitmap) Count() int {
	count := 0
	for _, word := range b.words {
		count += bits.OnesCount64(word)
	}
	return count
}

// Complete reports whether every chunk is held.
func (b Bitmap) Complete() bool { return b.Count() == b.size }

// Clone returns an independent copy.
func (b Bitmap) Clone() Bitmap {
	return Bitmap{words: append([]uint64(nil), b.words...), size: b.size}
}

// Words returns the bitmap as words of 64 chunks, the lowest chunk in the least
// significant bit. Callers must not change them.
func (b Bitmap) Words() []uint64 { return b.words }

// Missing returns the number of chunks that other holds and b does not.
func (b Bitmap) Missing(other Bitmap) int {
	count := 0
	for i, word := range other.words {
		if i < len(b.words) {
			word &^= b.words[i]
		}
		count += bits.OnesCount64(word)
	}
	return count
}
