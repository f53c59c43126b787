package engine

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/eventstream"
	"pollenspindle.example/pollenspindle/internal/httpclient"
)

// doneMarker is the data after the last event of a complete stream.
const doneMarker = "[DONE]"

// Event is one token of a generation, or its end.
type Event struct {
	// Position counts the events of the generation from 1.
	Position int64
	// Data is the OpenAI chunk as JSON.
	Data string
	// Text is the text of the token.
	Text string
	// FinishReason is set in the last event only.
	FinishReason string
}

// Stream reads the events of one generation. It is not safe for concurrent use; only the context it
// was started with may be cancelled by another goroutine.
type Stream struct {
	resp        *httpclient.Response
	events      *eventstream.Reader
	sequence    Sequence
	incarnation string
	requestID   string
	done        bool
}

// Incarnation identifies the start of the engine that runs the generation.
func (s *Stream) Incarnation() string { return s.incarnation }

// RequestID is the ID of the generation at the engine.
func (s *Stream) RequestID() string { return s.requestID }

// LastPosition returns the position of the last event that Next returned.
func (s *Stream) LastPosition() int64 { return s.sequence.LastPosition() }

// Next waits for the next event. After the last event it returns io.EOF. A stream that ends without
// its last event returns [ErrStreamInterrupted]; missing positions return [ErrGap]. Repeated
// positions are skipped.
func (s *Stream) Next() (Event, error) {
	for {
		raw, err := s.events.Next()
		if err != nil {
			return Event{}, streamError(err)
		}
		if string(raw.Data) == doneMarker {
			s.done = true
			return Event{}, io.EOF
		}
		if raw.ID == 0 {
			return Event{}, merry.Wrap(ErrInvalidResponse, merry.AppendMessage("event without position"))
		}
		fresh, err := s.sequence.Accept(raw.ID)
		if err != nil {
			return Event{}, err
		}
		if !fresh {
			continue
		}
		ev := Event{Position: raw.ID, Data: string(raw.Data)}
		if err := parseChunk(&ev); err != nil {
			return Event{}, err
		}
		return ev, nil
	}
}

// Close stops reading. The generation keeps running unless it is cancelled.
func (s *Stream) Close() {
	if s.done {
		s.resp.Drain()
	}
	s.resp.Close()
}

func streamError(err error) error {
	if errors.Is(err, eventstream.ErrMalformed) {
		return merry.Wrap(ErrInvalidResponse, merry.WithCause(err))
	}
	return merry.Wrap(ErrStreamInterrupted, merry.WithCause(err))
}
