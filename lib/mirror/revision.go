package mirror

import "fmt"

// A store that comes back from an older copy of its data counts its revisions from an earlier
// number again, in a higher era. In this package, and wherever else states of the store are
// ordered, a revision therefore holds the era in its upper bits: comparing two of them compares
// the eras first. A store without eras is in era 0.

// numberBits is the number of bits of a revision that hold the number that the store gave out.
const numberBits = 40

// Bounds of the parts of a revision.
const (
	MaxNumber = 1<<numberBits - 1
	MaxEra    = 1<<22 - 1
)

// NewRevision returns the revision of a number that the store gave out in an era. Values out of
// range yield the nearest bound.
func NewRevision(era, number int64) int64 {
	return min(max(era, 0), MaxEra)<<numberBits | min(max(number, 0), MaxNumber)
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> numberBits }

// NumberOf returns the number of a revision that the store gave out.
func NumberOf(revision int64) int64 { return revision & MaxNumber }

// FormatRevision returns the form of a revision for logs: its number, after its era if it has one.
func FormatRevision(revision int64) string {
	if era := EraOf(revision); era > 0 {
		return fmt.Sprintf("%d/%d", era, NumberOf(revision))
	}
	return fmt.Sprint(NumberOf(revision))
}
