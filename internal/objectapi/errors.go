package objectapi

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// The errors of the object API.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrCompacted means that a watch requested changes that the platform has compacted; the kind
	// has to be relisted.
	ErrCompacted = merry.Sentinel("changes were compacted")
	// ErrUnavailable means that the platform did not serve the call. A write certainly had no
	// effect.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrWatchEnded means that a watch which was waiting for changes ended without an answer, before
	// its wait was over: platforms may cut off waiting watches. Only the next call tells whether the
	// platform answers.
	ErrWatchEnded = merry.Sentinel("waiting watch was cut off")
	// ErrUnknownOutcome means that the response to a write was lost: it may have taken effect, or
	// may still do so later.
	ErrUnknownOutcome = merry.Sentinel("outcome of the write unknown")
	// ErrUnreadable means that the platform answered, and that the response is too large or can't be
	// decoded: the same call would fail again. It is the cause of another error of this package.
	ErrUnreadable = merry.Sentinel("response can't be read")
	// ErrRefused means that the platform rejects the call as invalid, for example because its
	// value is too large. It had no effect.
	ErrRefused = merry.Sentinel("platform refused the call")
)

// ConflictError means that the condition of a write was not met. The write had no effect.
type ConflictError struct {
	// Current is the existing object; its Version is 0 if there is none.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}
