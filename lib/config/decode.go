package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decoder converts a merged tree into typed settings. It collects all problems and
// every effective value with its origin.
type decoder struct {
	problems []Problem
	values   map[string]Value
	// partial is set when a file has a parse problem. Missing values and unknown zone
	// names are then not reported, because that file may set them.
	partial bool
}

func (d *decoder) addProblem(kind ProblemKind, at Origin, key, text, remedy string) {
	d.problems = append(d.problems, Problem{
		Kind: kind, File: at.File, Line: at.Line, Column: at.Column, Key: key, Text: text, Remedy: remedy,
	})
}

// section is one map of the schema while it is decoded.
type section struct {
	d    *decoder
	path string
	node *node
	// inherit is the path of the section whose values apply when this one sets none.
	inherit string
}

// section returns the map below a key, empty when it is absent, and reports keys
// that the schema does not know.
func (d *decoder) section(n *node, path string, known ...string) *section {
	s := &section{d: d, path: path, node: d.mapping(n, path)}
	for _, key := range slices.Sorted(maps.Keys(s.node.fields)) {
		if !slices.Contains(known, key) {
			d.addProblem(ProblemUnknownKey, s.node.fields[key].origin, join(path, key), "unknown key", suggest(key, known))
		}
	}
	return s
}

// mapping returns n when it is a map and an empty map otherwise.
func (d *decoder) mapping(n *node, path string) *node {
	if n == nil {
		return &node{kind: kindMap}
	}
	if n.kind == kindMap {
		return n
	}
	d.addWrongType(n, path, "a map")
	return &node{kind: kindMap, origin: n.origin}
}

// forEachNamed calls decode for each entry of a map from names to values, in byte order
// of the names. It reports invalid names and skips their entries.
func (d *decoder) forEachNamed(n *node, path string, decode func(name string, n *node)) {
	m := d.mapping(n, path)
	for _, name := range slices.Sorted(maps.Keys(m.fields)) {
		if !ValidName(name) {
			d.addProblem(ProblemOutOfRange, m.fields[name].origin, join(path, name), "the name cannot be used",
				fmt.Sprintf("use at most %d letters, digits, dots, hyphens and underscores, not starting with a dot", maxNameBytes))
			continue
		}
		decode(name, m.fields[name])
	}
}

func (d *decoder) addWrongType(n *node, path, want string) {
	d.addProblem(ProblemWrongType, n.origin, path, fmt.Sprintf("is a %s", n.kind), "use "+want)
}

// field returns the value of a key, or nil when it is absent or of another kind. It
// reports a value of another kind.
func (s *section) field(key, want string, kinds ...kind) *node {
	n, ok := s.node.fields[key]
	if !ok {
		return nil
	}
	if !slices.Contains(kinds, n.kind) {
		s.d.addWrongType(n, join(s.path, key), want)
		return nil
	}
	return n
}

// recordValue stores an effective value with its origin. A value that is not set here
// takes the origin of the section from which it is inherited.
func (s *section) recordValue(key, text string) {
	path := join(s.path, key)
	var origin Origin
	if n, ok := s.node.fields[key]; ok {
		origin = n.origin
	} else if s.inherit != "" {
		origin = s.d.values[join(s.inherit, key)].Origin
	}
	s.d.values[path] = Value{Path: path, Text: text, Origin: origin}
}

func (s *section) addOutOfRange(n *node, key, low, high string) {
	s.d.addProblem(ProblemOutOfRange, n.origin, join(s.path, key), fmt.Sprintf("%s is out of range", n.text),
		fmt.Sprintf("use a value from %s to %s", low, high))
}

func (s *section) integer(key string, value, low, high int) int {
	if n := s.field(key, "an integer", kindInt); n != nil {
		parsed, err := strconv.ParseInt(n.text, 0, 64)
		if err != nil || parsed < int64(low) || parsed > int64(high) {
			s.addOutOfRange(n, key, strconv.Itoa(low), strconv.Itoa(high))
		} else {
			value = int(parsed)
		}
	}
	s.recordValue(key, strconv.Itoa(value))
	return value
}

