package operatorapi

import (
	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Code is the code of a failure in a response.
type Code string

// Failure codes.
const (
	CodeBadRequest     Code = "badRequest"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "notFound"
	CodeConflict       Code = "conflict"
	CodeTooLarge       Code = "tooLarge"
	CodeInvalid        Code = "invalidConfiguration"
	CodeUnavailable    Code = "unavailable"
	CodeUnknownOutcome Code = "unknownOutcome"
	CodeUnsupported    Code = "unsupported"
	CodeInternal       Code = "internal"
)

// Failure is the body of every response with an error status.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a failure. Faults is set for CodeBadRequest and CodeInvalid, Conflict for
// CodeConflict if the configuration has changed.
type FailureDetail struct {
	Code     Code                  `json:"code"`
	Message  string                `json:"message"`
	Faults   []pollenspindle.Fault `json:"faults,omitempty"`
	Conflict *Conflict             `json:"conflict,omitempty"`
}

// Conflict lists the changes that were accepted since the base version of a rejected change.
type Conflict struct {
	BaseVersion    int64 `json:"baseVersion"`
	CurrentVersion int64 `json:"currentVersion"`
	// Changes lists the changes after BaseVersion, newest first. Old ones may be missing.
	Changes []Change `json:"changes"`
}

// Error is a failure that the instance responded with.
type Error struct {
	Status int
	FailureDetail
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Errors of the client.
var (
	// ErrUnreachable means that there was no response and that nothing was changed: the call was a
	// query or its connection was not established.
	ErrUnreachable = merry.Sentinel("instance cannot be reached")
	// ErrNoResponse means that the connection ended before the response, or that the head of the
	// response is malformed: a change may or may not have been accepted.
	ErrNoResponse = merry.Sentinel("no response from the instance")
	// ErrInvalidResponse means that the response doesn't follow this protocol.
	ErrInvalidResponse = merry.Sentinel("invalid response from the instance")
)
