package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// Raw is one event as it came, with its closing blank line.
type Raw struct {
	// ID is the event's id; 0 if it has none or one that is no number.
	ID int64
	// Bytes are valid until the next call of [Splitter.Next].
	Bytes []byte
}

// ErrCut means that the input ended within an event.
var ErrCut = merry.Sentinel("event stream ended within an event")

// Splitter cuts a stream into events and leaves their bytes as they are, for
// a stream that is passed on.
type Splitter struct {
	r   *Reader
	raw []byte
}

// NewSplitter returns a Splitter of r.
func NewSplitter(r io.Reader) *Splitter { return &Splitter{r: NewReader(r)} }

// Next returns the next whole event, io.EOF when the input has ended between
// two events, [ErrCut] when it ended within one, and the error of the input
// otherwise.
func (s *Splitter) Next() (Raw, error) {
	s.raw = s.raw[:0]
	var ev Raw
	for {
		line, err := s.r.rawLine()
		if errors.Is(err, io.EOF) && len(s.raw)+len(line) > 0 {
			return Raw{}, merry.Wrap(ErrCut)
		}
		if err != nil {
			return Raw{}, err
		}
		if len(s.raw)+len(line) > maxEventBytes {
			return Raw{}, merry.Wrap(ErrMalformed, merry.AppendMessage("event too large"))
		}
		s.raw = append(s.raw, line...)
		if len(trimEnd(line)) == 0 {
			ev.Bytes = s.raw
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(trimEnd(line), []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				ev.ID = id
			}
		}
	}
}
