// Package restore implements the command `pollenspindle zone restore`: it restores a drained
// availability zone.
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

	Zone string `arg:"" help:"Name of the availability zone."`
}

// NewCmdRestore returns the command.
func NewCmdRestore(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Each backend server of the availability zone is treated as cold.

Examples:
  pollenspindle zone restore kigali-a`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return restoreRun(ctx, o) }

func restoreRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		PrintPlan: func(cfg pollenspindle.Config) {
			cmdutil.PrintZonePlan(o.Factory.Streams, cfg, o.Zone, "Bringing back")
		},
		Submit: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.RestoreZone(ctx, o.Zone, req)
		},
	})
}
