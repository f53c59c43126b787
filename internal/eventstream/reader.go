// Package eventstream reads server-sent events whose ids are positions of a
// generation.
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
	// readBufferBytes is the buffer of one stream. One event of a token is
	// some 150 bytes; with thousands of open streams the buffer counts more
	// than the reads it saves.
	readBufferBytes = 2 << 10
	// maxEventBytes bounds one event, so that a faulty engine cannot fill the
	// memory of the instance.
	maxEventBytes = 1 << 20
)

// ErrMalformed means that the input is no stream of such events.
var ErrMalformed = merry.Sentinel("event stream malformed")

// Event is one server-sent event.
type Event struct {
	// ID is the position; 0 if the event has none.
	ID int64
	// Name is the event's type, empty for the usual one.
	Name string
	// Data is valid until the next call of [Reader.Next].
	Data []byte
}

// Reader reads server-sent events. An event counts only when its closing
// blank line has come: a connection cut in the middle of an event otherwise
// looks like a whole one with half its data (the reader of hertz hands such a
// part over at the end of the input).
type Reader struct {
	r    *bufio.Reader
	data []byte
	line []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event, io.EOF when the input has ended, and the error
// of the input otherwise.
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
		if err := e.field(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

// field takes one line of an event into ev, or into the data.
func (e *Reader) field(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || id < 1 {
			return merry.Wrap(ErrMalformed, merry.AppendMessage("event id is no position"))
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

// readLine returns the next line without its end. It is valid until the next
// call.
func (e *Reader) readLine() ([]byte, error) {
	line, err := e.rawLine()
	if err != nil {
		return nil, err
	}
	return trimEnd(line), nil
}

// rawLine returns the next line with its end, or what came of it with the
// error that ended it. It is valid until the next call.
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

func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
}
