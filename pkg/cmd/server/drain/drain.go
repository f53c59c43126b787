// Package drain implements the command `pollenspindle server drain`: it drains a backend server.
//
// # Usage
//
//	options := drain.NewCmdDrain(factory)
//	err := options.Run(ctx)
package drain

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Change
	cmdutil.Output

	Server string `arg:"" help:"Name of the backend server."`
}

// NewCmdDrain returns the command.
func NewCmdDrain(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The backend server gets no new work. Work in progress on it continues to its end.

Examples:
  pollenspindle server drain briefing-3 -m "reclaimed tonight"`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return drainRun(ctx, o) }

func drainRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		PrintPlan: func(cfg pollenspindle.Config) {
			cmdutil.PrintServerPlan(o.Factory.Streams, cfg, o.Server, "Draining")
		},
		Submit: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.DrainServer(ctx, o.Server, req)
		},
	})
}
