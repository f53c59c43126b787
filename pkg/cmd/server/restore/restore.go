// Package restore implements the command `pollenspindle server restore`: it restores a drained
// backend server.
//
// # Usage
//
//	options := restore.NewCmdRestore(factory)
//	err := options.Run(ctx)
package restore

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

// NewCmdRestore returns the command.
func NewCmdRestore(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The backend server gets new work again and is treated as cold.

Examples:
  pollenspindle server restore briefing-3`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return restoreRun(ctx, o) }

func restoreRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		PrintPlan: func(cfg pollenspindle.Config) {
			cmdutil.PrintServerPlan(o.Factory.Streams, cfg, o.Server, "Restoring")
		},
		Submit: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.RestoreServer(ctx, o.Server, req)
		},
	})
}
