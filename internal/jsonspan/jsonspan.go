// Package jsonspan splits messages into their values without decoding these. A value may be nested
// deeper than decoders follow, or be no JSON: its strings must be closed and its brackets balanced, so that
// its end is found, and nothing else of it is checked.
//
// Messages that are lists of objects of many writers are read in this way if one of the objects keeps
// them from being decoded.
//
// # Usage
//
//	err := jsonspan.Members(body, func(name string, value json.RawMessage) error {
//		if name == "items" {
//			return jsonspan.Elements(value, decodeItem)
//		}
//		return nil
//	})
package jsonspan

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// ErrFormat means that a message isn't an object, or isn't an array.
var ErrFormat = merry.Sentinel("message can't be split into values")

// Members calls f with the members of an object in order; null has none. It returns the first error of f.
func Members(raw []byte, f func(name string, value json.RawMessage) error) error {
	return parts(raw, '{', '}', func(s *span) error {
		end, ok := s.stringEnd()
		if !ok {
			return merry.Wrap(ErrFormat)
		}
		var name string
		if err := json.Unmarshal(s.take(end), &name); err != nil {
			return merry.Wrap(ErrFormat, merry.WithCause(err))
		}
		if !s.skip(':') {
			return merry.Wrap(ErrFormat)
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return f(name, value)
	})
}

// Elements calls f with the elements of an array in order; null has none. It returns the first error of f.
func Elements(raw []byte, f func(value json.RawMessage) error) error {
	return parts(raw, '[', ']', func(s *span) error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return f(value)
	})
}

// parts calls f for each part between two brackets; f takes the part.
func parts(raw []byte, open, closing byte, f func(s *span) error) error {
	s := span{raw}
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return nil
	}
	if !s.skip(open) {
		return merry.Wrap(ErrFormat)
	}
	for first := true; !s.skip(closing); first = false {
		if !first && !s.skip(',') {
			return merry.Wrap(ErrFormat)
		}
		if err := f(&s); err != nil {
			return err
		}
	}
	if len(bytes.TrimSpace(s.rest)) > 0 {
		return merry.Wrap(ErrFormat)
	}
	return nil
}

// span is the rest of a message.
type span struct{ rest []byte }

// skip skips white space and then c, and reports whether c was there.
func (s *span) skip(c byte) bool {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

func (s *span) take(n int) []byte {
	taken := s.rest[:n:n]
	s.rest = s.rest[n:]
	return taken
}

// value takes all up to the end of a value.
func (s *span) value() (json.RawMessage, error) {
	depth := 0
	for i := 0; i < len(s.rest); i++ {
		switch c := s.rest[i]; {
		case c == '"':
			length, ok := (&span{s.rest[i:]}).stringEnd()
			if !ok {
				return nil, merry.Wrap(ErrFormat)
			}
			i += length - 1
		case c == '{' || c == '[':
			depth++
		case depth == 0 && (c == ',' || c == '}' || c == ']'):
			return bytes.TrimSpace(s.take(i)), nil
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil, merry.Wrap(ErrFormat)
}

// stringEnd returns the length of the string at the start of the span, which may follow white space.
func (s *span) stringEnd() (n int, ok bool) {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) == 0 || s.rest[0] != '"' {
		return 0, false
	}
	for i := 1; i < len(s.rest); i++ {
		switch s.rest[i] {
		case '\\':
			i++
		case '"':
			return i + 1, true
		}
	}
	return 0, false
}
