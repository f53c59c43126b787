// Package drain is the command `pollenspindle zone drain`: it takes an availability zone out.
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

	Zone string `arg:"" help:"Name of the availability zone."`
}

// NewCmdDrain returns the command.
func NewCmdDrain(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `Within seconds no instance sends new work to the availability zone. What runs
there ends in its own time.

Examples:
  pollenspindle zone drain kigali-a -m "power work"`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return drainRun(ctx, o) }

func drainRun(ctx context.Context, o *Options) error {
	return cmdutil.RunChange(ctx, o.Factory, o.Connection, o.Change, o.Output, cmdutil.PlannedChange{
		Tell: func(cfg pollenspindle.Config) {
			cmdutil.PlanZone(o.Factory.Streams, cfg, o.Zone, "Taking out")
		},
		Make: func(client *operatorapi.Client, req operatorapi.ChangeRequest) (operatorapi.ChangeResult, error) {
			return client.DrainZone(ctx, o.Zone, req)
		},
	})
}
