// Package eventstream reads server-sent events whose IDs are positions of a generation.
//
// # Usage
//
//	r := eventstream.NewReader(body)
//	for {
//		ev, err := r.Next()
//		if err == io.EOF {
//			break
//		}
//		// ev.Data is valid until the next call.
//	}
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

const (
	// readBufferBytes is the buffer size of one stream. An event with one token has some 150 bytes;
	// with thousands of open streams, memory matters more than the reads that a larger buffer
	// saves.
	readBufferBytes = 2 << 10
	// maxEventBytes limits one event, so that a faulty engine can't exhaust the memory of the
	// instance.
	maxEventBytes = 1 << 20
)

// ErrMalformed means that the input is not a valid event stream.
var ErrMalformed = merry.Sentinel("event stream malformed")

// Event is one server-sent event.
type Event struct {
	// ID is the position; 0 if the event has none.
	ID int64
	// Name is the event's type; empty for the default type.
	Name string
	// Data is valid until the next call of [Reader.Next].
	Data []byte
}

// Reader reads server-sent events. It returns an event only after its terminating blank line: an
// event cut off by the end of the connection would otherwise look complete with half its data (the
// reader of hertz returns such a part at the end of the input).
type Reader struct {
	r    *bufio.Reader
	data []byte
	line []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event, io.EOF at the end of the input, and the error of the input
// otherwise.
func (e *Reader) Next() (Event, error) {
	e.data = e.data[:0]
	var ev Event
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(e.data) == 0 {
				ev = Event{}
				continue
			}
			ev.Data = e.data
			return ev, nil
		}
		if err := e.parseField(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

// parseField adds one line of an event to ev or to the data.
func (e *Reader) parseField(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 1 {
			return merry.Wrap(ErrMalformed, merry.AppendMessage("event id is not a position"))
		}
		ev.ID = id
	case "event":
		ev.Name = string(value)
	case "data":
		if len(e.data)+len(value) > maxEventBytes {
			return merry.Wrap(ErrMalformed, merry.AppendMessage("event too large"))
		}
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
	return nil
}

// readLine returns the next line without its line end. It is valid until the next call.
func (e *Reader) readLine() ([]byte, error) {
	line, err := e.rawLine()
	if err != nil {
		return nil, err
	}
	return trimLineEnd(line), nil
}

// rawLine returns the next line with its line end, or the incomplete line and the error that ended
// it. It is valid until the next call.
func (e *Reader) rawLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return part, nil
		}
		if len(e.line)+len(part) > maxEventBytes {
			return nil, merry.Wrap(ErrMalformed, merry.AppendMessage("line too long"))
		}
		e.line = append(e.line, part...)
		if err == nil {
			return e.line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.line, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}
