// Package splitter splits JSON arrays and objects into their elements without decoding these. So an
// element that cannot be decoded, because it is nested too deeply or has a number that is too large,
// does not spoil the others.
package splitter

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// errSyntax is returned for data in which the ends of elements cannot be found.
var errSyntax = errors.New("not the expected JSON")

// Elements returns the elements of an array as they are written. It returns no elements for empty
// data and for null.
func Elements(data []byte) ([]json.RawMessage, error) {
	if isNull(data) {
		return nil, nil
	}
	s := scanner{data: data}
	if !s.skip('[') {
		return nil, errors.Wrap(errSyntax, "array")
	}
	var elements []json.RawMessage
	for !s.skip(']') {
		if len(elements) > 0 && !s.skip(',') {
			return nil, errors.Wrapf(errSyntax, "array at byte %d", s.at)
		}
		element, ok := s.value()
		if !ok {
			return nil, errors.Wrapf(errSyntax, "array at byte %d", s.at)
		}
		elements = append(elements, element)
	}

	return elements, nil
}

// Fields returns the values of an object by name as they are written; of several with a name, the
// last. It returns no fields for empty data and for null.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if isNull(data) {
		return fields, nil
	}
	s := scanner{data: data}
	if !s.skip('{') {
		return nil, errors.Wrap(errSyntax, "object")
	}
	for first := true; !s.skip('}'); first = false {
		if !first && !s.skip(',') {
			return nil, errors.Wrapf(errSyntax, "object at byte %d", s.at)
		}
		key, isKey := s.value()
		hasColon := s.skip(':')
		value, ok := s.value()
		var name string
		if !isKey || !hasColon || !ok || json.Unmarshal(key, &name) != nil {
			return nil, errors.Wrapf(errSyntax, "object at byte %d", s.at)
		}
		fields[name] = value
	}

	return fields, nil
}

func isNull(data []byte) bool {
	trimmed := bytes.TrimSpace(data)

	return len(trimmed) == 0 || string(trimmed) == "null"
}

// scanner finds the ends of values. It doesn't recurse, so that no nesting is too deep.
type scanner struct {
	data []byte
	at   int
}

// skip skips white space, and a character if it comes next. It reports whether it does.
func (s *scanner) skip(c byte) bool {
	s.skipSpace()
	if s.at >= len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++

	return true
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r'
}

// value skips a value and returns it. It returns false if the value has no end.
func (s *scanner) value() (json.RawMessage, bool) {
	s.skipSpace()
	start := s.at
	for depth := 0; s.at < len(s.data); {
		c := s.data[s.at]
		switch {
		case c == '"':
			if !s.skipString() {
				return nil, false
			}
		case c == '{' || c == '[':
			depth++
			s.at++
		case (c == '}' || c == ']') && depth > 0:
			depth--
			s.at++
		case depth > 0: // A character within a value.
			s.at++

			continue
		case !s.skipScalar():
			return nil, false
		}
		if depth == 0 {
			return s.data[start:s.at:s.at], true
		}
	}

	return nil, false
}

// skipString skips a string and reports whether it has an end.
func (s *scanner) skipString() bool {
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

// skipScalar skips a number or a name, and reports whether there is one.
func (s *scanner) skipScalar() bool {
	start := s.at
	for s.at < len(s.data) && !isSpace(s.data[s.at]) && !bytes.ContainsRune([]byte(",:]}"), rune(s.data[s.at])) {
		s.at++
	}

	return s.at > start
}
