package cmdutil

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/errortext"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// ExitCode is the exit code of the program. docs/OPERATING.md documents them.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed: the command failed for a reason that has no other code.
	ExitFailed ExitCode = 1
	// ExitUsage: the command line is wrong.
	ExitUsage ExitCode = 2
	// ExitConflict: the configuration was changed by someone else in the meantime;
	// this command changed nothing.
	ExitConflict ExitCode = 3
	// ExitInvalid: the settings or the configuration are invalid; nothing was changed.
	ExitInvalid ExitCode = 4
	// ExitUnauthorized: the operators' token is missing or wrong.
	ExitUnauthorized ExitCode = 5
	// ExitUnreachable: the instance or the platform cannot be reached; nothing
	// was changed.
	ExitUnreachable ExitCode = 6
	// ExitUnknownOutcome: a change may or may not have been accepted.
	ExitUnknownOutcome ExitCode = 7
	// ExitNotInForce: a change was accepted but is not yet in force on all instances.
	ExitNotInForce ExitCode = 8
	// ExitNotFound: the zone, server, generation or model does not exist.
	ExitNotFound ExitCode = 9
	// ExitCancelled: the command was interrupted.
	ExitCancelled ExitCode = 130
)

// ErrSilent ends a command with ExitFailed and without a message.
var ErrSilent = merry.Sentinel("silent")

// FlagError is an error in the command line.
type FlagError struct{ Message string }

// Error returns the message.
func (e *FlagError) Error() string { return e.Message }

// NotInForceError reports that a change was accepted but is not yet in force on all instances.
type NotInForceError struct{ operatorapi.InForce }

// Error returns a message with the number of instances on which the change is in force.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted but in force on only %d of %d instances",
		e.Version, e.InForce.InForce, e.Total)
}

// ExitCodeOf returns the exit code for the error that ended a command.
func ExitCodeOf(err error) ExitCode {
	var flag *FlagError
	var notInForce *NotInForceError
	var invalid *settings.InvalidError
	var apiErr *operatorapi.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	case errors.As(err, &flag):
		return ExitUsage
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &invalid), errors.Is(err, pollenspindle.ErrInvalid):
		return ExitInvalid
	case errors.Is(err, operatorapi.ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, operatorapi.ErrNoResponse):
		return ExitUnknownOutcome
	case errors.As(err, &apiErr):
		return exitCodeOfAPIError(apiErr.Code)
	default:
		return ExitFailed
	}
}

func exitCodeOfAPIError(code operatorapi.Code) ExitCode {
	switch code {
	case operatorapi.CodeConflict:
		return ExitConflict
	case operatorapi.CodeInvalid:
		return ExitInvalid
	case operatorapi.CodeUnauthorized:
		return ExitUnauthorized
	case operatorapi.CodeUnavailable:
		return ExitUnreachable
	case operatorapi.CodeUnknownOutcome:
		return ExitUnknownOutcome
	case operatorapi.CodeNotFound:
		return ExitNotFound
	default:
		return ExitFailed
	}
}

// PrintError prints err and a hint on what to do next.
func PrintError(w io.Writer, err error) {
	if err == nil || errors.Is(err, ErrSilent) {
		return
	}
	fmt.Fprintln(w, errortext.Of(err))
	var apiErr *operatorapi.Error
	if errors.As(err, &apiErr) {
		printDetail(w, apiErr.FailureDetail)
	}
	if hint := hintFor(ExitCodeOf(err)); hint != "" {
		fmt.Fprintln(w, hint)
	}
}

func printDetail(w io.Writer, detail operatorapi.FailureDetail) {
	if detail.Code == operatorapi.CodeInvalid {
		for _, f := range detail.Faults {
			fmt.Fprintf(w, "  %s: %s\n", f.Path, f.Message)
		}
	}
	if detail.Conflict == nil {
		return
	}
	fmt.Fprintf(w, "your change is based on version %d, but version %d is in force; changes since then:\n",
		detail.Conflict.BaseVersion, detail.Conflict.CurrentVersion)
	for _, change := range detail.Conflict.Changes {
		fmt.Fprintf(w, "  version %d, %s, %s: %s\n", change.Version,
			change.At.UTC().Format("2006-01-02 15:04:05Z"), change.Author, change.Summary)
		if len(change.Changed) > 0 {
			fmt.Fprintf(w, "    changed %s\n", strings.Join(change.Changed, ", "))
		}
	}
}

func hintFor(code ExitCode) string {
	switch code {
	case ExitConflict:
		return "See what differs with `pollenspindle config diff`, then apply again with the version in force as --base-version."
	case ExitUnauthorized:
		return "Give the file that holds the operators' token with --token-file."
	case ExitUnreachable:
		return "Nothing was changed. Try again, or another instance with --instance."
	case ExitUnknownOutcome:
		return "The change may have been accepted. See `pollenspindle config history` before trying again."
	case ExitNotInForce:
		return "Instances that cannot be reached take no new work until they have it. See `pollenspindle instance list`."
	default:
		return ""
	}
}
