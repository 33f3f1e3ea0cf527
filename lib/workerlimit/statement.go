// Package workerlimit holds the limits that workers state in their responses: the number of
// requests in a second that a worker takes from all entries together, for as long as it says so.
package workerlimit

import (
	"math"
	"strconv"
	"strings"
)

// Statement is what one response of a worker says about its limit. The zero value states that
// the worker has no limit.
type Statement struct {
	// Kind tells whether the response states a limit.
	Kind Kind
	// PerSecond is the limit where Kind is Limited.
	PerSecond float64
}

// Kind is the kind of a Statement.
type Kind uint8

// Kinds of statements.
const (
	// Unlimited is a response that states no limit.
	Unlimited Kind = iota
	// Limited is a response that states a limit.
	Limited
	// Unusable is a response whose limit cannot be read. It neither sets nor ends a limit.
	Unusable
)

// maxPerSecond bounds the value of a limit.
const maxPerSecond = 1e6

// ParseStatement reads the values of a header that states a limit as a decimal number. The
// lowest of several usable values counts.
func ParseStatement(values []string) Statement {
	if len(values) == 0 {
		return Statement{}
	}
	statement := Statement{Kind: Unusable}
	for _, value := range values {
		perSecond, ok := parseLimit(value)
		if ok && (statement.Kind != Limited || perSecond < statement.PerSecond) {
			statement = Statement{Limited, perSecond}
		}
	}
	return statement
}

// parseLimit reads one value. The characters are checked first, since strconv also accepts
// hexadecimal numbers and names such as "inf".
func parseLimit(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	if math.IsInf(value, 1) {
		return maxPerSecond, true // a decimal number that exceeds the range of the type
	}
	if err != nil || math.Signbit(value) {
		return 0, false
	}
	return min(value, maxPerSecond), true
}
