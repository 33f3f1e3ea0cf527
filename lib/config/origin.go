package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Origin is the location in a file that sets a value. It is zero for a default.
type Origin struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// IsDefault reports whether no file sets the value.
func (o Origin) IsDefault() bool { return o.File == "" }

// String returns file and line, or "default".
func (o Origin) String() string {
	if o.IsDefault() {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Value is one effective setting.
type Value struct {
	Path   string `json:"path"`
	Text   string `json:"value"`
	Origin Origin `json:"origin"`
}

// Origin returns the location that sets a value such as "models.rota.version", and
// whether the configuration has that value.
func (s *Snapshot) Origin(path string) (Origin, bool) {
	value, ok := s.values[path]
	return value.Origin, ok
}

// Value returns one effective setting and whether the configuration has it.
func (s *Snapshot) Value(path string) (Value, bool) {
	value, ok := s.values[path]
	return value, ok
}

// Values returns all effective settings, defaults included, in order of their paths.
func (s *Snapshot) Values() []Value {
	paths := slices.Sorted(maps.Keys(s.values))
	values := make([]Value, 0, len(paths))
	for _, path := range paths {
		values = append(values, s.values[path])
	}
	return values
}

// ValuesUnder returns the effective setting at a path and those nested below it, in
// order of their paths.
func (s *Snapshot) ValuesUnder(path string) []Value {
	var found []Value
	for _, value := range s.Values() {
		if value.Path == path || strings.HasPrefix(value.Path, path+".") {
			found = append(found, value)
		}
	}
	return found
}

// Change is one setting that differs between two configurations. Before or After is nil
// when that configuration does not have the setting.
type Change struct {
	Path   string `json:"path"`
	Before *Value `json:"before,omitempty"`
	After  *Value `json:"after,omitempty"`
}

// Diff returns the effective settings that differ from a to b, in order of their
// paths. Settings that only moved to another file or line are equal.
func Diff(a, b *Snapshot) []Change {
	paths := make(map[string]struct{}, len(a.values))
	for path := range a.values {
		paths[path] = struct{}{}
	}
	for path := range b.values {
		paths[path] = struct{}{}
	}
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		before, inA := a.values[path]
		after, inB := b.values[path]
		if inA && inB && before.Text == after.Text {
			continue
		}
		change := Change{Path: path}
		if inA {
			change.Before = &before
		}
		if inB {
			change.After = &after
		}
		changes = append(changes, change)
	}
	return changes
}
