// Package drain is the command `pollenspindle server drain`: it gives a backend server no new work.
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

// Options is what the command needs.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Change
	cmdutil.Output

	Server string `arg:"" help:"Name of the backend server."`
}

// NewCmdDrain returns the command.
func NewCmdDrain(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `What runs on the backend server ends in its own time.

Examples:
  pollenspindle server drain briefing-3 -m "reclaimed tonight"`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return drainRun(ctx, o) }

func drainRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		Tell: func(cfg pollenspindle.Config) {
			cmdutil.PlanServer(o.Factory.Streams, cfg, o.Server, "Draining")
		},
		Make: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.DrainServer(ctx, o.Server, req)
		},
	})
}
