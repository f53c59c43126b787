package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// RawEvent is one event as received, with its terminating blank line.
type RawEvent struct {
	// ID is the event's ID; 0 if it has none or one that isn't a number.
	ID int64
	// Bytes is valid until the next call of [Splitter.Next], unless [Splitter.Detach] is called before.
	Bytes []byte
}

// ErrTruncated means that the input ended within an event.
var ErrTruncated = merry.Sentinel("event stream ended within an event")

// Splitter splits a stream into events without changing their bytes, for a stream that is relayed.
type Splitter struct {
	r   *Reader
	raw []byte
}

// NewSplitter returns a Splitter that reads from r.
func NewSplitter(r io.Reader) *Splitter { return &Splitter{r: NewReader(r)} }

// Detach keeps the bytes of the last event valid after the next call of Next.
func (s *Splitter) Detach() { s.raw = nil }

// Next returns the next complete event, io.EOF when the input ended between two events,
// [ErrTruncated] when it ended within one, and the error of the input otherwise.
func (s *Splitter) Next() (RawEvent, error) {
	s.raw = s.raw[:0]
	var ev RawEvent
	for {
		line, err := s.r.rawLine()
		if errors.Is(err, io.EOF) && len(s.raw)+len(line) > 0 {
			return RawEvent{}, merry.Wrap(ErrTruncated)
		}
		if err != nil {
			return RawEvent{}, err
		}
		if len(s.raw)+len(line) > maxEventBytes {
			return RawEvent{}, merry.Wrap(ErrMalformed, merry.AppendMessage("event too large"))
		}
		s.raw = append(s.raw, line...)
		if len(trimLineEnd(line)) == 0 {
			ev.Bytes = s.raw
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(trimLineEnd(line), []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				ev.ID = id
			}
		}
	}
}
