package relay

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/permit"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// The errors that an [Engine] returns.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.New("not sent to the engine")
	// ErrConnectionLost means that the connection failed and the request may be running.
	ErrConnectionLost = merry.New("connection to the engine lost")
	// ErrUnknownStream means that the engine doesn't have the generation.
	ErrUnknownStream = merry.New("engine doesn't know the generation")
)

// RefusedError means that the engine refused the request before running it.
type RefusedError struct {
	// Status is the engine's HTTP status.
	Status int
	// Overload is set if the engine has no free capacity.
	Overload   bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "engine refused the request before running it" }

// Engine calls model engines. Cancelling the context of Start or Resume ends the stream and its
// connection. Any error other than those above is treated as [ErrConnectionLost].
type Engine interface {
	Start(ctx context.Context, address string, req EngineRequest) (Stream, error)
	// Resume opens a new connection: one that stopped responding is never reused.
	Resume(ctx context.Context, address, requestID string, after int64) (Stream, error)
	Cancel(ctx context.Context, address, requestID string) error
}

// EngineRequest is a generation to start.
type EngineRequest struct {
	ID   string
	Path string
	Body []byte
}

// Stream is one connection that delivers the events of a generation. Next returns io.EOF after the
// last event, and an error when the context of the stream ends.
type Stream interface {
	Next() (Event, error)
	Incarnation() string
	Close()
}

// Event is one event of a generation.
type Event struct {
	// Position counts from 1 over the whole generation, independent of connections.
	Position int64
	// Data is the OpenAI chunk as JSON.
	Data         string
	FinishReason string
}

// Job is a generation to start.
type Job struct {
	// Permit is the request for a permit. The relay sets its ID, exclusions and deadline.
	Permit permit.Request
	Path   string
	Body   []byte
	// Streamed is set if tokens are sent to the caller as they arrive. Otherwise the answer is
	// collected, and the generation may be restarted until it is complete.
	Streamed bool
}

// Attachment is a generation to resume.
type Attachment struct {
	Server      string
	Address     string
	Incarnation string
	RequestID   string
	Class       pollenspindle.Class
	// AfterPosition is the last position that the caller has.
	AfterPosition int64
}
