// Package figures reads numbers in messages of other processes, each of which may be without sense while the rest is usable.
package figures

import (
	"math"
	"strconv"
	"strings"
)

// Parse returns a number, which is NaN for a text that is none.
func Parse(text string) float64 {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return math.NaN()
	}
	return value
}

// Number is a JSON value that should be a number. It is not set if it is missing or null.
type Number struct {
	value float64
	isSet bool
}

// UnmarshalJSON implements json.Unmarshaler. It fails for no value.
func (n *Number) UnmarshalJSON(data []byte) error {
	if text := string(data); text != "null" {
		*n = Number{Parse(text), true}
	}
	return nil
}

// Reader returns the numbers that have sense, and zero for the others, whose names it collects.
type Reader struct{ ignored []string }

// Between returns a number between two bounds.
func (r *Reader) Between(name string, n Number, least, most float64) float64 {
	switch {
	case !n.isSet:
		return 0
	case n.value >= least && n.value <= most:
		return n.value
	}
	r.ignored = append(r.ignored, name)
	return 0
}

// Count returns a number between zero and a bound.
func (r *Reader) Count(name string, n Number, most int64) int64 {
	return int64(r.Between(name, n, 0, float64(most)))
}

// Ignored returns the names of the numbers without sense so far, separated by commas.
func (r *Reader) Ignored() string { return strings.Join(r.ignored, ",") }
