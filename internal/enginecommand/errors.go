package enginecommand

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of engine commands. After all of them but [ErrUnknownOutcome], no command took effect.
var (
	// ErrUnavailable means that the platform or the engine can't be reached.
	ErrUnavailable = merry.Sentinel("engine command not sent")
	// ErrSuperseded means that another command was sent in the meantime.
	ErrSuperseded = merry.Sentinel("superseded by another engine command")
	// ErrNotOwner means that another instance owns the engine, or that this one has to wait until
	// its ownership is valid.
	ErrNotOwner = merry.Sentinel("not the owner of the backend server")
	// ErrInvalid means that the configuration or the engine doesn't allow the command.
	ErrInvalid = merry.Sentinel("engine command not allowed")
	// ErrUnknownOutcome means that the command may have taken effect, or may still do so.
	ErrUnknownOutcome = merry.Sentinel("outcome of the engine command unknown")
)

// BusyError means that another command may be running.
type BusyError struct {
	Holder     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("an engine command of %s may be running for another %s", e.Holder, e.RetryAfter.Round(time.Second))
}

func unavailable(err error) error {
	return merry.Wrap(ErrUnavailable, merry.WithCause(err), merry.AppendMessage(err.Error()))
}
