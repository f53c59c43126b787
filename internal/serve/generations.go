package serve

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/answer"
	"pollenspindle.example/pollenspindle/internal/caller"
	"pollenspindle.example/pollenspindle/internal/fleet"
	"pollenspindle.example/pollenspindle/internal/journal"
	"pollenspindle.example/pollenspindle/internal/operator"
	"pollenspindle.example/pollenspindle/internal/operatorapi"
)

// generations implements operator.Generations with the instances' journals.
type generations struct {
	fleet   *fleet.Fleet
	callers *caller.Server
}

// Get implements operator.Generations.
func (g generations) Get(ctx context.Context, id string) (operatorapi.Generation, error) {
	records, err := g.fleet.FindRequest(ctx, id)
	switch {
	case errors.Is(err, fleet.ErrUnreachable):
		return operatorapi.Generation{}, merry.Wrap(operator.ErrUnavailable, merry.WithCause(err), merry.AppendMessage(err.Error()))
	case err != nil:
		return operatorapi.Generation{}, merry.Wrap(operator.ErrNotFound, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return mergeRecords(id, records), nil
}

// Cancel implements operator.Generations.
func (g generations) Cancel(ctx context.Context, id string) error {
	err := g.callers.CancelGeneration(ctx, id)
	var f *answer.Failure
	switch {
	case err == nil:
		return nil
	case errors.As(err, &f) && f.Outcome == answer.OutcomeNotRun:
		return merry.Append(operator.ErrNotFound, f.Message)
	case errors.As(err, &f):
		return merry.Append(operator.ErrUnavailable, f.Message)
	}
	return err
}

// mergeRecords merges the records of several instances and sorts their steps by time. The clocks of
// instances may differ, so each step names its instance.
func mergeRecords(id string, records []fleet.InstanceRecord) operatorapi.Generation {
	first := records[0]
	g := operatorapi.Generation{
		ID: id, Workspace: first.Workspace, Model: first.Model, Service: first.Service,
		Server: first.Server, State: string(first.State),
	}
	for _, f := range records {
		g.OutputTokens = max(g.OutputTokens, int(f.OutputTokens))
		if f.State == journal.Finished {
			// The caller reconnected through another instance and got the complete answer.
			g.State = string(f.State)
		}
		for _, s := range f.Steps {
			g.Steps = append(g.Steps, operatorapi.Step{At: s.At, Instance: f.Instance, Kind: string(s.Kind), Detail: stepDetail(s)})
		}
		if f.Dropped > 0 {
			g.Steps = append(g.Steps, operatorapi.Step{
				At: f.Steps[len(f.Steps)-1].At, Instance: f.Instance, Kind: "note",
				Detail: fmt.Sprintf("%d steps in the middle were dropped", f.Dropped),
			})
		}
	}
	slices.SortStableFunc(g.Steps, func(a, b operatorapi.Step) int { return a.At.Compare(b.At) })
	return g
}

// stepDetail describes a step to operators.
func stepDetail(s journal.Step) string {
	switch s.Kind {
	case journal.PermitRequested:
		text := fmt.Sprintf("%s was asked for a permit for %s: %s", s.Peer, s.Server, s.Reason)
		if s.Count > 0 {
			text += fmt.Sprintf(", load %.1f%%", float64(s.Count)/10)
		}
		return text
	case journal.Enqueued:
		return "waiting in the queue of " + s.Server
	case journal.PermitGranted:
		return fmt.Sprintf("%s granted a permit for %s in epoch %d", s.Peer, s.Server, s.Count)
	case journal.Sent:
		return "to " + s.Server
	case journal.FirstToken:
		return fmt.Sprintf("after %d ms", s.Count)
	case journal.Stalled:
		return fmt.Sprintf("%s sent no token for %d ms", s.Server, s.Count)
	case journal.Probed:
		return fmt.Sprintf("new connection to the silent %s after position %d", s.Server, s.Count)
	case journal.Reconnected:
		return fmt.Sprintf("broken connection to %s replaced after position %d", s.Server, s.Count)
	case journal.Resumed:
		return fmt.Sprintf("caller reconnected after position %d", s.Count)
	case journal.Restarted:
		return fmt.Sprintf("attempt %d, previous attempt failed: %s", s.Count, s.Reason)
	case journal.CallerGone:
		return fmt.Sprintf("after position %d", s.Count)
	case journal.Ended:
		return s.Reason
	case journal.Received, journal.TakenOver, journal.Cancelled:
	}
	return ""
}
