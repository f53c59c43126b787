// Package restore is the command `pollenspindle server restore`: it gives a backend server new work again.
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

// Options is what the command needs.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Change
	cmdutil.Output

	Server string `arg:"" help:"Name of the backend server."`
}

// NewCmdRestore returns the command.
func NewCmdRestore(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `The backend server is taken to be cold.

Examples:
  pollenspindle server restore briefing-3`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return restoreRun(ctx, o) }

func restoreRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		Tell: func(cfg pollenspindle.Config) {
			cmdutil.PlanServer(o.Factory.Streams, cfg, o.Server, "Restoring")
		},
		Make: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.RestoreServer(ctx, o.Server, req)
		},
	})
}
