// Package drain implements the command `pollenspindle zone drain`: it drains an availability zone.
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

	Zone string `arg:"" help:"Name of the availability zone."`
}

// NewCmdDrain returns the command.
func NewCmdDrain(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Within seconds no instance sends new work to the availability zone. Work in
progress there continues to its end.

Examples:
  pollenspindle zone drain kigali-a -m "power work"`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return drainRun(ctx, o) }

func drainRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		PrintPlan: func(cfg pollenspindle.Config) {
			cmdutil.PrintZonePlan(o.Factory.Streams, cfg, o.Zone, "Taking out")
		},
		Submit: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.DrainZone(ctx, o.Zone, req)
		},
	})
}