func (s *section) number(key string, value, low, high float64) float64 {
	if n := s.field(key, "a number", kindInt, kindFloat); n != nil {
		parsed, err := strconv.ParseFloat(n.text, 64)
		if err != nil || math.IsNaN(parsed) || parsed < low || parsed > high {
			s.addOutOfRange(n, key, formatFloat(low), formatFloat(high))
		} else {
			value = parsed
		}
	}
	s.recordValue(key, formatFloat(value))
	return value
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func (s *section) duration(key string, value, high time.Duration) time.Duration {
	if n := s.field(key, `a duration such as "5s" or "24h"`, kindString); n != nil {
		parsed, err := time.ParseDuration(n.text)
		switch {
		case err != nil:
			s.d.addProblem(ProblemWrongType, n.origin, join(s.path, key), fmt.Sprintf("%q is not a duration", n.text),
				`use a number with a unit, such as "500ms", "5s" or "24h"`)
		case parsed < minDuration || parsed > high:
			s.addOutOfRange(n, key, minDuration.String(), high.String())
		default:
			value = parsed
		}
	}
	s.recordValue(key, value.String())
	return value
}

func (s *section) boolean(key string, value bool) bool {
	if n := s.field(key, "true or false", kindBool); n != nil {
		value = strings.EqualFold(n.text, "true")
	}
	s.recordValue(key, strconv.FormatBool(value))
	return value
}

// text accepts numbers as they are written, so that "version: 1.10" needs no quotes.
func (s *section) text(key, value string) string {
	if n := s.field(key, "a string", kindString, kindInt, kindFloat); n != nil {
		value = n.text
	}
	if value != "" {
		s.recordValue(key, value)
	}
	return value
}

// name returns a required text, which must be valid as part of a platform key.
func (s *section) name(key, remedy string) string {
	_, present := s.node.fields[key]
	value := s.text(key, "")
	if !present {
		s.addMissing(key, remedy)
		return ""
	}
	if n := s.node.fields[key]; n.kind != kindMap && n.kind != kindList && n.kind != kindBool && !ValidName(value) {
		s.d.addProblem(ProblemOutOfRange, n.origin, join(s.path, key), fmt.Sprintf("%q cannot be used as a name", value),
			fmt.Sprintf("use 1 to %d letters, digits, dots, hyphens and underscores, not starting with a dot", maxNameBytes))
	}
	return value
}

func (s *section) addMissing(key, remedy string) {
	if s.d.partial {
		return
	}
	s.d.addProblem(ProblemMissing, s.node.origin, join(s.path, key), "is required", remedy)
}

func (s *section) choice(key, value string, allowed []string) string {
	if n := s.field(key, "one of "+strings.Join(allowed, ", "), kindString); n != nil {
		if slices.Contains(allowed, n.text) {
			value = n.text
		} else {
			s.d.addProblem(ProblemOutOfRange, n.origin, join(s.path, key), fmt.Sprintf("%q is not allowed", n.text), suggest(n.text, allowed))
		}
	}
	s.recordValue(key, value)
	return value
}

// list returns the sorted strings of a key; an entry that occurs twice is a problem.
func (s *section) list(key string, value []string, check func(item *node, path string) bool) []string {
	n := s.field(key, "a list of strings", kindList)
	if n != nil {
		value = []string{}
		for _, item := range n.items {
			path := join(s.path, key)
			switch {
			case item.kind != kindString && item.kind != kindInt && item.kind != kindFloat:
				s.d.addWrongType(item, path, "a list of strings")
			case slices.Contains(value, item.text):
				s.d.addProblem(ProblemContradictory, item.origin, path, fmt.Sprintf("%q occurs twice", item.text), "keep one of the two")
			case check(item, path):
				value = append(value, item.text)
			}
		}
		slices.Sort(value)
	}
	s.recordValue(key, strings.Join(value, ", "))
	return value
}
