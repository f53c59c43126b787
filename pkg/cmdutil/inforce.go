package cmdutil

import (
	"context"
	"fmt"
	"time"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// inForcePeriod is the time between two questions whether a change is in
// force. The instance answers from what it knows, so asking costs little.
const inForcePeriod = 100 * time.Millisecond

// ChangeOutcome is what commands that change the configuration print as JSON.
type ChangeOutcome struct {
	operatorapi.ChangeResult
	InForce int `json:"inForce"`
	Total   int `json:"total"`
}

// FinishChange waits until an accepted change is in force on every instance
// and prints what changed. If that takes longer than the wait it fails with a
// [NotInForceError]: the change is accepted all the same.
func FinishChange(ctx context.Context, streams *iostreams.IOStreams, client *operatorapi.Client,
	flags Change, output Output, accepted operatorapi.ChangeResult,
) error {
	seen, err := waitInForce(ctx, streams, client, flags.Wait, accepted.Version)
	outcome := ChangeOutcome{ChangeResult: accepted, InForce: seen.InForce, Total: seen.Total}
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
		accepted.Version, seen.InForce, seen.Total)
	return nil
}

func waitInForce(ctx context.Context, streams *iostreams.IOStreams, client *operatorapi.Client,
	wait time.Duration, version int64,
) (operatorapi.InForce, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(inForcePeriod)
	defer ticker.Stop()
	for {
		seen, err := client.InForce(ctx, version)
		if err == nil && seen.Total > 0 && seen.InForce >= seen.Total {
			clearProgress(streams)
			return seen, nil
		}
		showProgress(streams, seen)
		select {
		case <-ctx.Done():
			clearProgress(streams)
			return seen, ctx.Err()
		case <-deadline.C:
			clearProgress(streams)
			// Whatever kept the count from being heard, the change stands; an
			// error of the connection would say that nothing was changed.
			seen.Version = version
			return seen, &NotInForceError{InForce: seen}
		case <-ticker.C:
		}
	}
}

func showProgress(streams *iostreams.IOStreams, seen operatorapi.InForce) {
	if streams.ErrIsTerminal {
		fmt.Fprintf(streams.Err, "\rIn force on %d of %d instances", seen.InForce, seen.Total)
	}
}

func clearProgress(streams *iostreams.IOStreams) {
	if streams.ErrIsTerminal {
		fmt.Fprint(streams.Err, "\r\x1b[K")
	}
}
