// Package jsonsplit takes a JSON text apart without looking into the values that are passed on, and without recursion. They may
// be nested more deeply, or hold other numbers, than encoding/json reads, which then fails the whole text.
package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
)

var errNotJSON = errors.New("not a JSON value")

// splitter reads the values of a JSON text one after another.
type splitter struct {
	data []byte
	at   int
}

// next returns the next byte that is not white space, or zero at the end.
func (s *splitter) next() byte {
	for ; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.data[s.at]
		}
	}
	return 0
}

// take skips a byte if it is the next one that is not white space.
func (s *splitter) take(expected byte) bool {
	if s.next() != expected || s.at == len(s.data) {
		return false
	}
	s.at++
	return true
}

// value skips a value and returns its text. Of an object or a list only the brackets and strings
// are looked at; of any other value only where it ends.
func (s *splitter) value() ([]byte, error) {
	first := s.next()
	from, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if !s.skipString() {
				return nil, errNotJSON
			}
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			depth--
			s.at++
		default:
			s.skipPlain(depth)
		}
		if depth <= 0 {
			break
		}
	}
	if depth != 0 || s.at == from || first == ',' || first == ':' {
		return nil, errNotJSON
	}
	return s.data[from:s.at], nil
}

// skipString skips a string, and reports false if it has no end.
func (s *splitter) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// skipPlain skips to the next bracket or string, and outside of brackets to the end of a number or
// a name.
func (s *splitter) skipPlain(depth int) {
	ends := "\"{}[]"
	if depth == 0 {
		ends = "\"{}[],: \t\r\n"
	}
	if n := bytes.IndexAny(s.data[s.at:], ends); n >= 0 {
		s.at += n
		return
	}
	s.at = len(s.data)
}

// Object calls field with the name and the text of each field of an object.
func Object(data []byte, field func(name string, value []byte) error) error {
	s := &splitter{data: data}
	if !s.take('{') {
		return errNotJSON
	}
	for first := true; !s.take('}'); first = false {
		if !first && !s.take(',') {
			return errNotJSON
		}
		if s.next() != '"' {
			return errNotJSON
		}
		quoted, err := s.value()
		if err != nil || !s.take(':') {
			return errNotJSON
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(quoted, &name) != nil {
			continue // no name of a known field
		}
		if err := field(name, value); err != nil {
			return err
		}
	}
	if s.next(); s.at != len(data) {
		return errNotJSON
	}
	return nil
}

// List calls element with the text of each element of a list. Null is an empty list.
func List(data []byte, element func(value []byte) error) error {
	if string(data) == "null" {
		return nil
	}
	s := &splitter{data: data}
	if !s.take('[') {
		return errNotJSON
	}
	for first := true; !s.take(']'); first = false {
		if !first && !s.take(',') {
			return errNotJSON
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		if err := element(value); err != nil {
			return err
		}
	}
	return nil
}
