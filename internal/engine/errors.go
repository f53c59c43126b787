package engine

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of calls to model engines. They determine what a caller may learn about its request.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("engine: request not sent")
	// ErrRefused means that the engine refused the request before running it. errors.As with a
	// *Refusal gives the details.
	ErrRefused = merry.Sentinel("engine: request refused")
	// ErrUnknownOutcome means that the connection failed before the stream began. The engine may
	// run the request.
	ErrUnknownOutcome = merry.Sentinel("engine: outcome of the request unknown")
	// ErrStreamInterrupted means that the stream ended without its last event. The generation may
	// still run and can be resumed.
	ErrStreamInterrupted = merry.Sentinel("engine: stream interrupted")
	// ErrUnknownStream means that the engine doesn't have the stream to resume, or no longer has
	// it.
	ErrUnknownStream = merry.Sentinel("engine: unknown stream")
	// ErrGap means that positions are missing in a stream.
	ErrGap = merry.Sentinel("engine: positions missing in stream")
	// ErrBadRequest means that the engine rejected the request as invalid.
	ErrBadRequest = merry.Sentinel("engine: bad request")
	// ErrUnknownModel means that the engine hasn't loaded the model.
	ErrUnknownModel = merry.Sentinel("engine: model not loaded")
	// ErrInvalidResponse means that the engine's response is invalid.
	ErrInvalidResponse = merry.Sentinel("engine: invalid response")
	// ErrStaleFencing means that the engine has accepted a higher fencing token.
	ErrStaleFencing = merry.Sentinel("engine: stale fencing token")
)

// Refusal is the error of an engine that did not run a request.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Overload is true if the engine is full, and false if it is cold, starting or leaving.
	Overload bool
	// RetryAfter is the delay requested by the engine; 0 means none.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d, overload %t, retry after %s", r.Status, r.Overload, r.RetryAfter)
}

// Is makes errors.Is(err, ErrRefused) true for a Refusal.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }

// StaleFencingError holds the highest fencing token that an engine has accepted.
type StaleFencingError struct {
	Highest int64 `json:"highest"`
}

// Error implements error.
func (s *StaleFencingError) Error() string {
	return fmt.Sprintf("engine: stale fencing token, highest accepted is %d", s.Highest)
}

// Is makes errors.Is(err, ErrStaleFencing) true for a StaleFencingError.
func (s *StaleFencingError) Is(target error) bool { return target == ErrStaleFencing }
