// Package validate implements the command `pollenspindle config validate`: it validates a
// configuration without applying it.
//
// # Usage
//
//	options := validate.NewCmdValidate(factory)
//	err := options.Run(ctx)
package validate

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	File    string           `help:"File with the configuration, or - for standard input." short:"f" required:"" placeholder:"FILE"`
}

// NewCmdValidate returns the command.
func NewCmdValidate(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `All faults are listed, each with its line and column. No connection to an
instance is needed.

Examples:
  pollenspindle config validate -f inyange.json`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return validateRun(ctx, o) }

func validateRun(_ context.Context, o *Options) error {
	data, err := cmdutil.ReadInput(o.Factory.Streams, o.File)
	if err != nil {
		return err
	}
	cfg, err := pollenspindle.Parse(cmdutil.InputName(o.File), data)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "Valid: %d zones, %d services, %d servers, %d workspaces.\n",
		len(cfg.Zones), len(cfg.Services), len(cfg.Servers), len(cfg.Workspaces))
	return nil
}
