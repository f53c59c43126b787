// Package restore is the command `pollenspindle zone restore`: it brings an availability zone back.
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

	Zone string `arg:"" help:"Name of the availability zone."`
}

// NewCmdRestore returns the command.
func NewCmdRestore(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `Each backend server of the availability zone is taken to be cold.

Examples:
  pollenspindle zone restore kigali-a`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return restoreRun(ctx, o) }

func restoreRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		Tell: func(cfg pollenspindle.Config) {
			cmdutil.PlanZone(o.Factory.Streams, cfg, o.Zone, "Bringing back")
		},
		Make: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.RestoreZone(ctx, o.Zone, req)
		},
	})
}
