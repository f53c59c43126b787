package cmdutil

import (
	"context"
	"fmt"
	"time"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// inForcePollInterval is the time between two requests that check whether a change is in force. The
// instance answers from memory, so a request is cheap.
const inForcePollInterval = 100 * time.Millisecond

// ChangeOutcome is the JSON output of commands that change the configuration.
type ChangeOutcome struct {
	operatorapi.ChangeResult
	InForce int `json:"inForce"`
	Total   int `json:"total"`
}

// FinishChange waits until an accepted change is in force on every instance and prints the changed
// fields. If that takes longer than flags.Wait, it returns a [NotInForceError]; the change remains
// accepted.
func FinishChange(ctx context.Context, streams *iostreams.IOStreams, client *operatorapi.Client,
	flags Change, output Output, accepted operatorapi.ChangeResult,
) error {
	status, err := waitInForce(ctx, streams, client, flags.Wait, accepted.Version)
	outcome := ChangeOutcome{ChangeResult: accepted, InForce: status.InForce, Total: status.Total}
	if printErr := output.Print(streams, outcome, ChangeTable(accepted.Changes)); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	if len(accepted.Changes) == 0 {
		fmt.Fprintln(streams.Err, "Nothing to change.")
	}
	fmt.Fprintf(streams.Err, "Version %d is in force on %d of %d instances.\n",
		accepted.Version, status.InForce, status.Total)
	return nil
}

func waitInForce(ctx context.Context, streams *iostreams.IOStreams, client *operatorapi.Client,
	wait time.Duration, version int64,
) (operatorapi.InForce, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		status, err := client.InForce(ctx, version)
		if err == nil && status.Total > 0 && status.InForce >= status.Total {
			clearProgress(streams)
			return status, nil
		}
		showProgress(streams, status)
		select {
		case <-ctx.Done():
			clearProgress(streams)
			return status, ctx.Err()
		case <-deadline.C:
			clearProgress(streams)
			// Any connection error is dropped: it would be reported as if nothing had been changed, but the
			// change was accepted.
			status.Version = version
			return status, &NotInForceError{InForce: status}
		case <-ticker.C:
		}
	}
}

func showProgress(streams *iostreams.IOStreams, status operatorapi.InForce) {
	if streams.ErrIsTerminal {
		fmt.Fprintf(streams.Err, "\rIn force on %d of %d instances", status.InForce, status.Total)
	}
}

func clearProgress(streams *iostreams.IOStreams) {
	if streams.ErrIsTerminal {
		fmt.Fprint(streams.Err, "\r\x1b[K")
	}
}
